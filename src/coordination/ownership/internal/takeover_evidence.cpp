#include "coordination/ownership/takeover_evidence.h"

#include <algorithm>

namespace peridot {

void takeover_evidence::recordFinalLapse(const vm_incarnation &Owner,
                                         const vm_incarnation &Witness) {
  Refusals[Owner].insert(Witness);
}

void takeover_evidence::recordRelease(const vm_incarnation &Owner,
                                      const shard_term &Term) {
  Releases.insert_or_assign(Term, Owner);
}

bool takeover_evidence::hasRefused(const vm_incarnation &Owner,
                                   const vm_incarnation &Witness) const {
  const auto Found = Refusals.find(Owner);
  return Found != Refusals.end() && Found->second.contains(Witness);
}

bool takeover_evidence::isBlocked(const shard_ownership &Row,
                                  const fleet_history &History,
                                  instant Now) const {
  const auto HasRefused = [&](const vm_incarnation &Witness) {
    return hasRefused(Row.Owner, Witness);
  };
  const auto IsLost = [&](const vm_incarnation &Witness) {
    return HasRefused(Witness) ||
           History.hasBeenGoneFor(Witness, Options.promiseLength(), Now);
  };
  const auto Count = [&](const auto &Predicate) {
    return static_cast<std::size_t>(
        std::ranges::count_if(Row.Witnesses, Predicate));
  };
  if (!Row.Witnesses.empty() &&
      Count(HasRefused) >= blockingCount(Row.Witnesses.size()))
    return true;
  return History.hasBeenGoneFor(Row.Owner, Options.promiseLength(), Now) &&
         (Row.Witnesses.empty() ||
          Count(IsLost) >= blockingCount(Row.Witnesses.size()));
}

bool takeover_evidence::isReleased(shard_number Shard,
                                   const shard_ownership &Row) const {
  const auto Found = Releases.find({Shard, Row.Epoch});
  return Found != Releases.end() && Found->second == Row.Owner;
}

void takeover_evidence::prune(const shard_map &Map) {
  std::unordered_set<vm_incarnation> Owners;
  for (const auto &Row : Map.Shards)
    if (Row)
      Owners.insert(Row->Owner);
  std::erase_if(Refusals, [&](const auto &Entry) {
    return !Owners.contains(Entry.first);
  });
  std::erase_if(Releases, [&](const auto &Entry) {
    const auto &Row = Map.at(Entry.first.Shard);
    return Row && Row->Epoch > Entry.first.Epoch;
  });
}

} // namespace peridot
