#include "model/state_digest.h"

#include <variant>

namespace peridot {

void state_digest::add(std::uint64_t Number) {
  // splitmix64 of the sum: any order-dependent mixing with good diffusion.
  Value = (std::rotl(Value, 23) ^ Number) * 0xbf58476d1ce4e5b9;
  Value = (Value ^ (Value >> 29U)) * 0x94d049bb133111eb;
  Value ^= Value >> 32U;
}

void state_digest::add(std::string_view Text) {
  add(std::uint64_t{Text.size()});
  std::uint64_t Word = 0;
  std::size_t Index = 0;
  for (const char Each : Text) {
    Word = Word << 8U | static_cast<unsigned char>(Each);
    if (++Index % sizeof(Word) == 0)
      add(Word);
  }
  add(Word);
}

void state_digest::add(const rate_limit &Limit) {
  add(Limit.RequestsPerSecond);
  add(Limit.Burst);
}

void state_digest::add(const account_demand &Demand) {
  add(Demand.Account);
  add(Demand.PerSecond);
}

void state_digest::add(const account_weight &Weight) {
  add(Weight.Account);
  add(Weight.Weight);
}

void state_digest::add(const data_center_hosts &Hosts) {
  add(Hosts.DataCenter);
  add(Hosts.Hosts);
}

void state_digest::add(const fleet_hosts &Fleet) {
  add(Fleet.Hosts);
  add(Fleet.StableHosts);
  add(Fleet.DataCenters);
  add(std::uint64_t{Fleet.SilentHostCount});
}

void state_digest::add(const host_report &Report) {
  add(Report.Ready);
  add(Report.Leaving);
  add(Report.RequestsPerSecond);
  add(Report.Demands);
  add(Report.View);
}

void state_digest::add(const data_center_report &Report) {
  add(Report.DataCenter);
  add(Report.Hosts);
  add(Report.Weights);
  add(Report.View);
}

void state_digest::add(const reserve_request &Request) {
  add(Request.Account);
  add(Request.Requests);
}

void state_digest::add(const reserve_grant &Grant) {
  add(Grant.Account);
  add(Grant.Requests);
}

void state_digest::add(const host_message &Message) {
  add(std::uint64_t{Message.index()});
  std::visit([this](const auto &Each) { add(Each); }, Message);
}

void state_digest::add(const host_election::known_vm &Known) {
  add(Known.Vm.DataCenter);
  add(Known.Vm.Incarnation.Value);
  add(Known.Vm.MaxRequestsPerSecond);
  add(Known.Rank);
  add(Known.ListedAt);
  add(Known.LastSeenAt);
  add(Known.Ready);
  add(Known.RequestsPerSecond);
}

void state_digest::add(const host_election::reported_data_center &Reported) {
  add(Reported.ReceivedAt);
  add(Reported.Hosts);
}

void state_digest::add(const host_election &Election) {
  add(Election.IsSelfReady);
  add(Election.Vms);
  add(Election.RemoteDataCenters);
  add(Election.Fitted.PerSecond);
  add(Election.Fitted.LowSince);
}

void state_digest::add(const demand_shares::reported_demand &Reported) {
  add(Reported.ReceivedAt);
  add(Reported.PerSecond);
}

void state_digest::add(const demand_shares::reported_data_center &Reported) {
  add(Reported.ReceivedAt);
  add(std::uint64_t{Reported.Hosts});
  add(Reported.Weights);
}

void state_digest::add(const demand_shares::fraction_in_use &Fraction) {
  add(Fraction.Current);
  add(Fraction.MinComputed);
}

void state_digest::add(const demand_shares::limit_in_use &InUse) {
  add(InUse.Part);
  add(InUse.Divided);
  add(InUse.Reserve);
}

void state_digest::add(const demand_shares &Demands) {
  add(Demands.LocalHosts);
  add(Demands.DataCenters);
  add(Demands.OwnDemand);
  add(Demands.ReportedOwnDemand);
  add(Demands.LimitsInUse);
  add(Demands.PeriodStart);
  add(Demands.FirstDivisionAt);
}

void state_digest::add(const view_agreement::reported_version &Reported) {
  add(Reported.Version);
  add(Reported.ReceivedAt);
}

void state_digest::add(const view_agreement &Views) {
  add(Views.Version);
  add(Views.AdoptedAt);
  add(Views.IsReused);
  add(Views.HasSilentHosts);
  add(Views.Hosts);
  add(Views.LeftAt);
  add(Views.LocalVms);
  add(Views.DataCenters);
}

void state_digest::add(const sliding_count &Count) {
  add(Count.SlotLength);
  add(static_cast<std::uint64_t>(Count.LatestSlot));
  for (const std::uint32_t Each : Count.Counts)
    add(std::uint64_t{Each});
}

void state_digest::add(const account_buckets::token_bucket &Bucket) {
  add(Bucket.Limit);
  add(Bucket.Tokens);
  add(Bucket.RefilledAt);
  add(Bucket.Window);
  add(Bucket.BurstPerWindow);
  add(Bucket.BurstRefillsFrom);
  add(Bucket.TakenInWindow);
}

void state_digest::add(const account_buckets::bucket &Bucket) {
  add(Bucket.OwnShare);
  add(Bucket.Reserve);
  add(Bucket.AccountLimit);
  add(Bucket.Primary);
  for (const auto &Each : {Bucket.Granted, Bucket.Denied}) {
    add(Each.Count);
    add(Each.OldCount);
  }
  add(Bucket.IsLimited);
  add(Bucket.HasIdlePart);
  add(Bucket.RequestCount);
}

void state_digest::add(const account_buckets &Buckets) {
  // The table has no order: add up digests of the entries.
  std::uint64_t Sum = 0;
  for (const auto &[Name, Bucket] : Buckets.Buckets) {
    state_digest Entry;
    Entry.add(Name);
    Entry.add(Bucket);
    Sum += Entry.Value;
  }
  add(Sum);
  add(Buckets.ConfiguredAt);
  add(Buckets.RefusalsBesideIdlePart);
}

void state_digest::add(const hosting_machine &Machine) {
  add(Machine.Election);
  add(Machine.Demands);
  add(Machine.Views);
  add(Machine.Buckets);
  add(Machine.LastTick);
  add(Machine.Ticks);
  add(Machine.Fleet);
  add(Machine.IsAgreementApplied);
  add(Machine.ReportedLocalVersion);
  add(Machine.IsLeaving);
}

} // namespace peridot
