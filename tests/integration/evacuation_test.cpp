#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

#include <doctest/doctest.h>

#include "support/full_listener.h"
#include "support/store_fleet.h"

using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

/// Bound of the fleet, as the deployment's setting gives it.
constexpr auto EvacuationBound = 5s;
constexpr auto RequestInterval = 10ms;

const store_account Keepers{.Name = "keepers",
                            .Keys = {"keeper-key"},
                            .RequestsPerSecond = 400,
                            .Burst = 400};

/// Two data centres with two targets and two nodes each.
struct evacuation_fixture : store_fleet {
  explicit evacuation_fixture(bool HasEvacuations = true) {
    if (HasEvacuations)
      NodeFlags = {"--evacuation_bound=5s"};
    writeConfiguration(1, {Keepers});
    for (const char *Name : {"a-1", "a-2", "b-1", "b-2"})
      addTarget(Name, dataCenterOf(Name));
    for (const char *Name : {"a-vm-1", "a-vm-2", "b-vm-1", "b-vm-2"})
      addNode(Name, dataCenterOf(Name));
    for (const auto &Node : Nodes)
      awaitReady(*Node);
    for (std::size_t Node = 0; Node < Nodes.size(); ++Node)
      awaitCondition("a share of the account's limit",
                     [&] { return request(Node).Status == 200; });
  }

  ~evacuation_fixture() { stopLoad(); }

  static std::string dataCenterOf(std::string_view Name) {
    return std::string("lakes-") + Name[0];
  }

  client_response request(std::size_t Node) {
    return callWithKey(Nodes[Node]->Node.CallerPort,
                       ++LastId % 2 == 0 ? "/logs/1" : "/dispatch/1",
                       "keeper-key", "r" + std::to_string(LastId), "hive");
  }

  /// Sends requests to the first \p NodeCount nodes until stopLoad().
  void startLoad(std::size_t NodeCount) {
    Load = std::thread([this, NodeCount] {
      for (std::size_t Count = 0; !IsStopping; ++Count) {
        ++(request(Count % NodeCount).Status == 200 ? Served : Failed);
        std::this_thread::sleep_for(RequestInterval);
      }
    });
  }

  void stopLoad() {
    IsStopping = true;
    if (Load.joinable())
      Load.join();
  }

  /// Requests that have reached the targets of a data centre.
  std::string arrivalsIn(const std::string &DataCenter) const {
    std::string Arrivals;
    for (const auto &Each : Targets)
      if (Each->Target.DataCenter == DataCenter)
        Arrivals += Each->Target.arrivals();
    return Arrivals;
  }

  /// Whether requests reach the targets of a data centre within a time in which
  /// many are sent.
  bool isInUse(const std::string &DataCenter) const {
    const std::string Before = arrivalsIn(DataCenter);
    const int ServedBefore = Served;
    awaitCondition("further requests",
                   [&] { return Served >= ServedBefore + 50; });
    return arrivalsIn(DataCenter) != Before;
  }

  static std::string statusOf(const store_node &Node) {
    return httpCall(Node.Node.OperatorPort, {.Path = "/status"}).Body;
  }

  static std::string metricsOf(const store_node &Node) {
    return httpCall(Node.Node.OperatorPort, {.Path = "/metrics"}).Body;
  }

  static bool contains(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }

  void awaitEvacuated(const std::string &Names) const {
    for (const auto &Each : Nodes)
      awaitCondition("evacuation of " + Names + " at " + Each->Node.Name, [&] {
        return contains(statusOf(*Each), "\"evacuated\":[" + Names + "]");
      });
  }

  std::atomic<int> LastId = 0;
  std::atomic<int> Served = 0;
  std::atomic<int> Failed = 0;
  std::atomic<bool> IsStopping = false;
  std::thread Load;
};

struct fleet_without_evacuations_fixture : evacuation_fixture {
  fleet_without_evacuations_fixture() : evacuation_fixture(false) {}
};

} // namespace

TEST_CASE_FIXTURE(
    evacuation_fixture,
    "fleet_dataCenterEvacuated_emptyInTimeAndUsedAgainAfterwards") {
  startLoad(Nodes.size());
  REQUIRE(isInUse("lakes-a"));
  evacuate("lakes-a");
  std::this_thread::sleep_for(EvacuationBound);
  CHECK(!isInUse("lakes-a"));
  CHECK(isInUse("lakes-b"));
  for (const auto &Each : Nodes) {
    CHECK(contains(statusOf(*Each), R"("evacuated":["lakes-a"])"));
    CHECK(contains(metricsOf(*Each), "peridot_evacuations_started_total 1\n"));
    Each->Node.Process->awaitLine("evacuation-started");
  }
  endEvacuation("lakes-a");
  awaitCondition("use of the targets", [&] { return isInUse("lakes-a"); });
  stopLoad();
  // Neither the begin nor the end of an evacuation costs a request.
  CHECK(Failed == 0);
  for (const auto &Each : Nodes)
    Each->Node.Process->awaitLine("evacuation-ended");
}

// A process that starts knows nothing of the evacuation at first.
TEST_CASE_FIXTURE(evacuation_fixture,
                  "node_restartedDuringEvacuation_sendsNothingThere") {
  evacuate("lakes-a");
  awaitEvacuated("\"lakes-a\"");
  const std::string Before = arrivalsIn("lakes-a");
  for (const std::size_t Node : {0U, 3U}) {
    restart(*Nodes[Node]);
    int ServedRequests = 0;
    awaitCondition("requests of a restarted node", [&] {
      ServedRequests += request(Node).Status == 200 ? 1 : 0;
      return ServedRequests >= 50;
    });
  }
  // All at once, so that no other VM can give a snapshot.
  for (const auto &Each : Nodes)
    Each->Node.Process.reset();
  restart(*Nodes[0]);
  awaitCondition("a request of the only node",
                 [&] { return request(0).Status == 200; });
  CHECK(arrivalsIn("lakes-a") == Before);
}

