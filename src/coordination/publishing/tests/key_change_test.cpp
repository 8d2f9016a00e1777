#include "coordination/publishing/key_change.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct key_change_fixture {
  std::vector<service_document> Documents{
      {.Service = {.Name = service_name("hive")}},
      {.Service = {.Name = service_name("crew")},
       .Accounts = {
           {.Name = account_name("keepers"), .Keys = {key_digest("k1")}},
           {.Name = account_name("renters"), .Keys = {key_digest("k2")}}}}};

  result<key_plan> plan(key_action Action, std::string_view Account,
                        std::string_view Digest) const {
    return planKeyChange(Documents,
                         {Action, account_name(Account), key_digest(Digest)});
  }
};

} // namespace

TEST_CASE_FIXTURE(key_change_fixture,
                  "planKeyChange_revoke_onlyThatKeyRemoved") {
  const auto Plan = plan(key_action::Revoke, "keepers", "k1");
  const auto &Replace = std::get<document_to_replace>(Plan.value());
  CHECK(Replace.Index == 1);
  CHECK(Replace.Document.Accounts[0].Keys.empty());
  CHECK(Replace.Document.Accounts[1] == Documents[1].Accounts[1]);
}

TEST_CASE_FIXTURE(key_change_fixture,
                  "planKeyChange_alreadyInRequestedState_unchanged") {
  const auto Added = plan(key_action::Add, "keepers", "k1");
  CHECK(std::holds_alternative<key_unchanged>(Added.value()));
  const auto Revoked = plan(key_action::Revoke, "keepers", "k9");
  CHECK(std::holds_alternative<key_unchanged>(Revoked.value()));
}

TEST_CASE_FIXTURE(
    key_change_fixture,
    "planKeyChange_foreignKeyOrUnknownAccount_matchingErrorKind") {
  CHECK(plan(key_action::Add, "keepers", "k2").error().Kind ==
        error_kind::Conflict);
  CHECK(plan(key_action::Add, "grooms", "k3").error().Kind ==
        error_kind::NotFound);
}

TEST_CASE_FIXTURE(key_change_fixture,
                  "recordKeyChange_addAfterRevoke_notRevoked") {
  configuration_manifest Manifest;
  key_change Change{key_action::Revoke, account_name("a"), key_digest("k1")};
  recordKeyChange(Manifest, Change);
  recordKeyChange(Manifest, Change);
  CHECK(Manifest.RevokedKeys == std::vector{key_digest("k1")});
  Change.Action = key_action::Add;
  recordKeyChange(Manifest, Change);
  CHECK(Manifest.RevokedKeys.empty());
}
