/// \file
/// Stops and restarts the VMs of a fleet in overlapping series while callers
/// keep sending requests to each VM until its process is gone, also on
/// connections that were idle when the stop began. Exits with 1 and prints the
/// seed if a request that was sent whole got no response, or if a process did
/// not end by itself within the shutdown limit.

#include <atomic>
#include <iostream>
#include <random>
#include <set>
#include <sstream>
#include <thread>

#include <gflags/gflags.h>

#include "soak/stop_records.h"
#include "support/store_fleet.h"

DEFINE_int32(first_seed, 1, "Seed of the first run");
DEFINE_int32(seeds, 1, "Number of runs, with consecutive seeds");
DEFINE_int32(seconds, 10, "Seconds of stops in each run");
DEFINE_int32(vms, 4, "Number of VMs");
DEFINE_int32(data_centres, 1,
             "Number of data centres, which VMs and targets join in turn");
DEFINE_int32(rate, 100, "Requests a second to each VM");
DEFINE_int32(callers, 16, "Callers of each VM that send all the time");
DEFINE_int32(ms, 500, "Mean time in ms from a VM's restart to its next stop");
DEFINE_string(limits, "40,1000000",
              "Limits of the client accounts in requests a second, separated "
              "by commas; callers join the accounts in turn");
DEFINE_int32(targets, 2, "Number of targets");
DEFINE_int32(slots, 8, "Requests that a target serves at a time");
DEFINE_int32(work_ms, 100, "Time in ms that a target takes for a request");
DEFINE_int32(slow_percent, 0, "Percentage of requests that take --slow_ms");
DEFINE_int32(slow_ms, 900, "Time in ms that a target takes for those");
DEFINE_int32(deadline_ms, 1'000, "Deadline in ms of each request");
DEFINE_int32(idle_connections, 14,
             "Connections without requests at each stop; each sends requests "
             "later, at random times until the process is gone");
DEFINE_int32(repeat_percent, 25, "Percentage of stops with a second SIGTERM");
DEFINE_int32(shutdown_limit_ms, 4'000, "--shutdown_limit of the VMs, in ms");
DEFINE_int32(address_ttl_ms, 200, "--address_ttl of the VMs, in ms");
DEFINE_int32(platform_delay_ms, 0,
             "Delay in ms of each way between VMs and the platform");
DEFINE_int32(platform_down_ms, 0,
             "The platform is down for this time in ms out of twice this time, "
             "so that VMs cannot confirm keys; 0: never");
DEFINE_int32(peer_delay_ms, 0, "Delay in ms of each way between VMs");
DEFINE_int32(target_delay_ms, 0,
             "Delay in ms of each way between VMs and targets");

namespace peridot::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// One of this many callers keeps its connection until it is told to close it.
constexpr unsigned KeptCallerInterval = 4;
/// One of this many restarted VMs may be stopped before it is ready.
constexpr unsigned EarlyStopInterval = 4;
/// One of this many connections without requests sends its first one within
/// EndSpanMs before the shutdown limit, the others at any time.
constexpr unsigned LateSenderInterval = 2;
/// Covers the last waits of requests, the close of idle connections and the end
/// of the process.
constexpr unsigned EndSpanMs = 800;
/// Maximum time between two requests on a connection that was idle.
constexpr unsigned MaxRepeatMs = 300;
/// Source address of the callers, so that they take no port of a node.
constexpr const char *CallerAddress = "127.0.0.2";
constexpr milliseconds ExitPollPeriod{5};

unsigned drawBelow(std::mt19937 &Random, int Limit) {
  return static_cast<unsigned>(Random()) %
         static_cast<unsigned>(std::max(Limit, 1));
}

std::vector<store_account> accounts() {
  std::vector<store_account> Accounts;
  std::istringstream Limits(FLAGS_limits);
  for (std::string Limit; std::getline(Limits, Limit, ',');) {
    const std::string Name = "keepers-" + std::to_string(Accounts.size());
    const double Rate = std::stod(Limit);
    Accounts.push_back({Name, {Name + "-key"}, Rate, Rate});
  }
  return Accounts;
}

/// Parts of an unsafe request, written one after the other.
std::vector<std::string> makeRequest(const std::string &Id,
                                     const store_account &Account,
                                     std::mt19937 &Random) {
  const std::string Head = "POST /dispatch/1 HTTP/1.1\r\nHost: fleet\r\n"
                           "Authorization: Bearer " +
                           Account.Keys.front() + "\r\nX-Deadline-Ms: " +
                           std::to_string(FLAGS_deadline_ms) +
                           "\r\nX-Request-Id: " + Id + "\r\n";
  std::vector<std::string> Parts{Head + "Content-Length: 8\r\n\r\n", "work",
                                 "done"};
  if (Random() % 2 == 0)
    Parts = {Head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nwork\r\n",
             "0\r\n\r\n"};
  if (Random() % 2 == 0)
    return {Parts[0] + Parts[1] + Parts[2]};
  return Parts;
}

std::string dataCentre(std::size_t Index) {
  return "lakes-" +
         std::to_string(Index % static_cast<std::size_t>(FLAGS_data_centres));
}

std::string delayOfBothWays(int Milliseconds) {
  const std::string Delay = std::to_string(Milliseconds);
  return "forward_delay_ms=" + Delay + "&backward_delay_ms=" + Delay;
}

/// What the requests of one caller have in common.
struct request_series {
  std::string Prefix; ///< Of the identifiers; a number follows.
  const store_account &Account;
  std::size_t Vm = 0;
  bool MayCrossClose = false;
};

class stops_run {
public:
  explicit stops_run(unsigned Seed) : Seed(Seed) {
    Fleet.NodeFlags = {
        "--shutdown_limit=" + std::to_string(FLAGS_shutdown_limit_ms) + "ms",
        "--address_ttl=" + std::to_string(FLAGS_address_ttl_ms) + "ms"};
    Fleet.writeConfiguration(1, Accounts);
    addTargets();
    addVms();
    for (const auto &Node : Fleet.Nodes)
      Fleet.awaitReady(*Node);
  }

  /// \returns whether all requests were answered and all stops were in time.
  bool run() {
    std::vector<std::jthread> Stoppers, Callers;
    for (std::size_t Vm = 0; Vm < Fleet.Nodes.size(); ++Vm) {
      const std::uint16_t Port = Fleet.Nodes[Vm]->Node.CallerPort;
      for (int Caller = 0; Caller < FLAGS_callers; ++Caller)
        Callers.emplace_back([=, this] {
          call(Port, Vm, static_cast<unsigned>(Vm * 1'000) + Caller);
        });
      Stoppers.emplace_back([this, Vm] { stopRepeatedly(Vm); });
    }
    std::jthread Outages([this](const std::stop_token &Stop) {
      while (FLAGS_platform_down_ms > 0 && !Stop.stop_requested())
        takePlatformDown();
    });
    Stoppers.clear();
    Outages = {};
    IsStopping = true;
    Callers.clear();
    return report();
  }

private:
  void addTargets() {
    const std::string Behaviour =
        "delay_ms=" + std::to_string(FLAGS_work_ms) +
        "&slow_percent=" + std::to_string(FLAGS_slow_percent) +
        "&slow_ms=" + std::to_string(FLAGS_slow_ms);
    for (std::size_t Index = 0; Index < static_cast<std::size_t>(FLAGS_targets);
         ++Index) {
      const store_target &Added = Fleet.addTarget(
          "hive-" + std::to_string(Index + 1), dataCentre(Index), FLAGS_slots);
      Added.Target.setBehaviour(Behaviour);
      Added.Proxy->setFaults(delayOfBothWays(FLAGS_target_delay_ms));
    }
  }

  void addVms() {
    Fleet.ProxiesPeers = FLAGS_peer_delay_ms > 0;
    for (std::size_t Index = 0; Index < static_cast<std::size_t>(FLAGS_vms);
         ++Index) {
      const store_node &Added =
          Fleet.addNode("vm-" + std::to_string(Index), dataCentre(Index));
      Added.Proxy->setFaults(delayOfBothWays(FLAGS_platform_delay_ms));
      if (Added.PeerProxy)
        Added.PeerProxy->setFaults(delayOfBothWays(FLAGS_peer_delay_ms));
    }
  }

  void takePlatformDown() const {
    for (const char *Faults : {"", "down=1"}) {
      Fleet.setPlatformFaults(Faults);
      std::this_thread::sleep_for(milliseconds(FLAGS_platform_down_ms));
    }
    Fleet.setPlatformFaults("");
  }

  void stopRepeatedly(std::size_t Vm) {
    std::mt19937 Random(Seed * 1'000 + static_cast<unsigned>(Vm));
    const auto End = steady_clock::now() + std::chrono::seconds(FLAGS_seconds);
    while (steady_clock::now() < End) {
      std::this_thread::sleep_for(
          milliseconds(drawBelow(Random, 2 * FLAGS_ms)));
      stop(Vm, Random);
      Fleet.restart(*Fleet.Nodes[Vm]);
      if (Random() % EarlyStopInterval != 0)
        Fleet.awaitReady(*Fleet.Nodes[Vm]);
    }
  }

  /// Stops a node as a platform does, which ends it at the limit.
  void stop(std::size_t Vm, std::mt19937 &Random) {
    const running_node &Stopped = Fleet.Nodes[Vm]->Node;
    process &Node = *Stopped.Process;
    std::vector<std::unique_ptr<http_connection>> Idle;
    for (int Index = 0; Index < FLAGS_idle_connections; ++Index)
      Idle.push_back(
          std::make_unique<http_connection>(Stopped.CallerPort, CallerAddress));
    const vm_stop Stop{.Vm = Vm, .SignalledAt = steady_clock::now()};
    const auto Limit = Stop.SignalledAt + milliseconds(FLAGS_shutdown_limit_ms);
    Node.signal(SIGTERM);
    ++Stops;
    std::vector<std::jthread> Senders;
    for (auto &Connection : Idle)
      Senders.emplace_back([this, &Connection, &Stop, SenderSeed = Random()] {
        sendFromIdle(*Connection, Stop, SenderSeed);
      });
    const bool Repeats =
        Random() % 100 < static_cast<unsigned>(FLAGS_repeat_percent);
    std::this_thread::sleep_for(milliseconds(Random() % 1'000));
    if (Repeats)
      Node.signal(SIGTERM);
    while (!Node.hasEnded() && steady_clock::now() < Limit)
      std::this_thread::sleep_for(ExitPollPeriod);
    const bool WasKilled = !Node.hasEnded();
    Killed += WasKilled ? 1 : 0;
    Node.signal(SIGKILL);
    Node.awaitExit();
    const auto GoneAt = steady_clock::now();
    Senders.clear();
    awaitCondition("the last line of a node", [&] { return Node.hasEnded(); });
    Records.addStop({.Vm = Vm,
                     .SignalledAt = Stop.SignalledAt,
                     .GoneAt = GoneAt,
                     .WasKilled = WasKilled},
                    Node.lines());
  }

  /// Sends requests on a connection that was idle when \p Stop began, until it
  /// is closed.
  void sendFromIdle(http_connection &Connection, const vm_stop &Stop,
                    std::mt19937::result_type SenderSeed) {
    std::mt19937 Random(static_cast<unsigned>(SenderSeed));
    const request_series Series{.Prefix = "idle-" +
                                          std::to_string(++IdleSenders) + "-",
                                .Account = accountOf(Random()),
                                .Vm = Stop.Vm,
                                .MayCrossClose = true};
    std::this_thread::sleep_until(Stop.SignalledAt + drawFirstDelay(Random));
    for (int Number = 0;; ++Number) {
      if (Connection.isConnected() && Connection.isClosedByPeer()) {
        ++ClosedWhileIdle;
        return;
      }
      if (!sendRequest(Connection, Series, Number, Random))
        return;
      std::this_thread::sleep_for(milliseconds(Random() % MaxRepeatMs));
    }
  }

  static milliseconds drawFirstDelay(std::mt19937 &Random) {
    const auto Limit = static_cast<unsigned>(FLAGS_shutdown_limit_ms);
    const unsigned Span =
        Random() % LateSenderInterval == 0 ? std::min(EndSpanMs, Limit) : Limit;
    return milliseconds(Limit - Random() % Span);
  }

  const store_account &accountOf(std::size_t Caller) const {
    return Accounts[Caller % Accounts.size()];
  }

  void call(std::uint16_t Port, std::size_t Vm, unsigned Caller) {
    std::mt19937 Random(Seed * 100'000 + Caller);
    const bool KeepsConnection = Caller % KeptCallerInterval == 0;
    const request_series Series{
        .Prefix = (KeepsConnection ? "kept-" : "fresh-") +
                  std::to_string(Caller) + "-",
        .Account = accountOf(Caller / KeptCallerInterval),
        .Vm = Vm};
    const milliseconds Interval(1'000 * FLAGS_callers / FLAGS_rate);
    std::unique_ptr<http_connection> Connection;
    for (int Number = 0; !IsStopping; ++Number) {
      const auto Next = steady_clock::now() + Interval;
      if (!Connection)
        Connection = std::make_unique<http_connection>(Port, CallerAddress);
      if (!sendRequest(*Connection, Series, Number, Random) || !KeepsConnection)
        Connection.reset();
      std::this_thread::sleep_until(Next);
    }
  }

  /// \returns whether the connection can be used again.
  bool sendRequest(http_connection &Connection, const request_series &Series,
                   int Number, std::mt19937 &Random) {
    if (!Connection.isConnected()) {
      ++Refused;
      return false;
    }
    const std::string Id = Series.Prefix + std::to_string(Number);
    sent_request Request{.Id = Id,
                         .Account = Series.Account.Name,
                         .Vm = Series.Vm,
                         .MayCrossClose = Series.MayCrossClose};
    for (const std::string &Part : makeRequest(Id, Series.Account, Random)) {
      if (!Connection.send(Part)) {
        ++CutWhileSending;
        return false;
      }
      Request.LastByteAt = steady_clock::now();
      std::this_thread::sleep_for(milliseconds(Random() % 3));
    }
    const client_response Response = Connection.receive();
    Request.EndedAt = steady_clock::now();
    Request.Status = Response.Status;
    Request.Error = Response.Error;
    Records.addRequest(std::move(Request));
    if (Response.Status == 0) {
      ++Unanswered;
      return false;
    }
    ++Answered;
    const auto Field = Response.Fields.find("connection");
    return Field == Response.Fields.end() || Field->second != "close";
  }

  bool report() {
    std::set<std::string> Executed;
    for (const auto &Target : Fleet.Targets)
      for (const execution_record &Each :
           parseExecutions(Target->Target.executions()))
        Executed.insert(Each.RequestId);
    const bool IsClean = Records.report(Executed);
    std::cout << "seed " << Seed << ": " << Stops << " stops, " << Killed
              << " killed at the limit; requests: " << Answered << " answered, "
              << Refused << " refused at connect, " << CutWhileSending
              << " cut while sending, " << ClosedWhileIdle
              << " not sent on a closed connection, " << Unanswered
              << " unanswered; " << (IsClean ? "passed" : "FAILED")
              << std::endl;
    return IsClean;
  }

  unsigned Seed;
  const std::vector<store_account> Accounts = accounts();
  store_fleet Fleet;
  stop_records Records;
  std::atomic<int> Stops, Killed, Answered, Refused, CutWhileSending,
      ClosedWhileIdle, Unanswered, IdleSenders;
  std::atomic<bool> IsStopping{false};
};

} // namespace

} // namespace peridot::test

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  int Failed = 0;
  for (int Run = 0; Run < FLAGS_seeds; ++Run) {
    const auto Seed = static_cast<unsigned>(FLAGS_first_seed + Run);
    Failed += peridot::test::stops_run(Seed).run() ? 0 : 1;
  }
  std::cout << FLAGS_seeds - Failed << " passed, " << Failed << " failed"
            << std::endl;
  return Failed == 0 ? 0 : 1;
}
