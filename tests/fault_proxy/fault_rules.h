/// \file
/// Faults that are injected into proxied connections, for each direction.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace peridot::test {

/// Faults of the bytes sent in one direction.
struct direction_faults {
  bool IsCut = false; ///< Drops all bytes but keeps the connection open.
  std::chrono::milliseconds Delay{0};
  /// Maximum of the random delay that is added to Delay.
  std::chrono::milliseconds Jitter{0};
  /// Closes the connection after this many bytes; negative: never.
  std::int64_t TruncateAt = -1;
  std::uint64_t BytesPerSecond = 0; ///< Bandwidth limit; 0: unlimited.
};

/// Faults of one connection. Forward is the direction from the dialing side to
/// the target.
struct link_faults {
  direction_faults Forward;
  direction_faults Backward;
  /// Swaps the responses of this connection with those of the next one.
  bool SwapsResponses = false;
};

/// Faults by connection label. A peer link is labelled with the dialing VM's
/// name from its hello; the label of other connections is empty.
class fault_rules {
public:
  /// Returns the rule of \p Label, else the rule "*", else no faults.
  const link_faults &faultsOf(std::string_view Label) const;
  /// Replaces the rule of \p Label; "*" is the rule of all labels without one.
  void setFaults(std::string_view Label, link_faults Faults);

  /// Drops all further bytes of the connections open now, in both directions,
  /// as if a middlebox had lost their state.
  void forgetConnections() { ++Generation; }
  std::uint64_t generation() const { return Generation; }

private:
  std::map<std::string, link_faults, std::less<>> Rules;
  link_faults NoFaults;
  std::uint64_t Generation = 0;
};

/// Parses one rule from a query such as
/// `label=vm-1&forward_cut=1&backward_delay_ms=20`.
link_faults parseLinkFaults(std::string_view Target);

/// Returns the dialing VM's name from the first bytes of a peer link, or an
/// empty string if they hold no valid hello.
std::string peerLabel(std::string_view FirstBytes);

} // namespace peridot::test
