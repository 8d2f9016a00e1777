/// \file
/// Tells whether this VM's entry in the store is still its own.
#pragma once

#include <cstdint>
#include <optional>

#include "state/base/types/identifiers.h"

namespace peridot {

/// This VM's entry in a copy of the list of VMs.
struct listed_registration {
  incarnation Incarnation;
  std::uint64_t Revision = 0;
};

/// Whether the entry must be written again.
enum class registration_state {
  Valid,   ///< As far as the copy shows.
  Lost,    ///< It was removed, or replaced by that of an earlier process.
  Replaced ///< A later process has registered under the same name.
};

/// The store may carry out a call of an earlier process of this VM seconds
/// after that has ended, and so remove or replace the entry of this one.
class registration_monitor {
public:
  explicit registration_monitor(incarnation Self) : Self(Self) {}

  /// Records that the store confirmed the registration. \p Revision is that of
  /// the entry, if the store's response contains it.
  void recordConfirmed(std::optional<std::uint64_t> Revision);
  /// Evaluates a copy of the list that is complete up to \p Position.
  /// \param Listed this VM's entry; empty: there is none.
  registration_state
  recordListed(const std::optional<listed_registration> &Listed,
               std::uint64_t Position);
  /// Returns the revision of this process's entry, if known. A removal under
  /// the condition that the entry still has it cannot hit a later entry.
  std::optional<std::uint64_t> revision() const { return Revision; }

private:
  incarnation Self;
  std::optional<std::uint64_t> Revision;
};

} // namespace peridot
