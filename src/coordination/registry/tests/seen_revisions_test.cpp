#include "coordination/registry/seen_revisions.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct seen_revisions_fixture {
  seen_revisions_fixture() {
    for (const std::uint64_t Revision : {11U, 12U, 14U})
      Seen.record(Revision);
  }

  seen_revisions Seen{3};
};

} // namespace

TEST_CASE_FIXTURE(seen_revisions_fixture, "coverRange_allRevisionsSeen_true") {
  CHECK(Seen.coverRange(10, 12));
  CHECK(Seen.coverRange(13, 14));
  CHECK(Seen.coverRange(14, 14));
  CHECK(Seen.coverRange(15, 14));
}

TEST_CASE_FIXTURE(seen_revisions_fixture, "coverRange_oneNotSeen_false") {
  CHECK(!Seen.coverRange(10, 14));
  CHECK(!Seen.coverRange(12, 13));
  CHECK(!Seen.coverRange(14, 15));
  CHECK(!Seen.coverRange(0, 14));
}

TEST_CASE_FIXTURE(seen_revisions_fixture,
                  "coverRange_moreThanKept_oldestCountAsNotSeen") {
  Seen.record(13);
  CHECK(Seen.coverRange(11, 14));
  CHECK(!Seen.coverRange(10, 14));
}
