#include "coordination/capacity/held_bytes.h"

#include <algorithm>
#include <utility>

namespace peridot {

namespace {

/// Budget of a VM whose memory is unknown: above what its connections can hold
/// in practice.
constexpr std::uint64_t DefaultLimit = 1U << 30U;
/// Part of a VM's memory for the budget. The rest is for the program, its
/// state, the gaps that the allocator leaves, and the buffers of the kernel.
constexpr double MemoryFraction = 0.25;
constexpr double BytesPerMegabyte = 1'000'000;

/// Parts of the budget are counted in eighths.
constexpr std::uint64_t Parts = 8;
/// Parts that only urgent requests may use of what is open to each kind.
constexpr std::uint64_t UrgentParts = 1;
/// Parts in use below which the budget is no longer short.
constexpr std::uint64_t RoomyParts = 2;

/// Parts of the budget that may be in use after \p Kind was granted to an
/// urgent request.
std::uint64_t partsFor(held_kind Kind) {
  switch (Kind) {
  case held_kind::BufferedRequest:
    return 5;
  case held_kind::StreamedRequest:
    return 7;
  case held_kind::BufferedResponse:
    return Parts;
  }
  return 0;
}

} // namespace

std::string_view nameOf(held_kind Kind) {
  switch (Kind) {
  case held_kind::BufferedRequest:
    return "buffered-request";
  case held_kind::StreamedRequest:
    return "streamed-request";
  case held_kind::BufferedResponse:
    return "buffered-response";
  }
  return "unknown";
}

std::uint64_t heldBytesLimit(double MemoryMegabytes) {
  if (MemoryMegabytes <= 0)
    return DefaultLimit;
  return static_cast<std::uint64_t>(MemoryMegabytes * BytesPerMegabyte *
                                    MemoryFraction);
}

bool held_bytes::isUrgent(unsigned Priority) {
  unsigned Known = LeastUrgent.load(std::memory_order_relaxed);
  while (Priority > Known &&
         !LeastUrgent.compare_exchange_weak(Known, Priority))
    continue;
  return Priority < std::max(Known, Priority);
}

bool held_bytes::tryAdd(held_kind Kind, unsigned Priority,
                        std::uint64_t Bytes) {
  const std::uint64_t Reserved = isUrgent(Priority) ? 0 : UrgentParts;
  const std::uint64_t Ceiling = Limit / Parts * (partsFor(Kind) - Reserved);
  std::uint64_t Known = used();
  do {
    if (Known + Bytes > Ceiling) {
      WasRefused = true;
      return false;
    }
  } while (!Used.compare_exchange_weak(Known, Known + Bytes));
  return true;
}

budget_change held_bytes::takeChange() {
  if (WasRefused.exchange(false))
    return IsShort.exchange(true) ? budget_change::None
                                  : budget_change::BecameShort;
  if (used() < Limit / Parts * RoomyParts && IsShort.exchange(false))
    return budget_change::NoLongerShort;
  return budget_change::None;
}

held_reservation::held_reservation(held_reservation &&Other) noexcept
    : Budget(std::exchange(Other.Budget, nullptr)),
      Bytes(std::exchange(Other.Bytes, 0)) {}

held_reservation &
held_reservation::operator=(held_reservation &&Other) noexcept {
  std::swap(Budget, Other.Budget);
  std::swap(Bytes, Other.Bytes);
  return *this;
}

bool held_reservation::tryAdd(held_bytes &Chosen, held_kind Kind,
                              unsigned Priority, std::uint64_t Added) {
  if (!Chosen.tryAdd(Kind, Priority, Added))
    return false;
  Budget = &Chosen;
  Bytes += Added;
  return true;
}

void held_reservation::add(held_bytes &Chosen, std::uint64_t Added) {
  Chosen.add(Added);
  Budget = &Chosen;
  Bytes += Added;
}

void held_reservation::release() {
  if (Budget)
    Budget->remove(Bytes);
  Budget = nullptr;
  Bytes = 0;
}

} // namespace peridot
