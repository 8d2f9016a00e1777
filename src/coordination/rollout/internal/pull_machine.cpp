#include "coordination/rollout/pull_machine.h"

namespace peridot {

pull_effect pull_machine::handle(const pull_event &Event) {
  return std::visit([this](const auto &E) { return accept(E); }, Event);
}

bool pull_machine::isStalled(instant Now) const {
  return ActivePull && Now - ActivePull->LastProgress > Options.PeerTimeout;
}

void pull_machine::keepOnly(const configuration_manifest &Manifest) {
  std::set<std::string> Retained;
  for (const manifest_entry &Entry : Manifest.Documents)
    if (Held.contains(Entry.Digest))
      Retained.insert(Entry.Digest);
  Held = std::move(Retained);
}

pull_effect pull_machine::accept(const higher_revision_reported &Event) {
  if (ActivePull && !isStalled(Event.Now))
    return pull_nothing{};
  ActivePull = active_pull{.Peer = Event.Peer, .LastProgress = Event.Now};
  return request_manifest{Event.Peer};
}

pull_effect pull_machine::accept(const manifest_received &Event) {
  if (!ActivePull || ActivePull->Peer != Event.Peer || ActivePull->Manifest)
    return pull_nothing{};
  ActivePull->LastProgress = Event.Now;
  ActivePull->Manifest = Event.Manifest;
  return nextBatch();
}

pull_effect pull_machine::accept(const document_stored &Event) {
  Held.insert(Event.Digest);
  if (!ActivePull || !ActivePull->Manifest)
    return pull_nothing{};
  ActivePull->LastProgress = Event.Now;
  ActivePull->Requested.erase(Event.Digest);
  return ActivePull->Requested.empty() ? nextBatch() : pull_nothing{};
}

pull_effect pull_machine::nextBatch() {
  for (const manifest_entry &Entry : ActivePull->Manifest->Documents) {
    if (ActivePull->Requested.size() == Options.BatchSize)
      break;
    if (!Held.contains(Entry.Digest))
      ActivePull->Requested.insert(Entry.Digest);
  }
  if (!ActivePull->Requested.empty())
    return request_documents{
        ActivePull->Peer,
        {ActivePull->Requested.begin(), ActivePull->Requested.end()}};
  pull_complete Complete{std::move(*ActivePull->Manifest)};
  ActivePull.reset();
  return Complete;
}

} // namespace peridot
