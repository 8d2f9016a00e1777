/// \file
/// Texts of the store's entries, and the packed documents made from them.
#pragma once

#include <array>

#include "coordination/registry/collection_archive.h"
#include "coordination/registry/types/store_messages.h"
#include "transport/platform/types/fleet_store.h"

namespace peridot {

/// Packs what a watcher sends to its local peers, and unpacks it there. Both
/// sides keep the same texts, as they apply the same ranges of changes.
class store_archive {
public:
  explicit store_archive(const fleet_store &Store) : Store(Store) {}

  /// Applies a list of all entries or the changes since the last result.
  /// \returns whether the entries changed.
  bool apply(fleet_collection Collection, const store_items &Items,
             bool IsList);
  /// Packs the store's response to a watch. Must be called before its changes
  /// are applied, as the packed form refers to the texts that they replace.
  packed_document packChanges(fleet_collection Collection,
                              const store_items &Changes) const;
  /// Unpacks a relayed response. Fails if the texts that it refers to are not
  /// known here.
  result<std::string> unpackChanges(fleet_collection Collection,
                                    const packed_document &Packed) const;
  /// Packs all entries of a collection, as \p Progress describes them.
  store_snapshot snapshot(fleet_collection Collection,
                          const collection_sync &Progress);

private:
  struct archived_collection {
    collection_archive Entries;
    /// The last snapshot; without a document if the entries have changed since.
    store_snapshot LastSnapshot;
  };

  archived_collection &get(fleet_collection Collection) {
    return Collections[static_cast<std::size_t>(Collection)];
  }
  const archived_collection &get(fleet_collection Collection) const {
    return Collections[static_cast<std::size_t>(Collection)];
  }

  const fleet_store &Store;
  /// Indexed by fleet_collection.
  std::array<archived_collection, AllCollections.size()> Collections;
};

} // namespace peridot
