/// \file
/// Messages in which VMs announce revisions, report the state of the platform
/// and transfer configurations. They are encoded in protocol/rollout_messages.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "state/base/types/identifiers.h"
#include "state/base/types/instant.h"

namespace peridot {

/// Identifies a data centre in reports; the same on all VMs.
using data_center_number = strong_number<struct data_center_number_tag>;

/// Result of a watcher's last call to the platform.
enum class platform_state : std::uint8_t { Confirmed, Unreachable };

/// State of the platform as seen by a watcher of one data centre.
struct platform_report {
  data_center_number DataCenter;
  platform_state State = platform_state::Confirmed;
  /// The platform's newest revision if confirmed, otherwise the revision in
  /// force at the watcher.
  revision Revision;
  duration Age{0}; ///< Age at the time of sending, never understated.

  bool operator==(const platform_report &) const = default;
};

/// Requests a peer's revision and reports. The receiver of the response counts
/// the ages of the reports from the send time of this request, so that a delay
/// cannot make them look newer.
struct rollout_request {
  /// Repeated in the response; 0 announces the revision without requesting a
  /// response.
  std::uint64_t Sequence = 0;
  revision InForce; ///< Revision in force at the sender.

  bool operator==(const rollout_request &) const = default;
};

struct rollout_response {
  std::uint64_t Sequence = 0;
  revision InForce; ///< Revision in force at the sender.
  std::vector<platform_report> Reports;

  bool operator==(const rollout_response &) const = default;
};

/// Requests the manifest of the configuration in force at the receiver.
struct manifest_request {
  bool operator==(const manifest_request &) const = default;
};

struct manifest_response {
  std::string Json;

  bool operator==(const manifest_response &) const = default;
};

struct documents_request {
  std::vector<std::string> Digests;

  bool operator==(const documents_request &) const = default;
};

struct document_response {
  std::string Digest;
  std::string Json;

  bool operator==(const document_response &) const = default;
};

using rollout_message =
    std::variant<rollout_request, rollout_response, manifest_request,
                 manifest_response, documents_request, document_response>;

} // namespace peridot
