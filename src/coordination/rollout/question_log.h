/// \file
/// Remembers when each question was sent, so that an answer counts from then.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "state/base/types/identifiers.h"
#include "state/base/types/instant.h"

namespace peridot {

class question_log {
public:
  /// \param First number of the first question; differs from run to run, so
  ///        that answers to an earlier run are not taken.
  /// \param Limit questions older than this are forgotten.
  question_log(std::uint64_t First, duration Limit)
      : Next(First), Limit(Limit) {}

  /// Notes a question to \p Peer and returns its number.
  std::uint64_t add(const vm_name &Peer, instant Now) {
    std::erase_if(
        Sent, [&](const auto &Entry) { return Now - Entry.second.At > Limit; });
    Sent.emplace(++Next, question{Peer, Now});
    return Next;
  }

  /// When question \p Number was sent to \p Peer; empty if it was not, was
  /// answered before, or is forgotten.
  std::optional<instant> take(const vm_name &Peer, std::uint64_t Number) {
    const auto Found = Sent.find(Number);
    if (Found == Sent.end() || Found->second.Peer != Peer)
      return std::nullopt;
    const instant At = Found->second.At;
    Sent.erase(Found);
    return At;
  }

private:
  struct question {
    vm_name Peer;
    instant At;
  };

  std::uint64_t Next;
  duration Limit;
  std::map<std::uint64_t, question> Sent;
};

} // namespace peridot
