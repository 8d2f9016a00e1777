#include "coordination/capacity/urgency.h"

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

struct urgency_fixture {
  fleet_configuration Configuration{
      .Services = {{.Name = service_name("api"),
                    .Routes = {{.PathPrefix = "/a"}, {.PathPrefix = "/b"}}},
                   {.Name = service_name("other")}},
      .Accounts = {
          {.Name = account_name("x"), .Services = {service_name("api")}},
          {.Name = account_name("y"), .Services = {service_name("api")}}}};
  service &Api = Configuration.Services[0];

  bool hasPriorities() const {
    return peridot::hasPriorities(Configuration, Api);
  }
};

} // namespace

// Guards against a change of the order where nobody declared priorities.
TEST_CASE_FIXTURE(urgency_fixture, "hasPriorities_onePriority_false") {
  CHECK_FALSE(hasPriorities());
  Configuration.Accounts[0].Priority = 5;
  Configuration.Accounts[1].Priority = 5;
  CHECK_FALSE(hasPriorities());
}

TEST_CASE_FIXTURE(urgency_fixture, "hasPriorities_differentRoutes_true") {
  Api.Routes[0].Priority = 0;
  CHECK(hasPriorities());
}

// Guards against a split route whose second service misses the priorities.
TEST_CASE_FIXTURE(urgency_fixture, "hasPriorities_splitRoutes_trueForBoth") {
  Api.Routes[0].Split = {{service_name("other"), 1}, {service_name("api"), 1}};
  Configuration.Accounts[0].Priority = 1;
  CHECK(peridot::hasPriorities(Configuration, Configuration.Services[1]));
  CHECK(hasPriorities());
}

// Guards against a caller that starts at the end of the queue after each
// rejection.
TEST_CASE_FIXTURE(urgency_fixture, "urgencyOf_callerLeavesLess_hasWaited") {
  const route Route{.Deadline = 2s, .TargetLatency = 500ms};
  const instant Now{10s};
  const urgency Urgency = urgencyOf(
      nullptr, Route,
      {.ArrivedAt = Now, .TimeLeft = 1'700ms, .TypicalLatency = 80ms});
  CHECK(Urgency.WaitingSince == Now - 300ms);
  CHECK(Urgency.LatestTimelyStart == Now + 120ms);
}
