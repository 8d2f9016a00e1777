#include "coordination/registry/reader_election.h"

#include <array>

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct reader_election_fixture {
  reader_election_fixture() { Election.ranked(Order); }

  void hear(const char *Name, bool StoreAnswers = true) {
    Election.heard(vm_name(Name), {.StoreAnswers = StoreAnswers}, Now);
  }

  std::array<vm_name, 4> Order{vm_name("first"), vm_name("second"),
                               vm_name("third"), vm_name("self")};
  instant Now{std::chrono::seconds(100)};
  reader_election Election{vm_name("self")};
};

} // namespace

TEST_CASE_FIXTURE(reader_election_fixture, "selfReads_nobodyHeard_reads") {
  CHECK(Election.selfReads(Now));
  CHECK(Election.readers(Now).empty());
}

TEST_CASE_FIXTURE(reader_election_fixture, "selfReads_twoBefore_follows") {
  hear("first");
  hear("second");
  CHECK(!Election.selfReads(Now));
  CHECK(Election.readers(Now).front() == vm_name("first"));
}

TEST_CASE_FIXTURE(reader_election_fixture, "selfReads_oneBefore_waitsItsTurn") {
  hear("first");
  CHECK(!Election.selfReads(Now));
  Now += std::chrono::milliseconds(800);
  hear("first");
  CHECK(!Election.selfReads(Now));
  Now += std::chrono::milliseconds(200);
  CHECK(Election.selfReads(Now));
}

TEST_CASE_FIXTURE(reader_election_fixture, "selfReads_allSilent_readsAtOnce") {
  hear("first");
  hear("second");
  CHECK(!Election.selfReads(Now));
  Now += std::chrono::milliseconds(1'300);
  CHECK(Election.selfReads(Now));
}

TEST_CASE_FIXTURE(reader_election_fixture, "selfReads_storeAwayForAll_reads") {
  hear("first", false);
  hear("second", false);
  CHECK(Election.selfReads(Now));
  CHECK(Election.storeAwayForReaders(Now));
}

TEST_CASE_FIXTURE(reader_election_fixture,
                  "storeAwayForReaders_oneAnswered_no") {
  hear("first", false);
  hear("second");
  CHECK(!Election.storeAwayForReaders(Now));
}

TEST_CASE_FIXTURE(reader_election_fixture,
                  "lookPeriod_storeAwayForAll_longerByRank") {
  hear("first", false);
  const auto PeriodAt = [&](const char *Name) {
    reader_election Other{vm_name(Name)};
    Other.ranked(Order);
    return Other.lookPeriod(Now);
  };
  CHECK(PeriodAt("first") == reader_options{}.Look);
  CHECK(PeriodAt("second") == reader_options{}.Look);
  CHECK(PeriodAt("third") > PeriodAt("second"));
  CHECK(Election.lookPeriod(Now) > PeriodAt("third"));
  CHECK(PeriodAt("not-listed") == reader_options{}.Look);
}

TEST_CASE_FIXTURE(reader_election_fixture,
                  "lookPeriod_readerAnswered_longerThanAReaders") {
  hear("first");
  CHECK(Election.lookPeriod(Now) == reader_options{}.LookWhileOthersRead);
}

TEST_CASE_FIXTURE(reader_election_fixture, "heard_unknownVm_ignored") {
  hear("stranger");
  CHECK(Election.readers(Now).empty());
}
