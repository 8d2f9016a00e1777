/// \file
/// Adding or withdrawing one key of a client account.
#pragma once

#include <span>
#include <variant>

#include "state/base/types/error.h"
#include "state/configuration/types/configuration_manifest.h"
#include "state/configuration/types/service_document.h"

namespace peridot {

enum class key_action { Add, Revoke };

/// What an operator asked for.
struct key_change {
  key_action Action = key_action::Revoke;
  account_name Account;
  key_digest Digest;
};

/// The key already is as asked for; nothing is to be written.
struct key_unchanged {};

/// The one document to replace, by its place in the configuration.
struct document_to_replace {
  std::size_t Index = 0;
  service_document Document;
};

using key_plan = std::variant<key_unchanged, document_to_replace>;

/// Fails with NotFound when no document declares the account, with Conflict
/// when another account holds the key.
result<key_plan> planKeyChange(std::span<const service_document> Documents,
                               const key_change &Change);

/// Notes in \p Manifest that the key was revoked, or may be used again. Later
/// publishes that still list a revoked key are refused.
void noteKeyChange(configuration_manifest &Manifest, const key_change &Change);

} // namespace peridot
