#include "coordination/hosting/hosting_machine.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace peridot {

namespace {

/// Demands are reported every this many ticks.
constexpr std::uint64_t TicksPerDemandReport = 2;
/// How long shares may be used without being computed anew. The others count
/// this VM's part as free view_agreement_options::LeaseTime after its last
/// report, which may be older than the shares by a tick.
constexpr duration ShareLease =
    view_agreement_options{}.LeaseTime - HostingTickPeriod;

bool isHostOf(std::span<const vm_name> Hosts, const vm_name &Vm) {
  return std::ranges::find(Hosts, Vm) != Hosts.end();
}

} // namespace

hosting_machine::hosting_machine(const vm_name &Self,
                                 const data_center_name &DataCenter,
                                 const rate_tolerance &Tolerance,
                                 const departed_vm_options &DepartedOptions)
    : Self(Self), DataCenter(DataCenter), Election(Self, DataCenter),
      Departed(Self, DepartedOptions), Demands({.Tolerance = Tolerance}),
      Views(Self, DataCenter), Buckets(ShareLease), Room(DataCenter) {}

hosting_machine::effects hosting_machine::handle(const hosting_event &Event,
                                                 const limits_in_force &Limits,
                                                 instant Now) {
  step Step{.Limits = Limits, .Now = Now, .Effects = {}};
  std::visit([&](const auto &Each) { on(Each, Step); }, Event);
  return std::move(Step.Effects);
}

void hosting_machine::on(const hosting_ticked &Event, step &Step) {
  OwnServices = Event.Services;
  Election.setSelfReady(isReady(Step.Limits));
  Election.fitHostCount(Step.Now);
  updateLimitShares(Step);
  updateQuotas(Step);
  sendReports(Step);
  ReportedLocalVersion = Views.localVersion(Step.Now);
  reportDataCenter(Step);
  LastTick = Step.Now;
  ++Ticks;
}

void hosting_machine::on(const first_configuration_accepted & /*Event*/,
                         step &Step) {
  // The first division decides how soon this VM's shares grow, so it has to
  // count this VM as a host if it is one.
  Election.setSelfReady(isReady(Step.Limits));
  updateLimitShares(Step);
}

void hosting_machine::on(const hosting_leave_started & /*Event*/, step &Step) {
  IsLeaving = true;
  Election.setSelfReady(false);
  // The shares end before the report that frees them.
  adoptView(unused_responses::Keep, Step);
  sendReports(Step);
}

void hosting_machine::on(const host_report_received &Event, step &Step) {
  const host_report &Report = Event.Report;
  Election.recordReport(Event.Sender, Report, Step.Now);
  Views.recordReport(Event.Sender, Report.View, Step.Now);
  if (Report.Leaving)
    Room.forgetHost(Event.Sender);
  else if (Report.Services)
    Room.recordReport(Event.Sender, *Report.Services, Step.Now);
  if (Report.Leaving)
    Demands.forgetHost(Event.Sender);
  else if (!Report.Demands.empty())
    Demands.recordReport(Event.Sender, Report.Demands, Step.Now);
  const bool IsInView = isHostOf(Views.hostsOf(DataCenter), Event.Sender);
  followReport(IsInView && (Report.Leaving || !Report.Ready), Step);
}

void hosting_machine::on(const data_center_report_received &Event, step &Step) {
  const data_center_report &Report = Event.Report;
  if (Report.DataCenter == DataCenter)
    return;
  Election.recordReport(Report, Step.Now);
  Demands.recordReport(Report, Step.Now);
  if (Report.Services)
    Room.recordReport(Report.DataCenter, *Report.Services, Step.Now);
  if (Event.SenderDataCenter != DataCenter)
    forwardReport(Report, Step);
  if (!Views.recordReport(Report, Step.Now))
    Step.Effects.emplace_back(
        contradictory_report{.Sender = Event.Sender,
                             .DataCenter = Report.DataCenter,
                             .Version = Report.View});
  followReport(!std::ranges::is_permutation(Report.Hosts,
                                            Views.hostsOf(Report.DataCenter)),
               Step);
}

void hosting_machine::on(const share_exhausted &Event, step &Step) {
  const vm_name Primary = primaryOf(Event.Account, Fleet.StableHosts);
  if (!Primary.empty() && Primary != Self)
    Step.Effects.emplace_back(outgoing_host_message{
        .Recipients = {Primary},
        .Message = reserve_request{.Account = Event.Account, .Requests = 1}});
}

