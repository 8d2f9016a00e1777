#include <array>
#include <chrono>
#include <future>
#include <memory>
#include <span>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "support/store_fleet.h"

using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Deadline of the requests.
constexpr milliseconds Deadline{200};
/// Longest that a request is held when no response of the primary is missing.
/// A missing one is asked for again after 150 ms and given up after 500 ms.
constexpr milliseconds MaxHold{140};
/// Several accounts, so that each stable host is the primary of some.
constexpr int AccountCount = 12;
constexpr double AmpleRate = 1'000;
/// Pause of a caller between two requests.
constexpr milliseconds RequestPause{20};

std::string accountKey(int Account) { return "key-" + std::to_string(Account); }

std::vector<store_account> makeAccounts(double Rate, double Burst) {
  std::vector<store_account> Accounts;
  for (int Account = 0; Account < AccountCount; ++Account)
    Accounts.push_back({.Name = "keepers-" + std::to_string(Account),
                        .Keys = {accountKey(Account)},
                        .RequestsPerSecond = Rate,
                        .Burst = Burst});
  return Accounts;
}

std::string makeRequest(int Account, const std::string &Id) {
  return "POST /dispatch/1 HTTP/1.1\r\nHost: fleet\r\nAuthorization: Bearer " +
         accountKey(Account) +
         "\r\nX-Deadline-Ms: " + std::to_string(Deadline.count()) +
         "\r\nX-Request-Id: " + Id + "\r\nContent-Length: 4\r\n\r\nwork";
}

using connections = std::span<const std::unique_ptr<http_connection>>;

/// Response to a request and how long it took.
struct timed_response {
  client_response Response;
  milliseconds Held{0};
};

timed_response timedCall(http_connection &Caller, const std::string &Request) {
  const auto Began = steady_clock::now();
  timed_response Each;
  if (Caller.send(Request))
    Each.Response = Caller.receive();
  Each.Held =
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - Began);
  return Each;
}

/// Request on a kept connection of a VM that stops.
struct late_request {
  int Account = 0;
  milliseconds SinceStop{0};
  std::future<timed_response> Response;
};

/// Three VMs in one data centre and two in another; vm-0 and vm-1 are the
/// stable hosts of theirs.
struct stop_limits_fixture : store_fleet {
  void startFleet(const std::vector<store_account> &Accounts,
                  std::chrono::seconds ShutdownLimit = 4s) {
    NodeFlags = {"--shutdown_limit=" + std::to_string(ShutdownLimit.count()) +
                 "s"};
    writeConfiguration(1, Accounts);
    addTarget("hive-1", "lakes-a");
    addTarget("hive-2", "lakes-b");
    // One after the other, as the order of registration decides on hosts.
    for (const char *Name : {"vm-0", "vm-1", "vm-2"})
      awaitReady(addNode(Name, "lakes-a"));
    for (const char *Name : {"vm-3", "vm-4"})
      awaitReady(addNode(Name, "lakes-b"));
    for (const auto &Each : Nodes)
      awaitListed(*Each, Nodes.size());
  }

  static void awaitListed(const store_node &Node, std::size_t Count) {
    awaitCondition(std::to_string(Count) + " VMs at " + Node.Node.Name, [&] {
      return httpCall(Node.Node.OperatorPort, {.Path = "/status"})
                 .Body.find("\"vms_listed\":" + std::to_string(Count)) !=
             std::string::npos;
    });
  }

  void awaitServed(const store_node &Node, int Account) {
    awaitCondition("a share of account " + std::to_string(Account) + " at " +
                       Node.Node.Name,
                   [&] { return call(Node, Account).Response.Status == 200; });
  }

  std::string nextId() { return "r" + std::to_string(++LastId); }

  timed_response call(const store_node &Node, int Account) {
    http_connection Caller(Node.Node.CallerPort);
    return timedCall(Caller, makeRequest(Account, nextId()));
  }

  /// Opens connections to a node that will be stopped.
  void openConnections(const store_node &Node, std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Kept.push_back(std::make_unique<http_connection>(Node.Node.CallerPort));
  }

  void stop(const store_node &Node) {
    StopSentAt = steady_clock::now();
    Node.Node.Process->signal(SIGTERM);
  }

