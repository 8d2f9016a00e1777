#include <doctest/doctest.h>

#include "support/process.h"

using namespace peridot::test;

namespace {

struct explain_fixture {
  /// Log line of \p Vm at \p Second seconds past the hour.
  static std::string line(const std::string &Vm, const std::string &Second,
                          const std::string &Fields) {
    return R"({"time":"2026-02-09T11:00:)" + Second +
           R"(Z","level":"info","vm":")" + Vm + "\"," + Fields + "}\n";
  }

  static std::string attempt(const std::string &Request,
                             const std::string &Target) {
    return R"("event":"attempt-ended","request":")" + Request +
           R"(","target":")" + Target + R"(","end":"timed-out")";
  }

  std::string Log =
      line("vm-1", "20.000", attempt("wanted", "hive-1")) +
      line("vm-2", "21.500", attempt("other", "hive-1")) +
      line("vm-2", "29.000", attempt("late", "hive-1")) +
      line("vm-1", "15.000", R"("event":"store-lost","cause":"no answer")") +
      line("vm-1", "02.000", R"("event":"listening")") +
      line("vm-2", "19.000", R"("event":"stop-asked")");

  finished_program explain(const std::string &Request) const {
    return runProgram("peridotctl", {"explain", "request", Request, "-"}, Log);
  }
  static bool contains(const finished_program &Program,
                       const std::string &Text) {
    return Program.Output.find(Text) != std::string::npos;
  }
};

} // namespace

TEST_CASE_FIXTURE(explain_fixture,
                  "explain_requestInLog_linesOfRequestAndRelatedEvents") {
  const finished_program Result = explain("wanted");
  CHECK(Result.ExitCode == 0);
  CHECK(contains(Result, "vm-1 attempt-ended"));
  CHECK(contains(Result, "at hive-1 within 2 s: 1 timed-out"));
  CHECK(contains(Result, "store-lost"));
  CHECK_FALSE(contains(Result, "listening"));  // Too long before the request.
  CHECK_FALSE(contains(Result, "stop-asked")); // On another VM.
}

TEST_CASE_FIXTURE(explain_fixture,
                  "explain_requestNotInLog_startsAndStopsOfVms") {
  const finished_program Result = explain("unknown");
  CHECK(Result.ExitCode == 1);
  CHECK(contains(Result, "no line has this request"));
  CHECK(contains(Result, "vm-2 stop-asked"));
  CHECK_FALSE(contains(Result, "attempt-ended"));
}

TEST_CASE_FIXTURE(explain_fixture,
                  "explain_logMissingOrUnreadable_usageError") {
  CHECK(runProgram("peridotctl", {"explain", "request", "wanted"}).ExitCode ==
        2);
  CHECK(runProgram("peridotctl", {"explain", "request", "wanted", "/nowhere"})
            .ExitCode == 2);
}
