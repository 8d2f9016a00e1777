/// \file
/// Manifest that lists the documents of an accepted configuration.
#pragma once

#include <string>
#include <vector>

#include "state/base/types/identifiers.h"

namespace peridot {

/// One service document of a manifest.
struct manifest_entry {
  service_name Service;
  std::string Digest; ///< Hex SHA-256 of the document's JSON.

  bool operator==(const manifest_entry &) const = default;
};

/// Content of the store's `current` entry: one accepted configuration, its
/// author and the reason for its publication.
struct configuration_manifest {
  revision Revision;
  /// Identifies a publish, so that repeating it has no effect.
  std::string PublishId;
  std::string Author;
  std::string Reason;
  std::vector<manifest_entry> Documents;
  /// Keys revoked with `peridotctl keys revoke`, oldest first. A publish that
  /// contains one is refused, so that an old file cannot restore the key.
  std::vector<key_digest> RevokedKeys;

  bool operator==(const configuration_manifest &) const = default;
};

} // namespace peridot
