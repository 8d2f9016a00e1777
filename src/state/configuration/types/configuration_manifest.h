/// \file
/// Which documents make up an accepted configuration, and why.
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

/// What `current` holds: one accepted configuration and why it was published.
struct configuration_manifest {
  revision Revision;
  std::string PublishId; ///< Makes a repeated publish harmless.
  std::string Author;
  std::string Reason;
  std::vector<manifest_entry> Documents;
  /// Keys withdrawn by `peridotctl keys revoke`, oldest first. A publish that
  /// lists one of them is refused, so that an old file cannot bring it back.
  std::vector<key_digest> RevokedKeys;

  bool operator==(const configuration_manifest &) const = default;
};

} // namespace peridot
