#include <doctest/doctest.h>

#include <chrono>

#include "support/fleet_fixture.h"

using namespace peridot::test;

namespace {

constexpr double Rate = 40;
constexpr double Burst = 20;

/// Three nodes in three data centres, two targets and one account.
struct limits_fixture : fleet_fixture {
  limits_fixture() {
    addTarget("hive-1", "lakes-a");
    addTarget("hive-2", "lakes-b");
    addNode("vm-1", "lakes-a");
    addNode("vm-2", "lakes-b");
    addNode("vm-3", "lakes-c");
    updateVmList();
    writeServiceFile("hive",
                     "[[route]]\npath = \"/hive\"\nrepeatable = true\n" +
                         accountToml("keepers", "secret", Rate, Burst));
    publish("first");
    awaitRevision(1);
    for (const auto &Node : Nodes)
      awaitReady(*Node);
  }

  client_response sendRequest(const running_node &Node) const {
    return httpCall(Node.CallerPort, {.Path = "/hive/logs",
                                      .Fields = {{"Peridot-Key", "secret"}}});
  }

  void awaitAdmitted(const running_node &Node) const {
    awaitCondition("a request admitted at " + Node.Name,
                   [&] { return sendRequest(Node).Status == 200; });
  }
};

} // namespace

TEST_CASE_FIXTURE(limits_fixture,
                  "fleet_demandAboveRateAtAllNodes_admittedWithinLimit") {
  using clock = std::chrono::steady_clock;
  for (const auto &Node : Nodes)
    awaitAdmitted(*Node);
  // Requests far above the rate, sent to the nodes in turn.
  constexpr int MinAdmitted = 200;
  std::size_t SentRequests = 0;
  int Admitted = 0;
  int Refused = 0;
  const auto Start = clock::now();
  awaitCondition("admitted requests", [&] {
    for (int Request = 0; Request < 100; ++Request) {
      const client_response Response =
          sendRequest(*Nodes[++SentRequests % Nodes.size()]);
      Admitted += Response.Status == 200 ? 1 : 0;
      Refused += Response.Status == 429 ? 1 : 0;
    }
    return Admitted >= MinAdmitted;
  });
  const std::chrono::duration<double> Window = clock::now() - Start;
  CHECK(Admitted <= Burst + Rate * Window.count());
  CHECK(static_cast<std::size_t>(Admitted + Refused) == SentRequests);
  CHECK(Refused > 0);
  MESSAGE("admitted " << Admitted << " of " << SentRequests << " in "
                      << Window.count() << " s; the limit is "
                      << Burst + Rate * Window.count());
}

TEST_CASE_FIXTURE(limits_fixture, "node_aboveRate_refusedWithRetryAfter") {
  awaitAdmitted(*Nodes[0]);
  client_response Refused;
  awaitCondition("a refusal", [&] {
    Refused = sendRequest(*Nodes[0]);
    return Refused.Status == 429;
  });
  CHECK(Refused.Fields.at("peridot-outcome") == "not-run");
  CHECK(Refused.Fields.contains("retry-after"));
}
