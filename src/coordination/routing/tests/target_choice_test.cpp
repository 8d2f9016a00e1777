#include "coordination/routing/target_choice.h"

#include <set>

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct target_choice_fixture {
  target_choice_fixture() {
    for (const target &Target : Targets)
      Candidates.push_back({.Target = &Target});
  }
  /// Returns the names of the targets chosen for all combinations of small
  /// values in the two 32-bit halves of the random bits.
  std::set<std::string> choices() const {
    std::set<std::string> Names;
    for (std::uint64_t Low = 0; Low < 12; ++Low)
      for (std::uint64_t High = 0; High < 12; ++High)
        if (const target *Chosen =
                chooseTarget(Snapshot, Candidates, High << 32U | Low))
          Names.insert(Chosen->Name.str());
    return Names;
  }

  std::vector<target> Targets{{.Name = target_name("a")},
                              {.Name = target_name("b")},
                              {.Name = target_name("c")}};
  std::vector<target_candidate> Candidates;
  routing_snapshot Snapshot;
};

} // namespace

TEST_CASE_FIXTURE(target_choice_fixture, "chooseTarget_equalLoad_allChosen") {
  CHECK(choices() == std::set<std::string>{"a", "b", "c"});
}

TEST_CASE_FIXTURE(target_choice_fixture,
                  "chooseTarget_mostLoaded_neverChosen") {
  Candidates[1].Outstanding = 2;
  CHECK(choices() == std::set<std::string>{"a", "c"});
}

TEST_CASE_FIXTURE(target_choice_fixture, "chooseTarget_unusable_neverChosen") {
  Candidates[0].HasBeenTried = true;
  Candidates[1].Outstanding = 1;
  Candidates[1].ConnectionLimit = 1;
  CHECK(choices() == std::set<std::string>{"c"});
  Snapshot.Conditions[target_name("c")] = target_condition::Ejected;
  CHECK(choices().empty());
}
