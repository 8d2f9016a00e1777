#include "coordination/routing/admission.h"

#include <doctest/doctest.h>

#include "state/base/hashing.h"

using namespace peridot;

namespace {

struct admission_fixture {
  routing_snapshot Snapshot{
      .Configuration =
          std::make_shared<configuration_index>(fleet_configuration{
              .Services = {service{.Name = service_name("hive"),
                                   .Routes = {route{.PathPrefix = "/open",
                                                    .IsOpen = true},
                                              route{.PathPrefix = "/hive"}}},
                           service{
                               .Name = service_name("billing"),
                               .Routes = {route{.PathPrefix = "/billing"}}}},
              .Accounts = {client_account{
                  .Name = account_name("keepers"),
                  .Keys = {digestOfKey("secret")},
                  .Services = {service_name("hive")}}}}),
      .KeysAreFresh = true};

  refusal_kind refusalOf(const request_head &Head) const {
    return std::get<refusal>(decideAdmission(Snapshot, Head)).Kind;
  }
};

} // namespace

TEST_CASE_FIXTURE(admission_fixture,
                  "decideAdmission_validKey_accountAdmitted") {
  const admission Decision = decideAdmission(
      Snapshot, {.Method = "GET", .Path = "/hive/1", .Key = "secret"});
  CHECK(std::get<admitted_request>(Decision).Account->Name ==
        account_name("keepers"));
}

TEST_CASE_FIXTURE(admission_fixture,
                  "decideAdmission_openRoute_admittedWithoutKey") {
  Snapshot.KeysAreFresh = false;
  const admission Decision =
      decideAdmission(Snapshot, {.Method = "GET", .Path = "/open"});
  CHECK(std::get<admitted_request>(Decision).Account == nullptr);
}

TEST_CASE_FIXTURE(admission_fixture,
                  "decideAdmission_keyMissingUnknownOrNotPermitted_refused") {
  CHECK(refusalOf({.Method = "GET", .Path = "/hive"}) ==
        refusal_kind::MissingKey);
  CHECK(refusalOf({.Method = "GET", .Path = "/hive", .Key = "wrong"}) ==
        refusal_kind::UnknownKey);
  CHECK(refusalOf({.Method = "GET", .Path = "/billing", .Key = "secret"}) ==
        refusal_kind::NotAllowed);
}

TEST_CASE_FIXTURE(admission_fixture, "decideAdmission_staleKeys_refused") {
  Snapshot.KeysAreFresh = false;
  CHECK(refusalOf({.Method = "GET", .Path = "/hive", .Key = "secret"}) ==
        refusal_kind::KeysNotFresh);
}
