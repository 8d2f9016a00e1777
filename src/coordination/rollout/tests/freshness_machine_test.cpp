#include "coordination/rollout/freshness_machine.h"

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

struct freshness_fixture {
  freshness_machine Machine{{.ConfirmedLimit = 4s, .AwayLimit = 3s}};
  instant Start = instant{} + 100s;
  data_center_name Own{"lakes-a"};
  std::vector<member> Members{{.Vm = vm_name("vm-1"), .DataCenter = Own},
                              {.Vm = vm_name("vm-2"), .DataCenter = Own}};

  void addDataCenter(std::string_view Name) {
    Members.push_back({.Vm = vm_name("vm-" + std::string(Name)),
                       .DataCenter = data_center_name(Name)});
  }

  void hear(std::string_view DataCenter, platform_state State,
            std::uint64_t Revision, instant AskedAt, duration Age = {}) {
    Machine.handle(reports_received{
        .Reports = {{.DataCenter = numberOf(data_center_name(DataCenter)),
                     .State = State,
                     .Revision = {Revision},
                     .Age = Age}},
        .InForce = {},
        .AskedAt = AskedAt});
  }

  freshness_basis judge(instant Now, std::uint64_t InForce = 5) const {
    return Machine
        .judge({.Now = Now,
                .InForce = {InForce},
                .Self = vm_name("vm-1"),
                .DataCenter = Own,
                .Members = Members})
        .Basis;
  }
};

} // namespace

TEST_CASE_FIXTURE(freshness_fixture, "judge_confirmation_expires") {
  CHECK(judge(Start) == freshness_basis::Stale);
  hear("lakes-b", platform_state::Confirmed, 5, Start);
  CHECK(judge(Start + 4s) == freshness_basis::Confirmed);
  CHECK(judge(Start + 4001ms) == freshness_basis::Stale);
}

TEST_CASE_FIXTURE(freshness_fixture, "judge_agedReport_ageCounts") {
  hear("lakes-b", platform_state::Confirmed, 5, Start, 3s);
  CHECK(judge(Start + 1s) == freshness_basis::Confirmed);
  CHECK(judge(Start + 1001ms) == freshness_basis::Stale);
}

TEST_CASE_FIXTURE(freshness_fixture, "judge_confirmationOfHigher_notFresh") {
  hear("lakes-b", platform_state::Confirmed, 6, Start);
  CHECK(judge(Start) == freshness_basis::Stale);
  CHECK(judge(Start, 6) == freshness_basis::Confirmed);
}

TEST_CASE_FIXTURE(freshness_fixture, "judge_olderReportLate_newerKept") {
  hear("lakes-b", platform_state::Confirmed, 5, Start + 3s);
  hear("lakes-b", platform_state::Confirmed, 5, Start);
  CHECK(judge(Start + 6s) == freshness_basis::Confirmed);
}

TEST_CASE_FIXTURE(freshness_fixture, "judge_awayEverywhere_goesOn") {
  addDataCenter("lakes-b");
  addDataCenter("lakes-c");
  hear("lakes-a", platform_state::Away, 5, Start);
  hear("lakes-b", platform_state::Away, 5, Start);
  CHECK(judge(Start) == freshness_basis::Stale);
  hear("lakes-c", platform_state::Away, 4, Start);
  CHECK(judge(Start + 3s) == freshness_basis::PlatformAway);
  CHECK(judge(Start + 3001ms) == freshness_basis::Stale);
}

TEST_CASE_FIXTURE(freshness_fixture, "judge_awayButHigherKnown_notFresh") {
  hear("lakes-a", platform_state::Away, 6, Start);
  CHECK(judge(Start) == freshness_basis::Stale);
  CHECK(judge(Start, 6) == freshness_basis::PlatformAway);
  Machine.handle(revision_heard{{7}});
  CHECK(judge(Start, 6) == freshness_basis::Stale);
}

TEST_CASE_FIXTURE(freshness_fixture, "judge_cutOffFeeder_ownWordNotEnough") {
  Machine.handle(platform_called{Own, platform_state::Away, {5}, Start});
  CHECK(judge(Start) == freshness_basis::Stale);
  Machine.handle(reports_received{.InForce = {5}, .AskedAt = Start});
  CHECK(judge(Start) == freshness_basis::PlatformAway);
  addDataCenter("lakes-b");
  CHECK(judge(Start) == freshness_basis::Stale);
}

TEST_CASE_FIXTURE(freshness_fixture, "judge_onlyVm_ownWordEnough") {
  Members.resize(1);
  Machine.handle(platform_called{Own, platform_state::Away, {5}, Start});
  CHECK(judge(Start + 3s) == freshness_basis::PlatformAway);
  CHECK(judge(Start + 4s) == freshness_basis::Stale);
  Members.clear(); // Others may exist that know more.
  CHECK(judge(Start) == freshness_basis::Stale);
}
