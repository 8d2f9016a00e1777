#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "support/caller_fixture.h"
#include "support/faulty_target_fixture.h"
#include "support/full_listener.h"
#include "support/scripted_target.h"
#include "support/store_fleet.h"

using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

using std::chrono::steady_clock;

/// Maximum time from the signal to the exit.
constexpr std::chrono::milliseconds ShutdownLimit{4'000};
/// A target has this many slots by default.
constexpr std::size_t TargetSlots = 3;
/// Requests that wait for a slot.
constexpr std::size_t QueuedRequests = 3;
/// Longer than a target may work before the process ends.
constexpr const char *WorkBeyondLimit = "delay_ms=8000";

std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: fleet\r\n\r\n";
}

std::string post(const std::string &Path) {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: fleet\r\nContent-Length: 4\r\n\r\nwork";
}

std::string longPost(const std::string &Path, std::size_t BodyBytes) {
  return "POST " + Path + " HTTP/1.1\r\nHost: fleet\r\nContent-Length: " +
         std::to_string(BodyBytes) + "\r\n\r\n" + std::string(BodyBytes, 'a');
}

/// Whether the response leaves open if the request ran.
bool isUnknownOutcome(const client_response &Response) {
  return Response.Status == 502 || Response.Status == 504;
}

/// Callers with one request each.
class caller_group {
public:
  void send(std::uint16_t Port, std::size_t Count, const std::string &Bytes) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Callers.push_back(std::make_unique<http_connection>(Port));
      REQUIRE(Callers.back()->send(Bytes));
    }
  }
  /// Each caller closes its connection after its response.
  void checkAllAnswered() {
    for (const client_response &Response : receiveAll()) {
      INFO(Response.Error);
      CHECK(Response.Status != 0);
    }
  }
  void checkAllServed() {
    for (const client_response &Response : receiveAll()) {
      INFO(Response.Error);
      CHECK(Response.Status == 200);
    }
  }

private:
  std::vector<client_response> receiveAll() {
    std::vector<client_response> Responses;
    for (auto &Caller : Callers) {
      Responses.push_back(Caller->receive());
      Caller.reset();
    }
    Callers.clear();
    return Responses;
  }

  std::vector<std::unique_ptr<http_connection>> Callers;
};

std::size_t countLines(const process &Node, const std::string &Text) {
  return static_cast<std::size_t>(
      std::ranges::count_if(Node.lines(), [&](const std::string &Line) {
        return Line.find(Text) != std::string::npos;
      }));
}

struct session_end_fixture : caller_fixture {
  explicit session_end_fixture(
      const std::vector<std::string> &NodeFlags =
          {"--address_ttl=300ms",
           "--shutdown_limit=" + std::to_string(ShutdownLimit.count()) + "ms"})
      : caller_fixture(NodeFlags) {}

  process &node() const { return *Nodes[0]->Process; }
  std::size_t executionCount() const {
    return static_cast<std::size_t>(
        std::ranges::count(target().executions(), '{'));
  }
  void awaitExecutions(std::size_t Count) const {
    awaitCondition("the target to execute the requests",
                   [&] { return executionCount() == Count; });
  }
  void beginStop() {
    StopSentAt = steady_clock::now();
    node().signal(SIGTERM);
    node().awaitLine("shutdown-started");
  }
  steady_clock::duration sinceStop() const {
    return steady_clock::now() - StopSentAt;
  }
  /// Waits until the process has ended and all its lines were read.
  void awaitEnd() const {
    CHECK(node().awaitExit() == 0);
    awaitCondition("the end of the output", [&] { return node().hasEnded(); });
  }
  /// Checks that the process ended by itself and cut off no request.
  void checkEndedInOrder() {
    awaitEnd();
    CHECK(sinceStop() < ShutdownLimit);
    CHECK(countLines(node(), "request-unanswered") == 0);
  }
  /// Occupies all slots, so that further requests have to wait.
  void occupySlots(const std::string &Behaviour) {
    target().setBehaviour(Behaviour);
    Running.send(port(), TargetSlots, post("/once"));
    awaitExecutions(TargetSlots);
  }

  caller_group Running;
  caller_group Queued;
  steady_clock::time_point StopSentAt;
};

} // namespace

