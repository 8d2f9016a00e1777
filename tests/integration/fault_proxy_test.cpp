#include <doctest/doctest.h>

#include "support/fleet_fixture.h"

using namespace peridot::test;

namespace {

struct fault_proxy_fixture : fleet_fixture {
  running_target &Target = addTarget("hive-1", "lakes-a");
  running_proxy &Proxy = addProxy(Target.Port);

  client_response call(const std::string &Id) const {
    return httpCall(Proxy.Port, {.Method = "POST",
                                 .Path = "/x",
                                 .Fields = {{"X-Request-Id", Id}},
                                 .Body = Id});
  }
};

} // namespace

TEST_CASE_FIXTURE(fault_proxy_fixture, "proxy_noFaults_responseForwarded") {
  CHECK(call("r1").Body == "r1");
}

TEST_CASE_FIXTURE(fault_proxy_fixture, "proxy_truncation_responseIncomplete") {
  Proxy.setFaults("backward_truncate_at=30");
  CHECK(call("r1").Status == 0);
}

TEST_CASE_FIXTURE(fault_proxy_fixture,
                  "proxy_backwardCut_requestRunsWithoutResponse") {
  Proxy.setFaults("backward_cut=1");
  std::thread Caller([this] { call("r1"); });
  awaitCondition("execution of r1", [&] {
    return Target.executions().find("r1") != std::string::npos;
  });
  Proxy.Process->signal(SIGKILL);
  Caller.join();
}

TEST_CASE_FIXTURE(fault_proxy_fixture,
                  "proxy_crossedResponses_sentToOtherConnection") {
  Proxy.setFaults("crossed=1");
  Target.setBehaviour("delay_ms=300");
  client_response First;
  std::thread Caller([&] { First = call("r1"); });
  awaitCondition("execution of r1", [&] {
    return Target.executions().find("r1") != std::string::npos;
  });
  const client_response Second = call("r2");
  Caller.join();
  CHECK(First.Body != "r1");
  CHECK(Second.Body != "r2");
}
