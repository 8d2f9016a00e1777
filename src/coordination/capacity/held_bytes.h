/// \file
/// Budget of the bytes that a VM holds for callers and targets.
///
/// A VM that exceeds its memory is killed with all its requests. What it holds
/// depends on how fast callers and targets read, so the number of requests does
/// not bound it.
#pragma once

#include <atomic>
#include <cstdint>
#include <string_view>

namespace peridot {

/// What bytes are held for. Each kind may use a larger part of the budget than
/// the one before it, so that requests that run can end before others begin.
enum class held_kind {
  BufferedRequest,  ///< Body that is read ahead, so that it can be sent again.
  StreamedRequest,  ///< Buffers without which a body cannot be passed on.
  BufferedResponse, ///< Response that is kept so that its target is free.
};

/// Returns the stable name of a kind, as used in logs and counters.
std::string_view nameOf(held_kind Kind);

/// Returns the budget of a VM with \p MemoryMegabytes; 0: unknown.
std::uint64_t heldBytesLimit(double MemoryMegabytes);

/// Change of the budget between having room and being short of it.
enum class budget_change { None, BecameShort, NoLongerShort };

/// Counts all bytes of one VM and decides who may hold more. Thread-safe, as
/// all traffic threads share the VM's memory.
class held_bytes {
public:
  explicit held_bytes(std::uint64_t Limit) : Limit(Limit) {}
  held_bytes(const held_bytes &) = delete;
  held_bytes &operator=(const held_bytes &) = delete;

  /// Adds \p Bytes if the part of the budget permits that a request with
  /// \p Priority may use for \p Kind. Its last part is left to requests that
  /// are more urgent than the least urgent one that ever asked.
  /// \returns whether they were added.
  bool tryAdd(held_kind Kind, unsigned Priority, std::uint64_t Bytes);
  /// Adds bytes that cannot be done without, even beyond the budget: a response
  /// must be passed on once its request has run.
  void add(std::uint64_t Bytes) {
    Used.fetch_add(Bytes, std::memory_order_relaxed);
  }
  void remove(std::uint64_t Bytes) {
    Used.fetch_sub(Bytes, std::memory_order_relaxed);
  }

  std::uint64_t used() const { return Used.load(std::memory_order_relaxed); }
  std::uint64_t limit() const { return Limit; }
  /// Returns a change since the last call. The budget is short from the first
  /// bytes that were not granted until less than a quarter is in use.
  budget_change takeChange();

private:
  bool isUrgent(unsigned Priority);

  const std::uint64_t Limit;
  std::atomic<std::uint64_t> Used{0};
  /// Highest number, which is the least urgent, that was passed to tryAdd().
  std::atomic<unsigned> LeastUrgent{0};
  std::atomic<bool> WasRefused{false}; ///< Since the last takeChange().
  std::atomic<bool> IsShort{false};    ///< As last reported.
};

/// Bytes held for one request; returned to the budget on destruction. The
/// budget must outlive it.
class held_reservation {
public:
  held_reservation() = default;
  held_reservation(held_reservation &&Other) noexcept;
  held_reservation &operator=(held_reservation &&Other) noexcept;
  ~held_reservation() { release(); }

  /// Holds \p Bytes of \p Budget in addition, if it grants them. All calls
  /// until release() name the same budget.
  /// \returns whether it did.
  bool tryAdd(held_bytes &Budget, held_kind Kind, unsigned Priority,
              std::uint64_t Bytes);
  /// The same for bytes that cannot be done without.
  void add(held_bytes &Budget, std::uint64_t Bytes);
  void release();
  std::uint64_t bytes() const { return Bytes; }

private:
  held_bytes *Budget = nullptr;
  std::uint64_t Bytes = 0;
};

} // namespace peridot
