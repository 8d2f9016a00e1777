/// \file
/// Bounds the memory of responses that a traffic thread buffers completely.
#pragma once

#include <cstdint>
#include <utility>

namespace peridot {

/// Bytes of one buffered response; returned to the budget on destruction.
class buffer_reservation {
public:
  buffer_reservation() = default;
  buffer_reservation(std::uint64_t &Used, std::uint64_t Bytes)
      : Used(&Used), Bytes(Bytes) {
    *this->Used += Bytes;
  }
  buffer_reservation(buffer_reservation &&Other) noexcept
      : Used(std::exchange(Other.Used, nullptr)), Bytes(Other.Bytes) {}
  buffer_reservation &operator=(buffer_reservation &&Other) noexcept {
    std::swap(Used, Other.Used);
    std::swap(Bytes, Other.Bytes);
    return *this;
  }
  ~buffer_reservation() {
    if (Used)
      *Used -= Bytes;
  }

private:
  std::uint64_t *Used = nullptr;
  std::uint64_t Bytes = 0;
};

/// Limits of buffered responses, in bytes.
struct response_buffer_limits {
  /// Maximum size of a response that is always buffered.
  std::uint64_t Small = 0;
  /// Maximum size of a response that is buffered if the route has large
  /// responses and Total allows it.
  std::uint64_t Large = 0;
  /// Maximum sum of the buffered responses that are larger than Small. Callers
  /// may receive slowly, so their number has no other bound.
  std::uint64_t Total = 0;
};

/// Decides which responses are buffered; not thread-safe. Must outlive its
/// reservations.
class response_buffers {
public:
  explicit response_buffers(response_buffer_limits Limits) : Limits(Limits) {}

  /// Returns whether a response of \p Bytes is to be buffered. For a large one,
  /// \p Reservation is set.
  bool reserve(std::uint64_t Bytes, bool IsLargeAllowed,
               buffer_reservation &Reservation) {
    if (Bytes <= Limits.Small)
      return true;
    if (!IsLargeAllowed || Bytes > Limits.Large || Used + Bytes > Limits.Total)
      return false;
    Reservation = buffer_reservation(Used, Bytes);
    return true;
  }

private:
  response_buffer_limits Limits;
  std::uint64_t Used = 0; ///< By responses larger than Limits.Small.
};

} // namespace peridot
