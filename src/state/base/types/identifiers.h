/// \file
/// Identifiers used by all layers.
#pragma once

#include "state/base/types/strong_name.h"
#include "state/base/types/strong_number.h"

namespace peridot {

using account_name = strong_name<struct account_tag>;
using service_name = strong_name<struct service_tag>;
using target_name = strong_name<struct target_tag>;
using data_center_name = strong_name<struct data_center_tag>;
using vm_name = strong_name<struct vm_tag>;
/// Lower-case hexadecimal SHA-256 of a client account's key.
using key_digest = strong_name<struct key_digest_tag>;

/// Revision of an accepted configuration; never decreases.
using revision = strong_number<struct revision_tag>;
/// Epoch of a shard's ownership; rises with each claim.
using epoch = strong_number<struct epoch_tag>;
/// Identifies one run of a VM's process; rises with each restart.
using incarnation = strong_number<struct incarnation_tag>;
/// Index of an ownership shard.
using shard_number = strong_number<struct shard_tag>;

/// One run of the process on a specific VM.
struct vm_incarnation {
  vm_name Vm;
  incarnation Incarnation;

  auto operator<=>(const vm_incarnation &) const = default;
};

} // namespace peridot

template <> struct std::hash<peridot::vm_incarnation> {
  std::size_t operator()(const peridot::vm_incarnation &Id) const {
    return std::hash<peridot::vm_name>{}(Id.Vm) * 31 + Id.Incarnation.Value;
  }
};
