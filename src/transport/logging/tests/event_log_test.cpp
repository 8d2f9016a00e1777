#include "transport/logging/event_log.h"

#include <fcntl.h>
#include <string>
#include <unistd.h>

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include "transport/logging/log_limiter.h"

using namespace peridot;

namespace {

struct log_limiter_fixture {
  std::uint64_t admitLines(int Lines) {
    std::uint64_t Admitted = 0;
    for (int Count = 0; Count < Lines; ++Count)
      Admitted += Limiter.admit("request-refused", Now) ? 1 : 0;
    return Admitted;
  }

  instant Now{std::chrono::seconds(100)};
  log_limiter Limiter;
};

/// Starts the log; a process can do so only once.
void startLogOnce() {
  static const bool IsStarted = [] {
    startEventLog("event_log_test", "vm-1");
    return true;
  }();
  static_cast<void>(IsStarted);
}

/// Standard output is a pipe, until restore() puts the original output back.
struct output_pipe_fixture {
  output_pipe_fixture() {
    REQUIRE(pipe2(PipeEnds, O_CLOEXEC) == 0);
    SavedOutput = dup(STDOUT_FILENO);
    dup2(PipeEnds[1], STDOUT_FILENO);
    startLogOnce();
  }
  ~output_pipe_fixture() { restore(); }

  void restore() {
    if (SavedOutput < 0)
      return;
    dup2(SavedOutput, STDOUT_FILENO);
    close(SavedOutput);
    close(PipeEnds[0]);
    close(PipeEnds[1]);
    SavedOutput = -1;
  }

  /// Returns the next line of the event log, and restores the output.
  std::string readEvent() {
    std::string Line;
    char Next = 0;
    while (read(PipeEnds[0], &Next, 1) == 1 &&
           !(Next == '\n' && Line.starts_with('{')))
      Line = Next == '\n' ? "" : Line + Next;
    restore();
    return Line;
  }

  int PipeEnds[2] = {-1, -1};
  int SavedOutput = -1;
};

} // namespace

TEST_CASE_FIXTURE(log_limiter_fixture,
                  "admit_manyLinesOfOneEvent_limitedPerSecond") {
  CHECK(admitLines(1'000) == log_limiter::MaxLinesPerSecond);
  Now += std::chrono::seconds(1);
  CHECK(admitLines(1'000) == log_limiter::MaxLinesPerSecond);
}

TEST_CASE_FIXTURE(log_limiter_fixture,
                  "takeDropped_linesOverLimit_reportedOnce") {
  admitLines(1'000);
  const auto Dropped = Limiter.takeDropped(Now);
  REQUIRE(Dropped.size() == 1);
  CHECK(Dropped.front().Count == 1'000 - log_limiter::MaxLinesPerSecond);
  Now += std::chrono::seconds(2);
  CHECK(Limiter.takeDropped(Now).empty());
}

// Guards against log lines that a reader of JSON refuses.
TEST_CASE_FIXTURE(output_pipe_fixture, "logEvent_textNotUtf8_lineValidJson") {
  // The limit of a text cuts the last character.
  const std::string Text = "\xff\n" + std::string(509, 'x') + "\xc3\xa9";
  logEvent(log_level::Info, "odd-text", {{"text", std::string_view(Text)}});
  const std::string Line = readEvent();
  boost::system::error_code Error;
  const auto Parsed = boost::json::parse(Line, Error);
  REQUIRE_FALSE(Error);
  CHECK(Parsed.at("text").as_string().starts_with("\xef\xbf\xbd\n"));
}

TEST_CASE_FIXTURE(output_pipe_fixture, "logEvent_outputPipeNotRead_returns") {
  // Exceeds the capacity of the pipe, so a blocking write would hang the test.
  const std::string Text(500, 'x');
  for (int Event = 0; Event < 2'000; ++Event) {
    const std::string Name = "event-" + std::to_string(Event);
    logEvent(log_level::Info, Name, {{"text", std::string_view(Text)}});
  }
  restore();
  CHECK(true);
}
