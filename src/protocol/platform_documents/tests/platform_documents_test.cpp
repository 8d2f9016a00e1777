#include "protocol/platform_documents/platform_documents.h"

#include <doctest/doctest.h>

using namespace peridot;

TEST_CASE("decodeDocument_encodedDocument_roundTrips") {
  const service_document Document{
      .Service = {.Name = service_name("hive"),
                  .FloorPercent = 70,
                  .Ejection = ejection_mode::Fast,
                  .Routes = {route{.PathPrefix = "/h", .Methods = {"GET"}}},
                  .Targets = {target{.Name = target_name("t"),
                                     .DataCenter = data_center_name("a"),
                                     .Address = "127.0.0.1",
                                     .Port = 80}}},
      .Accounts = {client_account{.Name = account_name("k"),
                                  .Limit = {1.5, 3},
                                  .Keys = {key_digest("d")},
                                  .Services = {service_name("hive")}}}};
  CHECK(decodeDocument(encodeDocument(Document)).value() == Document);
}

TEST_CASE("decodeManifest_unexpectedTypes_protocolError") {
  const auto Manifest = decodeManifest(R"({"revision": "one"})");
  REQUIRE_FALSE(Manifest);
  CHECK(Manifest.error().Kind == error_kind::Protocol);
  CHECK_FALSE(Manifest.error().Remedy.empty());
}

TEST_CASE("decodeVmList_encodedList_roundTrips") {
  const std::vector<listed_vm> Vms = {{.Name = vm_name("vm-1"),
                                       .DataCenter = data_center_name("a"),
                                       .Address = "127.0.0.1",
                                       .CallerPort = 1,
                                       .PeerPort = 2,
                                       .State = vm_list_state::Leaving}};
  CHECK(decodeVmList(encodeVmList(Vms)).value() == Vms);
}

// Guards against one odd row that hides all other VMs.
TEST_CASE("decodeVmList_oddRow_othersListed") {
  const std::string Row =
      R"({"name":"vm-1","data_center":"a","address":"127.0.0.1",)"
      R"("caller_port":1,"peer_port":2,"state":"live"})";
  for (const char *Odd :
       {"7", "{}", R"({"name":7})",
        R"({"name":"x\r\ny","data_center":"a","address":"127.0.0.1",)"
        R"("caller_port":1,"peer_port":2,"state":"live"})",
        R"({"name":"x","data_center":"a","address":"127.0.0.1",)"
        R"("caller_port":70000,"peer_port":2,"state":"live"})"}) {
    INFO(Odd);
    const auto Vms = decodeVmList("[" + std::string(Odd) + "," + Row + "]");
    REQUIRE(Vms);
    REQUIRE(Vms->size() == 1);
    CHECK(Vms->front().Name == vm_name("vm-1"));
  }
  CHECK_FALSE(decodeVmList(R"({"items":[]})"));
}

// Guards against a name that adds a header field to the requests of an account.
TEST_CASE("decodeDocument_nameUnusable_protocolError") {
  service_document Document{.Service = {.Name = service_name("hive")}};
  REQUIRE(decodeDocument(encodeDocument(Document)));
  Document.Accounts = {
      client_account{.Name = account_name("k\r\nX-Injected: 1")}};
  CHECK_FALSE(decodeDocument(encodeDocument(Document)));
  Document.Accounts.clear();
  Document.Service.Targets = {target{.Name = target_name("t\n"),
                                     .DataCenter = data_center_name("a"),
                                     .Address = "127.0.0.1",
                                     .Port = 80}};
  CHECK_FALSE(decodeDocument(encodeDocument(Document)));
}
