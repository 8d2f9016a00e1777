#include "transport/platform/configuration_publisher.h"

#include "transport/platform/manifest_access.h"

namespace peridot {

namespace {

/// Maximum number of attempts to update `current` when responses are lost.
constexpr int MaxAttempts = 5;

std::vector<key_digest> keysOf(std::span<const service_document> Documents) {
  std::vector<key_digest> Keys;
  for (const service_document &Document : Documents)
    for (const client_account &Account : Document.Accounts)
      Keys.insert(Keys.end(), Account.Keys.begin(), Account.Keys.end());
  return Keys;
}

error revokedKeyError(const key_digest &Digest) {
  return {error_kind::Conflict, "key digest " + Digest.str() + " was revoked",
          "remove it from the service file, or allow it again with "
          "'peridotctl keys add'"};
}

} // namespace

task<result<publish_report>>
configuration_publisher::publish(std::vector<service_document> Documents,
                                 publish_intent Intent) {
  if (auto Assembled = assemble(revision{1}, Documents); !Assembled)
    co_return tl::unexpected(Assembled.error());
  auto Entries = co_await storeDocuments(Documents);
  if (!Entries)
    co_return tl::unexpected(Entries.error());
  publish_request Request{.PublishId = Intent.PublishId,
                          .Author = Intent.Author,
                          .Reason = Intent.Reason,
                          .Documents = std::move(*Entries),
                          .Keys = keysOf(Documents)};
  co_return co_await updateCurrent(std::move(Request));
}

task<result<std::vector<manifest_entry>>>
configuration_publisher::storeDocuments(
    std::span<const service_document> Documents) {
  std::vector<manifest_entry> Entries;
  for (const service_document &Document : Documents) {
    auto Entry = co_await storeDocument(Platform, Document);
    if (!Entry)
      co_return tl::unexpected(Entry.error());
    Entries.push_back(std::move(*Entry));
  }
  co_return Entries;
}

task<result<publish_report>>
configuration_publisher::updateCurrent(publish_request Request) {
  std::optional<std::uint64_t> FirstVersion;
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    const auto Stored = co_await readManifest(Platform);
    if (!Stored)
      co_return tl::unexpected(Stored.error());
    const publish_plan Plan = planPublish(Stored->Manifest, Request);
    if (const auto *Revoked = std::get_if<revoked_key_listed>(&Plan))
      co_return tl::unexpected(revokedKeyError(Revoked->Digest));
    if (const auto *Done = std::get_if<already_published>(&Plan))
      co_return publish_report{Done->Revision, true};
    const std::uint64_t Version = Stored->Version;
    if (FirstVersion && *FirstVersion != Version)
      co_return fail(
          error_kind::Conflict,
          "another configuration was published in the meantime",
          "compare your files with the published ones and publish again");
    FirstVersion = Version;
    const auto &Next = std::get<manifest_to_write>(Plan).Manifest;
    const auto Written = co_await Platform.write(std::string(CurrentObjectName),
                                                 Version, encodeManifest(Next));
    if (Written)
      co_return publish_report{Next.Revision, false};
    // If the response was lost, the next attempt reads the manifest to find out
    // whether the write took effect.
    if (!mayHaveTakenEffect(Written.error()) &&
        Written.error().Kind != error_kind::Conflict)
      co_return tl::unexpected(Written.error());
  }
  co_return fail(error_kind::Unavailable,
                 "the platform's response was lost in every attempt",
                 "publish again with the same --publish_id");
}

} // namespace peridot
