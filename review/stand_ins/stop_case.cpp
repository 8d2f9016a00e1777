/// \file
/// One machine is stopped in a planned way while it holds requests that take
/// their endpoint five times the usual work. Checks that none of them is given
/// up for an answer of the machine's own while its endpoint is at work.

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
constexpr double CalmSeconds = 12;
constexpr double WorkSeconds = 0.1;
constexpr double SlowWorkSeconds = 0.5;
constexpr double RequestsPerSecond = 10;
/// Before SIGTERM, so many requests with long work are sent at this interval.
constexpr int SlowRequests = 2;
constexpr double SlowGapSeconds = 0.1;
constexpr double GraceSeconds = 6;

struct slow_answer {
  std::string Id;
  double At = 0;
  client_answer Answer;
};

class stop_case {
public:
  stop_case(boost::asio::io_context &Loop, std::string Program,
            std::string Folder, bool HasTrouble)
      : Loop(Loop), Program(std::move(Program)), Folder(std::move(Folder)),
        HasTrouble(HasTrouble) {}

  /// \returns the exit code.
  task<int> run() {
    Ports = findPorts();
    Store.start(Ports.Store);
    Store.put("config", "main", makeConfiguration(7, Tenants));
    for (std::size_t Index = 0; Index < 2; ++Index) {
      Endpoints.push_back(
          std::make_unique<endpoint>(Loop, Record, "i-" + std::to_string(Index),
                                     "huvo11a", WorkSeconds, Runs));
      Endpoints.back()->start(
          static_cast<std::uint16_t>(Ports.Endpoints + Index));
      Endpoints.back()->setSlowWork(SlowWorkSeconds);
      Store.put("servers", Endpoints.back()->id(),
                Endpoints.back()->entry("lakes-a", "ready"));
      Vms.push_back(std::make_unique<vm_process>(
          "front-lakes-a-" + std::to_string(Index + 1), "lakes-a",
          "127.0.1." + std::to_string(Index + 1), Ports, Program, Folder));
      Vms.back()->start();
    }
    co_await sleepFor(Loop, StartSeconds);
    boost::asio::co_spawn(Loop, sendAll(), boost::asio::detached);
    co_await sleepFor(Loop, CalmSeconds);
    Endpoints[1]->setFull(true);
    Record.note("endpoint i-1 is full");
    co_await sleepFor(Loop, 1);
    for (int Index = 0; Index < SlowRequests; ++Index) {
      boost::asio::co_spawn(Loop, sendSlow(Index), boost::asio::detached);
      co_await sleepFor(Loop, SlowGapSeconds);
    }
    IsSecondOnly = true;
    if (HasTrouble) {
      Record.note("SIGTERM to " + Vms[0]->name());
      SigtermAt = secondsNow();
      Vms[0]->signal(SIGTERM);
    }
    co_await sleepFor(Loop, GraceSeconds);
    if (HasTrouble)
      Vms[0]->kill();
    IsDone = true;
    co_await sleepFor(Loop, 2.5);
    co_return judge();
  }

private:
  task<void> sendAll() {
    std::exponential_distribution<double> Gap(RequestsPerSecond);
    while (!IsDone) {
      co_await sleepFor(Loop, Gap(Random));
      boost::asio::co_spawn(Loop, sendOne(), boost::asio::detached);
    }
  }

  task<void> sendOne() {
    const std::string Ip = Vms[IsSecondOnly ? 1 : Random() % 2]->ip();
    const client_request Request{.Path = "/leny950/2f",
                                 .Key = keyOf(Tenants[0]),
                                 .Id = "r" + std::to_string(++LastRequest)};
    const client_answer Answer =
        co_await sendRequest(Loop, Ip, Ports.Front, Request);
    Record.note("client gets " + Request.Id + " " +
                std::to_string(Answer.Status) + " " + Answer.Error);
    Served += Answer.Status == 200 ? 1 : 0;
  }

  task<void> sendSlow(int Index) {
    const client_request Request{.Path = "/leny950/2f",
                                 .Key = keyOf(Tenants[0]),
                                 .Id = "slow" + std::to_string(Index)};
    Record.note("client sends " + Request.Id);
    slow_answer Got{.Id = Request.Id};
    Got.Answer = co_await sendRequest(Loop, Vms[0]->ip(), Ports.Front, Request);
    Got.At = secondsNow();
    Record.note("client gets " + Got.Id + " " +
                std::to_string(Got.Answer.Status) + " signature '" +
                Got.Answer.Signature + "' " + Got.Answer.Error);
    Answers.push_back(std::move(Got));
  }

  int judge() {
    std::size_t Lost = 0;
    for (const slow_answer &Each : Answers)
      for (const struct run &Run : Runs)
        Lost += SigtermAt && Run.RequestId == Each.Id &&
                        Each.Answer.Signature.empty() && Each.At > *SigtermAt &&
                        Each.At < Run.EndsAt
                    ? 1
                    : 0;
    const std::string Line =
        "LOST: after SIGTERM " + std::to_string(Lost) + " of " +
        std::to_string(Answers.size()) +
        " requests got an answer of the machine's own while their endpoint was "
        "at work; served otherwise: " +
        std::to_string(Served);
    Record.note(Line);
    std::cout << Line << '\n';
    constexpr unsigned LeastServed = 100;
    if (Served < LeastServed)
      return 2;
    return Lost > 0 ? 1 : 0;
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
  std::vector<tenant> Tenants{{"cuka620", 0, 0}};
  std::vector<slow_answer> Answers;
  vm_ports Ports;
  std::optional<double> SigtermAt;
  bool IsSecondOnly = false; ///< Clients use only the machine that stays.
  unsigned Served = 0;
  std::uint64_t LastRequest = 0;
  std::mt19937 Random{7};
  bool IsDone = false;
};

} // namespace

} // namespace peridot::review

int main(int Argc, char **Argv) {
  if (Argc < 3) {
    std::cerr << "usage: stop_case PROGRAM FOLDER [TROUBLE]\n";
    return 2;
  }
  boost::asio::io_context Loop(1);
  peridot::review::stop_case Case(Loop, Argv[1], Argv[2],
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
