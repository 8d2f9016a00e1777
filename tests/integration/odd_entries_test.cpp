#include <chrono>
#include <mutex>
#include <random>
#include <thread>

#include <boost/json.hpp>

#include <doctest/doctest.h>

#include "support/scripted_target.h"
#include "support/store_fleet.h"

using namespace peridot::test;
using namespace std::chrono_literals;
using std::chrono::steady_clock;

namespace {

/// Spec of an entry that names no target to use.
constexpr const char *UnusableSpec = R"({"service":7})";

const store_account Keepers{.Name = "keepers",
                            .Keys = {"keeper-key"},
                            .RequestsPerSecond = 400,
                            .Burst = 400};

/// Time within which a node follows a change of the store.
constexpr auto ChangeTimeout = 2s;

/// Time within which a node removes a target whose entry is gone.
constexpr auto RemovalTimeout = 4s;

/// A target that keeps the requests that it receives and sends no response.
class recording_target {
public:
  recording_target()
      : Target([this](scripted_connection &Connection) {
          Connection.readUntil("hive");
          const std::lock_guard Lock(Mutex);
          Received += Connection.received();
        }) {}

  std::uint16_t port() const { return Target.port(); }

  /// Returns the bytes of all requests so far.
  std::string received() const {
    const std::lock_guard Lock(Mutex);
    return Received;
  }

private:
  mutable std::mutex Mutex;
  std::string Received;
  scripted_target Target;
};

/// Two targets; nodes start after another writer has stored its entries.
struct odd_entries_fixture : store_fleet {
  odd_entries_fixture() {
    writeConfiguration(1, {Keepers});
    addTarget("hive-1", "lakes-a");
    addTarget("hive-2", "lakes-a");
  }

  /// Starts a node and waits until it serves, at most 5 s. \returns how many of
  /// 20 requests after that are served.
  int countServedAfterStart() {
    addNode("vm-1", "lakes-a");
    const auto Deadline = steady_clock::now() + 5s;
    while (!isServed() && steady_clock::now() < Deadline)
      std::this_thread::sleep_for(50ms);
    return countServed(20);
  }

  int countServed(int Requests) {
    int Served = 0;
    for (int Each = 0; Each < Requests; ++Each)
      Served += isServed() ? 1 : 0;
    return Served;
  }

  bool isServed(const std::string &Path = "/logs/1",
                const std::string &Key = "keeper-key") {
    return callWithKey(Nodes.back()->Node.CallerPort, Path, Key,
                       "r" + std::to_string(++LastId), "hive")
               .Status == 200;
  }

  /// Lets the store forget its history, so that nodes list everything again.
  void listAgain() const {
    // Moves the history beyond the positions of the watches.
    createEntry("moves-history", "a", "{}");
    setPlatformFaults("forget=1&deaf=1");
    for (const auto &Each : Nodes)
      Each->Node.Process->awaitLine("\"store-history-gone\"");
    std::this_thread::sleep_for(RemovalTimeout);
  }

  /// Whether the node reaches the store, according to its log.
  bool reachesStore() const {
    bool Reaches = false;
    for (const std::string &Line : Nodes.back()->Node.Process->lines())
      if (Line.find("\"store-lost\"") != Line.npos)
        Reaches = false;
      else if (Line.find("\"store-regained\"") != Line.npos)
        Reaches = true;
    return Reaches;
  }

  /// Returns the spec of a usable entry of a target on this machine.
  static std::string usableSpec(std::uint16_t Port) {
    namespace json = boost::json;
    return json::serialize(json::value{
        {"address", "127.0.0.1:" + std::to_string(Port)},
        {"info",
         {{"service", "hive"},
          {"zone", "lakes-a"},
          {"version", "v1"},
          {"max-concurrency", DefaultSlots}}},
        {"status",
         {{"state", "ready"}, {"sequence", 1}, {"warmup-left", "0ms"}}},
        {"born", 1}});
  }

  int LastId = 0;
};

} // namespace

