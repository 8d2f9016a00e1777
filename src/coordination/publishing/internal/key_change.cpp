#include "coordination/publishing/key_change.h"

#include <algorithm>

namespace peridot {

namespace {

/// Maximum number of revoked keys in a manifest; the oldest are dropped.
constexpr std::size_t MaxRevokedKeys = 1'000;

const client_account *findHolder(std::span<const service_document> Documents,
                                 const key_digest &Digest) {
  for (const service_document &Document : Documents)
    for (const client_account &Account : Document.Accounts)
      if (std::ranges::find(Account.Keys, Digest) != Account.Keys.end())
        return &Account;
  return nullptr;
}

client_account *findAccount(service_document &Document,
                            const account_name &Name) {
  const auto Found =
      std::ranges::find(Document.Accounts, Name, &client_account::Name);
  return Found == Document.Accounts.end() ? nullptr : &*Found;
}

} // namespace

result<key_plan> planKeyChange(std::span<const service_document> Documents,
                               const key_change &Change) {
  const client_account *Holder = findHolder(Documents, Change.Digest);
  if (Holder && Holder->Name != Change.Account)
    return fail(error_kind::Conflict,
                "the key belongs to account '" + Holder->Name.str() + "'",
                "name that account or another key");
  for (std::size_t Index = 0; Index < Documents.size(); ++Index) {
    service_document Document = Documents[Index];
    client_account *Account = findAccount(Document, Change.Account);
    if (!Account)
      continue;
    const bool IsKeyPresent = Holder != nullptr;
    if (IsKeyPresent == (Change.Action == key_action::Add))
      return key_unchanged{};
    if (IsKeyPresent)
      std::erase(Account->Keys, Change.Digest);
    else
      Account->Keys.push_back(Change.Digest);
    return document_to_replace{Index, std::move(Document)};
  }
  return fail(error_kind::NotFound,
              "account '" + Change.Account.str() + "' does not exist",
              "check the name, or publish the account's service file first");
}

void recordKeyChange(configuration_manifest &Manifest,
                     const key_change &Change) {
  std::erase(Manifest.RevokedKeys, Change.Digest);
  if (Change.Action == key_action::Revoke)
    Manifest.RevokedKeys.push_back(Change.Digest);
  if (Manifest.RevokedKeys.size() > MaxRevokedKeys)
    Manifest.RevokedKeys.erase(Manifest.RevokedKeys.begin());
}

} // namespace peridot
