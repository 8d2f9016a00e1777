/// \file
/// What VMs tell each other about leases and shards.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "state/ownership/types/shard_map.h"

namespace peridot {

/// An owner asks a witness to confirm its lease; the sender's incarnation is
/// known from the link. One question covers all shards of the owner.
struct lease_question {
  std::uint64_t Sequence = 0;

  bool operator==(const lease_question &) const = default;
};

/// A witness answers a question.
struct lease_answer {
  std::uint64_t Sequence = 0;
  bool Confirmed = false; ///< False: will never be confirmed again.

  bool operator==(const lease_answer &) const = default;
};

/// A witness tells that an owner's promise has run out. \p Final: the witness
/// will never confirm this incarnation again.
struct lease_lapse {
  vm_incarnation Owner;
  bool Final = false;

  bool operator==(const lease_lapse &) const = default;
};

/// A successor asks whether an owner's promise has run out; \p Final: and to
/// refuse that incarnation for good.
struct lapse_request {
  vm_incarnation Owner;
  bool Final = false;

  bool operator==(const lapse_request &) const = default;
};

/// A shard in one term of its ownership.
struct shard_term {
  shard_number Shard;
  epoch Epoch;

  auto operator<=>(const shard_term &) const = default;
};

/// An owner tells a successor that it has stopped acting for these terms and
/// will not act for them again.
struct shard_release {
  std::vector<shard_term> Terms;

  bool operator==(const shard_release &) const = default;
};

/// A VM that could not read the shard map yet asks for a peer's copy.
struct map_question {
  bool operator==(const map_question &) const = default;
};

/// The map as the sender last read it; it may be out of date.
struct map_answer {
  std::uint64_t Version = 0;
  shard_map Map;

  bool operator==(const map_answer &) const = default;
};

using lease_message =
    std::variant<lease_question, lease_answer, lease_lapse, lapse_request,
                 shard_release, map_question, map_answer>;

} // namespace peridot
