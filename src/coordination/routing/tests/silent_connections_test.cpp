#include "coordination/routing/silent_connections.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct silent_connections_fixture {
  static instant at(int Seconds) {
    return instant(std::chrono::seconds(Seconds));
  }
  std::optional<instant> reportTimeout(int OpenedAt, bool Reused) {
    return Detector.handle(
        connection_timed_out{.OpenedAt = at(OpenedAt), .Reused = Reused});
  }
  std::optional<instant> reportResponse(int OpenedAt) {
    return Detector.handle(connection_responded{.OpenedAt = at(OpenedAt)});
  }

  silent_connection_detector Detector;
};

} // namespace

TEST_CASE_FIXTURE(
    silent_connections_fixture,
    "handle_reusedTimesOutYoungerResponds_olderConnectionsRetired") {
  CHECK(!reportTimeout(5, true));
  CHECK(!reportTimeout(3, true));
  CHECK(Detector.isSuspect(at(5)));
  CHECK(!Detector.isSuspect(at(6)));
  CHECK(reportResponse(6) == at(5));
  CHECK(!Detector.isSuspect(at(5)));
}

TEST_CASE_FIXTURE(silent_connections_fixture,
                  "handle_suspectConnectionResponds_nothingRetired") {
  reportTimeout(5, true);
  CHECK(!reportResponse(4));
  CHECK(!Detector.isSuspect(at(4)));
  CHECK(!reportResponse(6));
}

TEST_CASE_FIXTURE(silent_connections_fixture,
                  "handle_youngerConnectionTimesOut_suspicionCleared") {
  reportTimeout(5, true);
  CHECK(!reportTimeout(6, false));
  CHECK(!Detector.isSuspect(at(5)));
  CHECK(!reportResponse(7));
}
