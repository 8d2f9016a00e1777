/// \file
/// Finding witnesses that answer, and replacing those that stopped.
#pragma once

#include <span>
#include <unordered_map>
#include <vector>

#include "coordination/membership/types/membership_view.h"
#include "coordination/ownership/owner_lease.h"

namespace peridot {

/// Keeps track of the VMs that are asked to confirm this VM's lease.
class witness_recruiting {
public:
  witness_recruiting(vm_name Self, lease_options Options)
      : Self(std::move(Self)), Options(Options) {}

  /// Chooses whom to ask: recorded witnesses and candidates for new ones.
  std::vector<vm_name> choose(std::span<const vm_incarnation> Recorded,
                              std::span<const member> Members,
                              const owner_lease &Lease, instant Now);

  void answered(const vm_incarnation &Witness, bool Confirmed, instant Now);

  /// The witnesses to record now: those recorded that still confirm, and
  /// candidates that have answered. May be smaller than wanted.
  witness_set proposal(std::span<const vm_incarnation> Recorded,
                       std::span<const member> Members,
                       const owner_lease &Lease, instant Now) const;

  /// True if \p Witness was asked long enough without confirming.
  bool isFailing(const vm_incarnation &Witness, std::span<const member> Members,
                 const owner_lease &Lease, instant Now) const;

private:
  struct candidate {
    incarnation Incarnation; ///< 0 until it answered.
    bool Confirmed = false;
    instant AskedSince;
    instant LastAnswer;
  };

  bool isSilent(const candidate &Candidate, instant Now) const;
  std::vector<vm_name> avoided(instant Now) const;

  vm_name Self;
  lease_options Options;
  std::unordered_map<vm_name, candidate> Candidates;
};

} // namespace peridot
