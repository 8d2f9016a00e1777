/// \file
/// Messages by which VMs spread revisions and tell how lately the platform was
/// heard. Encoded elsewhere.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "state/base/types/identifiers.h"
#include "state/base/types/instant.h"

namespace peridot {

/// Short number of a data centre, the same on all VMs.
using data_center_number = strong_number<struct data_center_number_tag>;

/// How a feeder's last call to the platform ended.
enum class platform_state : std::uint8_t { Confirmed, Away };

/// What a feeder of one data centre knows about the platform.
struct platform_report {
  data_center_number DataCenter;
  platform_state State = platform_state::Confirmed;
  /// Confirmed: the platform's newest revision. Away: the feeder's own.
  revision Revision;
  duration Age{0}; ///< At the moment of sending; never understated.

  bool operator==(const platform_report &) const = default;
};

/// Asks a peer what it knows. The answer's reports count from the moment that
/// this message was sent, so that a delay cannot make them look newer.
struct rollout_ask {
  std::uint64_t Sequence = 0; ///< Returned in the answer; 0: none wanted.
  revision InForce;           ///< Of the sender.

  bool operator==(const rollout_ask &) const = default;
};

struct rollout_answer {
  std::uint64_t Sequence = 0;
  revision InForce; ///< Of the sender.
  std::vector<platform_report> Reports;

  bool operator==(const rollout_answer &) const = default;
};

/// Asks for the manifest that is in force at the receiver.
struct manifest_wanted {
  bool operator==(const manifest_wanted &) const = default;
};

struct manifest_offered {
  std::string Json;

  bool operator==(const manifest_offered &) const = default;
};

struct documents_wanted {
  std::vector<std::string> Digests;

  bool operator==(const documents_wanted &) const = default;
};

struct document_offered {
  std::string Digest;
  std::string Json;

  bool operator==(const document_offered &) const = default;
};

using rollout_message =
    std::variant<rollout_ask, rollout_answer, manifest_wanted, manifest_offered,
                 documents_wanted, document_offered>;

} // namespace peridot
