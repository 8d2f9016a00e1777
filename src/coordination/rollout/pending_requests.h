/// \file
/// Tracks the send times of requests, so that the age of a response's content
/// counts from the time of its request.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "state/base/types/identifiers.h"
#include "state/base/types/instant.h"

namespace peridot {

class pending_requests {
public:
  /// \param First base of the sequence numbers. It differs between runs of the
  ///        process, so that responses to an earlier run are not accepted.
  /// \param Limit age above which requests are dropped.
  pending_requests(std::uint64_t First, duration Limit)
      : Next(First), Limit(Limit) {}

  /// Adds a request to \p Peer and returns its sequence number.
  std::uint64_t add(const vm_name &Peer, instant Now) {
    std::erase_if(
        Sent, [&](const auto &Entry) { return Now - Entry.second.At > Limit; });
    Sent.emplace(++Next, pending_request{Peer, Now});
    return Next;
  }

  /// Removes request \p Number and returns its send time. Returns nothing if
  /// the request was not sent to \p Peer, was already taken, or was dropped.
  std::optional<instant> take(const vm_name &Peer, std::uint64_t Number) {
    const auto Found = Sent.find(Number);
    if (Found == Sent.end() || Found->second.Peer != Peer)
      return std::nullopt;
    const instant At = Found->second.At;
    Sent.erase(Found);
    return At;
  }

private:
  struct pending_request {
    vm_name Peer;
    instant At;
  };

  std::uint64_t Next;
  duration Limit;
  std::map<std::uint64_t, pending_request> Sent;
};

} // namespace peridot