  /// Sends a request on a kept connection at \p SinceStop, without waiting for
  /// it.
  late_request callKept(milliseconds SinceStop, int Account) {
    REQUIRE(NextKept < Kept.size());
    return {.Account = Account,
            .SinceStop = SinceStop,
            .Response = std::async(std::launch::async,
                                   [At = StopSentAt + SinceStop,
                                    Caller = Kept[NextKept++].get(),
                                    Request = makeRequest(Account, nextId())] {
                                     std::this_thread::sleep_until(At);
                                     return timedCall(*Caller, Request);
                                   })};
  }

  /// Sends a request for each account at \p SinceStop; checks that each is
  /// served and not held.
  void checkServed(milliseconds SinceStop) {
    std::vector<late_request> Requests;
    for (int Account = 0; Account < AccountCount; ++Account)
      Requests.push_back(callKept(SinceStop, Account));
    for (late_request &Each : Requests) {
      const timed_response Timed = Each.Response.get();
      INFO("account " << Each.Account << " at " << Each.SinceStop.count()
                      << " ms: " << Timed.Response.Status << " after "
                      << Timed.Held.count() << " ms");
      CHECK(Timed.Response.Status == 200);
      CHECK(Timed.Held < MaxHold);
    }
  }

  /// Sends requests until \p End, on the next connection when one is closed.
  /// \returns the number of served ones.
  static int countServed(connections Callers, const std::string &Request,
                         steady_clock::time_point End) {
    int Served = 0;
    while (!Callers.empty() && steady_clock::now() < End) {
      const client_response Response =
          timedCall(*Callers.front(), Request).Response;
      Served += Response.Status == 200 ? 1 : 0;
      const auto Field = Response.Fields.find("connection");
      if (Response.Status == 0 ||
          (Field != Response.Fields.end() && Field->second == "close"))
        Callers = Callers.subspan(1);
      std::this_thread::sleep_for(RequestPause);
    }
    return Served;
  }

  std::vector<std::unique_ptr<http_connection>> Kept;
  std::size_t NextKept = 0;
  steady_clock::time_point StopSentAt;
  int LastId = 0;
};

/// A fleet whose accounts use next to nothing of their limits.
struct ample_limits_fixture : stop_limits_fixture {
  explicit ample_limits_fixture(std::chrono::seconds ShutdownLimit = 4s) {
    startFleet(makeAccounts(AmpleRate, AmpleRate), ShutdownLimit);
    for (const auto &Each : Nodes)
      for (int Account = 0; Account < AccountCount; ++Account)
        awaitServed(*Each, Account);
  }
};

/// The time of a stop exceeds that for which a data centre's report is valid.
struct long_stop_fixture : ample_limits_fixture {
  long_stop_fixture() : ample_limits_fixture(7s) {}
};

} // namespace

// Guards against requests that wait in vain for a share of an ample limit at a
// VM that stops, as grants don't reach a VM without an entry.
TEST_CASE_FIXTURE(ample_limits_fixture,
                  "node_stoppedAndNoLongerListed_requestsServedWithoutWait") {
  openConnections(*Nodes[0], 7 * AccountCount);
  stop(*Nodes[0]);
  for (const milliseconds SinceStop : {0ms, 100ms, 600ms})
    checkServed(SinceStop);
  awaitListed(*Nodes[1], 4);
  // Later than this, the process may end before a request's deadline.
  for (const milliseconds SinceStop : {1'200ms, 1'900ms, 2'600ms, 3'400ms})
    checkServed(SinceStop);
}

