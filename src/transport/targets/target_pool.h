/// \file
/// Pool of the connections of one traffic thread to the targets.
#pragma once

#include <chrono>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

#include "coordination/routing/silent_connections.h"
#include "coordination/routing/target_choice.h"
#include "transport/runtime/asio_types.h"
#include "transport/runtime/timer_service.h"

namespace peridot {

/// An open connection to a target.
struct target_connection {
  explicit target_connection(tcp_stream Open) : Stream(std::move(Open)) {}

  tcp_stream Stream;
  unsigned RequestCount = 0; ///< Number of requests sent on this connection.
  instant OpenedAt = bootNow();
  instant IdleSince{};
  /// Maximum idle time after which the connection may still be reused.
  duration KeepAliveTime = std::chrono::seconds(30);
};

using target_connection_ptr = std::unique_ptr<target_connection>;

/// Counts one running request at a target during its lifetime.
class slot_guard {
public:
  explicit slot_guard(unsigned &Count) : Count(&Count) { ++Count; }
  slot_guard(slot_guard &&Other) noexcept
      : Count(std::exchange(Other.Count, nullptr)) {}
  slot_guard &operator=(slot_guard &&) = delete;
  ~slot_guard() {
    if (Count)
      --*Count;
  }

private:
  unsigned *Count;
};

/// Settings of a target pool.
struct target_pool_options {
  /// Maximum number of connections of this thread to one target, in use and
  /// idle; 0: the limit of the target.
  unsigned MaxConnectionsPerTarget = 0;
  /// Maximum idle time of a connection reused for a request that must not be
  /// repeated, as the target may be closing a connection that is idle for
  /// longer. Zero: such a request always gets a new connection.
  duration UnrepeatableIdleLimit{0};
};

/// Keeps idle connections and counts running requests, per target.
class target_pool {
public:
  /// Maximum idle time of a connection that may be reused.
  static constexpr std::chrono::seconds IdleLimit{30};

  explicit target_pool(target_pool_options Options) : Options(Options) {}

  /// Number of requests of this thread that are running at a target.
  unsigned outstanding(const target_name &Name) const;
  /// Maximum number of connections of this thread to a target.
  unsigned connectionLimitOf(const target &Target) const;
  [[nodiscard]] slot_guard occupySlot(const target_name &Name);

  /// Takes a connection that has been idle for less than \p IdleLimit out of
  /// the pool; null if there is none.
  target_connection_ptr takeIdle(const target_name &Name,
                                 duration IdleLimit = target_pool::IdleLimit);
  duration unrepeatableIdleLimit() const {
    return Options.UnrepeatableIdleLimit;
  }
  /// Closes idle connections to all targets except \p Names.
  void retain(std::span<const target_name> Names);
  /// Closes an idle connection if opening another one would exceed the limit.
  /// The request that opens it must have occupied its slot already.
  void evictIdleIfFull(const target &Target);
  /// Returns a connection to the pool after its last response was read
  /// completely.
  void returnConnection(const target &Target, target_connection_ptr Connection);
  /// Closes the idle connections to a target.
  void dropIdle(const target_name &Name);
  /// Records how a request on a connection ended, and closes idle connections
  /// that are found to be silent.
  /// \returns the number of closed connections.
  std::size_t recordEvent(const target_name &Name,
                          const connection_event &Event);

private:
  struct pool_entry {
    unsigned Outstanding = 0;
    std::vector<target_connection_ptr> Idle; ///< The longest idle one is first.
    silent_connection_detector SilenceDetector;
  };

  target_pool_options Options;
  std::unordered_map<target_name, pool_entry> Entries;
};

} // namespace peridot
