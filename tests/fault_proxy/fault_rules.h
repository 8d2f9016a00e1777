/// \file
/// Which faults a proxied connection suffers, in each direction.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace peridot::test {

/// Faults of the bytes that travel one way.
struct direction_faults {
  bool Cut = false; ///< Bytes vanish; nothing is closed.
  std::chrono::milliseconds Delay{0};
  std::chrono::milliseconds Jitter{0}; ///< Added at random, 0 to this.
  std::int64_t TruncateAt = -1;     ///< Close after this many bytes; -1: never.
  std::uint64_t BytesPerSecond = 0; ///< Slow trickle; 0: unlimited.
};

/// Faults of one connection. Forward is from the side that connected.
struct link_faults {
  direction_faults Forward;
  direction_faults Backward;
  /// Answers of this connection go to the next one, and the other way round.
  bool Crossed = false;
};

/// Faults by the label of a connection. The label of a peer link is the name
/// of the VM that dialed, read from its hello; others have an empty label.
class fault_rules {
public:
  /// Faults of connections with \p Label: its own rule, or the one for all.
  const link_faults &faultsOf(std::string_view Label) const;
  /// Replaces the rule of \p Label; the label "*" stands for all others.
  void set(std::string_view Label, link_faults Faults);

  /// Connections opened before the latest call lose their state: their bytes
  /// vanish in both directions for good.
  void forgetConnections() { ++Generation; }
  std::uint64_t generation() const { return Generation; }

private:
  std::map<std::string, link_faults, std::less<>> Rules;
  link_faults None;
  std::uint64_t Generation = 0;
};

/// Reads one rule from a query such as
/// `label=vm-1&forward_cut=1&backward_delay_ms=20`.
link_faults parseLinkFaults(std::string_view Target);

/// Name of the dialing VM in the first bytes of a peer link, or empty.
std::string peerLabel(std::string_view FirstBytes);

} // namespace peridot::test