// Guards against the incident: an entry of another writer ended a page of the
// list, and no request was served while it stood.
TEST_CASE("node_oddNameEndsPage_requestsServed") {
  for (const std::string Name :
       {"b c", "b%zz", "b&watch=0&wait-ms=20000", "b\r\nX-Injected: 1"})
    for (const std::string Manner : {"strict=0", "strict=1"}) {
      odd_entries_fixture Fleet;
      Fleet.createEntry("servers", Name, UnusableSpec);
      Fleet.setPlatformLists("page_size=1&" + Manner);
      INFO(Name, " ", Manner);
      CHECK(Fleet.countServedAfterStart() == 20);
    }
}

// The same for the lists of VMs and of the configuration, and for entries that
// come while the node runs.
TEST_CASE_FIXTURE(odd_entries_fixture,
                  "node_oddEntriesInAllCollections_requestsServed") {
  for (const char *Kind : {"config", "peridot-vms", "evacuations", "servers"})
    for (const char *Name : {"a c", "a%zz", "a&watch=0", "z\r\nX: 1"})
      createEntry(Kind, Name, UnusableSpec);
  setPlatformLists("page_size=2&strict=1");
  NodeFlags = {"--evacuation_bound=2s"};
  CHECK(countServedAfterStart() == 20);
  for (const char *Kind : {"config", "peridot-vms", "evacuations", "servers"})
    createEntry(Kind, "later\r\n%zz &a=b", "[[[1e400]]]");
  removeTarget(*Targets[0]);
  addTarget("hive-3", "lakes-a");
  std::this_thread::sleep_for(ChangeTimeout);
  CHECK(countServed(20) == 20);
  CHECK(Targets[2]->Target.executions() != "[]");
}

// Guards against a page whose entries have no names: the list ended there as if
// it were whole, and targets that follow counted as gone.
TEST_CASE_FIXTURE(odd_entries_fixture,
                  "node_pageWithoutNames_targetsStayInUse") {
  CHECK(countServedAfterStart() == 20);
  createEntry("servers", "a-1", UnusableSpec);
  createEntry("servers", "a-2", UnusableSpec);
  setPlatformLists("page_size=2&hidden_prefix=a-");
  listAgain();
  CHECK(countServed(20) == 20);
}

// The same at the start of a node: what comes before such a page is in use.
TEST_CASE_FIXTURE(odd_entries_fixture,
                  "node_startsBesidePageWithoutNames_earlierTargetsInUse") {
  createEntry("servers", "x-1", UnusableSpec);
  createEntry("servers", "x-2", UnusableSpec);
  createEntry("servers", "x-3", UnusableSpec);
  setPlatformLists("page_size=2&hidden_prefix=x-");
  CHECK(countServedAfterStart() == 20);
  // Changes are followed, removals too.
  addTarget("hive-3", "lakes-a");
  std::this_thread::sleep_for(ChangeTimeout);
  removeTarget(*Targets[0]);
  removeTarget(*Targets[1]);
  std::this_thread::sleep_for(ChangeTimeout);
  const std::string Before = Targets[2]->Target.executions();
  CHECK(countServed(20) == 20);
  CHECK(Targets[2]->Target.executions() != Before);
  // Once the cause has gone, the list is whole again.
  setPlatformLists("page_size=2");
  addTarget("hive-4", "lakes-a");
  removeTarget(*Targets[2]);
  std::this_thread::sleep_for(ChangeTimeout);
  CHECK(countServed(20) == 20);
}

// Guards against a store that lists the same page again and again.
TEST_CASE_FIXTURE(odd_entries_fixture,
                  "node_pageDoesNotAdvance_requestsServedWithFewCalls") {
  setPlatformLists("page_size=1&ignore_after=1");
  CHECK(countServedAfterStart() == 20);
  const int Before = platformCallCount("servers");
  std::this_thread::sleep_for(2s);
  CHECK(platformCallCount("servers") - Before < 20);
}

// Guards against a header field that the name of an entry adds to requests.
TEST_CASE_FIXTURE(odd_entries_fixture,
                  "node_lineBreakInUsableEntry_entryNotUsed") {
  const recording_target Recording;
  for (const char *Name : {"q\r\nX-Injected: 1", " q", "q\t", "q\x7f"})
    createEntry("servers", Name, usableSpec(Recording.port()));
  CHECK(countServedAfterStart() == 20);
  CHECK(countServed(80) == 80);
  CHECK(Recording.received() == "");
}

