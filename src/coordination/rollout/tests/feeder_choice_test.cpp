#include "coordination/rollout/feeder_choice.h"

#include <map>

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

struct feeder_fixture {
  feeder_options Options;
  std::vector<member> Members;

  feeder_fixture() {
    for (int Index = 0; Index < 640; ++Index)
      Members.push_back(
          {.Vm = vm_name("vm-" + std::to_string(Index)),
           .DataCenter = data_center_name("dc-" + std::to_string(Index % 5))});
  }

  feeder_position of(const vm_name &Vm) const {
    for (const member &Member : Members)
      if (Member.Vm == Vm)
        return {Vm, Member.DataCenter, Members};
    return {};
  }

  std::size_t feeders(std::optional<duration> SinceReport) const {
    std::size_t Count = 0;
    for (const member &Member : Members)
      Count += shouldFeed(of(Member.Vm), SinceReport, Options) ? 1 : 0;
    return Count;
  }

  /// Questions until a feeder is reached.
  std::size_t hops(vm_name Vm) const {
    std::size_t Count = 0;
    while (!shouldFeed(of(Vm), 0s, Options)) {
      Vm = chooseInformants(of(Vm), Options).front();
      ++Count;
    }
    return Count;
  }
};

} // namespace

TEST_CASE_FIXTURE(feeder_fixture, "shouldFeed_feedersHeard_twoPerDataCenter") {
  CHECK(feeders(1s) == 10);
}

TEST_CASE_FIXTURE(feeder_fixture, "shouldFeed_feedersSilent_nextStepIn") {
  CHECK(feeders(2001ms) == 15);
  CHECK(feeders(2251ms) == 20);
  CHECK(feeders(std::nullopt) == 640);
}

TEST_CASE_FIXTURE(feeder_fixture, "chooseInformants_640Vms_fewHopsAndAskers") {
  std::map<vm_name, std::size_t> Askers;
  for (const member &Member : Members) {
    CHECK(hops(Member.Vm) <= 2);
    for (const vm_name &Asked : chooseInformants(of(Member.Vm), Options))
      ++Askers[Asked];
  }
  for (const auto &[Vm, Count] : Askers)
    CHECK(Count <= 13);
}

TEST_CASE_FIXTURE(feeder_fixture, "chooseInformants_feeder_asksDataCenters") {
  const vm_name Feeder = rankFeeders(data_center_name("dc-1"), Members).front();
  CHECK(chooseInformants(of(Feeder), Options).size() == 5);
}
