/// \file
/// Six machines in three zones share the tenants' usage caps. One machine is
/// lost. Then the tenants send many times their usual for some seconds. Checks
/// that no tenant runs more than its usage cap in any window.

#include <algorithm>
#include <csignal>
#include <iostream>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "fleet.h"

namespace peridot::review {

namespace {

constexpr double StartSeconds = 8;
/// Time from the loss of the machine until the tenants send more.
constexpr double LeadSeconds = 3.5;
constexpr double BusySeconds = 6.5;
constexpr double WindowSeconds = 5;
constexpr double QuotaOverage = 0.1;
constexpr double QuotaSlack = 20;
/// Share of its rate that a tenant usually sends.
constexpr double UsualShare = 0.25;
constexpr double BusyFactor = 7.5;
constexpr double RatePerSecond = 18;
constexpr double Burst = 18;
constexpr std::size_t Victim = 2;

struct sent_request {
  double At = 0;
  std::size_t Tenant = 0;
};

class quota_case {
public:
  quota_case(boost::asio::io_context &Loop, std::string Program,
             std::string Folder, bool HasTrouble)
      : Loop(Loop), Program(std::move(Program)), Folder(std::move(Folder)),
        HasTrouble(HasTrouble) {
    for (int Index = 0; Index < 6; ++Index)
      Tenants.push_back(
          {"tenant" + std::to_string(Index), RatePerSecond, Burst});
  }

  /// \returns the exit code.
  task<int> run() {
    Ports = findPorts();
    Store.start(Ports.Store);
    Store.put("config", "main", makeConfiguration(7, Tenants));
    for (std::size_t Index = 0; Index < Zones.size() * 2; ++Index) {
      const std::string &Zone = Zones[Index / 2];
      Endpoints.push_back(std::make_unique<endpoint>(
          Loop, Record, "i-" + std::to_string(Index), "huvo11a", 0.02, Runs));
      Endpoints.back()->start(
          static_cast<std::uint16_t>(Ports.Endpoints + Index));
      Store.put("servers", Endpoints.back()->id(),
                Endpoints.back()->entry(Zone, "ready"));
      Vms.push_back(std::make_unique<vm_process>(
          "front-" + Zone + "-" + std::to_string(Index % 2 + 1), Zone,
          "127.0.1." + std::to_string(Index + 1), Ports, Program, Folder));
    }
    for (const auto &Vm : Vms)
      Vm->start();
    co_await sleepFor(Loop, StartSeconds);
    for (const std::string &Zone : Zones)
      boost::asio::co_spawn(Loop, followDirectory(Zone), boost::asio::detached);
    co_await sleepFor(Loop, 0.5);
    for (std::size_t Tenant = 0; Tenant < Tenants.size(); ++Tenant)
      boost::asio::co_spawn(Loop, sendAll(Tenant), boost::asio::detached);
    co_await sleepFor(Loop, 6);
    if (HasTrouble) {
      Record.note("trouble: " + Vms[Victim]->name() +
                  " is killed and does not return");
      Vms[Victim]->kill();
    }
    co_await sleepFor(Loop, LeadSeconds);
    Record.note("the tenants send more");
    PerSecond = UsualShare * BusyFactor;
    co_await sleepFor(Loop, BusySeconds);
    IsDone = true;
    co_await sleepFor(Loop, 2.5);
    co_return judge();
  }

private:
  task<void> followDirectory(std::string Zone) {
    while (!IsDone) {
      for (std::size_t Index = 0; Index < Vms.size(); ++Index) {
        const auto &Vm = Vms[Random() % Vms.size()];
        auto Found = co_await resolve(Loop, Vm->ip(), Ports, Zone);
        if (Found.empty())
          continue;
        Addresses[Zone] = std::move(Found);
        break;
      }
      co_await sleepFor(Loop, 1);
    }
  }

  task<void> sendAll(std::size_t Tenant) {
    while (!IsDone) {
      std::exponential_distribution<double> Gap(PerSecond *
                                                Tenants[Tenant].RatePerSecond);
      co_await sleepFor(Loop, Gap(Random));
      boost::asio::co_spawn(Loop, sendOne(Tenant), boost::asio::detached);
    }
  }