// Guards against a caller whose request is at a target when the process ends,
// and whose connection is closed without a response.
TEST_CASE_FIXTURE(session_end_fixture,
                  "node_requestAtTargetAtLimit_unknownOutcomeBeforeEnd") {
  target().setBehaviour(WorkBeyondLimit);
  http_connection Caller(port());
  Caller.send(post("/once"));
  awaitExecutions(1);
  beginStop();
  const client_response Response = Caller.receive();
  INFO(Response.Error);
  CHECK(isUnknownOutcome(Response));
  checkEndedInOrder();
  CHECK(countLines(node(), "request-refused") == 1);
}

// Guards against the same for a request that may be repeated.
TEST_CASE_FIXTURE(session_end_fixture,
                  "node_repeatableAtTargetAtLimit_unknownOutcomeBeforeEnd") {
  target().setBehaviour(WorkBeyondLimit);
  http_connection Caller(port());
  Caller.send(get("/hive"));
  awaitExecutions(1);
  beginStop();
  const client_response Response = Caller.receive();
  INFO(Response.Error);
  CHECK(isUnknownOutcome(Response));
  checkEndedInOrder();
  CHECK(countLines(node(), "request-refused") == 1);
}

// Guards against a caller that is still sending its body when the process ends,
// and whose connection is closed without a response.
TEST_CASE_FIXTURE(session_end_fixture,
                  "node_uploadStalledAtLimit_refusedBeforeEnd") {
  http_connection Caller(port());
  Caller.send("POST /once HTTP/1.1\r\nHost: fleet\r\nContent-Length: 9\r\n\r\n"
              "half");
  // The next request of the same thread is served after the head was read.
  REQUIRE(httpCall(port(), {.Path = "/hive"}).Status == 200);
  beginStop();
  const client_response Response = Caller.receive();
  INFO(Response.Error);
  CHECK((Response.Status == 503 || Response.Status == 408));
  checkEndedInOrder();
}

// Guards against the same while the body is passed on to a target.
TEST_CASE_FIXTURE(session_end_fixture,
                  "node_longUploadStalledAtLimit_unknownOutcomeBeforeEnd") {
  // More than is buffered before a target is chosen.
  constexpr std::size_t SentBytes = 100'000;
  http_connection Caller(port());
  Caller.send("POST /once HTTP/1.1\r\nHost: fleet\r\n"
              "Content-Length: 1000000\r\n\r\n" +
              std::string(SentBytes, 'a'));
  REQUIRE(httpCall(port(), {.Path = "/hive"}).Status == 200);
  beginStop();
  const client_response Response = Caller.receive();
  INFO(Response.Error);
  CHECK(isUnknownOutcome(Response));
  checkEndedInOrder();
}

namespace {

/// Adds the route /raw, whose only target is scripted.
struct scripted_stop_fixture : session_end_fixture {
  void addScriptedTarget(scripted_target::script Script) {
    Scripted = std::make_unique<scripted_target>(std::move(Script));
    std::ofstream(folder() + "/services/raw.toml")
        << "service = \"raw\"\n[[route]]\npath = \"/raw\"\nopen = true\n"
           "[[target]]\nname = \"raw-1\"\ndata_center = \"lakes-a\"\n"
           "address = \"127.0.0.1\"\nport = "
        << Scripted->port() << "\n";
    publish("scripted target");
    awaitRevision(2);
    awaitCondition("the route /raw in the traffic thread", [&] {
      return httpCall(port(), {.Method = "OPTIONS", .Path = "/raw"}).Status !=
             404;
    });
  }

  std::unique_ptr<scripted_target> Scripted;
};

} // namespace

// Guards against a response that is lost because the connection is reset with
// the rest of the body, which the target did not take.
TEST_CASE_FIXTURE(scripted_stop_fixture,
                  "node_uploadToSilentTargetAtLimit_unknownOutcomeNotReset") {
  constexpr std::size_t BodyBytes = 4'000'000;
  std::promise<void> IsHeadReceived, IsDone;
  const std::shared_future<void> Done = IsDone.get_future().share();
  addScriptedTarget([&, Done](scripted_connection &Connection) {
    if (!Connection.readUntil("\r\n\r\n") ||
        !Connection.received().starts_with("POST"))
      return;
    IsHeadReceived.set_value();
    Done.wait();
  });
  http_connection Caller(port());
  std::future<bool> Upload = std::async(std::launch::async, [&] {
    return Caller.send(longPost("/raw", BodyBytes));
  });
  REQUIRE(IsHeadReceived.get_future().wait_for(10s) ==
          std::future_status::ready);
  beginStop();
  CHECK(Upload.get());
  const client_response Response = Caller.receive();
  INFO(Response.Error);
  CHECK(isUnknownOutcome(Response));
  checkEndedInOrder();
  IsDone.set_value();
}

