#include "coordination/ownership/ownership_machine.h"

#include <algorithm>
#include <utility>

#include "coordination/ownership/shard_choice.h"

namespace peridot {

ownership_machine::ownership_machine(ownership_options Chosen)
    : Options(std::move(Chosen)), Random(Options.Seed + 1),
      Lease(Options.Lease), Promises(Options.Lease),
      Selector(Options.Self.Vm, Options.Lease), Evidence(Options.Lease),
      RetryBackoff(Options.Lease.InitialRetryBackoff) {}

ownership_machine::effects
ownership_machine::handle(const ownership_event &Event, instant Now) {
  std::visit([&](const auto &E) { accept(E, Now); }, Event);
  return std::exchange(Effects, {});
}

instant ownership_machine::leaseExpiresAt(instant Now) const {
  instant Until = Lease.expiresAt(recordedWitnesses(), Now);
  for (const pending_write &Write : Pending)
    Until = std::min(Until, Lease.expiresAt(Write.Witnesses, Now));
  return Until;
}

bool ownership_machine::mayAct(shard_number Shard, instant Now) const {
  return ownsShard(Shard) && !isHandedOver(Shard) && Now < leaseExpiresAt(Now);
}

std::unordered_map<shard_number, instant>
ownership_machine::actingUntil(instant Now) const {
  std::unordered_map<shard_number, instant> Acting;
  const instant Until = leaseExpiresAt(Now);
  for (const shard_number Shard : ownedShards())
    if (!isHandedOver(Shard))
      Acting.emplace(Shard, Until);
  return Acting;
}

void ownership_machine::accept(const member_list_updated &Event, instant Now) {
  Members.assign(Event.Members.begin(), Event.Members.end());
  History.updateMembers(Members, Now);
}

void ownership_machine::accept(const shard_map_read &Event, instant Now) {
  // Reports a lost lease before the map is replaced: the new map may already
  // show other owners, who took over after the lease expired.
  updateLeaseState(Now);
  if (HasReadMap && Event.Version < MapVersion)
    return;
  NeedsMapRead = false;
  adoptMap(Event.Version, Event.Map);
  requestFinalLapses(Now);
  if (ShouldReleaseShards)
    releaseAll(release_cause::LeaseLost, Now);
}

void ownership_machine::accept(const shard_map_write_ended &Event,
                               instant Now) {
  IsWriteInProgress = false;
  if (Event.Outcome == write_outcome::Written && !Pending.empty() &&
      Event.Version > MapVersion) {
    RetryBackoff = Options.Lease.InitialRetryBackoff;
    adoptMap(Event.Version, Pending.back().Map);
    return;
  }
  NeedsMapRead = true;
  std::uniform_int_distribution<duration::rep> Wait(0, RetryBackoff.count());
  RetryBackoff = std::min(2 * RetryBackoff, Options.Lease.MaxRetryBackoff);
  NextWrite = Now + duration(Wait(Random));
  Effects.emplace_back(read_shard_map{});
}

void ownership_machine::accept(const lease_message_received &Event,
                               instant Now) {
  History.recordMessage(Event.Sender, Now);
  std::visit(
      [&](const auto &Message) { onMessage(Event.Sender, Message, Now); },
      Event.Message);
}

void ownership_machine::accept(const lease_tick &, instant Now) {
  updateLeaseState(Now);
  if ((NeedsMapRead || ShouldReleaseShards) && Now >= NextMapRead) {
    NextMapRead = Now + Options.Lease.RequestPeriod / 2;
    Effects.emplace_back(read_shard_map{});
  }
  if (!HasReadMap)
    requestMapCopy(Now);
  if (!HasReadMap || Members.empty())
    return;
  if (IsLeaving)
    releaseAll(release_cause::Leaving, Now);
  else
    writeMapIfDue(Now);
  if (Now < NextConfirmationRequest)
    return;
  NextConfirmationRequest = Now + Options.Lease.RequestPeriod;
  requestConfirmations(Now);
  reportLapsedLeases(Now);
  probeOwners(Now);
  rebalance(Now);
  resendReleases(Now);
}

void ownership_machine::accept(const leave_started &, instant Now) {
  IsLeaving = true;
  releaseAll(release_cause::Leaving, Now);
}

void ownership_machine::requestMapCopy(instant Now) {
  std::vector<vm_name> Peers;
  for (const member &Each : Members)
    if (Each.Vm != Options.Self.Vm)
      Peers.push_back(Each.Vm);
  if (Peers.empty() || Now < NextMapCopyRequest)
    return;
  NextMapCopyRequest = Now + Options.Lease.RequestPeriod / 2;
  std::uniform_int_distribution<std::size_t> Any(0, Peers.size() - 1);
  send(Peers[Any(Random)], map_request{});
}

void ownership_machine::onMessage(const vm_incarnation &Sender,
                                  const map_request &, instant) {
  if (HasReadMap)
    send(Sender.Vm, map_response{MapVersion, Map});
}

// A peer's copy serves only to find the owners. Acting, claiming and reporting
// lapses to successors wait for a map that was read from the platform.
void ownership_machine::onMessage(const vm_incarnation &,
                                  const map_response &Message, instant) {
  if (HasReadMap || Message.Version <= PeerCopyVersion)
    return;
  PeerCopyVersion = Message.Version;
  Map = Message.Map;
}

void ownership_machine::adoptMap(std::uint64_t Version, shard_map Adopted) {
  HasReadMap = true;
  const bool IsNewer = Version > MapVersion;
  MapVersion = Version;
  const shard_map Before = std::exchange(Map, std::move(Adopted));
  std::erase_if(Pending, [Version](const pending_write &Write) {
    return Write.ExpectedVersion < Version;
  });
  if (IsNewer)
    processOwnershipChanges(Before);
}

void ownership_machine::processOwnershipChanges(const shard_map &Before) {
  Evidence.prune(Map);
  std::erase_if(Handovers, [this](const auto &Entry) {
    const auto &Row = Map.at(Entry.first.Shard);
    return Row && Row->Epoch > Entry.first.Epoch;
  });
  for (const shard_number Shard : ownedShards()) {
    const auto &Earlier = Before.at(Shard);
    const epoch Epoch = Map.at(Shard)->Epoch;
    if (!Earlier || Earlier->Epoch < Epoch)
      Effects.emplace_back(shard_claimed{
          {Shard, Epoch}, Earlier ? Earlier->Owner : vm_incarnation{}});
  }
}

bool ownership_machine::ownsShard(shard_number Shard) const {
  const auto &Row = Map.at(Shard);
  return Row && Row->Owner == Options.Self;
}

bool ownership_machine::isHandedOver(shard_number Shard) const {
  const auto &Row = Map.at(Shard);
  return Row && Handovers.contains({Shard, Row->Epoch});
}

std::vector<shard_number> ownership_machine::ownedShards() const {
  std::vector<shard_number> Owned;
  for (std::uint64_t Index = 0; Index < ShardCount; ++Index)
    if (ownsShard({Index}))
      Owned.push_back({Index});
  return Owned;
}

witness_set ownership_machine::recordedWitnesses() const {
  for (const auto &Row : Map.Shards)
    if (Row && Row->Owner == Options.Self)
      return Row->Witnesses;
  return {};
}

void ownership_machine::send(const vm_name &Peer, lease_message Message) {
  Effects.emplace_back(send_lease_message{Peer, std::move(Message)});
}

} // namespace peridot
