#include "coordination/rollout/freshness_machine.h"

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

struct freshness_fixture {
  freshness_machine Machine{
      {.MaxConfirmationAge = 4s, .MaxUnreachableAge = 3s}};
  instant Start = instant{} + 100s;
  data_center_name Own{"lakes-a"};
  std::vector<member> Members{{.Vm = vm_name("vm-1"), .DataCenter = Own},
                              {.Vm = vm_name("vm-2"), .DataCenter = Own}};

  void addDataCenter(std::string_view Name) {
    Members.push_back({.Vm = vm_name("vm-" + std::string(Name)),
                       .DataCenter = data_center_name(Name)});
  }

  void receiveReport(std::string_view DataCenter, platform_state State,
                     std::uint64_t Revision, instant RequestedAt,
                     duration Age = {}) {
    Machine.handle(reports_received{
        .Reports = {{.DataCenter = numberOf(data_center_name(DataCenter)),
                     .State = State,
                     .Revision = {Revision},
                     .Age = Age}},
        .InForce = {},
        .RequestedAt = RequestedAt});
  }

  freshness_basis basisAt(instant Now, std::uint64_t InForce = 5) const {
    return Machine
        .evaluate({.Now = Now,
                   .InForce = {InForce},
                   .Self = vm_name("vm-1"),
                   .DataCenter = Own,
                   .Members = Members})
        .Basis;
  }
};

} // namespace

TEST_CASE_FIXTURE(freshness_fixture, "evaluate_confirmationTooOld_stale") {
  CHECK(basisAt(Start) == freshness_basis::Stale);
  receiveReport("lakes-b", platform_state::Confirmed, 5, Start);
  CHECK(basisAt(Start + 4s) == freshness_basis::Confirmed);
  CHECK(basisAt(Start + 4001ms) == freshness_basis::Stale);
}

TEST_CASE_FIXTURE(freshness_fixture,
                  "evaluate_reportWithAge_expiresEarlierByAge") {
  receiveReport("lakes-b", platform_state::Confirmed, 5, Start, 3s);
  CHECK(basisAt(Start + 1s) == freshness_basis::Confirmed);
  CHECK(basisAt(Start + 1001ms) == freshness_basis::Stale);
}

TEST_CASE_FIXTURE(freshness_fixture, "evaluate_higherRevisionConfirmed_stale") {
  receiveReport("lakes-b", platform_state::Confirmed, 6, Start);
  CHECK(basisAt(Start) == freshness_basis::Stale);
  CHECK(basisAt(Start, 6) == freshness_basis::Confirmed);
}

TEST_CASE_FIXTURE(freshness_fixture,
                  "evaluate_olderReportReceivedLater_newerKept") {
  receiveReport("lakes-b", platform_state::Confirmed, 5, Start + 3s);
  receiveReport("lakes-b", platform_state::Confirmed, 5, Start);
  CHECK(basisAt(Start + 6s) == freshness_basis::Confirmed);
}

TEST_CASE_FIXTURE(freshness_fixture,
                  "evaluate_platformUnreachableEverywhere_fresh") {
  addDataCenter("lakes-b");
  addDataCenter("lakes-c");
  receiveReport("lakes-a", platform_state::Unreachable, 5, Start);
  receiveReport("lakes-b", platform_state::Unreachable, 5, Start);
  CHECK(basisAt(Start) == freshness_basis::Stale);
  receiveReport("lakes-c", platform_state::Unreachable, 4, Start);
  CHECK(basisAt(Start + 3s) == freshness_basis::PlatformUnreachable);
  CHECK(basisAt(Start + 3001ms) == freshness_basis::Stale);
}

TEST_CASE_FIXTURE(freshness_fixture,
                  "evaluate_platformUnreachableHigherRevisionReported_stale") {
  receiveReport("lakes-a", platform_state::Unreachable, 6, Start);
  CHECK(basisAt(Start) == freshness_basis::Stale);
  CHECK(basisAt(Start, 6) == freshness_basis::PlatformUnreachable);
  Machine.handle(revision_reported{{7}});
  CHECK(basisAt(Start, 6) == freshness_basis::Stale);
}

TEST_CASE_FIXTURE(freshness_fixture,
                  "evaluate_onlyOwnReport_staleUntilPeerResponds") {
  Machine.handle(
      platform_call_completed{Own, platform_state::Unreachable, {5}, Start});
  CHECK(basisAt(Start) == freshness_basis::Stale);
  Machine.handle(reports_received{.InForce = {5}, .RequestedAt = Start});
  CHECK(basisAt(Start) == freshness_basis::PlatformUnreachable);
  addDataCenter("lakes-b");
  CHECK(basisAt(Start) == freshness_basis::Stale);
}

TEST_CASE_FIXTURE(freshness_fixture,
                  "evaluate_onlyOwnReportWithoutPeers_fresh") {
  Members.resize(1);
  Machine.handle(
      platform_call_completed{Own, platform_state::Unreachable, {5}, Start});
  CHECK(basisAt(Start + 3s) == freshness_basis::PlatformUnreachable);
  CHECK(basisAt(Start + 4s) == freshness_basis::Stale);
  // Without a member list, unknown peers may know of a higher revision.
  Members.clear();
  CHECK(basisAt(Start) == freshness_basis::Stale);
}
