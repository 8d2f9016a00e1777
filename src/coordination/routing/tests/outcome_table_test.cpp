#include "coordination/routing/outcome_table.h"

#include <array>

#include <doctest/doctest.h>

using namespace peridot;

TEST_CASE("judgeAttempt_everyCombination_retriesOnlyWhatIsSafe") {
  using enum attempt_progress;
  constexpr std::array All = {NotConnected, NothingSent,   PartlySent,
                              WhollySent,   AnswerStarted, Shed};
  for (attempt_progress Progress : All)
    for (bool Repeatable : {false, true})
      for (bool Replayable : {false, true})
        for (bool GotBytes : {false, true}) {
          const attempt_verdict Verdict =
              judgeAttempt(Progress, Repeatable, Replayable, GotBytes);
          const bool Ran = Progress == PartlySent || Progress == WhollySent ||
                           Progress == AnswerStarted;
          CHECK((Verdict.Outcome == request_outcome::Unknown) == Ran);
          CHECK(Verdict.MayRetry ==
                ((!Ran || Repeatable) && Replayable && !GotBytes));
        }
}
