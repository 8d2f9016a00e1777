/// \file
/// Messages between the VMs of a data centre about the platform's store.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

#include "coordination/registry/collection_sync.h"
#include "state/registry/types/fleet_collection.h"

namespace peridot {

/// A document of the store in compressed form.
struct packed_document {
  std::uint32_t Size = 0; ///< Of the document, in bytes.
  /// Entry whose earlier text the compressed form refers to, and the hash of
  /// that text; 0: it refers to none.
  std::string BaseName;
  std::uint64_t BaseHash = 0;
  std::string Bytes;
};

/// Sent by a watcher when its watch returns changes.
struct store_changes {
  fleet_collection Collection = fleet_collection::Configuration;
  relayed_range Range;
  packed_document Document; ///< Response of the store.
};

/// Sent periodically by a watcher.
struct watcher_report {
  bool StoreResponds = false;
  /// For how long the store has responded without interruption.
  std::chrono::milliseconds RespondingFor{0};
  std::uint64_t Revision = 0; ///< Of the configuration in force.
  /// Positions of the last changes that the watcher knows of.
  std::uint64_t ConfigurationChange = 0;
  std::uint64_t TargetsChange = 0;
  std::uint64_t VmsChange = 0;
  std::uint64_t EvacuationsChange = 0;
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
  std::uint64_t TargetsChange = 0; ///< Position of the last change of a target.
};

/// Requests a whole collection from a watcher, which spares a call to the
/// store.
struct snapshot_request {
  fleet_collection Collection = fleet_collection::Configuration;
};

/// Response of a watcher that has recently reached the store.
struct store_snapshot {
  fleet_collection Collection = fleet_collection::Configuration;
  std::uint64_t Position = 0;
  std::uint64_t LastChange = 0; ///< Position of the last change up to Position.
  packed_document Document;     ///< All entries, as the store lists them.
};

using store_message =
    std::variant<store_changes, watcher_report, confirmation_request,
                 confirmation_response, snapshot_request, store_snapshot>;

} // namespace peridot
