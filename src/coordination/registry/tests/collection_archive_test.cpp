#include "coordination/registry/collection_archive.h"

#include <doctest/doctest.h>

#include "state/base/hashing.h"

using namespace peridot;

namespace {

struct collection_archive_fixture {
  static std::string large(char Filler) { return std::string(8'000, Filler); }

  bool isKnown(const std::string &Text) const {
    return Archive.findText("main", contentHash(Text)) == Text;
  }

  collection_archive Archive;
};

} // namespace

TEST_CASE_FIXTURE(collection_archive_fixture,
                  "findText_largeEntryChanged_lastTwoEarlierTextsKnown") {
  for (const char Filler : {'a', 'b', 'c', 'd'})
    Archive.put("main", large(Filler));
  CHECK(Archive.text("main") == large('d'));
  for (const char Filler : {'b', 'c', 'd'})
    CHECK(isKnown(large(Filler)));
  CHECK(!isKnown(large('a')));
}

TEST_CASE_FIXTURE(collection_archive_fixture,
                  "findText_smallEntryChanged_onlyCurrentTextKnown") {
  Archive.put("main", "first");
  Archive.put("main", "second");
  CHECK(isKnown("second"));
  CHECK(!isKnown("first"));
}

TEST_CASE_FIXTURE(collection_archive_fixture,
                  "texts_entryRemoved_othersReturned") {
  Archive.put("hive-1", "one");
  Archive.put("hive-2", "two");
  Archive.remove("hive-1");
  CHECK(Archive.texts() == std::vector<std::string_view>{"two"});
  CHECK(Archive.text("hive-1").empty());
}

TEST_CASE_FIXTURE(collection_archive_fixture,
                  "put_sameTextAgain_earlierTextsUnchanged") {
  Archive.put("main", large('a'));
  Archive.put("main", large('b'));
  for (int Count = 0; Count < 5; ++Count)
    Archive.put("main", large('b'));
  CHECK(isKnown(large('a')));
}