namespace {

/// The time in which waits are ended is shorter than the interval of the checks
/// for it.
struct short_limit_fixture : session_end_fixture {
  short_limit_fixture()
      : session_end_fixture({"--address_ttl=300ms", "--shutdown_limit=400ms"}) {
  }
};

} // namespace

// Guards against requests that wait for a slot until the process ends, because
// the drain passes over the time in which such waits are ended.
TEST_CASE_FIXTURE(short_limit_fixture,
                  "node_requestQueuedAtShortLimit_refusedAsNotRun") {
  occupySlots(WorkBeyondLimit);
  http_connection Waiting(port());
  Waiting.send(post("/once"));
  REQUIRE(httpCall(port(), {.Path = "/nowhere"}).Status == 404);
  beginStop();
  const client_response Response = Waiting.receive();
  INFO(Response.Error);
  CHECK(Response.Status == 503);
  awaitEnd();
}

namespace {

/// Requests wait while the process stands still from before the time in which
/// waits are ended until after its own end.
struct stood_still_fixture : session_end_fixture {
  void standStillAcrossLimit() {
    std::this_thread::sleep_until(StopSentAt + ShutdownLimit * 7 / 8);
    node().signal(SIGSTOP);
  }
  void goOnBeforeKill() {
    std::this_thread::sleep_until(StopSentAt + ShutdownLimit * 31 / 32);
    node().signal(SIGCONT);
  }
};

} // namespace

// Guards against the same in a process that gets no processor for a while.
TEST_CASE_FIXTURE(stood_still_fixture,
                  "node_requestQueuedStoodStillAcrossLimit_refusedAsNotRun") {
  occupySlots(WorkBeyondLimit);
  http_connection Waiting(port());
  Waiting.send(post("/once"));
  REQUIRE(httpCall(port(), {.Path = "/nowhere"}).Status == 404);
  beginStop();
  standStillAcrossLimit();
  goOnBeforeKill();
  const client_response Response = Waiting.receive();
  INFO(Response.Error);
  CHECK(Response.Status == 503);
  awaitEnd();
}

// Guards against requests that arrive in that time on kept connections, are
// read when the process goes on, and are cut off at once.
TEST_CASE_FIXTURE(stood_still_fixture,
                  "node_requestsWhileStoodStillAcrossLimit_noneReadThenCut") {
  constexpr std::size_t KeptConnections = 32;
  std::vector<std::unique_ptr<http_connection>> Kept;
  for (std::size_t Index = 0; Index < KeptConnections; ++Index) {
    Kept.push_back(std::make_unique<http_connection>(port()));
    REQUIRE(Kept.back()->call({.Path = "/nowhere"}).Status == 404);
  }
  beginStop();
  standStillAcrossLimit();
  for (const auto &Caller : Kept)
    Caller->send(post("/once"));
  goOnBeforeKill();
  std::size_t Answered = 0;
  for (const auto &Caller : Kept)
    Answered += Caller->receive().Status != 0 ? 1 : 0;
  awaitEnd();
  INFO(Answered << " answered");
  CHECK(countLines(node(), "request-unanswered") == 0);
}

// Guards against an interim response that is taken for the response: the caller
// would wait for the final one until its connection is closed.
TEST_CASE_FIXTURE(faulty_target_fixture,
                  "node_earlyHintsFromTarget_finalResponseForwarded") {
  addScriptedTarget([](scripted_connection &Connection) {
    const std::string Id = attemptIdOf(Connection);
    Connection.send("HTTP/1.1 103 Early Hints\r\nPeridot-Attempt-Id: " + Id +
                    "\r\nLink: </style.css>\r\n\r\n" +
                    response("200 OK", Id, "queen"));
    Connection.readToEnd();
  });
  const std::string Response =
      sendRaw("GET /raw HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n");
  INFO(Response);
  CHECK(Response.find("HTTP/1.1 200 OK") != Response.npos);
  CHECK(Response.ends_with("queen"));
}

namespace {

/// A node with any number of traffic threads, each with its own listener.
struct several_threads_fixture : session_end_fixture {
  static constexpr std::size_t QueuedConnections = 64;
  static constexpr auto AddressLifetime = 300ms;

