#include "transport/logging/event_log.h"

#include <fcntl.h>
#include <string>
#include <unistd.h>

#include <doctest/doctest.h>

#include "transport/logging/log_limiter.h"

using namespace peridot;

namespace {

struct log_limiter_fixture {
  std::uint64_t admitted(int Lines) {
    std::uint64_t Admitted = 0;
    for (int Count = 0; Count < Lines; ++Count)
      Admitted += Limiter.admit("request-refused", Now) ? 1 : 0;
    return Admitted;
  }

  instant Now{std::chrono::seconds(100)};
  log_limiter Limiter;
};

/// Standard output is a pipe that nobody reads, until the end.
struct full_output_fixture {
  full_output_fixture() {
    REQUIRE(pipe2(Ends, O_CLOEXEC) == 0);
    Saved = dup(STDOUT_FILENO);
    dup2(Ends[1], STDOUT_FILENO);
  }
  ~full_output_fixture() { restore(); }

  void restore() {
    if (Saved < 0)
      return;
    dup2(Saved, STDOUT_FILENO);
    close(Saved);
    close(Ends[0]);
    close(Ends[1]);
    Saved = -1;
  }

  int Ends[2] = {-1, -1};
  int Saved = -1;
};

} // namespace

TEST_CASE_FIXTURE(log_limiter_fixture, "admit_manyLines_boundedEachSecond") {
  CHECK(admitted(1'000) == log_limiter::LinesPerSecond);
  Now += std::chrono::seconds(1);
  CHECK(admitted(1'000) == log_limiter::LinesPerSecond);
}

TEST_CASE_FIXTURE(log_limiter_fixture, "takeLeftOut_linesLeftOut_countedOnce") {
  admitted(1'000);
  const auto LeftOut = Limiter.takeLeftOut(Now);
  REQUIRE(LeftOut.size() == 1);
  CHECK(LeftOut.front().Count == 1'000 - log_limiter::LinesPerSecond);
  Now += std::chrono::seconds(2);
  CHECK(Limiter.takeLeftOut(Now).empty());
}

TEST_CASE_FIXTURE(full_output_fixture, "logEvent_nobodyReads_returns") {
  startEventLog("event_log_test", "vm-1");
  // Far more than a pipe holds; a write that blocked would end the test.
  const std::string Text(500, 'x');
  for (int Event = 0; Event < 2'000; ++Event) {
    const std::string Name = "event-" + std::to_string(Event);
    logEvent(log_level::Info, Name, {{"text", std::string_view(Text)}});
  }
  restore();
  CHECK(true);
}
