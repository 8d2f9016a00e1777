#include "state/configuration/configuration_index.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct configuration_index_fixture {
  configuration_index Index{fleet_configuration{
      .Revision = {3},
      .Services = {service{
          .Name = service_name("hive"),
          .Routes = {route{.PathPrefix = "/hive", .IsOpen = true},
                     route{.PathPrefix = "/hive/logs", .Methods = {"GET"}},
                     route{.PathPrefix = "/", .Host = "own.example"}}}},
      .Accounts = {client_account{.Name = account_name("keepers"),
                                  .Keys = {key_digest("d1")},
                                  .Services = {service_name("hive")}}}}};
};

} // namespace

TEST_CASE_FIXTURE(configuration_index_fixture,
                  "findRoute_nestedPrefixes_longestWins") {
  CHECK(Index.findRoute("any.example", "GET", "/hive/logs/7?x=1")
            .Route->PathPrefix == "/hive/logs");
  CHECK(Index.findRoute("any.example", "POST", "/hive/logs/7")
            .Route->PathPrefix == "/hive");
}

TEST_CASE_FIXTURE(configuration_index_fixture,
                  "findRoute_prefixEndsInsideSegment_noMatch") {
  CHECK(Index.findRoute("any.example", "GET", "/hivemind").Route == nullptr);
}

TEST_CASE_FIXTURE(configuration_index_fixture,
                  "findRoute_routeForHost_preferredToRouteForEveryHost") {
  CHECK(Index.findRoute("own.example", "GET", "/hive/logs").Route->Host ==
        "own.example");
  CHECK(Index.findRoute("any.example", "GET", "/other").Route == nullptr);
}

TEST_CASE_FIXTURE(configuration_index_fixture,
                  "findAccountByKey_unknownDigest_null") {
  CHECK(Index.findAccountByKey(key_digest("d2")) == nullptr);
  CHECK(Index.findAccountByKey(key_digest("d1"))->Name ==
        account_name("keepers"));
}
