#include "coordination/routing/outcome_table.h"

#include <array>

#include <doctest/doctest.h>

using namespace peridot;

TEST_CASE("classifyAttempt_everyCombination_retriesOnlyIfSafe") {
  using enum attempt_progress;
  constexpr std::array All = {NotConnected, NothingSent,     PartiallySent,
                              FullySent,    ResponseStarted, Shed};
  for (attempt_progress Progress : All)
    for (bool IsRepeatable : {false, true})
      for (bool IsBodyReplayable : {false, true})
        for (bool HasCallerReceivedBytes : {false, true}) {
          const attempt_verdict Verdict = classifyAttempt(
              Progress, IsRepeatable, IsBodyReplayable, HasCallerReceivedBytes);
          const bool Ran = Progress == PartiallySent || Progress == FullySent ||
                           Progress == ResponseStarted;
          CHECK((Verdict.Outcome == request_outcome::Unknown) == Ran);
          CHECK(Verdict.MayRetry ==
                ((!Ran || IsRepeatable) && IsBodyReplayable &&
                 !HasCallerReceivedBytes));
        }
}