// A VM that took an unread collection for an empty one would send requests.
TEST_CASE_FIXTURE(evacuation_fixture,
                  "node_evacuationsUnreadable_notReadyAndRefuses") {
  const std::string Before = arrivalsIn("lakes-a") + arrivalsIn("lakes-b");
  for (const auto &Each : Nodes)
    Each->Node.Process.reset();
  setPlatformFaults("silent_kind=evacuations");
  restart(*Nodes[0]);
  Nodes[0]->Node.Process->awaitLine("\"configuration-accepted\"");
  std::this_thread::sleep_for(2s);
  CHECK(httpCall(Nodes[0]->Node.OperatorPort, {.Path = "/ready"}).Status ==
        503);
  CHECK(request(0).Status == 503);
  setPlatformFaults("");
  awaitReady(*Nodes[0]);
  CHECK(arrivalsIn("lakes-a") + arrivalsIn("lakes-b") == Before);
}

TEST_CASE_FIXTURE(evacuation_fixture,
                  "fleet_allDataCentersEvacuated_refusedAsNotRun") {
  evacuate("lakes-nowhere");
  awaitEvacuated("\"lakes-nowhere\"");
  CHECK(request(0).Status == 200);
  Nodes[0]->Node.Process->awaitLine("evacuation-without-targets");
  evacuate("lakes-a");
  evacuate("lakes-b");
  awaitEvacuated(R"("lakes-a","lakes-b","lakes-nowhere")");
  const std::string Before = arrivalsIn("lakes-a") + arrivalsIn("lakes-b");
  for (std::size_t Node = 0; Node < Nodes.size(); ++Node) {
    const client_response Refused = request(Node);
    CHECK(Refused.Status == 503);
    CHECK(Refused.Fields.contains("retry-after"));
    CHECK(contains(Refused.Body, "not-run"));
  }
  CHECK(arrivalsIn("lakes-a") + arrivalsIn("lakes-b") == Before);
  Nodes[0]->Node.Process->awaitLine("evacuation-left-no-target");
}

// An attempt may learn of the evacuation only while its connection opens.
TEST_CASE_FIXTURE(evacuation_fixture,
                  "node_evacuatedWhileConnecting_attemptWithdrawn") {
  const full_listener Full;
  for (const std::size_t Other : {1U, 2U, 3U})
    removeTarget(*Targets[Other]);
  Targets[0]->Proxy = std::make_unique<running_proxy>();
  Targets[0]->Proxy->Port = Full.port();
  Targets[0]->Process = 2;
  registerTarget(*Targets[0]);
  awaitCondition("hanging connections",
                 [&] { return request(0).Status != 200; });
  startLoad(1);
  std::this_thread::sleep_for(500ms);
  evacuate("lakes-a");
  awaitCondition("a withdrawn attempt", [&] {
    return contains(metricsOf(*Nodes[0]), "peridot_attempts_withdrawn_total");
  });
  stopLoad();
  const client_response Refused = request(0);
  CHECK(Refused.Status == 503);
  CHECK(contains(Refused.Body, "not-run"));
}

// A process that was stopped while the evacuation was relayed wakes with the
// earlier targets in use.
TEST_CASE_FIXTURE(evacuation_fixture,
                  "node_stoppedMeanwhile_evacuatesSoonAfterwards") {
  std::this_thread::sleep_for(3s);
  for (const auto &Each : Nodes)
    Each->Node.Process->signal(SIGSTOP);
  evacuate("lakes-a");
  std::this_thread::sleep_for(EvacuationBound);
  for (const auto &Each : Nodes)
    Each->Node.Process->signal(SIGCONT);
  std::this_thread::sleep_for(1s);
  startLoad(Nodes.size());
  CHECK(!isInUse("lakes-a"));
}

// Neither an outage nor a list that fails may end an evacuation.
TEST_CASE_FIXTURE(evacuation_fixture,
                  "fleet_storeDownDuringEvacuation_staysInForce") {
  evacuate("lakes-a");
  awaitEvacuated("\"lakes-a\"");
  const std::string Before = arrivalsIn("lakes-a");
  startLoad(Nodes.size());
  setPlatformFaults("down=1");
  for (const auto &Each : Nodes)
    Each->Proxy->forgetConnections();
  endEvacuation("lakes-a");
  std::this_thread::sleep_for(2s);
  CHECK(arrivalsIn("lakes-a") == Before);
  CHECK(Served > 0);
  setPlatformFaults("");
  awaitCondition("use of the targets", [&] { return isInUse("lakes-a"); });
}

// The watchers' watch may be silent; the other collections show the change.
TEST_CASE_FIXTURE(evacuation_fixture,
                  "fleet_watchesReceiveNothing_evacuatedInTime") {
  std::this_thread::sleep_for(3s);
  setPlatformFaults("deaf_kind=evacuations");
  startLoad(Nodes.size());
  evacuate("lakes-a");
  std::this_thread::sleep_for(EvacuationBound);
  CHECK(!isInUse("lakes-a"));
}

// Calls to the store are paid for.
TEST_CASE_FIXTURE(fleet_without_evacuations_fixture,
                  "fleet_withoutSetting_evacuationsNeverRead") {
  evacuate("lakes-a");
  std::this_thread::sleep_for(EvacuationBound);
  CHECK(platformCallCount("evacuations") == 0);
  startLoad(Nodes.size());
  CHECK(isInUse("lakes-a"));
}
