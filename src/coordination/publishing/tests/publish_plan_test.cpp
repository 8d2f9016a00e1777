#include "coordination/publishing/publish_plan.h"

#include <doctest/doctest.h>

using namespace peridot;

TEST_CASE("planPublish_firstPublish_revisionOne") {
  const auto Plan = planPublish(std::nullopt, {.PublishId = "a"});
  CHECK(std::get<manifest_to_write>(Plan).Manifest.Revision == revision{1});
}

TEST_CASE("planPublish_sameIdAgain_nothingWritten") {
  const configuration_manifest Current{.Revision = {4}, .PublishId = "a"};
  CHECK(std::get<already_published>(planPublish(Current, {.PublishId = "a"}))
            .Revision == revision{4});
  CHECK(std::get<manifest_to_write>(planPublish(Current, {.PublishId = "b"}))
            .Manifest.Revision == revision{5});
}
