/// \file
/// Plans the addition or revocation of one key of a client account.
#pragma once

#include <span>
#include <variant>

#include "state/base/types/error.h"
#include "state/configuration/types/configuration_manifest.h"
#include "state/configuration/types/service_document.h"

namespace peridot {

enum class key_action { Add, Revoke };

/// A key change requested by an operator.
struct key_change {
  key_action Action = key_action::Revoke;
  account_name Account;
  key_digest Digest;
};

/// The key is already in the requested state; nothing has to be written.
struct key_unchanged {};

/// The document to replace and its index in the configuration.
struct document_to_replace {
  std::size_t Index = 0;
  service_document Document;
};

using key_plan = std::variant<key_unchanged, document_to_replace>;

/// Plans a key change. Fails with NotFound if no document declares the account,
/// and with Conflict if the key belongs to another account.
result<key_plan> planKeyChange(std::span<const service_document> Documents,
                               const key_change &Change);

/// Adds the key to the revoked keys of \p Manifest, or removes it after an
/// addition. Later publishes that list a revoked key are refused.
void recordKeyChange(configuration_manifest &Manifest,
                     const key_change &Change);

} // namespace peridot
