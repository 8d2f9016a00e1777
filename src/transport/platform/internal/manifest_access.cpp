#include "transport/platform/manifest_access.h"

#include "state/base/hashing.h"

namespace peridot {

bool mayHaveTakenEffect(const error &Error) {
  return Error.Kind == error_kind::Timeout ||
         Error.Kind == error_kind::Unavailable;
}

task<result<stored_manifest>> readManifest(platform_client &Platform) {
  const auto Stored = co_await Platform.read(std::string(CurrentObjectName));
  if (!Stored)
    co_return tl::unexpected(Stored.error());
  if (!*Stored)
    co_return stored_manifest{};
  auto Decoded = decodeManifest((*Stored)->Body);
  if (!Decoded)
    co_return tl::unexpected(Decoded.error());
  co_return stored_manifest{(*Stored)->Version, std::move(*Decoded)};
}

task<result<std::vector<service_document>>>
readDocuments(platform_client &Platform, configuration_manifest Manifest) {
  std::vector<service_document> Documents;
  for (const manifest_entry &Entry : Manifest.Documents) {
    const auto Stored =
        co_await Platform.read(documentObjectName(Entry.Digest));
    if (!Stored)
      co_return tl::unexpected(Stored.error());
    if (!*Stored || sha256Hex((*Stored)->Body) != Entry.Digest)
      co_return fail(error_kind::NotFound,
                     "document of service " + Entry.Service.str() +
                         " is missing or damaged",
                     "publish the service files again");
    auto Decoded = decodeDocument((*Stored)->Body);
    if (!Decoded)
      co_return tl::unexpected(Decoded.error());
    Documents.push_back(std::move(*Decoded));
  }
  co_return Documents;
}

task<result<manifest_entry>> storeDocument(platform_client &Platform,
                                           service_document Document) {
  std::string Json = encodeDocument(Document);
  const std::string Digest = sha256Hex(Json);
  const auto Written =
      co_await Platform.write(documentObjectName(Digest), 0, std::move(Json));
  // A conflict means that the same document is stored already.
  if (!Written && Written.error().Kind != error_kind::Conflict &&
      !mayHaveTakenEffect(Written.error()))
    co_return tl::unexpected(Written.error());
  const auto Stored = co_await Platform.read(documentObjectName(Digest));
  if (!Stored)
    co_return tl::unexpected(Stored.error());
  if (!*Stored)
    co_return fail(error_kind::Unavailable,
                   "document of service " + Document.Service.Name.str() +
                       " is missing after it was written",
                   "repeat the command with the same --publish_id");
  co_return manifest_entry{Document.Service.Name, Digest};
}

} // namespace peridot
