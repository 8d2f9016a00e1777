#include <doctest/doctest.h>

#include <chrono>

#include "support/fleet_fixture.h"

using namespace peridot::test;

namespace {

constexpr double Rate = 40;
constexpr double Burst = 20;

/// Three nodes in three data centres and one account.
struct limits_fixture : fleet_fixture {
  limits_fixture() {
    addTarget("hive-1", "lakes-a");
    addTarget("hive-2", "lakes-b");
    addNode("vm-1", "lakes-a");
    addNode("vm-2", "lakes-b");
    addNode("vm-3", "lakes-c");
    listNodes();
    writeServiceFile("hive",
                     "[[route]]\npath = \"/hive\"\nrepeatable = true\n" +
                         accountToml("keepers", "secret", Rate, Burst));
    publish("first");
    awaitRevision(1);
    for (const auto &Node : Nodes)
      awaitReady(*Node);
  }

  http_answer ask(const running_node &Node) const {
    return httpCall(Node.CallerPort, {.Path = "/hive/logs",
                                      .Fields = {{"Peridot-Key", "secret"}}});
  }

  void awaitAdmitted(const running_node &Node) const {
    awaitCondition("a request admitted at " + Node.Name,
                   [&] { return ask(Node).Status == 200; });
  }
};

} // namespace

TEST_CASE_FIXTURE(limits_fixture, "fleet_demandAtAllNodes_withinTheEnvelope") {
  using clock = std::chrono::steady_clock;
  for (const auto &Node : Nodes)
    awaitAdmitted(*Node);
  // Far more requests than the rate allows, taken in turn by all nodes.
  constexpr int Enough = 200;
  std::size_t Asked = 0;
  int Admitted = 0;
  int Refused = 0;
  const auto Start = clock::now();
  awaitCondition("requests admitted at the fleet's rate", [&] {
    for (int Request = 0; Request < 100; ++Request) {
      const http_answer Answer = ask(*Nodes[++Asked % Nodes.size()]);
      Admitted += Answer.Status == 200 ? 1 : 0;
      Refused += Answer.Status == 429 ? 1 : 0;
    }
    return Admitted >= Enough;
  });
  const std::chrono::duration<double> Window = clock::now() - Start;
  CHECK(Admitted <= Burst + Rate * Window.count());
  CHECK(static_cast<std::size_t>(Admitted + Refused) == Asked);
  CHECK(Refused > 0);
  MESSAGE("admitted " << Admitted << " of " << Asked << " in " << Window.count()
                      << " s; the envelope is "
                      << Burst + Rate * Window.count());
}

TEST_CASE_FIXTURE(limits_fixture, "node_aboveRate_refusedWithRetryAfter") {
  awaitAdmitted(*Nodes[0]);
  http_answer Refused;
  awaitCondition("a refusal", [&] {
    Refused = ask(*Nodes[0]);
    return Refused.Status == 429;
  });
  CHECK(Refused.Fields.at("peridot-outcome") == "not-run");
  CHECK(Refused.Fields.contains("retry-after"));
}
