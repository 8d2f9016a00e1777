/// \file
/// The owner's side of a lease: until when this VM may act.
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

/// One lease covers all shards of this incarnation.
class owner_lease {
public:
  explicit owner_lease(lease_options Options) : Options(Options) {}

  /// Starts a question that is sent at \p Now; returns its sequence number.
  std::uint64_t ask(instant Now);
  void confirmed(const vm_incarnation &Witness, std::uint64_t Sequence);
  void refused(const vm_incarnation &Witness);

  bool hasRefused(const vm_incarnation &Witness) const;
  /// When the latest confirmed question of \p Witness was sent.
  std::optional<instant> lastConfirmed(const vm_incarnation &Witness) const;

  /// Until when \p Witnesses let this VM act. Without witnesses the lease
  /// holds for one validity from \p Now.
  instant heldUntil(std::span<const vm_incarnation> Witnesses,
                    instant Now) const;

private:
  static constexpr std::size_t RememberedQuestions = 16;
  struct question {
    std::uint64_t Sequence = 0;
    instant SentAt;
  };

  lease_options Options;
  std::uint64_t LastSequence = 0;
  std::deque<question> Questions;
  std::unordered_map<vm_incarnation, instant> ConfirmedAt;
  std::unordered_set<vm_incarnation> Refused;
};

} // namespace peridot
