/// \file
/// Interface to the platform's store: collections that are listed and watched.
/// A platform adapter implements the calls.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "state/base/types/error.h"
#include "state/configuration/types/fleet_configuration.h"
#include "state/registry/types/fleet_collection.h"
#include "state/registry/types/registered_target.h"
#include "state/registry/types/registered_vm.h"
#include "state/registry/types/requested_evacuation.h"
#include "transport/runtime/asio_types.h"

namespace peridot {

/// Whether a read may return data that is seconds old, which is cheaper.
enum class read_freshness { Current, MayBeStale };

/// Key shared by all VMs of the fleet. Never logged.
struct fleet_key {
  std::string Key;
};

/// Content that another writer stored in a form that cannot be decoded.
struct unreadable_content {
  std::string Reason;
};

using store_content =
    std::variant<unreadable_content, fleet_configuration, registered_target,
                 registered_vm, fleet_key, requested_evacuation>;

/// One object, or its removal.
struct store_item {
  std::string Name;
  std::uint64_t Revision = 0; ///< Revision of the last change to the object.
  bool IsRemoved = false;     ///< If true, Content has no meaning.
  store_content Content;
  /// The object in the store's format, for fleet_store::EncodeList; empty if it
  /// cannot be decoded.
  std::string Text;
};

/// Why a list lacks entries of the store.
struct list_gap {
  std::string Cause;
  std::string LastName; ///< Last name after which entries were requested.
};

/// Result of a list or watch: objects or changes up to a position in the
/// store's history.
struct store_items {
  std::vector<store_item> Items;
  std::uint64_t Position = 0;
  bool IsHistoryGone = false; ///< Changes are no longer kept; list again.
  /// Number of objects without a name, which are not among the items.
  std::size_t UnnamedCount = 0;
  /// Set if a list has only some of the entries. Those that it lacks may still
  /// exist.
  std::optional<list_gap> Gap;
  /// The store's unchanged response to a watch, to relay to other VMs.
  std::string Document;
};

/// Watches for changes after a position in the store's history.
struct watch_request {
  fleet_collection Collection = fleet_collection::Configuration;
  std::uint64_t After = 0;
  std::chrono::milliseconds Wait{20'000};
  read_freshness Freshness = read_freshness::Current;
};

/// Calls to the store, made on the control thread. After a Timeout or
/// Unavailable error a write may still have taken effect.
struct fleet_store {
  /// Fails only if nothing of the list could be read.
  std::function<task<result<store_items>>(fleet_collection, read_freshness)>
      List;
  /// Returns as soon as there is a change, or no items after the wait.
  std::function<task<result<store_items>>(watch_request)> Watch;
  /// Decodes a watch response that another VM has relayed.
  std::function<result<store_items>(fleet_collection, std::string_view)>
      DecodeChanges;
  /// Encodes objects, given by store_item::Text, as a complete list at a
  /// position in the store's history.
  std::function<std::string(std::span<const std::string_view> Objects,
                            std::uint64_t Position)>
      EncodeList;
  /// Decodes such a list.
  std::function<result<store_items>(fleet_collection, std::string_view)>
      DecodeList;
  /// Creates the VM's object or replaces the one with the same name. Returns
  /// the object's revision, if the response contains it.
  std::function<task<result<std::optional<std::uint64_t>>>(registered_vm)>
      Register;
  /// Removes the VM's object if it still has \p Revision.
  std::function<task<result<void>>(vm_name, std::uint64_t Revision)> Unregister;
  /// Stores the key if there is none yet; returns the stored key.
  std::function<task<result<fleet_key>>(fleet_key)> GetOrCreateFleetKey;
};

/// Creates a fleet_store that calls the store at an endpoint on an event loop.
using fleet_store_factory = std::function<fleet_store(
    boost::asio::io_context &Loop, boost::asio::ip::tcp::endpoint Store)>;

} // namespace peridot