// Guards against the same while the primaries leave, too.
TEST_CASE_FIXTURE(ample_limits_fixture,
                  "nodes_allOfDataCentreStopped_requestsServedWithoutWait") {
  openConnections(*Nodes[1], 3 * AccountCount);
  for (const std::size_t Index : {0, 2, 1})
    stop(*Nodes[Index]);
  awaitListed(*Nodes[3], 2);
  for (const milliseconds SinceStop : {1'500ms, 2'400ms, 3'400ms})
    checkServed(SinceStop);
}

// Guards against VMs that know no primary any more, as data centres reported to
// registered VMs only.
TEST_CASE_FIXTURE(long_stop_fixture,
                  "nodes_longStopOfDataCentre_requestsServedWithoutWait") {
  openConnections(*Nodes[1], 4 * AccountCount);
  for (const std::size_t Index : {0, 2, 1})
    stop(*Nodes[Index]);
  awaitListed(*Nodes[3], 2);
  for (const milliseconds SinceStop : {3'000ms, 4'500ms, 5'200ms, 6'000ms})
    checkServed(SinceStop);
}

// Guards against requests that are held for the longest wait when the limit is
// used up, as a denial doesn't reach the VM that stops.
TEST_CASE_FIXTURE(stop_limits_fixture,
                  "node_stoppedAndLimitUsedUp_refusedAtOnce") {
  constexpr int Account = 0;
  constexpr std::size_t RequestsAtOnce = 6;
  constexpr std::array Times{700ms, 1'700ms, 2'700ms};
  startFleet(makeAccounts(1, 1));
  awaitServed(*Nodes[1], Account);
  awaitCondition("the limit to be used up", [&] {
    return call(*Nodes[1], Account).Response.Status == 429;
  });
  openConnections(*Nodes[0], Times.size() * RequestsAtOnce);
  stop(*Nodes[0]);
  std::vector<late_request> Requests;
  for (const milliseconds Each : Times)
    for (std::size_t Index = 0; Index < RequestsAtOnce; ++Index)
      Requests.push_back(callKept(Each, Account));
  std::size_t Refused = 0;
  for (late_request &Each : Requests) {
    const timed_response Timed = Each.Response.get();
    INFO(Each.SinceStop.count() << " ms: " << Timed.Response.Status << " after "
                                << Timed.Held.count() << " ms");
    CHECK(Timed.Held < MaxHold);
    CHECK((Timed.Response.Status == 429 || Timed.Response.Status == 200));
    Refused += Timed.Response.Status == 429 ? 1U : 0U;
  }
  // The limit allows a few of them.
  CHECK(Refused >= Requests.size() / 2);
}

// Guards against a VM that stops and uses more than what the others leave to
// it.
TEST_CASE_FIXTURE(stop_limits_fixture,
                  "node_stoppedWhileAboveLimit_admittedWithinLimit") {
  constexpr int Account = 0;
  constexpr double Rate = 40;
  constexpr double Burst = 20;
  constexpr std::size_t CallersPerNode = 2;
  // A VM that stops closes its connections after a response.
  constexpr std::size_t ConnectionsToStopped = 200;
  constexpr std::chrono::seconds TimeBeforeStop{1};
  // As the fleet's settings have it: a tenth and 20 requests.
  constexpr std::chrono::seconds Window{5};
  constexpr double Limit = Rate * Window.count() + Burst;
  constexpr double Tolerated = Limit * 1.1 + 20;
  startFleet(makeAccounts(Rate, Burst));
  for (const auto &Each : Nodes)
    awaitServed(*Each, Account);
  openConnections(*Nodes[0], CallersPerNode * ConnectionsToStopped);
  for (std::size_t Index = 1; Index < Nodes.size(); ++Index)
    openConnections(*Nodes[Index], CallersPerNode);
  const auto End = steady_clock::now() + Window;
  std::vector<std::future<int>> Callers;
  for (connections Left = Kept; !Left.empty();) {
    const bool IsToStopped = Callers.size() < CallersPerNode;
    const std::size_t Count = IsToStopped ? ConnectionsToStopped : 1;
    Callers.push_back(std::async(std::launch::async, countServed,
                                 Left.first(Count),
                                 makeRequest(Account, "above"), End));
    Left = Left.subspan(Count);
  }
  std::this_thread::sleep_for(TimeBeforeStop);
  stop(*Nodes[0]);
  int OfStopped = 0;
  int Admitted = 0;
  for (std::size_t Index = 0; Index < Callers.size(); ++Index) {
    const int Served = Callers[Index].get();
    Admitted += Served;
    OfStopped += Index < CallersPerNode ? Served : 0;
  }
  MESSAGE("admitted " << Admitted << ", " << OfStopped
                      << " of them at the VM that stops; the limit is "
                      << Limit);
  CHECK(Admitted <= Tolerated);
  CHECK(Admitted >= Rate * Window.count() / 2);
}
