#include <doctest/doctest.h>

#include "support/fleet_fixture.h"

using namespace peridot::test;

namespace {

struct membership_fixture : fleet_fixture {
  membership_fixture() {
    const char *DataCenters[] = {"lakes-a", "lakes-b", "lakes-c"};
    for (int Index = 0; Index < 6; ++Index)
      addNode("vm-" + std::to_string(Index), DataCenters[Index % 3],
              {"--address_ttl_seconds=20"});
    updateVmList();
    writeServiceFile("hive", "[[route]]\npath = \"/hive\"\n" +
                                 accountToml("keepers", "secret", 100, 100));
    publish("first");
    awaitRevision(1);
    for (const auto &Node : Nodes)
      awaitCondition("the complete VM list at " + Node->Name,
                     [&] { return status(*Node, "vms_listed") == 6; });
  }

  static int status(const running_node &Node, const std::string &Field) {
    const client_response Response =
        httpCall(Node.OperatorPort, {.Path = "/status"});
    return Response.Status == 200 ? jsonInteger(Response.Body, Field) : -1;
  }
};

} // namespace

TEST_CASE_FIXTURE(membership_fixture, "vm_paused_suspectedThenTrustedAgain") {
  Nodes[2]->Process->signal(SIGSTOP);
  for (const auto &Node : Nodes)
    if (Node.get() != Nodes[2].get())
      Node->Process->awaitLine("\"vm-suspected\"");
  CHECK(status(*Nodes[0], "vms_suspected") == 1);
  Nodes[2]->Process->signal(SIGCONT);
  for (const auto &Node : Nodes)
    if (Node.get() != Nodes[2].get())
      Node->Process->awaitLine("\"vm-trusted\"");
}

TEST_CASE_FIXTURE(membership_fixture,
                  "vm_stopSignal_removedFromAddressesOfAllNodes") {
  Nodes[1]->Process->signal(SIGTERM);
  for (const auto &Node : Nodes)
    awaitCondition("removal of vm-1 from the addresses of " + Node->Name, [&] {
      const client_response Response =
          httpCall(Node->CallerPort, {.Path = "/peridot/v1/addresses"});
      return Response.Status == 200 &&
             Response.Body.find("\"vm-1\"") == std::string::npos;
    });
  CHECK(status(*Nodes[0], "vms_listed") == 5);
}
