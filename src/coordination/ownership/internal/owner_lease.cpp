#include "coordination/ownership/owner_lease.h"

#include <algorithm>
#include <functional>

namespace peridot {

std::uint64_t owner_lease::startRequest(instant Now) {
  SentRequests.push_back({++LastSequence, Now});
  if (SentRequests.size() > MaxRememberedRequests)
    SentRequests.pop_front();
  return LastSequence;
}

void owner_lease::recordConfirmation(const vm_incarnation &Witness,
                                     std::uint64_t Sequence) {
  const auto Request =
      std::ranges::find(SentRequests, Sequence, &sent_request::Sequence);
  if (Request == SentRequests.end())
    return;
  instant &Latest = LastConfirmedSentAt[Witness];
  Latest = std::max(Latest, Request->SentAt);
}

void owner_lease::recordRefusal(const vm_incarnation &Witness) {
  RefusedBy.insert(Witness);
}

bool owner_lease::hasRefused(const vm_incarnation &Witness) const {
  return RefusedBy.contains(Witness);
}

std::optional<instant>
owner_lease::lastConfirmedSentAt(const vm_incarnation &Witness) const {
  const auto Found = LastConfirmedSentAt.find(Witness);
  if (Found == LastConfirmedSentAt.end())
    return std::nullopt;
  return Found->second;
}

instant owner_lease::expiresAt(std::span<const vm_incarnation> Witnesses,
                               instant Now) const {
  if (Witnesses.empty())
    return Now + Options.validityLength();
  std::vector<instant> Confirmations;
  for (const vm_incarnation &Witness : Witnesses)
    if (const auto At = lastConfirmedSentAt(Witness))
      Confirmations.push_back(*At);
  const std::size_t Quorum = leaseQuorum(Witnesses.size());
  if (Confirmations.size() < Quorum)
    return {};
  std::ranges::sort(Confirmations, std::greater<>());
  return Confirmations[Quorum - 1] + Options.validityLength();
}

} // namespace peridot
