#include "coordination/publishing/publish_plan.h"

#include <doctest/doctest.h>

using namespace peridot;

TEST_CASE("planPublish_firstPublish_revisionOne") {
  const auto Plan = planPublish(std::nullopt, {.PublishId = "a"});
  CHECK(std::get<manifest_to_write>(Plan).Manifest.Revision == revision{1});
}

TEST_CASE("planPublish_samePublishId_alreadyPublished") {
  const configuration_manifest Current{.Revision = {4}, .PublishId = "a"};
  CHECK(std::get<already_published>(planPublish(Current, {.PublishId = "a"}))
            .Revision == revision{4});
  CHECK(std::get<manifest_to_write>(planPublish(Current, {.PublishId = "b"}))
            .Manifest.Revision == revision{5});
}

TEST_CASE("planPublish_revokedKeyListed_refused") {
  const configuration_manifest Current{.Revision = {4},
                                       .RevokedKeys = {key_digest("k1")}};
  const auto Refused =
      planPublish(Current, {.PublishId = "b", .Keys = {key_digest("k1")}});
  CHECK(std::get<revoked_key_listed>(Refused).Digest == key_digest("k1"));
  const auto Plan =
      planPublish(Current, {.PublishId = "b", .Keys = {key_digest("k2")}});
  CHECK(std::get<manifest_to_write>(Plan).Manifest.RevokedKeys ==
        Current.RevokedKeys);
}