  void startNode(int Threads) {
    Nodes.clear();
    addNode("vm-1", "lakes-a",
            {"--address_ttl=300ms", "--shutdown_limit=4s",
             "--traffic_threads=" + std::to_string(Threads)});
    awaitReady(*Nodes.front());
  }
};

} // namespace

// Guards against a process that ends by a signal of the system, because idle
// connections to targets are destroyed after the event loop that they use.
TEST_CASE_FIXTURE(several_threads_fixture,
                  "node_idleTargetConnectionsAtEnd_endsInOrder") {
  // Not every use after the loop is destroyed ends the process.
  for (const int Threads : {1, 2, 4, 1, 2, 4}) {
    startNode(Threads);
    Running.send(port(), QueuedConnections, post("/once"));
    Running.checkAllAnswered();
    beginStop();
    checkEndedInOrder();
  }
}

// Guards against a process that ends because one of its traffic threads has no
// connection, while another has not accepted its backlog yet.
TEST_CASE_FIXTURE(
    several_threads_fixture,
    "node_backlogsOfThreadsWhenListenersClose_allRequestsAnswered") {
  for (const int Threads : {2, 4, 2, 4}) {
    startNode(Threads);
    beginStop();
    node().signal(SIGSTOP);
    Queued.send(port(), QueuedConnections, post("/once"));
    std::this_thread::sleep_until(StopSentAt + 2 * AddressLifetime);
    node().signal(SIGCONT);
    Queued.checkAllAnswered();
    checkEndedInOrder();
  }
}

// Guards against a process that ends while one of its threads has no connection
// and another serves requests.
TEST_CASE_FIXTURE(several_threads_fixture,
                  "node_severalThreadsStoppedDuringRequests_allAnswered") {
  constexpr std::size_t RunningRequests = 3;
  for (const int Threads : {2, 4}) {
    startNode(Threads);
    target().setBehaviour("delay_ms=1500");
    Running.send(port(), RunningRequests, post("/once"));
    awaitCondition("the target to execute the requests", [&] {
      return executionCount() % RunningRequests == 0 && executionCount() > 0;
    });
    beginStop();
    Running.checkAllAnswered();
    checkEndedInOrder();
  }
}

// Guards against the same while threads that wait for the first configuration
// have accepted no connection yet.
TEST_CASE("node_severalThreadsStoppedWhileStarting_allRequestsAnswered") {
  constexpr std::size_t QueuedConnections = 64;
  store_fleet Fleet;
  store_node &Node = Fleet.addNode("vm-1", "lakes-a");
  Fleet.setPlatformFaults("down=1");
  Node.TrafficThreads = 4;
  Fleet.restart(Node);
  caller_group Queue;
  Queue.send(Node.Node.CallerPort, QueuedConnections, post("/dispatch/1"));
  Node.Node.Process->signal(SIGTERM);
  Queue.checkAllAnswered();
  CHECK(Node.Node.Process->awaitExit() == 0);
}

// Guards against a long body of a refused request that resets the connection
// before the caller has read the refusal.
TEST_CASE_FIXTURE(session_end_fixture,
                  "node_longBodyQueuedAtLimit_refusalNotReset") {
  constexpr std::size_t BodyBytes = 6'000'000;
  occupySlots(WorkBeyondLimit);
  http_connection Waiting(port());
  const std::string Request = longPost("/once", BodyBytes);
  constexpr std::size_t FirstBytes = 1'000;
  Waiting.send(Request.substr(0, FirstBytes));
  REQUIRE(httpCall(port(), {.Path = "/nowhere"}).Status == 404);
  std::future<bool> Upload = std::async(std::launch::async, [&] {
    return Waiting.send(Request.substr(FirstBytes));
  });
  beginStop();
  CHECK(Upload.get());
  const client_response Response = Waiting.receive();
  INFO(Response.Error);
  CHECK(Response.Status == 503);
  awaitEnd();
}

namespace {

/// One node with a settings file.
struct reload_fixture : session_end_fixture {
  reload_fixture() {
    write("--shutdown_limit=4s\n--address_ttl=300ms\n");
    Nodes.clear();
    addNode("vm-1", "lakes-a", {"--flagfile=" + path()});
    awaitReady(*Nodes.front());
  }

  std::string path() const { return folder() + "/settings.flags"; }
  void write(const std::string &Content) const {
    std::ofstream(path()) << Content;
  }
  void reload(const std::string &Content) {
    write(Content);
    node().signal(SIGHUP);
    node().awaitLine("settings-reloaded");
  }
};

} // namespace

