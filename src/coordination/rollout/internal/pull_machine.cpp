#include "coordination/rollout/pull_machine.h"

namespace peridot {

pull_effect pull_machine::handle(const pull_event &Event) {
  return std::visit([this](const auto &E) { return accept(E); }, Event);
}

bool pull_machine::isStalled(instant Now) const {
  return Running && Now - Running->LastProgress > Options.PeerTimeout;
}

void pull_machine::keepOnly(const configuration_manifest &Manifest) {
  std::set<std::string> Named;
  for (const manifest_entry &Entry : Manifest.Documents)
    if (Held.contains(Entry.Digest))
      Named.insert(Entry.Digest);
  Held = std::move(Named);
}

pull_effect pull_machine::accept(const higher_revision_heard &Event) {
  if (Running && !isStalled(Event.Now))
    return pull_nothing{};
  Running = running_pull{.Peer = Event.Peer, .LastProgress = Event.Now};
  return ask_manifest{Event.Peer};
}

pull_effect pull_machine::accept(const manifest_arrived &Event) {
  if (!Running || Running->Peer != Event.Peer || Running->Manifest)
    return pull_nothing{};
  Running->LastProgress = Event.Now;
  Running->Manifest = Event.Manifest;
  return nextBatch();
}

pull_effect pull_machine::accept(const document_arrived &Event) {
  Held.insert(Event.Digest);
  if (!Running || !Running->Manifest)
    return pull_nothing{};
  Running->LastProgress = Event.Now;
  Running->Asked.erase(Event.Digest);
  return Running->Asked.empty() ? nextBatch() : pull_nothing{};
}

pull_effect pull_machine::nextBatch() {
  for (const manifest_entry &Entry : Running->Manifest->Documents) {
    if (Running->Asked.size() == Options.BatchSize)
      break;
    if (!Held.contains(Entry.Digest))
      Running->Asked.insert(Entry.Digest);
  }
  if (!Running->Asked.empty())
    return ask_documents{Running->Peer,
                         {Running->Asked.begin(), Running->Asked.end()}};
  pull_complete Complete{std::move(*Running->Manifest)};
  Running.reset();
  return Complete;
}

} // namespace peridot
