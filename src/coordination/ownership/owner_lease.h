/// \file
/// The owner's side of a lease: computes until when this VM may act.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "coordination/ownership/types/lease_options.h"
#include "state/base/types/identifiers.h"

namespace peridot {

using witness_set = std::vector<vm_incarnation>;

/// Lease of this incarnation; one lease covers all of its shards.
class owner_lease {
public:
  explicit owner_lease(lease_options Options) : Options(Options) {}

  /// Starts a confirmation request that is sent at \p Now and returns its
  /// sequence number.
  std::uint64_t startRequest(instant Now);
  /// Records that \p Witness confirmed the request \p Sequence. Requests that
  /// are no longer remembered are ignored.
  void recordConfirmation(const vm_incarnation &Witness,
                          std::uint64_t Sequence);
  /// Records that \p Witness will never confirm this incarnation again.
  void recordRefusal(const vm_incarnation &Witness);

  bool hasRefused(const vm_incarnation &Witness) const;
  /// Returns the send time of the latest request that \p Witness confirmed.
  std::optional<instant>
  lastConfirmedSentAt(const vm_incarnation &Witness) const;

  /// Returns when the lease that a quorum of \p Witnesses confirmed expires.
  /// Without witnesses it lasts for one validity length from \p Now.
  instant expiresAt(std::span<const vm_incarnation> Witnesses,
                    instant Now) const;

private:
  static constexpr std::size_t MaxRememberedRequests = 16;
  struct sent_request {
    std::uint64_t Sequence = 0;
    instant SentAt;
  };

  lease_options Options;
  std::uint64_t LastSequence = 0;
  std::deque<sent_request> SentRequests;
  std::unordered_map<vm_incarnation, instant> LastConfirmedSentAt;
  std::unordered_set<vm_incarnation> RefusedBy;
};

} // namespace peridot
