#include "coordination/ownership/ownership_machine.h"

#include <algorithm>
#include <utility>

#include "coordination/ownership/shard_choice.h"

namespace peridot {

ownership_machine::ownership_machine(ownership_options Chosen)
    : Options(std::move(Chosen)), Random(Options.Seed + 1),
      Lease(Options.Lease), Promises(Options.Lease),
      Recruiting(Options.Self.Vm, Options.Lease), Evidence(Options.Lease),
      RetrySpread(Options.Lease.RetrySpread) {}

ownership_machine::effects
ownership_machine::handle(const ownership_event &Event, instant Now) {
  std::visit([&](const auto &E) { accept(E, Now); }, Event);
  return std::exchange(Effects, {});
}

instant ownership_machine::leaseUntil(instant Now) const {
  instant Until = Lease.heldUntil(recordedWitnesses(), Now);
  for (const pending_write &Write : Pending)
    Until = std::min(Until, Lease.heldUntil(Write.Witnesses, Now));
  return Until;
}

bool ownership_machine::mayAct(shard_number Shard, instant Now) const {
  return isOwn(Shard) && !isHandedOver(Shard) && Now < leaseUntil(Now);
}

std::unordered_map<shard_number, instant>
ownership_machine::actingUntil(instant Now) const {
  std::unordered_map<shard_number, instant> Acting;
  const instant Until = leaseUntil(Now);
  for (const shard_number Shard : ownShards())
    if (!isHandedOver(Shard))
      Acting.emplace(Shard, Until);
  return Acting;
}

void ownership_machine::accept(const fleet_listed &Event, instant Now) {
  Members.assign(Event.Members.begin(), Event.Members.end());
  History.listed(Members, Now);
}

void ownership_machine::accept(const shard_map_read &Event, instant Now) {
  // The map may tell that others took over after the lease had run out.
  noteLease(Now);
  if (MapIsKnown && Event.Version < MapVersion)
    return;
  NeedsRead = false;
  adopt(Event.Version, Event.Map);
  requestLapses(Now);
  if (Resigning)
    releaseAll(release_cause::LeaseLost, Now);
}

void ownership_machine::accept(const shard_map_write_ended &Event,
                               instant Now) {
  WriteIsRunning = false;
  if (Event.Outcome == write_outcome::Written && !Pending.empty() &&
      Event.Version > MapVersion) {
    RetrySpread = Options.Lease.RetrySpread;
    adopt(Event.Version, Pending.back().Map);
    return;
  }
  NeedsRead = true;
  std::uniform_int_distribution<duration::rep> Wait(0, RetrySpread.count());
  RetrySpread = std::min(2 * RetrySpread, Options.Lease.MaxRetrySpread);
  NextWrite = Now + duration(Wait(Random));
  Effects.emplace_back(read_shard_map{});
}

void ownership_machine::accept(const lease_message_received &Event,
                               instant Now) {
  History.heard(Event.Sender, Now);
  std::visit(
      [&](const auto &Message) { onMessage(Event.Sender, Message, Now); },
      Event.Message);
}

void ownership_machine::accept(const lease_tick &, instant Now) {
  noteLease(Now);
  if ((NeedsRead || Resigning) && Now >= NextRead) {
    NextRead = Now + Options.Lease.AskPeriod / 2;
    Effects.emplace_back(read_shard_map{});
  }
  if (!MapIsKnown)
    askForMap(Now);
  if (!MapIsKnown || Members.empty())
    return;
  if (Leaving)
    releaseAll(release_cause::Leaving, Now);
  else
    writeIfDue(Now);
  if (Now < NextAsk)
    return;
  NextAsk = Now + Options.Lease.AskPeriod;
  askWitnesses(Now);
  reportLapses(Now);
  probeOwners(Now);
  rebalance(Now);
  repeatReleases(Now);
}

void ownership_machine::accept(const leave_started &, instant Now) {
  Leaving = true;
  releaseAll(release_cause::Leaving, Now);
}

void ownership_machine::askForMap(instant Now) {
  std::vector<vm_name> Peers;
  for (const member &Each : Members)
    if (Each.Vm != Options.Self.Vm)
      Peers.push_back(Each.Vm);
  if (Peers.empty() || Now < NextMapQuestion)
    return;
  NextMapQuestion = Now + Options.Lease.AskPeriod / 2;
  std::uniform_int_distribution<std::size_t> Any(0, Peers.size() - 1);
  send(Peers[Any(Random)], map_question{});
}

void ownership_machine::onMessage(const vm_incarnation &Sender,
                                  const map_question &, instant) {
  if (MapIsKnown)
    send(Sender.Vm, map_answer{MapVersion, Map});
}

// A peer's copy tells whom to ask. Acting, claiming and witnessing for
// successors wait for a map that was read.
void ownership_machine::onMessage(const vm_incarnation &,
                                  const map_answer &Message, instant) {
  if (MapIsKnown || Message.Version <= HeardVersion)
    return;
  HeardVersion = Message.Version;
  Map = Message.Map;
}

void ownership_machine::adopt(std::uint64_t Version, shard_map Adopted) {
  MapIsKnown = true;
  const bool IsNewer = Version > MapVersion;
  MapVersion = Version;
  const shard_map Before = std::exchange(Map, std::move(Adopted));
  std::erase_if(Pending, [Version](const pending_write &Write) {
    return Write.Expected < Version;
  });
  if (IsNewer)
    noteOwnChanges(Before);
}

void ownership_machine::noteOwnChanges(const shard_map &Before) {
  Evidence.prune(Map);
  std::erase_if(Handovers, [this](const auto &Entry) {
    const auto &Row = Map.at(Entry.first.Shard);
    return Row && Row->Epoch > Entry.first.Epoch;
  });
  for (const shard_number Shard : ownShards()) {
    const auto &Earlier = Before.at(Shard);
    const epoch Epoch = Map.at(Shard)->Epoch;
    if (!Earlier || Earlier->Epoch < Epoch)
      Effects.emplace_back(shard_claimed{
          {Shard, Epoch}, Earlier ? Earlier->Owner : vm_incarnation{}});
  }
}

bool ownership_machine::isOwn(shard_number Shard) const {
  const auto &Row = Map.at(Shard);
  return Row && Row->Owner == Options.Self;
}

bool ownership_machine::isHandedOver(shard_number Shard) const {
  const auto &Row = Map.at(Shard);
  return Row && Handovers.contains({Shard, Row->Epoch});
}

std::vector<shard_number> ownership_machine::ownShards() const {
  std::vector<shard_number> Own;
  for (std::uint64_t Index = 0; Index < ShardCount; ++Index)
    if (isOwn({Index}))
      Own.push_back({Index});
  return Own;
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
