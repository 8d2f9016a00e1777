#include "transport/node/internal/hosting_driver.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "protocol/host_messages/host_codec.h"
#include "state/base/hashing.h"
#include "state/base/types/overloaded.h"
#include "transport/logging/event_log.h"

namespace peridot {

namespace {

/// Interval at which a waiting request checks for a grant from the primary.
constexpr std::chrono::milliseconds GrantPollInterval{4};
/// Maximum wait for a grant. Includes the time to open a link to the primary.
constexpr std::chrono::milliseconds GrantTimeout{500};
/// Time without a response after which the request or the grant counts as lost
/// and is requested again.
constexpr std::chrono::milliseconds GrantRetryInterval{150};
/// Fraction of the fleet's retry budget that is handed out. The rest covers
/// times at which VMs disagree on the number of hosts.
constexpr double UsableRetryFraction = 0.9;
/// Retries in a new budget. Kept low because callers may have moved here from
/// a VM that has just used up its own budget.
constexpr double InitialRetries = 1;

peer_address peerAddressOf(const registered_vm &Vm) {
  boost::system::error_code Error;
  const auto Address = boost::asio::ip::make_address(Vm.Address, Error);
  return {Vm.Vm, {Error ? boost::asio::ip::address() : Address, Vm.PeerPort}};
}

} // namespace

hosting_driver::hosting_driver(node_services &Services,
                               leaving_callback OnLeaving,
                               hosts_callback OnHosts)
    : Services(Services), OnLeaving(std::move(OnLeaving)),
      OnHosts(std::move(OnHosts)),
      Machine(Services.Self.Vm, Services.Settings.DataCenter,
              Services.Settings.RateTolerance,
              {.MaxStopTime = Services.Settings.ShutdownLimit}),
      Election(Machine.election()) {}

void hosting_driver::start() {
  Services.Peers.subscribe(frame_subject::Hosts,
                           [this](const peer_hello &Sender, bytes_view Body) {
                             receive(Sender, Body);
                           });
  Machine.start(Services.Timers.now());
  updateRetryBudgets();
  Timer = Services.Timers.every(HostingTickPeriod,
                                [this](instant Now) { tick(Now); });
}

void hosting_driver::apply(const store_items &Items, bool IsList) {
  if (IsList)
    RegisteredVms.clear();
  for (const store_item &Item : Items.Items) {
    const auto *Vm = std::get_if<registered_vm>(&Item.Content);
    if (Item.IsRemoved)
      RegisteredVms.erase(vm_name(Item.Name));
    else if (Vm)
      RegisteredVms[Vm->Vm] = {.Vm = *Vm, .Rank = Item.Revision};
  }
  std::vector<ranked_vm> Ranked;
  for (const auto &[Name, Each] : RegisteredVms)
    Ranked.push_back(Each);
  const instant Now = Services.Timers.now();
  Machine.departed().setRegisteredVms(Ranked, Now);
  updatePeers();
  Election.setRegisteredVms(Ranked, Now);
  updateHosting(Now);
}

void hosting_driver::updatePeers() {
  std::vector<peer_address> Peers;
  for (const auto &[Name, Each] : RegisteredVms)
    if (Name != Services.Self.Vm)
      Peers.push_back(peerAddressOf(Each.Vm));
  for (const registered_vm &Each : Machine.departed().reachable())
    Peers.push_back(peerAddressOf(Each));
  Services.Peers.setPeers(Peers);
}

void hosting_driver::tick(instant Now) {
  if (Machine.departed().dropEnded(Now))
    updatePeers();
  handle(hosting_ticked{.Services = ownServices(Now)}, Now);
  updateHosting(Now);
}

void hosting_driver::handle(const hosting_event &Event, instant Now) {
  const configuration_ptr Current = Services.Snapshots.current().Configuration;
  limits_in_force Limits{.IsKnown = Current != nullptr, .Hash = limitsHash()};
  if (Current)
    Limits.Accounts = Current->configuration().Accounts;
  for (const hosting_effect &Each : Machine.handle(Event, Limits, Now))
    std::visit([this](const auto &Effect) { perform(Effect); }, Each);
}

void hosting_driver::perform(const outgoing_host_message &Effect) {
  if (Effect.Recipients.empty())
    return;
  const auto Encoded = encodeHostMessage(Effect.Message);
  for (const vm_name &Each : Effect.Recipients)
    sendEncoded(Each, Encoded);
}

void hosting_driver::perform(const hosts_view_changed &Effect) {
  logEvent(log_level::Info, "hosts-view",
           {{"version", std::int64_t{Effect.Version}},
            {"hosts", static_cast<std::int64_t>(Effect.HostCount)},
            {"silent", static_cast<std::int64_t>(Effect.SilentHostCount)},
            {"agreed", Effect.IsAgreed}});
}

void hosting_driver::perform(const host_count_changed & /*Effect*/) {
  updateRetryBudgets();
}

void hosting_driver::perform(const refused_beside_idle_part &Effect) {
  Services.Metrics.getOrCreateCounter("peridot_refused_beside_idle_part_total")
      .add(Effect.Refusals);
  logEvent(log_level::Info, "limit-part-idle",
           {{"refused", std::int64_t{Effect.Refusals}},
            {"idle_per_s", Effect.IdlePerSecond},
            {"hosts", static_cast<std::int64_t>(Effect.HostCount)}});
}

void hosting_driver::perform(const contradictory_report &Effect) {
  logEvent(log_level::Warning, "hosts-view-contradictory",
           {{"sender", Effect.Sender.view()},
            {"data_center", Effect.DataCenter.view()},
            {"version", std::int64_t{Effect.Version}}});
}

void hosting_driver::perform(const service_quotas_changed &Effect) {
  // Each traffic thread gets an even part, rounded up.
  const std::size_t Threads = Services.Workers.size();
  std::vector<service_quota> Parts = Effect.Quotas;
  for (service_quota &Each : Parts)
    Each.Slots = (Each.Slots + Threads - 1) / Threads;
  for (const auto &Worker : Services.Workers)
    Worker->setServiceQuotas(Parts);
}

own_services hosting_driver::ownServices(instant Now) {
  own_services Own;
  const routing_snapshot &Snapshot = Services.Snapshots.current();
  if (!Snapshot.RegisteredTargets)
    return Own;
  for (const auto &[Service, Targets] : *Snapshot.RegisteredTargets) {
    service_slots Slots{.Service = Service};
    for (const target &Each : Targets)
      if (Snapshot.conditionOf(Each.Name) == target_condition::Serving)
        Slots.Slots[Each.DataCenter] += Each.Slots;
    Own.Slots.push_back(std::move(Slots));
  }
  for (const auto &Worker : Services.Workers)
    for (const service_demand &Each : Worker->takeServiceDemands(Now)) {
      const auto Known = std::ranges::find(Own.Demands, Each.Service,
                                           &service_demand::Service);
      if (Known != Own.Demands.end())
        Known->Requests += Each.Requests;
      else
        Own.Demands.push_back(Each);
    }
  return Own;
}

void hosting_driver::publishLocalHosts(instant Now) {
  std::vector<vm_name> Hosts;
  for (const registered_vm &Vm :
       Election.hosts(Services.Settings.DataCenter, Now))
    Hosts.push_back(Vm.Vm);
  std::ranges::sort(Hosts);
  OnHosts(Hosts);
  const auto &Published = Services.Snapshots.current().LocalHosts;
  if (Published && *Published == Hosts)
    return;
  const auto Next =
      std::make_shared<const std::vector<vm_name>>(std::move(Hosts));
  Services.Snapshots.update(
      [&](routing_snapshot &Snapshot) { Snapshot.LocalHosts = Next; });
}

void hosting_driver::updateHosting(instant Now) {
  publishLocalHosts(Now);
  const bool IsHostNow = Election.isSelfHost(Now);
  if (IsHostNow == IsHost)
    return;
  IsHost = IsHostNow;
  Services.Decisions.record(
      {.Kind = IsHostNow ? decision_kind::HostingStarted
                         : decision_kind::HostingEnded,
       .Subject = subject_kind::Vm,
       .Name = Services.Self.Vm.str(),
       .Cause = std::to_string(RegisteredVms.size()) + " VMs are registered",
       .Rule = "the earliest registered VMs of a data centre that are not "
               "silent are its hosts"});
}

std::uint64_t hosting_driver::limitsHash() {
  const configuration_ptr &Current = Services.Snapshots.current().Configuration;
  if (Current == HashedLimits)
    return LimitsHash;
  HashedLimits = Current;
  const rate_tolerance &Tolerance = Services.Settings.RateTolerance;
  std::string Text = std::to_string(Tolerance.Window.count()) + ' ' +
                     std::to_string(Tolerance.Share) + ' ' +
                     std::to_string(Tolerance.Requests) + '\n';
  if (Current)
    for (const client_account &Each : Current->configuration().Accounts)
      Text += Each.Name.str() + ' ' +
              std::to_string(Each.Limit.RequestsPerSecond) + ' ' +
              std::to_string(Each.Limit.Burst) + '\n';
  LimitsHash = contentHash(Text);
  return LimitsHash;
}

void hosting_driver::configurationAccepted() {
  if (std::exchange(HasShares, true))
    return;
  const instant Now = Services.Timers.now();
  handle(first_configuration_accepted{}, Now);
  updateHosting(Now);
}

void hosting_driver::updateRetryBudgets() {
  const double Count =
      static_cast<double>(std::max<std::size_t>(Machine.hostCount(), 1));
  for (const auto &Worker : Services.Workers)
    Worker->configureRetries(
        {.RetriesPerSuccess = 0,
         .RetriesPerRequest =
             Services.Settings.RetryRatio * UsableRetryFraction,
         .PerAccount = false,
         .ChargeRefused = true,
         .Capacity = Services.Settings.RetryExtra * UsableRetryFraction /
                     Count / static_cast<double>(Services.Workers.size()),
         .InitialTokens = InitialRetries});
}

void hosting_driver::settingsChanged() {
  Machine.departed().setMaxStopTime(Services.Settings.ShutdownLimit);
  Machine.setTolerance(Services.Settings.RateTolerance);
  HashedLimits = nullptr;
  updateRetryBudgets();
}

void hosting_driver::leave() {
  const instant Now = Services.Timers.now();
  handle(hosting_leave_started{}, Now);
  updateHosting(Now);
}

const ranked_vm *hosting_driver::findRegistered(const vm_name &Vm) const {
  const auto Found = RegisteredVms.find(Vm);
  return Found == RegisteredVms.end() ? nullptr : &Found->second;
}

std::vector<vm_address>
hosting_driver::addressesFor(const data_center_name &DataCenter) const {
  std::vector<vm_address> Addresses;
  for (const registered_vm &Vm :
       Election.hosts(DataCenter, Services.Timers.now()))
    Addresses.push_back({.Vm = Vm.Vm,
                         .DataCenter = Vm.DataCenter,
                         .Address = Vm.Address,
                         .Port = Vm.CallerPort});
  return Addresses;
}

rate_decision hosting_driver::takeRate(const client_account &Account,
                                       rate_check Check) {
  if (Account.Limit.RequestsPerSecond <= 0)
    return rate_admitted{};
  rate_decision Decision =
      Machine.buckets().take(Account.Name, Check, bootNow());
  auto *Refused = std::get_if<rate_refused>(&Decision);
  if (!Refused)
    return Decision;
  Refused->ExpectedPerSecond /= static_cast<double>(Services.Workers.size());
  Refused->PollInterval = GrantPollInterval;
  Refused->WaitLimit = GrantTimeout;
  Refused->RepeatInterval = GrantRetryInterval;
  if (Check != rate_check::Poll)
    boost::asio::post(Services.Loop, [this, Name = Account.Name] {
      handle(share_exhausted{.Account = Name}, Services.Timers.now());
    });
  return Decision;
}

void hosting_driver::reportAttempts(std::vector<attempt_observation> Attempts) {
  boost::asio::post(Services.Loop, [this, Ended = std::move(Attempts)] {
    sendEvidence(Ended);
  });
}

void hosting_driver::sendEvidence(
    std::span<const attempt_observation> Attempts) {
  evidence_batch Batch;
  for (const attempt_observation &Each : Attempts) {
    if (Each.End == attempt_end::Cancelled)
      continue;
    const bool IsLeaving = Each.Signal == target_signal::Draining;
    const auto Existing =
        std::ranges::find_if(Batch.Evidence, [&](const attempt_tally &Row) {
          return Row.Target == Each.Target && Row.End == Each.End &&
                 Row.IsLeaving == IsLeaving &&
                 Row.StartedAt == Each.TargetStartedAt;
        });
    if (Existing != Batch.Evidence.end())
      ++Existing->Count;
    else
      Batch.Evidence.push_back({.Target = Each.Target,
                                .End = Each.End,
                                .Count = 1,
                                .IsLeaving = IsLeaving,
                                .StartedAt = Each.TargetStartedAt});
  }
  if (Batch.Evidence.empty())
    return;
  const host_message Message = std::move(Batch);
  for (const registered_vm &Vm :
       Election.hosts(Services.Settings.DataCenter, Services.Timers.now()))
    if (Vm.Vm != Services.Self.Vm)
      send(Vm.Vm, Message);
}

void hosting_driver::send(const vm_name &Peer, const host_message &Message) {
  sendEncoded(Peer, encodeHostMessage(Message));
}

void hosting_driver::sendEncoded(const vm_name &Peer, bytes_view Encoded) {
  Services.Peers.send(Peer, frame_subject::Hosts, Encoded);
}

void hosting_driver::receive(const peer_hello &Sender, bytes_view Body) {
  const auto Message = decodeHostMessage(Body);
  if (!Message) {
    logError("host-message-refused", Message.error());
    return;
  }
  Machine.departed().recordMessage(Sender.Sender.Vm, Sender.Sender.Incarnation,
                                   Services.Timers.now());
  std::visit([&](const auto &Each) { on(Sender, Each); }, *Message);
}

void hosting_driver::on(const peer_hello &Sender, const host_report &Report) {
  handle(host_report_received{.Sender = Sender.Sender.Vm, .Report = Report},
         Services.Timers.now());
}

void hosting_driver::on(const peer_hello &Sender,
                        const data_center_report &Report) {
  handle(data_center_report_received{.Sender = Sender.Sender.Vm,
                                     .SenderDataCenter = Sender.DataCenter,
                                     .Report = Report},
         Services.Timers.now());
}

void hosting_driver::on(const peer_hello &Sender,
                        const reserve_request &Request) {
  handle(reserve_requested{.Sender = Sender.Sender.Vm, .Request = Request},
         Services.Timers.now());
}

void hosting_driver::on(const peer_hello & /*Sender*/,
                        const reserve_grant &Grant) {
  handle(reserve_granted{.Grant = Grant}, Services.Timers.now());
}

void hosting_driver::on(const peer_hello & /*Sender*/,
                        const evidence_batch &Batch) {
  std::vector<attempt_observation> Observations;
  std::vector<target_leaving> Leaving;
  for (const attempt_tally &Each : Batch.Evidence) {
    if (Each.IsLeaving)
      Leaving.push_back({.Target = Each.Target, .StartedAt = Each.StartedAt});
    for (unsigned Count = 0; Count < Each.Count; ++Count)
      Observations.push_back({.Target = Each.Target, .End = Each.End});
  }
  if (!Leaving.empty())
    OnLeaving(Leaving);
  for (const auto &Worker : Services.Workers)
    Worker->addPeerObservations(Observations);
}

} // namespace peridot
