#include <algorithm>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "support/caller_fixture.h"
#include "support/store_fleet.h"

using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

using std::chrono::steady_clock;

/// The listener of the callers closes this long after the stop began.
constexpr std::chrono::milliseconds AddressLifetime{300};
/// Maximum time from the signal to the exit.
constexpr std::chrono::seconds ShutdownLimit{4};
/// Connections in the backlog of a listener.
constexpr std::size_t QueuedConnections = 16;

std::string post(const std::string &Path) {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: fleet\r\nContent-Length: 4\r\n\r\nwork";
}

/// Requests that were sent whole, each on a connection of its own.
class request_queue {
public:
  void fill(std::uint16_t Port, std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      auto Caller = std::make_unique<http_connection>(Port);
      if (Caller->isConnected() && Caller->send(post("/once")))
        Callers.push_back(std::move(Caller));
    }
  }
  /// Each caller closes its connection after its response.
  void checkAllAnswered() {
    for (auto &Caller : Callers) {
      const client_response Response = Caller->receive();
      INFO(Response.Error);
      CHECK(Response.Status != 0);
      Caller.reset();
    }
    Callers.clear();
  }

private:
  std::vector<std::unique_ptr<http_connection>> Callers;
};

struct planned_stop_fixture : caller_fixture {
  planned_stop_fixture() : caller_fixture(nodeFlags()) {}

  static std::vector<std::string> nodeFlags() {
    return {"--address_ttl=" + std::to_string(AddressLifetime.count()) + "ms",
            "--shutdown_limit=" + std::to_string(ShutdownLimit.count()) + "s"};
  }
  void restartNode() {
    Nodes.clear();
    addNode("vm-1", "lakes-a", nodeFlags());
    awaitReady(*Nodes.front());
  }
  process &node() const { return *Nodes[0]->Process; }
  void beginStop() {
    StopSentAt = steady_clock::now();
    node().signal(SIGTERM);
    node().awaitLine("shutdown-started");
  }
  steady_clock::duration sinceStop() const {
    return steady_clock::now() - StopSentAt;
  }
  void sleepUntilListenerClosed() const {
    std::this_thread::sleep_until(StopSentAt + 2 * AddressLifetime);
  }
  request_queue Requests;
  steady_clock::time_point StopSentAt;
};

/// VMs whose shutdown limit is 2 s, so that they end 1.9 s after SIGTERM and
/// close idle connections 1.8 s after it, and an account with a limit.
struct keyed_stop_fixture : store_fleet {
  /// A request that is sent then is read before idle connections are closed,
  /// and waits beyond the end of the process.
  static constexpr std::chrono::milliseconds LastSendTime{1'650};
  static constexpr const char *LastRequest = "last-request";

  keyed_stop_fixture() {
    NodeFlags = {"--shutdown_limit=2s"};
    writeConfiguration(1, {{"keepers", {"keeper-key"}, 1'000, 1'000}});
    addTarget("hive-1", "lakes-a");
    addVm("vm-1");
  }

  void addVm(const std::string &Name) { awaitReady(addNode(Name, "lakes-a")); }
  process &node(std::size_t Index) const { return *Nodes[Index]->Node.Process; }
  /// Opens the connection of the last request and waits for a response of this
  /// status on it.
  void awaitStatus(unsigned Status) {
    Kept = std::make_unique<http_connection>(Nodes.front()->Node.CallerPort);
    awaitCondition("status " + std::to_string(Status), [&] {
      return callWithKey(*Kept, "/dispatch/1", "keeper-key",
                         "first-" + std::to_string(++FirstRequests))
                 .Status == Status;
    });
  }
  /// Stops the first VM and sends it the last request shortly before its end.
  client_response callBeforeEnd() {
    const auto StopSentAt = steady_clock::now();
    node(0).signal(SIGTERM);
    std::this_thread::sleep_until(StopSentAt + LastSendTime);
    return callWithKey(*Kept, "/dispatch/1", "keeper-key", LastRequest);
  }
  /// Waits for the end of the first VM's process.
  void checkRefusedAsNotRun(const client_response &Response) const {
    CHECK(node(0).awaitExit() == 0);
    INFO(Response.Error);
    INFO(lastRequestLines());
    CHECK((Response.Status == 503 || Response.Status == 429));
    CHECK(Targets.front()->Target.executions().find(LastRequest) ==
          std::string::npos);
  }
  /// Log lines of the first VM about the last request.
  std::string lastRequestLines() const {
    awaitCondition("the last line of a node",
                   [this] { return node(0).hasEnded(); });
    std::string Found;
    for (const std::string &Line : node(0).lines())
      if (Line.find(LastRequest) != std::string::npos)
        Found += Line + '\n';
    return Found;
  }

  std::unique_ptr<http_connection> Kept;
  int FirstRequests = 0;
};

} // namespace

// Guards against requests that are reset in the backlog because the process
// counts no open connections before its traffic thread has accepted them.
TEST_CASE_FIXTURE(planned_stop_fixture,
                  "node_backlogWhenListenerCloses_allRequestsAnswered") {
  // Which thread runs first after SIGCONT is up to the system.
  constexpr int Rounds = 8;
  for (int Round = 0; Round < Rounds; ++Round) {
    restartNode();
    beginStop();
    node().signal(SIGSTOP);
    Requests.fill(port(), QueuedConnections);
    sleepUntilListenerClosed();
    node().signal(SIGCONT);
    Requests.checkAllAnswered();
    CHECK(node().awaitExit() == 0);
  }
}

