#include "coordination/routing/silent_connections.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct silent_connections_fixture {
  static instant at(int Seconds) {
    return instant(std::chrono::seconds(Seconds));
  }
  std::optional<instant> timeOut(int OpenedAt, bool Reused) {
    return Detector.handle(
        connection_timed_out{.OpenedAt = at(OpenedAt), .Reused = Reused});
  }
  std::optional<instant> answer(int OpenedAt) {
    return Detector.handle(connection_answered{.OpenedAt = at(OpenedAt)});
  }

  silent_connection_detector Detector;
};

} // namespace

TEST_CASE_FIXTURE(silent_connections_fixture,
                  "detector_oldTimesOutFreshAnswers_retiresOldGroup") {
  CHECK(!timeOut(5, true));
  CHECK(!timeOut(3, true));
  CHECK(Detector.isSuspect(at(5)));
  CHECK(!Detector.isSuspect(at(6)));
  CHECK(answer(6) == at(5));
  CHECK(!Detector.isSuspect(at(5)));
}

TEST_CASE_FIXTURE(silent_connections_fixture,
                  "detector_oldAnswersAgain_nothingRetired") {
  timeOut(5, true);
  CHECK(!answer(4));
  CHECK(!Detector.isSuspect(at(4)));
  CHECK(!answer(6));
}

TEST_CASE_FIXTURE(silent_connections_fixture,
                  "detector_freshTimesOutToo_targetIsAtFault") {
  timeOut(5, true);
  CHECK(!timeOut(6, false));
  CHECK(!Detector.isSuspect(at(5)));
  CHECK(!answer(7));
}
