/// \file
/// Connections of one traffic thread to the targets.
#pragma once

#include <chrono>
#include <memory>
#include <unordered_map>
#include <vector>

#include "coordination/routing/target_choice.h"
#include "transport/runtime/asio_types.h"

namespace peridot {

/// An open connection to a target.
struct target_connection {
  explicit target_connection(tcp_stream Open) : Stream(std::move(Open)) {}

  tcp_stream Stream;
  unsigned Uses = 0; ///< Requests that were sent on it.
  std::chrono::steady_clock::time_point OpenedAt =
      std::chrono::steady_clock::now();
  std::chrono::steady_clock::time_point IdleSince{};
};

using target_connection_ptr = std::unique_ptr<target_connection>;

/// Counts one running request at a target for as long as it lives.
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

/// Keeps idle connections and counts what runs, per target.
class target_pool {
public:
  /// Longest time that an idle connection is kept.
  static constexpr std::chrono::seconds IdleLimit{30};

  /// Requests of this thread that run at a target now.
  unsigned outstanding(const target_name &Name) const;
  [[nodiscard]] slot_guard occupySlot(const target_name &Name);

  /// Takes an idle connection; null when there is none.
  target_connection_ptr takeIdle(const target_name &Name);
  /// Gives back a connection whose last answer was read whole.
  void giveBack(const target_name &Name, target_connection_ptr Connection);
  /// Drops idle connections to a target.
  void dropIdle(const target_name &Name);

private:
  struct pool_entry {
    unsigned Outstanding = 0;
    std::vector<target_connection_ptr> Idle;
  };

  std::unordered_map<target_name, pool_entry> Entries;
};

} // namespace peridot
