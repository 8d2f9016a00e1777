/// \file
/// Messages between VMs about leases and shards.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "state/ownership/types/shard_map.h"

namespace peridot {

/// Request of an owner to a witness to confirm its lease. The link identifies
/// the sender's incarnation. One request covers all shards of the owner.
struct lease_request {
  std::uint64_t Sequence = 0;

  bool operator==(const lease_request &) const = default;
};

/// Response of a witness to a confirmation request.
struct lease_response {
  std::uint64_t Sequence = 0;
  bool Confirmed = false; ///< False: the witness refuses for good.

  bool operator==(const lease_response &) const = default;
};

/// Report of a witness that its promise to an owner has run out. If \p Final is
/// set, the witness will never confirm this incarnation again.
struct lease_lapse {
  vm_incarnation Owner;
  bool Final = false;

  bool operator==(const lease_lapse &) const = default;
};

/// Request of a successor to report whether the promise to an owner has run
/// out. If \p Final is set, a witness whose promise has run out must also
/// refuse that incarnation for good.
struct lapse_request {
  vm_incarnation Owner;
  bool Final = false;

  bool operator==(const lapse_request &) const = default;
};

/// Term of a shard: the time in which one owner holds it, numbered by epoch.
struct shard_term {
  shard_number Shard;
  epoch Epoch;

  auto operator<=>(const shard_term &) const = default;
};

/// Notice of an owner to a successor that it has stopped acting for these terms
/// and will never act for them again.
struct shard_release {
  std::vector<shard_term> Terms;

  bool operator==(const shard_release &) const = default;
};

/// Request for a peer's copy of the shard map, from a VM that has not been able
/// to read the map yet.
struct map_request {
  bool operator==(const map_request &) const = default;
};

/// The shard map as the sender last read it. It may be out of date.
struct map_response {
  std::uint64_t Version = 0;
  shard_map Map;

  bool operator==(const map_response &) const = default;
};

using lease_message =
    std::variant<lease_request, lease_response, lease_lapse, lapse_request,
                 shard_release, map_request, map_response>;

} // namespace peridot
