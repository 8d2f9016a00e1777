/// \file
/// Reads and writes the objects that make up a configuration.
#pragma once

#include <optional>

#include "transport/platform/platform_client.h"

namespace peridot {

/// The manifest in force with the version of its object.
struct stored_manifest {
  std::uint64_t Version = 0; ///< 0: nothing was published yet.
  std::optional<configuration_manifest> Manifest;
};

/// True if a write that failed with \p Error may have happened all the same.
bool mayHaveTakenEffect(const error &Error);

task<result<stored_manifest>> readManifest(platform_client &Platform);

/// Reads all documents of \p Manifest and checks their digests.
task<result<std::vector<service_document>>>
readDocuments(platform_client &Platform, configuration_manifest Manifest);

/// Stores a document under its digest and returns its entry. A document that
/// is stored already is left as it is.
task<result<manifest_entry>> storeDocument(platform_client &Platform,
                                           service_document Document);

} // namespace peridot