  task<void> sendOne(std::size_t Tenant) {
    const std::vector<std::string> &Known =
        Addresses[Zones[Random() % Zones.size()]];
    if (Known.empty())
      co_return;
    const std::string Ip = Known[Random() % Known.size()];
    const std::string Id =
        "t" + std::to_string(Tenant) + "-" + std::to_string(++LastRequest);
    Sent[Id] = {secondsNow(), Tenant};
    Record.note("client sends " + Id + " to " + Ip);
    const client_request Request{
        .Path = "/leny950/2f", .Key = keyOf(Tenants[Tenant]), .Id = Id};
    const client_answer Answer =
        co_await sendRequest(Loop, Ip, Ports.Front, Request);
    Record.note("client gets " + Id + " " + std::to_string(Answer.Status) +
                " " + Answer.Error);
    ++Statuses[Answer.Status];
  }

  int judge() {
    bool IsBroken = false;
    for (std::size_t Tenant = 0; Tenant < Tenants.size(); ++Tenant) {
      std::vector<std::pair<double, double>> Ran; // When sent, when run.
      for (const struct run &Each : Runs)
        if (const auto Found = Sent.find(Each.RequestId);
            Found != Sent.end() && Found->second.Tenant == Tenant)
          Ran.emplace_back(Found->second.At, Each.At);
      const double Limit = (Tenants[Tenant].RatePerSecond * WindowSeconds +
                            Tenants[Tenant].Burst) *
                               (1 + QuotaOverage) +
                           QuotaSlack;
      std::size_t Most = 0;
      double At = 0;
      for (const auto &Each : Ran) {
        const double From = Each.first;
        const auto Count =
            static_cast<std::size_t>(std::ranges::count_if(Ran, [&](auto &One) {
              return One.first >= From && One.second <= From + WindowSeconds;
            }));
        if (Count > Most)
          At = From;
        Most = std::max(Most, Count);
      }
      IsBroken |= static_cast<double>(Most) > Limit;
      const std::string Line = "QUOTA " + Tenants[Tenant].Name + ": " +
                               std::to_string(Most) + " ran in 5 s from " +
                               std::to_string(At) + ", allowed " +
                               std::to_string(Limit);
      Record.note(Line);
      std::cout << Line << '\n';
    }
    for (const auto &[Status, Count] : Statuses) {
      Record.note("answers " + std::to_string(Status) + ": " +
                  std::to_string(Count));
      std::cout << "answers " << Status << ": " << Count << '\n';
    }
    constexpr std::size_t LeastRuns = 300;
    if (Runs.size() < LeastRuns)
      return 2;
    return IsBroken ? 1 : 0;
  }

  boost::asio::io_context &Loop;
  std::string Program;
  std::string Folder;
  bool HasTrouble;
  recorder Record{"record.txt"};
  platform_store Store{Loop, Record};
  std::vector<struct run> Runs;
  std::vector<std::unique_ptr<endpoint>> Endpoints;
  std::vector<std::unique_ptr<vm_process>> Vms;
  std::vector<std::string> Zones{"lakes-a", "lakes-b", "lakes-c"};
  std::vector<tenant> Tenants;
  vm_ports Ports;
  std::map<std::string, std::vector<std::string>> Addresses;
  std::map<std::string, sent_request> Sent;
  std::map<unsigned, unsigned> Statuses;
  std::uint64_t LastRequest = 0;
  std::mt19937 Random{7};
  double PerSecond = UsualShare; ///< As a share of each tenant's rate.
  bool IsDone = false;
};

} // namespace

} // namespace peridot::review

int main(int Argc, char **Argv) {
  if (Argc < 3) {
    std::cerr << "usage: quota_case PROGRAM FOLDER [TROUBLE]\n";
    return 2;
  }
  boost::asio::io_context Loop(1);
  peridot::review::quota_case Case(Loop, Argv[1], Argv[2],
                                   Argc < 4 || std::string(Argv[3]) != "0");
  int ExitCode = 2;
  boost::asio::co_spawn(Loop, Case.run(),
                        [&](const std::exception_ptr &Error, int Result) {
                          ExitCode = Error ? 2 : Result;
                          Loop.stop();
                        });
  Loop.run();
  return ExitCode;
}
