#include "coordination/ownership/owner_lease.h"

#include <algorithm>
#include <functional>

namespace peridot {

std::uint64_t owner_lease::ask(instant Now) {
  Questions.push_back({++LastSequence, Now});
  if (Questions.size() > RememberedQuestions)
    Questions.pop_front();
  return LastSequence;
}

void owner_lease::confirmed(const vm_incarnation &Witness,
                            std::uint64_t Sequence) {
  const auto Asked =
      std::ranges::find(Questions, Sequence, &question::Sequence);
  if (Asked == Questions.end())
    return;
  instant &Latest = ConfirmedAt[Witness];
  Latest = std::max(Latest, Asked->SentAt);
}

void owner_lease::refused(const vm_incarnation &Witness) {
  Refused.insert(Witness);
}

bool owner_lease::hasRefused(const vm_incarnation &Witness) const {
  return Refused.contains(Witness);
}

std::optional<instant>
owner_lease::lastConfirmed(const vm_incarnation &Witness) const {
  const auto Found = ConfirmedAt.find(Witness);
  if (Found == ConfirmedAt.end())
    return std::nullopt;
  return Found->second;
}

instant owner_lease::heldUntil(std::span<const vm_incarnation> Witnesses,
                               instant Now) const {
  if (Witnesses.empty())
    return Now + Options.validity();
  std::vector<instant> Confirmations;
  for (const vm_incarnation &Witness : Witnesses)
    if (const auto At = lastConfirmed(Witness))
      Confirmations.push_back(*At);
  const std::size_t Quorum = leaseQuorum(Witnesses.size());
  if (Confirmations.size() < Quorum)
    return {};
  std::ranges::sort(Confirmations, std::greater<>());
  return Confirmations[Quorum - 1] + Options.validity();
}

} // namespace peridot
