/// \file
/// Three machines, one in each zone, are stopped in a planned way while the
/// store is silent, and lose power before they have ended. They come back once
/// the store answers again. The store then carries out the calls that it
/// received while it was silent. Checks that requests are served again.

#include <csignal>
#include <iostream>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "fleet.h"

namespace peridot::review {

namespace {

constexpr double StartSeconds = 8;
constexpr double CalmSeconds = 5;
/// From the start of the silence to SIGTERM, from there to the loss of power,
/// and from there to the end of the silence: 4.5 s in all.
constexpr double StopSeconds = 0.2;
constexpr double PowerSeconds = 2.8;
constexpr double DownSeconds = 1.5;
/// When the store carries out a call that it did not answer.
constexpr double LateSeconds = 6;
/// `recovery` of the site.
constexpr double RecoverySeconds = 15;
constexpr double JudgedSeconds = 8;
constexpr double RequestsPerSecond = 5; ///< In each zone.

struct counts {
  unsigned Sent = 0;
  unsigned Served = 0;
};

class recover_case {
public:
  recover_case(boost::asio::io_context &Loop, std::string Program,
               std::string Folder, bool HasTrouble)
      : Loop(Loop), Program(std::move(Program)), Folder(std::move(Folder)),
        HasTrouble(HasTrouble) {}

  /// \returns the exit code.
  task<int> run() {
    Ports = findPorts();
    Store.start(Ports.Store);
    Store.put("config", "main", makeConfiguration(7, Tenants));
    Store.JudgeWrite = [this](const std::string & /*Method*/,
                              const std::string & /*Name*/) {
      return Store.IsSilent
                 ? write_fate{.IsAnswerLost = true, .DelaySeconds = LateSeconds}
                 : write_fate{};
    };
    for (std::size_t Index = 0; Index < Zones.size(); ++Index) {
      Endpoints.push_back(std::make_unique<endpoint>(
          Loop, Record, "i-" + std::to_string(Index), "huvo11a", 0.05, Runs));
      Endpoints.back()->start(
          static_cast<std::uint16_t>(Ports.Endpoints + Index));
      Store.put("servers", Endpoints.back()->id(),
                Endpoints.back()->entry(Zones[Index], "ready"));
      Vms.push_back(std::make_unique<vm_process>(
          "front-" + Zones[Index] + "-1", Zones[Index],
          "127.0.1." + std::to_string(Index + 1), Ports, Program, Folder));
      Vms.back()->start();
    }
    co_await sleepFor(Loop, StartSeconds);
    for (std::size_t Zone = 0; Zone < Zones.size(); ++Zone) {
      boost::asio::co_spawn(Loop, followDirectory(Zone), boost::asio::detached);
      boost::asio::co_spawn(Loop, sendAll(Zone), boost::asio::detached);
    }
    co_await sleepFor(Loop, 1);
    Current = &Before;
    co_await sleepFor(Loop, CalmSeconds);
    Current = &Between;
    if (HasTrouble) {
      Record.note("trouble: the store is silent");
      Store.IsSilent = true;
    }
    co_await sleepFor(Loop, StopSeconds);
    Record.note("all machines get SIGTERM");
    for (const auto &Vm : Vms)
      Vm->signal(SIGTERM);
    co_await sleepFor(Loop, PowerSeconds);
    Record.note("all machines lose power");
    for (const auto &Vm : Vms)
      Vm->kill();
    co_await sleepFor(Loop, DownSeconds);
    Store.IsSilent = false;
    Record.note("the store answers, the machines are back");
    for (const auto &Vm : Vms)
      Vm->start();
    co_await sleepFor(Loop, RecoverySeconds);
    Current = &After;
    co_await sleepFor(Loop, JudgedSeconds);
    Current = &Between;
    IsDone = true;
    co_await sleepFor(Loop, 2.5);
    co_return judge();
  }

private:
  task<void> followDirectory(std::size_t Zone) {
    while (!IsDone) {
      for (const auto &Vm : Vms) {
        auto Found = co_await resolve(Loop, Vm->ip(), Ports, Zones[Zone]);
        if (Found.empty())
          continue;
        Addresses[Zone] = std::move(Found);
        break;
      }
      co_await sleepFor(Loop, 1);
    }
  }

  task<void> sendAll(std::size_t Zone) {
    std::exponential_distribution<double> Gap(RequestsPerSecond);
    while (!IsDone) {
      co_await sleepFor(Loop, Gap(Random));
      boost::asio::co_spawn(Loop, sendOne(Zone), boost::asio::detached);
    }
  }

  task<void> sendOne(std::size_t Zone) {
    counts &Counts = *Current;
    ++Counts.Sent;
    // Clients keep an old answer of the directory while they get no new one.
    if (Addresses[Zone].empty())
      co_return;
    const std::string Ip = Addresses[Zone][Random() % Addresses[Zone].size()];
    const client_request Request{.Path = "/leny950/2f",
                                 .Key = keyOf(Tenants[0]),
                                 .Id = "r" + std::to_string(++LastRequest)};
    Record.note("client sends " + Request.Id + " to " + Ip);
    const client_answer Answer =
        co_await sendRequest(Loop, Ip, Ports.Front, Request);
    Record.note("client gets " + Request.Id + " " +
                std::to_string(Answer.Status) + " " + Answer.Error);
    Counts.Served += Answer.Status == 200 ? 1 : 0;
  }

  int judge() {
    const auto Text = [](const counts &Counts) {
      return std::to_string(Counts.Served) + " of " +
             std::to_string(Counts.Sent);
    };
    const std::string Line = "RECOVER: served before " + Text(Before) +
                             ", later than 15 s after the machines are back " +
                             Text(After) + "; machines in the store: " +
                             std::to_string(Store.count("peridot-vms"));
    Record.note(Line);
    std::cout << Line << '\n';
    if (Before.Served * 4 < Before.Sent || Before.Sent == 0)
      return 2;
    return After.Served * 4 < After.Sent ? 1 : 0;
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
  std::vector<tenant> Tenants{{"cuka620", 38, 38}};
  vm_ports Ports;
  std::map<std::size_t, std::vector<std::string>> Addresses;
  std::uint64_t LastRequest = 0;
  std::mt19937 Random{7};
  counts Before;
  counts Between;
  counts After;
  counts *Current = &Between;
  bool IsDone = false;
};

} // namespace

} // namespace peridot::review

int main(int Argc, char **Argv) {
  if (Argc < 3) {
    std::cerr << "usage: recover_case PROGRAM FOLDER [TROUBLE]\n";
    return 2;
  }
  boost::asio::io_context Loop(1);
  peridot::review::recover_case Case(Loop, Argv[1], Argv[2],
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
