/// \file
/// Selection of witnesses that respond and replacement of those that do not.
#pragma once

#include <span>
#include <unordered_map>
#include <vector>

#include "coordination/membership/types/membership_view.h"
#include "coordination/ownership/owner_lease.h"

namespace peridot {

/// Tracks the responses of the VMs that receive this VM's confirmation
/// requests, and selects witnesses among them.
class witness_selector {
public:
  witness_selector(vm_name Self, lease_options Options)
      : Self(std::move(Self)), Options(Options) {}

  /// Returns the VMs that receive confirmation requests: the recorded witnesses
  /// and the candidates for new ones.
  std::vector<vm_name> choosePeers(std::span<const vm_incarnation> Recorded,
                                   std::span<const member> Members,
                                   const owner_lease &Lease, instant Now);

  /// Records a response to a confirmation request. Responses of earlier
  /// incarnations are ignored.
  void recordResponse(const vm_incarnation &Witness, bool HasConfirmed,
                      instant Now);

  /// Returns the witnesses that the map should record: the recorded ones that
  /// do not need replacement, and candidates whose latest response confirmed.
  /// There may be fewer than WitnessCount.
  witness_set proposeWitnesses(std::span<const vm_incarnation> Recorded,
                               std::span<const member> Members,
                               const owner_lease &Lease, instant Now) const;

  /// Whether \p Witness has refused, restarted, left, or not responded for one
  /// lease length.
  bool needsReplacement(const vm_incarnation &Witness,
                        std::span<const member> Members,
                        const owner_lease &Lease, instant Now) const;

private:
  struct candidate {
    incarnation Incarnation;   ///< 0 until the first response.
    bool HasConfirmed = false; ///< Result of the latest response.
    instant RequestedSince;
    instant LastResponseAt;
  };

  bool isSilent(const candidate &Candidate, instant Now) const;
  std::vector<vm_name> excludedVms(instant Now) const;

  vm_name Self;
  lease_options Options;
  std::unordered_map<vm_name, candidate> Candidates;
};

} // namespace peridot
