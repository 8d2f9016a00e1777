#include "coordination/membership/preferred_vms.h"

#include <algorithm>

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct preferred_vms_fixture {
  std::vector<member> Members;
  account_name Account{"keepers"};

  preferred_vms_fixture() {
    for (int Index = 0; Index < 12; ++Index)
      Members.push_back(
          {.Vm = vm_name("vm-" + std::to_string(Index)),
           .DataCenter = data_center_name(Index % 2 ? "a" : "b")});
  }
};

} // namespace

TEST_CASE_FIXTURE(preferred_vms_fixture,
                  "preferredVms_twoDataCenters_choosesCountInEach") {
  const auto Preferred = preferredVms(Account, Members, 3);
  CHECK(Preferred.size() == 6);
  std::ranges::reverse(Members);
  CHECK(preferredVms(Account, Members, 3) == Preferred);
}

TEST_CASE_FIXTURE(preferred_vms_fixture,
                  "preferredVms_oneVmLeaving_keepsOthers") {
  const auto Before = preferredVms(Account, Members, 2);
  for (member &Member : Members)
    Member.Leaving = Member.Vm == Before[0];
  const auto After = preferredVms(Account, Members, 2);
  CHECK(std::ranges::find(After, Before[0]) == After.end());
  for (std::size_t Index = 1; Index < Before.size(); ++Index)
    CHECK(std::ranges::find(After, Before[Index]) != After.end());
}