// Guards against requests that lose their slot, their place in a queue or their
// retry budget when the settings change.
TEST_CASE_FIXTURE(reload_fixture,
                  "node_settingsReloadedWhileRequestsWait_allServed") {
  occupySlots("delay_ms=1000");
  Queued.send(port(), QueuedRequests, post("/once"));
  reload("--shutdown_limit=2s\n--address_ttl=200ms\n--retry_ratio=0.5\n");
  Running.checkAllServed();
  Queued.checkAllServed();
}

// Guards against a limit that changes while the process stops.
TEST_CASE_FIXTURE(reload_fixture,
                  "node_settingsReloadedWhileStopping_allAnswered") {
  occupySlots("delay_ms=1000");
  Queued.send(port(), QueuedRequests, post("/once"));
  beginStop();
  write("--shutdown_limit=0ms\n");
  node().signal(SIGHUP);
  Running.checkAllServed();
  Queued.checkAllAnswered();
  checkEndedInOrder();
}

// Guards against requests that wait or run under a configuration whose route,
// service and account are gone.
TEST_CASE_FIXTURE(session_end_fixture,
                  "node_serviceRemovedWhileRequestsWait_allAnswered") {
  occupySlots("delay_ms=1000");
  Queued.send(port(), QueuedRequests,
              "POST /keyed HTTP/1.1\r\nHost: fleet\r\nPeridot-Key: secret\r\n"
              "Content-Length: 4\r\n\r\nwork");
  std::filesystem::remove(folder() + "/services/hive.toml");
  writeServiceFile("other", "[[route]]\npath = \"/other\"\nopen = true\n");
  const finished_program Published = publish("without hive");
  INFO(Published.Output);
  REQUIRE(Published.ExitCode == 0);
  awaitRevision(2);
  Running.checkAllAnswered();
  Queued.checkAllAnswered();
}

namespace {

/// One node of a store fleet whose only target is busy.
struct busy_store_fixture : store_fleet {
  static constexpr std::size_t StoreTargetSlots = 8;

  busy_store_fixture() {
    writeConfiguration(1, {keepers()}, "/extra/");
    addTarget("hive-1", "lakes-a").Target.setBehaviour("delay_ms=1000");
    awaitReady(addNode("vm-1", "lakes-a"));
  }
  static store_account keepers() {
    return {.Name = "keepers",
            .Keys = {"keeper-key"},
            .RequestsPerSecond = 1'000,
            .Burst = 1'000};
  }
  static std::string keyed(const std::string &Path) {
    return "POST " + Path +
           " HTTP/1.1\r\nHost: fleet\r\nAuthorization: Bearer keeper-key\r\n"
           "X-Request-Id: r-1\r\nContent-Length: 4\r\n\r\nwork";
  }
  running_node &node() const { return Nodes.front()->Node; }

  caller_group Running;
  caller_group Queued;
};

} // namespace

// Guards against the same at a VM that reads its configuration from a store,
// and against requests at a target whose entry is removed.
TEST_CASE_FIXTURE(
    busy_store_fixture,
    "node_routeAccountAndTargetRemovedWhileRequestsWait_allAnswered") {
  Running.send(node().CallerPort, StoreTargetSlots, keyed("/dispatch/1"));
  awaitCondition("the requests to occupy all slots", [&] {
    return std::ranges::count(Targets.front()->Target.executions(), '{') ==
           StoreTargetSlots;
  });
  Queued.send(node().CallerPort, QueuedRequests, keyed("/extra/1"));
  removeTarget(*Targets.front());
  writeConfiguration(2, {});
  Running.checkAllServed();
  Queued.checkAllAnswered();
  CHECK(countLines(*node().Process, "request-unanswered") == 0);
}

namespace {

/// Adds the route /again, which may be repeated and has two scripted targets;
/// the script is given the number of requests before.
struct scripted_pair_fixture : session_end_fixture {
  using numbered_script =
      std::function<void(scripted_connection &Connection, unsigned Number)>;