void hosting_machine::on(const reserve_requested &Event, step &Step) {
  const reserve_request &Request = Event.Request;
  const unsigned Granted =
      Buckets.grantFromReserve(Request.Account, Request.Requests, Step.Now);
  // A denial (0 requests) is sent too, so that the requester refuses its
  // caller's request at once instead of waiting for a grant.
  Step.Effects.emplace_back(
      outgoing_host_message{.Recipients = {Event.Sender},
                            .Message = reserve_grant{.Account = Request.Account,
                                                     .Requests = Granted}});
}

void hosting_machine::on(const reserve_granted &Event, step & /*Step*/) {
  Buckets.addGrant(Event.Grant.Account, Event.Grant.Requests);
}

void hosting_machine::updateLimitShares(step &Step) {
  const auto NewDemands = Buckets.takeDemand(
      std::max<duration>(Step.Now - LastTick, std::chrono::milliseconds(1)));
  Demands.recordDemand(NewDemands);
  adoptView(unused_responses::Age, Step);
}

bool hosting_machine::adoptView(unused_responses Responses, step &Step) {
  const instant Now = Step.Now;
  const std::size_t PreviousCount = Fleet.count();
  Fleet = Election.fleetHosts(Now);
  const bool IsNew = Views.adopt(Fleet, Step.Limits.Hash, Now);
  const bool IsAgreed = Views.isAgreed(Now);
  if (IsNew || IsAgreed != IsAgreementApplied)
    Step.Effects.emplace_back(
        hosts_view_changed{.Version = Views.version(),
                           .HostCount = Fleet.count(),
                           .SilentHostCount = Fleet.SilentHostCount,
                           .IsAgreed = IsAgreed});
  IsAgreementApplied = IsAgreed;
  if (Step.Limits.IsKnown) {
    const auto Shares =
        Demands.shares(Step.Limits.Accounts,
                       {.Hosts = Fleet.Hosts,
                        .SilentHostCount = Fleet.SilentHostCount,
                        .StableHosts = Fleet.StableHosts,
                        .RegisteredCount = Election.registeredCount(),
                        .IsAgreed = IsAgreed},
                       Self, Now);
    Buckets.configure(Shares, Now, Responses);
    reportIdleParts(Shares, Step);
  }
  if (Fleet.count() != PreviousCount)
    Step.Effects.emplace_back(host_count_changed{});
  return IsNew;
}

void hosting_machine::followReport(bool HostsChanged, step &Step) {
  const instant Now = Step.Now;
  bool IsNew = false;
  if (HostsChanged || (!IsAgreementApplied && Views.isAgreed(Now)))
    IsNew = adoptView(unused_responses::Keep, Step);
  if (IsNew && Election.isSelfReporter(Now))
    sendView(Step);
  const view_version Local = Views.localVersion(Now);
  if (Local != 0 && Local != ReportedLocalVersion) {
    ReportedLocalVersion = Local;
    reportDataCenter(Step);
  }
}

host_report hosting_machine::briefReport(const limits_in_force &Limits) const {
  host_report Report{
      .Ready = isReady(Limits), .Leaving = IsLeaving, .View = Views.version()};
  for (const account_demand &Each : Demands.ownDemand())
    Report.RequestsPerSecond += Each.PerSecond;
  return Report;
}

void hosting_machine::sendView(step &Step) {
  outgoing_host_message Outgoing{.Message = briefReport(Step.Limits)};
  for (const registered_vm &Vm : Election.hosts(DataCenter, Step.Now))
    if (Vm.Vm != Self)
      Outgoing.Recipients.push_back(Vm.Vm);
  Step.Effects.emplace_back(std::move(Outgoing));
}

void hosting_machine::updateQuotas(step &Step) {
  const room_hosts Hosts{.Count = Election.hosts(DataCenter, Step.Now).size(),
                         .RegisteredCount = Election.localPeers().size() + 1,
                         .DataCenters = Election.dataCenters()};
  auto Next = Room.quotas(OwnServices, Hosts, Step.Now);
  if (Next == Quotas)
    return;
  Quotas = std::move(Next);
  Step.Effects.emplace_back(service_quotas_changed{.Quotas = Quotas});
}

