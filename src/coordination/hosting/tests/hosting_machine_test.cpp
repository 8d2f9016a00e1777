#include "coordination/hosting/hosting_machine.h"

#include <algorithm>
#include <optional>

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

const data_center_name Here("here");
const vm_name Self("self");
const vm_name Peer("peer");
const service_name Api("api");

/// Two hosts of one data centre.
struct hosting_machine_fixture {
  hosting_machine_fixture() {
    const std::vector<ranked_vm> Vms{
        {.Vm = {.Vm = Self, .DataCenter = Here}, .Rank = 1},
        {.Vm = {.Vm = Peer, .DataCenter = Here}, .Rank = 2}};
    Machine.start(Now);
    Machine.election().setRegisteredVms(Vms, Now);
    hear(std::nullopt);
  }

  hosting_machine::effects handle(const hosting_event &Event) {
    return Machine.handle(Event, {.IsKnown = true}, Now);
  }
  void hear(const std::optional<std::vector<service_demand>> &Services) {
    handle(host_report_received{
        .Sender = Peer, .Report = {.Ready = true, .Services = Services}});
  }
  hosting_machine::effects tick(double Demand) {
    Now += HostingTickPeriod;
    return handle(hosting_ticked{
        .Services = {.Slots = {{.Service = Api, .Slots = {{Here, 100}}}},
                     .Demands = {{Api, Demand}}}});
  }
  /// Returns the quota that a tick announces; empty if it announces none.
  static std::optional<std::size_t>
  quotaIn(const hosting_machine::effects &Effects) {
    for (const hosting_effect &Each : Effects)
      if (const auto *Changed = std::get_if<service_quotas_changed>(&Each))
        return Changed->Quotas.empty() ? 0 : Changed->Quotas[0].Slots;
    return std::nullopt;
  }

  instant Now{1h};
  hosting_machine Machine{Self, Here, {}};
};

} // namespace

// Guards against quotas that do not follow demand within a second.
TEST_CASE_FIXTURE(hosting_machine_fixture, "tick_peerReports_quotaFollows") {
  CHECK_FALSE(quotaIn(tick(60)));
  hear(std::vector<service_demand>{{Api, 60}});
  const auto Even = quotaIn(tick(60));
  REQUIRE(Even);
  hear(std::vector<service_demand>{{Api, 300}});
  const auto Less = quotaIn(tick(60));
  REQUIRE(Less);
  CHECK(*Less < *Even * 2 / 3);
}

TEST_CASE_FIXTURE(hosting_machine_fixture, "tick_withServices_demandReported") {
  hear(std::vector<service_demand>{});
  const auto Effects = tick(7);
  CHECK(std::ranges::any_of(Effects, [](const hosting_effect &Each) {
    const auto *Outgoing = std::get_if<outgoing_host_message>(&Each);
    const auto *Report =
        Outgoing ? std::get_if<host_report>(&Outgoing->Message) : nullptr;
    return Report && Report->Services &&
           *Report->Services == std::vector<service_demand>{{Api, 7}} &&
           std::ranges::find(Outgoing->Recipients, Peer) !=
               Outgoing->Recipients.end();
  }));
}