  void addScriptedTargets(numbered_script Script) {
    Scripted = std::make_unique<scripted_target>(
        [this, Run = std::move(Script)](scripted_connection &Connection) {
          if (!Connection.readUntil("\r\n\r\n"))
            return;
          if (Connection.received().starts_with("OPTIONS"))
            Connection.send("HTTP/1.1 204 No Content\r\n"
                            "Connection: close\r\n\r\n");
          else
            Run(Connection, Requests++);
        });
    publishTargets({Scripted->port(), Scripted->port()});
  }
  void publishTargets(const std::vector<std::uint16_t> &Ports) {
    std::ofstream File(folder() + "/services/again.toml");
    File << "service = \"again\"\n[[route]]\npath = \"/again\"\n"
            "open = true\nrepeatable = true\n";
    unsigned Number = 0;
    for (const std::uint16_t Port : Ports)
      File << "[[target]]\nname = \"again-" << ++Number
           << "\"\ndata_center = \"lakes-a\"\naddress = \"127.0.0.1\"\n"
              "port = "
           << Port << "\n";
    File.close();
    publish("scripted targets");
    awaitRevision(2);
    awaitCondition("the route /again in the traffic thread", [&] {
      return httpCall(port(), {.Method = "OPTIONS", .Path = "/again"}).Status !=
             404;
    });
  }
  void awaitRequests(unsigned Count) const {
    awaitCondition("the requests at the targets",
                   [&] { return Requests.load() >= Count; });
  }

  std::atomic<unsigned> Requests = 0;
  std::unique_ptr<scripted_target> Scripted;
};

/// A response whose first chunk has not been received.
constexpr const char *HeadAndPartOfChunkSize =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5";

} // namespace

// Guards against a request that is not told of the end because an earlier
// attempt had received the beginning of a response, of which the caller got
// nothing.
TEST_CASE_FIXTURE(scripted_pair_fixture,
                  "node_secondAttemptAfterBrokenResponseAtLimit_answered") {
  addScriptedTargets([](scripted_connection &Connection, unsigned Number) {
    if (Number == 0)
      Connection.send(HeadAndPartOfChunkSize);
    else
      Connection.readToEnd();
  });
  http_connection Caller(port());
  Caller.send(get("/again"));
  awaitRequests(2);
  beginStop();
  const client_response Response = Caller.receive();
  INFO(Response.Error);
  CHECK(isUnknownOutcome(Response));
  checkEndedInOrder();
}

// Guards against a request that is cut off without an answer though its caller
// has got no byte of the response.
TEST_CASE_FIXTURE(scripted_pair_fixture,
                  "node_responseBegunNoneOfItSentAtLimit_answered") {
  addScriptedTargets([](scripted_connection &Connection, unsigned) {
    Connection.send(HeadAndPartOfChunkSize);
    Connection.readToEnd();
  });
  http_connection Caller(port());
  Caller.send(get("/again"));
  awaitRequests(1);
  beginStop();
  const client_response Response = Caller.receive();
  INFO(Response.Error);
  CHECK(isUnknownOutcome(Response));
  checkEndedInOrder();
}

// Guards against a request that is not told of the end while it connects to a
// target, and is cut off without an answer.
TEST_CASE_FIXTURE(scripted_pair_fixture,
                  "node_connectingAtLimit_refusedBeforeEnd") {
  constexpr std::size_t Callers = 8;
  // Less than the time for a connect before the end.
  constexpr auto ShedAfter = ShutdownLimit - 430ms;
  full_listener Full;
  std::promise<steady_clock::time_point> Begun;
  const std::shared_future<steady_clock::time_point> Stop =
      Begun.get_future().share();
  Scripted = std::make_unique<scripted_target>(
      [this, Stop, ShedAfter](scripted_connection &Connection) {
        if (!Connection.readUntil("\r\n\r\n"))
          return;
        if (Connection.received().starts_with("OPTIONS")) {
          Connection.send("HTTP/1.1 204 No Content\r\n"
                          "Connection: close\r\n\r\n");
          return;
        }
        ++Requests;
        std::this_thread::sleep_until(Stop.get() + ShedAfter);
        Connection.send("HTTP/1.1 503 Service Unavailable\r\n"
                        "Peridot-Target-State: shed\r\n"
                        "Content-Length: 0\r\nConnection: close\r\n\r\n");
      });
  publishTargets({Scripted->port(), Full.port(), Full.port()});
  Running.send(port(), Callers, get("/again"));
  awaitRequests(1);
  std::this_thread::sleep_for(1s); // Connects to the others have timed out.
  beginStop();
  Begun.set_value(StopSentAt);
  Running.checkAllAnswered();
  checkEndedInOrder();
}
