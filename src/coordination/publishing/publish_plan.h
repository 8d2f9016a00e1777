/// \file
/// What a publish has to do, given what is in force.
#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "state/configuration/types/configuration_manifest.h"

namespace peridot {

/// A publish as an operator asked for it.
struct publish_request {
  std::string PublishId;
  std::string Author;
  std::string Reason;
  std::vector<manifest_entry> Documents;
  std::vector<key_digest> Keys; ///< Of all accounts in the documents.
};

/// The request is in force already; nothing is to be written.
struct already_published {
  revision Revision;
};

/// The manifest to write, if the current one has not changed by then.
struct manifest_to_write {
  configuration_manifest Manifest;
};

/// A document lists a key that was revoked; nothing is to be written.
struct revoked_key_listed {
  key_digest Digest;
};

using publish_plan =
    std::variant<already_published, manifest_to_write, revoked_key_listed>;

/// \param Current the manifest in force; empty before the first publish.
publish_plan planPublish(const std::optional<configuration_manifest> &Current,
                         const publish_request &Request);

} // namespace peridot
