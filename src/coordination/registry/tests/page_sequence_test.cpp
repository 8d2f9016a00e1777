#include "coordination/registry/page_sequence.h"

#include <vector>

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct page_sequence_fixture {
  page_step record(const std::vector<std::string_view> &Names,
                   bool HasMore = true) {
    return Pages.record(Names, HasMore);
  }

  /// Returns the name after which the next page begins.
  std::string next(const std::vector<std::string_view> &Names) {
    return std::get<next_page>(record(Names)).After;
  }

  list_stop_reason stop(const std::vector<std::string_view> &Names) {
    return std::get<list_stopped>(record(Names)).Reason;
  }

  page_sequence Pages;
};

} // namespace

TEST_CASE_FIXTURE(page_sequence_fixture, "record_lastPage_ended") {
  CHECK(next({"a", "b"}) == "b");
  CHECK(std::holds_alternative<list_ended>(record({"c"}, false)));
  CHECK(std::holds_alternative<list_ended>(record({}, false)));
}

// Guards against a name that the store decodes otherwise than it was meant, so
// that it returns another page.
TEST_CASE_FIXTURE(page_sequence_fixture,
                  "record_lastNameNotPortable_continuesFromEarlierName") {
  const std::string Long(300, 'd');
  CHECK(next({"a", "b\xff"}) == "a");
  CHECK(next({"b\xff", "c c", Long}) == Long);
  CHECK(next({Long, "e"}) == "e");
}

// Guards against lists without end.
TEST_CASE_FIXTURE(page_sequence_fixture, "record_pageRepeated_stopped") {
  CHECK(next({"a", "b"}) == "b");
  CHECK(stop({"a", "b"}) == list_stop_reason::NotAdvancing);
}

TEST_CASE_FIXTURE(page_sequence_fixture, "record_pageWithoutNames_stopped") {
  CHECK(next({"a"}) == "a");
  CHECK(stop({}) == list_stop_reason::NoName);
}

TEST_CASE_FIXTURE(page_sequence_fixture, "record_namesWithoutEnd_stopped") {
  constexpr std::size_t PageSize = 500;
  std::size_t Pages = 0;
  bool HasStopped = false;
  for (std::size_t Next = 0; !HasStopped; Next += PageSize, ++Pages) {
    std::vector<std::string> Names;
    for (std::size_t Each = 0; Each < PageSize; ++Each)
      Names.push_back(std::to_string(Next + Each));
    const page_step Step = record({Names.begin(), Names.end()});
    const auto *Stopped = std::get_if<list_stopped>(&Step);
    HasStopped = Stopped && Stopped->Reason == list_stop_reason::TooLong;
  }
  CHECK(Pages == MaxListedEntries / PageSize + 1);
}
