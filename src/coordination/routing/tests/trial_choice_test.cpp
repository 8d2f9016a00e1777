#include "coordination/routing/target_choice.h"

#include <doctest/doctest.h>
#include <random>

using namespace peridot;

namespace {

struct trial_choice_fixture {
  std::vector<target> Targets = {{.Name = target_name("well")},
                                 {.Name = target_name("returning")}};
  std::vector<target_candidate> Candidates = {{.Target = &Targets[0]},
                                              {.Target = &Targets[1]}};
  routing_snapshot Snapshot;
  std::mt19937_64 Random{20261204};

  unsigned choicesOfSecond(bool MayUseTrialTarget, unsigned Requests) {
    unsigned Count = 0;
    for (unsigned Index = 0; Index < Requests; ++Index)
      Count += chooseTarget(Snapshot, Candidates, Random(),
                            MayUseTrialTarget) == &Targets[1]
                   ? 1
                   : 0;
    return Count;
  }
};

} // namespace

TEST_CASE_FIXTURE(trial_choice_fixture,
                  "chooseTarget_targetOnTrial_onlyFewRepeatableRequests") {
  Snapshot.Conditions[Targets[1].Name] = target_condition::Trial;
  CHECK(choicesOfSecond(false, 1000) == 0);
  const unsigned TrialChoices = choicesOfSecond(true, 3200);
  CHECK(TrialChoices > 50);
  CHECK(TrialChoices < 150);
}

TEST_CASE_FIXTURE(trial_choice_fixture, "chooseTarget_notServing_neverChosen") {
  for (const auto Condition :
       {target_condition::Ejected, target_condition::Draining}) {
    Snapshot.Conditions[Targets[1].Name] = Condition;
    CHECK(choicesOfSecond(true, 1000) == 0);
  }
}
