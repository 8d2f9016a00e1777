/// \file
/// Messages between the VMs of a data centre about the platform's store.
#pragma once

#include <chrono>
#include <string>
#include <variant>

#include "coordination/registry/collection_sync.h"
#include "state/registry/types/fleet_collection.h"

namespace peridot {

/// Sent by a watcher after each successful watch, even without changes, so that
/// the ranges are contiguous.
struct store_changes {
  fleet_collection Collection = fleet_collection::Configuration;
  relayed_range Range;
  std::string Document; ///< Unmodified response of the store.
};

/// Sent periodically by a watcher.
struct watcher_report {
  bool StoreResponds = false;
  /// For how long the store has responded without interruption.
  std::chrono::milliseconds RespondingFor{0};
  std::uint64_t Revision = 0; ///< Of the configuration in force.
  /// Positions up to which the watcher has read the collections.
  std::uint64_t ConfigurationPosition = 0;
  std::uint64_t TargetsPosition = 0;
};

/// Requests the age of a watcher's last confirmation of the configuration.
struct confirmation_request {
  std::uint64_t Number = 0; ///< Request number, chosen by the requester.
};

/// Response, sent once the watcher has a recent enough confirmation.
struct confirmation_response {
  std::uint64_t Number = 0; ///< Number of the request.
  /// Time since the start of the store read that confirmed the configuration.
  std::chrono::milliseconds Age{0};
  /// Revision of the configuration in force at the watcher.
  std::uint64_t Revision = 0;
  std::uint64_t TargetsPosition = 0;
};

using store_message = std::variant<store_changes, watcher_report,
                                   confirmation_request, confirmation_response>;

} // namespace peridot