// Guards against the same in a process that is stopped while it waits for its
// first configuration and has accepted no connection yet.
TEST_CASE("node_stoppedWhileStarting_allRequestsAnswered") {
  constexpr std::size_t QueuedConnections = 64;
  store_fleet Fleet;
  Fleet.setPlatformFaults("down=1");
  const running_node &Node = Fleet.addNode("vm-1", "lakes-a").Node;
  request_queue Queue;
  Queue.fill(Node.CallerPort, QueuedConnections);
  Node.Process->signal(SIGTERM);
  Queue.checkAllAnswered();
  CHECK(Node.Process->awaitExit() == 0);
}

// Guards against a backlog that is reset because one accept fails while the
// listener closes.
TEST_CASE_FIXTURE(planned_stop_fixture,
                  "node_noFileLeftWhenListenerCloses_backlogServedLater") {
  constexpr std::size_t SpareFiles = 4;
  node().limitOpenFiles(SpareFiles);
  std::vector<std::unique_ptr<http_connection>> Holders;
  for (std::size_t Index = 0; Index < SpareFiles; ++Index) {
    Holders.push_back(std::make_unique<http_connection>(port()));
    Holders.back()->call({.Path = "/unknown"});
  }
  Requests.fill(port(), QueuedConnections);
  beginStop();
  sleepUntilListenerClosed();
  Holders.clear();
  Requests.checkAllAnswered();
  CHECK(node().awaitExit() == 0);
}

// Guards against requests that are cut off by a supervisor that repeats its
// SIGTERM.
TEST_CASE_FIXTURE(planned_stop_fixture,
                  "node_repeatedSigterm_runningRequestsAnswered") {
  target().setBehaviour("delay_ms=1500");
  http_connection Caller(port());
  Caller.send(post("/once"));
  awaitCondition("the target to execute the request",
                 [&] { return target().executions() != "[]"; });
  beginStop();
  node().signal(SIGTERM);
  node().signal(SIGTERM);
  CHECK(Caller.receive().Status == 200);
  CHECK(node().awaitExit() == 0);
}

// Guards against an operator who can no longer end a process that is stopping.
TEST_CASE_FIXTURE(caller_fixture, "node_sigintWhileStopping_endsAtOnce") {
  http_connection Idle(port());
  Idle.call({.Path = "/hive"});
  process &Node = *Nodes[0]->Process;
  Node.signal(SIGTERM);
  Node.awaitLine("shutdown-started");
  const auto Began = steady_clock::now();
  Node.signal(SIGINT);
  Node.awaitExit();
  // The shutdown limit is 60 s.
  CHECK(steady_clock::now() - Began < 10s);
}

// Guards against processes that are still there when the platform kills them,
// because callers keep their connections open.
TEST_CASE_FIXTURE(planned_stop_fixture,
                  "node_idleConnections_closedBeforeLimit") {
  http_connection Served(port());
  REQUIRE(Served.call({.Path = "/hive"}).Status == 200);
  const http_connection Unused(port());
  beginStop();
  CHECK(Served.receive().Error == "end of stream");
  CHECK(sinceStop() < ShutdownLimit);
  CHECK(node().awaitExit() == 0);
  CHECK(sinceStop() < ShutdownLimit);
}

// Guards against requests that wait for a slot until the process ends, which
// cuts them off without an answer.
TEST_CASE_FIXTURE(planned_stop_fixture,
                  "node_requestsQueuedAtLimit_refusedAsNotRun") {
  // A target has this many slots by default.
  constexpr std::size_t RunningRequests = 3;
  target().setBehaviour("delay_ms=8000");
  std::vector<std::unique_ptr<http_connection>> Running;
  for (std::size_t Index = 0; Index < RunningRequests; ++Index) {
    Running.push_back(std::make_unique<http_connection>(port()));
    Running.back()->send(post("/once"));
  }
  awaitCondition("the requests to occupy all slots", [&] {
    return std::ranges::count(target().executions(), '{') == RunningRequests;
  });
  http_connection Queued(port());
  Queued.send(post("/once"));
  beginStop();
  const client_response Response = Queued.receive();
  INFO(Response.Error);
  CHECK(Response.Status == 503);
  CHECK(node().awaitExit() == 0);
}

// Guards against requests that wait for a share of their account's limit until
// the process ends, which cuts them off without an answer.
TEST_CASE_FIXTURE(keyed_stop_fixture,
                  "node_requestWaitsForShareAtLimit_refusedAsNotRun") {
  addVm("vm-2");
  awaitStatus(200);
  // The VM that could grant a share answers no more.
  node(1).signal(SIGSTOP);
  checkRefusedAsNotRun(callBeforeEnd());
}

// Guards against the same when the VM that could grant a share still runs.
TEST_CASE_FIXTURE(keyed_stop_fixture,
                  "node_requestWithoutShareAtLimit_refusedAsNotRun") {
  addVm("vm-2");
  awaitStatus(200);
  checkRefusedAsNotRun(callBeforeEnd());
}

// Guards against requests that wait for a confirmation of their key until the
// process ends, which cuts them off without an answer.
TEST_CASE_FIXTURE(keyed_stop_fixture,
                  "node_requestWaitsForConfirmationAtLimit_refusedAsNotRun") {
  awaitStatus(200);
  setPlatformFaults("down=1");
  awaitStatus(503);
  checkRefusedAsNotRun(callBeforeEnd());
}
