#include "protocol/store_messages/document_packing.h"

#include <random>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "state/base/hashing.h"

using namespace peridot;

namespace {

/// A configuration of some 400 KB whose keys cannot be compressed.
struct document_packing_fixture {
  document_packing_fixture() {
    std::mt19937_64 Random(7);
    for (int Count = 0; Count < 6'000; ++Count)
      Document += "{\"name\":\"account-" + std::to_string(Count) +
                  "\",\"key\":\"" + std::to_string(Random()) + "\"},";
  }

  packed_document packWithBase(std::string_view Text) const {
    return packDocument(Text, {.Name = "main", .Text = Document});
  }

  std::string Document;
};

} // namespace

TEST_CASE_FIXTURE(document_packing_fixture,
                  "packDocument_withoutBase_smallerAndRestored") {
  const packed_document Packed = packDocument(Document);
  CHECK(Packed.BaseHash == 0);
  CHECK(Packed.Bytes.size() < Document.size() / 2);
  CHECK(unpackDocument(Packed).value() == Document);
}

// Pattern: a configuration that has grown changes often, and a VM with a slow
// link sends each change to all VMs of its data centre.
TEST_CASE_FIXTURE(document_packing_fixture,
                  "packDocument_fewEntriesChanged_takesFewBytes") {
  std::string Changed = Document;
  Changed.replace(Changed.find("account-3000"), 12, "keeper-30000");
  Changed += "{\"name\":\"one more\"}";
  const packed_document Packed = packWithBase(Changed);
  CHECK(Packed.BaseName == "main");
  CHECK(Packed.BaseHash == contentHash(Document));
  CHECK(Packed.Bytes.size() < 1'000);
  CHECK(unpackDocument(Packed, Document).value() == Changed);
}

TEST_CASE_FIXTURE(document_packing_fixture,
                  "unpackDocument_otherBase_notRestored") {
  const packed_document Packed = packWithBase(Document + "more");
  const auto Restored = unpackDocument(Packed, Document.substr(1));
  CHECK((!Restored || *Restored != Document + "more"));
  const auto WithoutBase = unpackDocument(Packed);
  CHECK((!WithoutBase || *WithoutBase != Document + "more"));
}

TEST_CASE_FIXTURE(document_packing_fixture,
                  "unpackDocument_malformed_refused") {
  packed_document Packed = packDocument(Document);
  packed_document Truncated = Packed;
  Truncated.Bytes.resize(Truncated.Bytes.size() / 2);
  CHECK(!unpackDocument(Truncated).has_value());
  packed_document Oversized = Packed;
  Oversized.Size = 0xFFFF'FFFFU;
  CHECK(!unpackDocument(Oversized).has_value());
  packed_document Longer = Packed;
  ++Longer.Size;
  CHECK(!unpackDocument(Longer).has_value());
  CHECK(unpackDocument(packDocument("")).value().empty());
}

TEST_CASE_FIXTURE(document_packing_fixture,
                  "unpackDocument_corruptedBytes_doesNotCrash") {
  const packed_document Packed = packDocument(Document.substr(0, 2'000));
  CHECK(rc::check([&Packed] {
    packed_document Corrupted = Packed;
    Corrupted.Size = *rc::gen::inRange<std::uint32_t>(0, 10'000);
    const auto Changes = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, Packed.Bytes.size()));
    for (const std::size_t At : Changes)
      Corrupted.Bytes[At] = *rc::gen::arbitrary<char>();
    (void)unpackDocument(Corrupted);
  }));
}
