/// \file
/// Three machines, one in each zone. The store loses the answer of one watch.
/// Seconds after that disruption, endpoints report that they drain and the
/// operator changes the configuration. Checks that no request reaches a
/// draining endpoint later than `drain` after the store confirmed its report.

#include <algorithm>
#include <iostream>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "fleet.h"

namespace peridot::review {

namespace {

constexpr double StartSeconds = 8;
constexpr double LossSeconds = 4.5;
/// `settle-window` and a little more.
constexpr double SettleSeconds = 3.2;
constexpr double DrainSeconds = 2;
/// How long a draining endpoint goes on serving: `drain` and a little longer.
constexpr double ServeSeconds = 5;
constexpr double WorkSeconds = 0.24;
constexpr std::size_t EndpointsPerZone = 7;
constexpr double RequestsPerSecond = 40; ///< In each zone.

class drain_case {
public:
  drain_case(boost::asio::io_context &Loop, std::string Program,
             std::string Folder, bool HasTrouble)
      : Loop(Loop), Program(std::move(Program)), Folder(std::move(Folder)),
        HasTrouble(HasTrouble) {}

  /// \returns the exit code.
  task<int> run() {
    Ports = findPorts();
    Store.start(Ports.Store);
    Store.put("config", "main", makeConfiguration(7, Tenants));
    Store.LosesWatchAnswer = [this](const std::string &Kind) {
      if (Kind != "servers" || AnswersToLose == 0)
        return false;
      --AnswersToLose;
      return true;
    };
    for (std::size_t Index = 0; Index < Zones.size() * EndpointsPerZone;
         ++Index)
      addEndpoint(Zones[Index / EndpointsPerZone]);
    for (std::size_t Index = 0; Index < Zones.size(); ++Index) {
      Vms.push_back(std::make_unique<vm_process>(
          "front-" + Zones[Index] + "-1", Zones[Index],
          "127.0.1." + std::to_string(Index + 1), Ports, Program, Folder));
      Vms.back()->start();
    }
    co_await sleepFor(Loop, StartSeconds);
    for (std::size_t Index = 0; Index < Zones.size(); ++Index)
      boost::asio::co_spawn(Loop, sendAll(Index), boost::asio::detached);
    co_await sleepFor(Loop, 2);
    if (HasTrouble)
      Record.note("trouble: the store loses answers");
    co_await sleepFor(Loop, LossSeconds - 1.2);
    addEndpoint(Zones[0]);
    co_await sleepFor(Loop, 0.8);
    if (HasTrouble)
      AnswersToLose = 1;
    addEndpoint(Zones[1]);
    co_await sleepFor(Loop, 0.4);
    AnswersToLose = 0;
    Record.note("trouble ends");
    co_await sleepFor(Loop, SettleSeconds);
    const double DrainedAt = secondsNow();
    for (std::size_t Zone = 0; Zone < Zones.size(); ++Zone) {
      const auto &Leaving = Endpoints[Zone * EndpointsPerZone];
      Store.put("servers", Leaving->id(),
                Leaving->entry(Zones[Zone], "draining"));
      Draining.push_back(Leaving->id());
    }
    co_await sleepFor(Loop, 0.05);
    Store.put("config", "main", makeConfiguration(9, Tenants));
    co_await sleepFor(Loop, ServeSeconds);
    for (std::size_t Zone = 0; Zone < Zones.size(); ++Zone)
      Endpoints[Zone * EndpointsPerZone]->end();
    co_await sleepFor(Loop, 2);
    IsDone = true;
    co_await sleepFor(Loop, 2.5);
    co_return judge(DrainedAt);
  }

private:
  void addEndpoint(const std::string &Zone) {
    const std::size_t Index = Endpoints.size();
    Endpoints.push_back(
        std::make_unique<endpoint>(Loop, Record, "i-" + std::to_string(Index),
                                   "huvo11a", WorkSeconds, Runs));
    Endpoints.back()->start(
        static_cast<std::uint16_t>(Ports.Endpoints + Index));
    Store.put("servers", Endpoints.back()->id(),
              Endpoints.back()->entry(Zone, "ready"));
  }

  task<void> sendAll(std::size_t Zone) {
    std::exponential_distribution<double> Gap(RequestsPerSecond);
    while (!IsDone) {
      co_await sleepFor(Loop, Gap(Random));
      boost::asio::co_spawn(Loop, sendOne(Zone), boost::asio::detached);
    }
  }

  task<void> sendOne(std::size_t Zone) {
    const client_request Request{.Method = "POST",
                                 .Path = "/puka111/2f",
                                 .Key = keyOf(Tenants[0]),
                                 .Id = "r" + std::to_string(++LastRequest)};
    Record.note("client sends " + Request.Id + " to " + Vms[Zone]->ip());
    const client_answer Answer =
        co_await sendRequest(Loop, Vms[Zone]->ip(), Ports.Front, Request);
    Record.note("client gets " + Request.Id + " " +
                std::to_string(Answer.Status) + " " + Answer.Error);
    ++Statuses[Answer.Status];
  }

  int judge(double DrainedAt) {
    std::size_t Late = 0;
    std::size_t Cut = 0;
    double Last = 0;
    for (const struct run &Each : Runs) {
      if (std::ranges::find(Draining, Each.Endpoint) == Draining.end() ||
          Each.At <= DrainedAt + DrainSeconds)
        continue;
      ++Late;
      Cut += Each.IsCut ? 1 : 0;
      Last = Each.At;
    }
    const std::string Line =
        "DRAIN: " + std::to_string(Late) +
        " requests reached draining endpoints later than 2 s after the "
        "confirmation, the last " +
        std::to_string(Late > 0 ? Last - DrainedAt : 0) + " s after it; " +
        std::to_string(Cut) + " of them were lost when the endpoints ended";
    Record.note(Line);
    std::cout << Line << '\n';
    for (const auto &[Status, Count] : Statuses) {
      Record.note("answers " + std::to_string(Status) + ": " +
                  std::to_string(Count));
      std::cout << "answers " << Status << ": " << Count << '\n';
    }
    constexpr unsigned LeastServed = 500;
    if (Statuses[200] < LeastServed)
      return 2;
    return Late > 0 ? 1 : 0;
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
  std::vector<tenant> Tenants{{"cuka620", 0, 0}};
  std::vector<std::string> Draining;
  vm_ports Ports;
  std::map<unsigned, unsigned> Statuses;
  std::uint64_t LastRequest = 0;
  std::mt19937 Random{7};
  unsigned AnswersToLose = 0;
  bool IsDone = false;
};

} // namespace

} // namespace peridot::review

int main(int Argc, char **Argv) {
  if (Argc < 3) {
    std::cerr << "usage: drain_case PROGRAM FOLDER [TROUBLE]\n";
    return 2;
  }
  boost::asio::io_context Loop(1);
  peridot::review::drain_case Case(Loop, Argv[1], Argv[2],
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