void hosting_machine::reportIdleParts(
    std::span<const account_limit_share> Shares, step &Step) {
  const unsigned Refusals = Buckets.takeRefusalsBesideIdlePart();
  if (Refusals == 0)
    return;
  refused_beside_idle_part Effect{.Refusals = Refusals,
                                  .HostCount = Fleet.count()};
  for (const account_limit_share &Each : Shares)
    Effect.IdlePerSecond += Each.IdlePerSecond;
  Step.Effects.emplace_back(Effect);
}

void hosting_machine::sendReports(step &Step) {
  if (!Election.isSelfReporter(Step.Now) && !IsLeaving)
    return;
  host_report Report = briefReport(Step.Limits);
  outgoing_host_message Brief{.Message = Report};
  if (Ticks % TicksPerDemandReport == 0) {
    Demands.markDemandReported();
    Report.Demands.assign(Demands.ownDemand().begin(),
                          Demands.ownDemand().end());
  }
  if (!OwnServices.Slots.empty())
    Report.Services = OwnServices.Demands;
  outgoing_host_message Full{.Message = std::move(Report)};
  std::set<vm_name> Notified;
  for (const vm_name &Name : Election.reporters(Step.Now))
    if (Name != Self && Notified.insert(Name).second)
      Full.Recipients.push_back(Name);
  for (const vm_name &Name : localPeers(Step.Now))
    if (Notified.insert(Name).second)
      Brief.Recipients.push_back(Name);
  Step.Effects.emplace_back(std::move(Full));
  Step.Effects.emplace_back(std::move(Brief));
}

std::vector<vm_name> hosting_machine::localPeers(instant Now) const {
  std::vector<vm_name> Names = Election.localPeers();
  std::ranges::move(Departed.reportRecipients(DataCenter, Now),
                    std::back_inserter(Names));
  return Names;
}

void hosting_machine::reportDataCenter(step &Step) {
  const instant Now = Step.Now;
  const std::vector<vm_name> OwnStableHosts =
      Election.stableHosts(DataCenter, Now);
  const auto Found = std::ranges::find(OwnStableHosts, Self);
  if (Found == OwnStableHosts.end())
    return;
  data_center_report Report{.DataCenter = DataCenter,
                            .Weights = Demands.weights()};
  if (!OwnServices.Slots.empty())
    Report.Services = Room.localDemands(OwnServices, Now);
  for (const registered_vm &Vm : Election.hosts(DataCenter, Now))
    Report.Hosts.push_back(Vm.Vm);
  // A host may have fallen silent since the view was adopted.
  if (std::ranges::is_permutation(Report.Hosts, Views.hostsOf(DataCenter)))
    Report.View = Views.localVersion(Now);
  // Stable hosts send to different VMs of the other data centre, so that there
  // are two paths to it, and to another one at each tick, as one that was lost
  // may still be among them.
  const auto Index =
      static_cast<std::size_t>(Found - OwnStableHosts.begin()) + Ticks;
  outgoing_host_message Outgoing{.Message = std::move(Report)};
  for (const data_center_name &Each : Election.dataCenters()) {
    const std::vector<vm_name> RemoteHosts =
        Election.reportRecipients(Each, Now);
    if (Each != DataCenter && !RemoteHosts.empty())
      Outgoing.Recipients.push_back(RemoteHosts[Index % RemoteHosts.size()]);
  }
  for (const emptied_data_center &Each : Departed.emptiedDataCenters())
    if (Each.DataCenter != DataCenter)
      Outgoing.Recipients.push_back(Each.LastVms[Index % Each.LastVms.size()]);
  Step.Effects.emplace_back(std::move(Outgoing));
}

void hosting_machine::forwardReport(const data_center_report &Report,
                                    step &Step) {
  const std::vector<vm_name> Reporters = Election.reporters(Step.Now);
  outgoing_host_message Full{.Message = Report};
  outgoing_host_message Brief{
      .Message = data_center_report{.DataCenter = Report.DataCenter,
                                    .Hosts = Report.Hosts,
                                    .View = Report.View}};
  for (const vm_name &Name : localPeers(Step.Now))
    (isHostOf(Reporters, Name) ? Full : Brief).Recipients.push_back(Name);
  Step.Effects.emplace_back(std::move(Full));
  Step.Effects.emplace_back(std::move(Brief));
}

} // namespace peridot