// The same for the name of an account, which targets receive too.
TEST_CASE_FIXTURE(odd_entries_fixture,
                  "node_lineBreakInAccountName_otherAccountsServed") {
  store_account Odd = Keepers;
  Odd.Name = "crews\r\nX-Injected: 1";
  Odd.Keys = {"crew-key"};
  writeConfiguration(2, {Keepers, Odd});
  const recording_target Recording;
  CHECK(countServedAfterStart() == 20);
  for (const auto &Each : Targets)
    removeTarget(*Each);
  createEntry("servers", "scripted", usableSpec(Recording.port()));
  std::this_thread::sleep_for(ChangeTimeout);
  isServed("/logs/1", "crew-key");
  isServed();
  CHECK(Recording.received().find("keepers") != std::string::npos);
  CHECK(Recording.received().find("X-Injected") == std::string::npos);
}

// Guards against another object of the configuration's kind that is taken for
// the configuration.
TEST_CASE_FIXTURE(odd_entries_fixture,
                  "node_otherObjectWithHigherVersion_configurationKept") {
  createEntry("config", "copy", R"({"version":99,"resources":[]})");
  CHECK(countServedAfterStart() == 20);
  createEntry("config", "main2", R"({"version":100,"resources":[]})");
  std::this_thread::sleep_for(ChangeTimeout);
  CHECK(countServed(20) == 20);
  writeConfiguration(2, {Keepers}, "/added/");
  std::this_thread::sleep_for(ChangeTimeout);
  CHECK(isServed("/added/1"));
}

// Guards against a collection that cannot be listed and keeps a node from
// reading the others.
TEST_CASE_FIXTURE(odd_entries_fixture,
                  "node_vmsCannotBeListed_otherCollectionsRead") {
  setPlatformLists("refused_kind=peridot-vms");
  addNode("vm-1", "lakes-a");
  Nodes.back()->Node.Process->awaitLine("\"configuration-accepted\"");
  Nodes.back()->Node.Process->awaitLine("\"targets-changed\"");
  awaitReady(*Nodes.back());
}

TEST_CASE_FIXTURE(odd_entries_fixture,
                  "node_targetsCannotBeListed_storeStaysReachable") {
  CHECK(countServedAfterStart() == 20);
  setPlatformLists("refused_kind=servers");
  listAgain();
  std::this_thread::sleep_for(ChangeTimeout);
  CHECK(reachesStore());
  std::this_thread::sleep_for(3s);
  CHECK(reachesStore());
  CHECK(countServed(20) == 20);
  writeConfiguration(2, {Keepers}, "/added/");
  std::this_thread::sleep_for(ChangeTimeout);
  CHECK(isServed("/added/1"));
}

// Guards against an entry that makes a list too large to be read. A control
// character takes six bytes in JSON.
TEST_CASE_FIXTURE(odd_entries_fixture,
                  "node_entryOfLargestSize_requestsServed") {
  constexpr std::size_t MaxValueBytes = 1'048'576;
  createEntry("servers", "a",
              boost::json::serialize(boost::json::value{
                  {"x", std::string(MaxValueBytes, '\x01')}}));
  CHECK(countServedAfterStart() == 20);
}

// Guards against entries that make the messages between VMs too large, so that
// the receiver closes the link with all that is on its way.
TEST_CASE_FIXTURE(odd_entries_fixture,
                  "nodes_largeEntries_linksBetweenVmsStayOpen") {
  addNode("vm-2", "lakes-a");
  CHECK(countServedAfterStart() == 20);
  awaitReady(*Nodes.front());
  std::mt19937 Random(1);
  for (const char *Name : {"a", "b", "c"}) {
    std::string Text(1'000'000, ' ');
    for (char &Each : Text)
      Each = static_cast<char>('!' + Random() % 90);
    createEntry("servers", Name,
                boost::json::serialize(boost::json::value{{"x", Text}}));
  }
  std::this_thread::sleep_for(ChangeTimeout);
  restart(*Nodes.front());
  awaitReady(*Nodes.front());
  std::this_thread::sleep_for(ChangeTimeout);
  CHECK(countServed(20) == 20);
  for (const auto &Each : Nodes)
    for (const std::string &Line : Each->Node.Process->lines())
      CHECK(Line.find("frame is too large") == std::string::npos);
}
