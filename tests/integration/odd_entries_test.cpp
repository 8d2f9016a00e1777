#include <chrono>
#include <thread>

#include <doctest/doctest.h>

#include "support/store_fleet.h"

using namespace peridot::test;
using namespace std::chrono_literals;
using std::chrono::steady_clock;

namespace {

/// Spec of an entry that names no target to use.
constexpr const char *UnusableSpec = R"({"service":7})";

/// Two targets; nodes start after another writer has stored its entries.
struct odd_entries_fixture : store_fleet {
  odd_entries_fixture() {
    writeConfiguration(1, {{.Name = "keepers",
                            .Keys = {"keeper-key"},
                            .RequestsPerSecond = 400,
                            .Burst = 400}});
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

  bool isServed() {
    return callWithKey(Nodes.back()->Node.CallerPort, "/logs/1", "keeper-key",
                       "r" + std::to_string(++LastId), "hive")
               .Status == 200;
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
