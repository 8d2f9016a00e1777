#include "coordination/capacity/service_room.h"

#include <optional>
#include <string>

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

const service_name Api("api");
const data_center_name Here("here");
const data_center_name There("there");

/// One of twenty hosts before 345 slots in its data centre, with another data
/// centre of the same size.
struct service_room_fixture {
  static constexpr std::size_t HostCount = 20;
  static constexpr std::size_t Slots = 345;

  service_room Room{Here};
  instant Now{1h};
  std::vector<data_center_name> WithVms{Here, There};
  own_services Own{.Slots = {{.Service = Api, .Slots = {{Here, Slots}}}}};

  void reportOthers(double EachDemand, std::size_t Reporting = HostCount - 1) {
    const std::vector<service_demand> Demands{{Api, EachDemand}};
    for (std::size_t Index = 0; Index < Reporting; ++Index)
      Room.recordReport(vm_name("vm-" + std::to_string(Index)), Demands, Now);
  }
  void reportThere(double Demand) {
    Own.Slots[0].Slots[There] = Slots;
    Room.recordReport(There, std::vector<service_demand>{{Api, Demand}}, Now);
  }
  /// Returns the quota; empty if there is none.
  std::optional<std::size_t> quota(double OwnDemand,
                                   std::size_t Hosts = HostCount) {
    Own.Demands = {{Api, OwnDemand}};
    const auto Quotas = Room.quotas(
        Own,
        {.Count = Hosts, .RegisteredCount = HostCount, .DataCenters = WithVms},
        Now);
    if (Quotas.empty())
      return std::nullopt;
    return Quotas.front().Slots;
  }
};

} // namespace

// Guards against a limit in deployments of one host.
TEST_CASE_FIXTURE(service_room_fixture, "quotas_noOtherHostReported_none") {
  CHECK_FALSE(quota(5));
}

// Guards against hosts that each count all slots as their own, so that requests
// queue at the targets.
TEST_CASE_FIXTURE(service_room_fixture,
                  "quotas_shortage_addUpToSlotsAndHeadroom") {
  reportOthers(40);
  const std::size_t Busy = *quota(40);
  CHECK(Busy * HostCount >= Slots);
  CHECK(Busy * HostCount <= Slots * 5 / 4 + HostCount);
  // A host whose demand has just begun has an even part.
  CHECK(*quota(0) >= 4);
  // Quotas follow demand.
  CHECK(*quota(80) > Busy * 3 / 2);
}

// Guards against a quota that lets requests wait beside idle slots.
TEST_CASE_FIXTURE(service_room_fixture, "quotas_lightLoad_roomForBursts") {
  reportOthers(5);
  for (const double Demand : {0.0, 1.0, 5.0, 20.0})
    CHECK(static_cast<double>(*quota(Demand)) >= Demand + 30);
  reportOthers(12);
  CHECK(*quota(12) >= 24);
}

TEST_CASE_FIXTURE(service_room_fixture, "quotas_idleElsewhere_lent") {
  reportOthers(30);
  const std::size_t Alone = *quota(30);
  reportThere(60);
  CHECK(*quota(30) > Alone * 3 / 2);
  // Its own shortage goes before that of others.
  reportThere(600);
  CHECK(*quota(30) == Alone);
}

// Guards against slots of a data centre that cannot be reached.
TEST_CASE_FIXTURE(service_room_fixture,
                  "quotas_dataCentreCutOff_ownSlotsOnly") {
  reportOthers(30);
  const std::size_t Alone = *quota(30);
  reportThere(60);
  Now += 1'601ms;
  reportOthers(30);
  CHECK(*quota(30) == Alone);
}

// Guards against targets that nobody counts, as no VM is near them.
TEST_CASE_FIXTURE(service_room_fixture, "quotas_dataCentreWithoutVms_counted") {
  reportOthers(30);
  const std::size_t Alone = *quota(30);
  Own.Slots[0].Slots[There] = Slots;
  CHECK(*quota(30) == Alone);
  WithVms = {Here};
  CHECK(*quota(30) > Alone * 3 / 2);
}

// Guards against the quota of a dead host staying unused.
TEST_CASE_FIXTURE(service_room_fixture, "quotas_hostsDied_othersGetTheirs") {
  reportOthers(40);
  const std::size_t Before = *quota(40);
  Now += 1'601ms;
  reportOthers(40, HostCount / 2 - 1);
  CHECK(*quota(40, HostCount / 2) >= Before * 2 - 1);
}

// Guards against a VM that hears of nobody and takes or leaves everything.
TEST_CASE_FIXTURE(service_room_fixture, "quotas_reportsOld_evenShare") {
  reportOthers(40);
  quota(40);
  Now += 1'601ms;
  // Without reports the other hosts count as silent.
  CHECK(*quota(40, 1) == Slots / HostCount + 1);
  CHECK(*quota(0, 1) == Slots / HostCount + 1);
}

TEST_CASE_FIXTURE(service_room_fixture, "quotas_fewSlots_atLeastOne") {
  Own.Slots[0].Slots[Here] = 3;
  reportOthers(40);
  CHECK(*quota(0) == 1);
}

// Guards against unreported hosts whose demand counts as none.
TEST_CASE_FIXTURE(service_room_fixture, "quotas_missingReports_countAsMean") {
  reportOthers(40, 9);
  const std::size_t Missing = *quota(40);
  reportOthers(40);
  CHECK(*quota(40) == Missing);
}

TEST_CASE_FIXTURE(service_room_fixture, "localDemands_ownAndFresh_summed") {
  reportOthers(2);
  Own.Demands = {{Api, 3}};
  CHECK(Room.localDemands(Own, Now).front().Requests == 41);
  Now += 1'601ms;
  CHECK(Room.localDemands(Own, Now).front().Requests == 3);
}
