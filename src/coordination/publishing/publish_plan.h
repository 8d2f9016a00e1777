/// \file
/// Plans a publish on the basis of the manifest in force.
#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "state/configuration/types/configuration_manifest.h"

namespace peridot {

/// A publish requested by an operator.
struct publish_request {
  std::string PublishId;
  std::string Author;
  std::string Reason;
  std::vector<manifest_entry> Documents;
  std::vector<key_digest> Keys; ///< Keys of all accounts in the documents.
};

/// The request was already published; nothing has to be written.
struct already_published {
  revision Revision;
};

/// The manifest to write, provided that the current one is still unchanged.
struct manifest_to_write {
  configuration_manifest Manifest;
};

/// A document lists a revoked key; the request must not be published.
struct revoked_key_listed {
  key_digest Digest;
};

using publish_plan =
    std::variant<already_published, manifest_to_write, revoked_key_listed>;

/// Plans a publish. Returns already_published if the manifest in force has the
/// same publish ID, so that a request can be repeated safely.
/// \param Current the manifest in force; empty before the first publish.
publish_plan planPublish(const std::optional<configuration_manifest> &Current,
                         const publish_request &Request);

} // namespace peridot
