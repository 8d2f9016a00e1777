#include "transport/node/internal/store_relay.h"

#include <algorithm>

#include <algorithm>

#include "protocol/store_messages/store_codec.h"
#include "transport/logging/event_log.h"
#include "transport/node/internal/store_follower.h"

namespace peridot {

namespace {

constexpr std::chrono::milliseconds TickPeriod{250};
/// A watcher reports every this many ticks, and at once when the store becomes
/// unreachable or reachable.
constexpr unsigned TicksPerReport = 2;
/// A VM whose configuration is older than a watcher's reads it after this many
/// ticks; until then, relayed changes may arrive.
constexpr unsigned MaxTicksBehind = 2;
/// A watcher calls the store at least this often, because a silent watch may
/// have lost its connection.
constexpr std::chrono::milliseconds RefreshPeriod{750};
/// A watcher reports the store as reachable for this long after its last
/// response.
constexpr std::chrono::milliseconds MaxResponseAge{1'200};
/// Maximum age of a confirmation that a watcher sends without a new read.
constexpr std::chrono::milliseconds MaxReusedConfirmationAge{1'000};
/// Time without a confirmation after which the requester reads the store
/// itself.
constexpr std::chrono::milliseconds ConfirmationTimeout{60};
/// Minimum time between two confirmations from a store that does not respond:
/// of a VM that checks it for the others, and of any other VM.
constexpr std::chrono::milliseconds MinCheckerConfirmationInterval{400};
constexpr std::chrono::milliseconds MinConfirmationInterval{1'000};
/// Number of VMs that are asked for a snapshot while no report has arrived.
constexpr std::size_t AskedWithoutReports = 2;

} // namespace

store_relay::store_relay(node_services &Services, store_follower &Follower)
    : Services(Services), Follower(Follower), Election(Services.Self.Vm),
      NextAsked(std::hash<vm_name>{}(Services.Self.Vm)) {}

void store_relay::start() {
  Services.Peers.subscribe(frame_subject::Store,
                           [this](const peer_hello &Sender, bytes_view Body) {
                             receive(Sender, Body);
                           });
  Timer = Services.Timers.every(TickPeriod, [this](instant Now) { tick(Now); });
}

void store_relay::setRanking(std::span<const vm_name> Ranked) {
  Election.setRanking(Ranked);
  LocalPeers.assign(Ranked.begin(), Ranked.end());
  std::erase(LocalPeers, Services.Self.Vm);
  updateRole(Services.Timers.now());
}

void store_relay::tick(instant Now) {
  updateRole(Now);
  updateAvailability(Now);
  compareRevision();
  Follower.setMaxRetryDelay(Election.storeCheckPeriod(Now));
  if (!IsWatcher)
    return;
  // While the store is unreachable, the follower retries on its own.
  if (Follower.isStoreReachable() &&
      Now - Follower.keysConfirmedAt() >= RefreshPeriod)
    confirmFromStore();
  if (TicksToReport == 0 || hasRecentResponse(Now) != ReportedReachable)
    report(Now);
  TicksToReport -= TicksToReport > 0 ? 1 : 0;
}

void store_relay::reportRead() {
  if (IsWatcher)
    report(Services.Timers.now());
}

void store_relay::compareRevision() {
  const bool IsBehind = ExpectedRevision > revisionInForce();
  // Without any configuration, the follower is about to read one.
  const bool HasCopy = Follower.position(fleet_collection::Configuration) > 0;
  TicksBehind = IsBehind && HasCopy ? TicksBehind + 1 : 0;
  if (TicksBehind >= MaxTicksBehind)
    confirmFromStore();
  ExpectedRevision = PeerRevision;
}

bool store_relay::isFirstResponsePending(instant Now) const {
  return Follower.keysConfirmedAt() < WatcherSince &&
         Follower.isStoreReachable() && Now - WatcherSince < MaxResponseAge;
}

bool store_relay::hasRecentResponse(instant Now) const {
  return Follower.isStoreReachable() &&
         Now - Follower.keysConfirmedAt() < MaxResponseAge;
}

void store_relay::updateAvailability(instant Now) {
  if (Follower.keysConfirmedAt() > LastConfirmedAt) {
    LastConfirmedAt = Follower.keysConfirmedAt();
    Availability.recordResponse(LastConfirmedAt);
  }
  Follower.setStoreAvailableSince(Availability.availableSince(Now), Now);
}

void store_relay::updateRole(instant Now) {
  const bool WasWatcher = IsWatcher;
  IsWatcher = Election.shouldSelfWatch(Now);
  if (const auto Wait = Election.timeToTakeover(Now); Wait && !IsWatcher)
    RoleTimer =
        Services.Timers.once(*Wait, [this](instant Then) { updateRole(Then); });
  if (IsWatcher == WasWatcher)
    return;
  TicksToReport = 0;
  WatcherSince = Now;
  if (IsWatcher && Election.isStoreUnreachableForWatchers(Now))
    Follower.setStoreUnreachable();
  Follower.setWatching(IsWatcher);
}

void store_relay::report(instant Now) {
  if (isFirstResponsePending(Now))
    return;
  TicksToReport = TicksPerReport;
  ReportedReachable = hasRecentResponse(Now);
  const duration RespondingFor =
      Now - Availability.availableSince(Now).value_or(Now);
  sendToAll(watcher_report{
      .StoreResponds = ReportedReachable,
      .RespondingFor =
          std::chrono::duration_cast<std::chrono::milliseconds>(RespondingFor),
      .Revision = revisionInForce(),
      .ConfigurationChange =
          Follower.lastChange(fleet_collection::Configuration),
      .TargetsChange = Follower.lastChange(fleet_collection::Targets),
      .VmsChange = Follower.lastChange(fleet_collection::Vms),
      .EvacuationsChange = Follower.lastChange(fleet_collection::Evacuations)});
}

bool store_relay::hasWatchers() const {
  return !Election.watchers(Services.Timers.now()).empty();
}

bool store_relay::isOutageReported() const {
  return Election.isStoreUnreachableForWatchers(Services.Timers.now());
}

bool store_relay::requestSnapshot(fleet_collection Collection) {
  const snapshot_request Request{.Collection = Collection};
  const std::vector<vm_name> Watchers =
      Election.watchers(Services.Timers.now());
  if (!Watchers.empty()) {
    send(Watchers[NextAsked++ % Watchers.size()], Request);
    return true;
  }
  // After a start, the VMs that rank first are probably watchers.
  const std::size_t Count = std::min(LocalPeers.size(), AskedWithoutReports);
  for (std::size_t Index = 0; Index < Count; ++Index)
    send(LocalPeers[Index], Request);
  return Count > 0;
}

void store_relay::relay(const store_changes &Changes) {
  if (IsWatcher)
    sendToAll(Changes);
}

void store_relay::confirmKeys() {
  if (PendingRequest)
    return;
  const instant Now = Services.Timers.now();
  const std::vector<vm_name> Watchers = Election.watchers(Now);
  if (IsWatcher || Watchers.empty()) {
    confirmFromStore();
    return;
  }
  PendingRequest =
      pending_request{.Number = ++LastRequestNumber, .SentAt = Now};
  send(Watchers.front(), confirmation_request{.Number = LastRequestNumber});
  RequestTimer = Services.Timers.once(ConfirmationTimeout, [this](instant) {
    if (std::exchange(PendingRequest, std::nullopt))
      confirmFromStore();
  });
}

void store_relay::confirmFromStore() {
  const instant Now = Services.Timers.now();
  const bool IsChecker = IsWatcher && isOutageReported();
  const duration MinInterval =
      IsChecker ? MinCheckerConfirmationInterval : MinConfirmationInterval;
  if (isOutageReported() && Now - LastConfirmationAt < MinInterval)
    return;
  LastConfirmationAt = Now;
  Follower.confirmKeys([](std::optional<instant>) {});
}

void store_relay::receive(const peer_hello &Sender, bytes_view Body) {
  const auto Message = decodeStoreMessage(Body);
  if (!Message) {
    logError("store-message-refused", Message.error());
    return;
  }
  std::visit([&](const auto &Each) { on(Sender.Sender.Vm, Each); }, *Message);
}

void store_relay::on(const vm_name & /*Sender*/, const store_changes &Changes) {
  Follower.applyRelayed(Changes);
}

void store_relay::on(const vm_name &Sender, const watcher_report &Report) {
  const instant Now = Services.Timers.now();
  const bool HadWatchers = !Election.watchers(Now).empty();
  Election.recordReport(Sender, Report, Now);
  if (!HadWatchers && Report.StoreResponds)
    Follower.watchersFound();
  if (Report.StoreResponds) {
    Availability.recordReport(Report.RespondingFor, Now);
    PeerRevision = std::max(PeerRevision, Report.Revision);
    Follower.recordPeerChange(fleet_collection::Configuration,
                              Report.ConfigurationChange);
    Follower.recordPeerChange(fleet_collection::Targets, Report.TargetsChange);
    Follower.recordPeerChange(fleet_collection::Vms, Report.VmsChange);
    Follower.recordPeerChange(fleet_collection::Evacuations,
                              Report.EvacuationsChange);
  }
  updateRole(Now);
  updateAvailability(Now);
}

void store_relay::on(const vm_name &Sender,
                     const confirmation_request &Request) {
  const instant KeysConfirmedAt = Follower.keysConfirmedAt();
  if (Services.Timers.now() - KeysConfirmedAt < MaxReusedConfirmationAge) {
    sendConfirmation(Sender, Request.Number, KeysConfirmedAt);
    return;
  }
  Follower.confirmKeys([this, Sender, Number = Request.Number](
                           std::optional<instant> StartedAt) {
    if (StartedAt)
      sendConfirmation(Sender, Number, *StartedAt);
  });
}

void store_relay::on(const vm_name &Sender, const snapshot_request &Request) {
  if (!IsWatcher || !hasRecentResponse(Services.Timers.now()))
    return;
  if (const auto Snapshot = Follower.makeSnapshot(Request.Collection))
    send(Sender, *Snapshot);
}

void store_relay::on(const vm_name & /*Sender*/,
                     const store_snapshot &Snapshot) {
  Follower.applySnapshot(Snapshot);
}

void store_relay::sendConfirmation(const vm_name &Requester,
                                   std::uint64_t Number, instant StartedAt) {
  send(Requester,
       confirmation_response{
           .Number = Number,
           .Age = std::chrono::ceil<std::chrono::milliseconds>(
               Services.Timers.now() - StartedAt),
           .Revision = revisionInForce(),
           .TargetsChange = Follower.lastChange(fleet_collection::Targets)});
}

void store_relay::on(const vm_name & /*Sender*/,
                     const confirmation_response &Confirmation) {
  if (!PendingRequest || PendingRequest->Number != Confirmation.Number)
    return;
  const instant SentAt = PendingRequest->SentAt;
  PendingRequest.reset();
  Follower.recordPeerChange(fleet_collection::Targets,
                            Confirmation.TargetsChange);
  // The age counts from when the request was sent, so that a slow exchange only
  // makes the confirmation look older.
  if (Confirmation.Revision <= revisionInForce())
    Follower.updateKeysConfirmedAt(SentAt - Confirmation.Age);
  else
    confirmFromStore();
}

std::uint64_t store_relay::revisionInForce() const {
  const configuration_ptr &InForce = Services.Snapshots.current().Configuration;
  return InForce ? InForce->configuration().Revision.Value : 0;
}

void store_relay::send(const vm_name &Peer, const store_message &Message) {
  Services.Peers.send(Peer, frame_subject::Store, encodeStoreMessage(Message));
}

void store_relay::sendToAll(const store_message &Message) {
  const auto Bytes = encodeStoreMessage(Message);
  for (const vm_name &Each : LocalPeers)
    Services.Peers.send(Each, frame_subject::Store, Bytes);
}

} // namespace peridot
