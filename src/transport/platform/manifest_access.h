/// \file
/// Reads and writes the objects that make up a configuration.
#pragma once

#include <optional>

#include "transport/platform/platform_client.h"

namespace peridot {

/// The manifest in force and the version of its object.
struct stored_manifest {
  std::uint64_t Version = 0; ///< 0: nothing has been published.
  std::optional<configuration_manifest> Manifest;
};

/// Whether a write that failed with \p Error may still have taken effect.
bool mayHaveTakenEffect(const error &Error);

task<result<stored_manifest>> readManifest(platform_client &Platform);

/// Reads all documents of \p Manifest and checks their digests.
task<result<std::vector<service_document>>>
readDocuments(platform_client &Platform, configuration_manifest Manifest);

/// Stores a document under its digest, unless it is already stored, and returns
/// its entry.
task<result<manifest_entry>> storeDocument(platform_client &Platform,
                                           service_document Document);

} // namespace peridot
