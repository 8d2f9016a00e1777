#include "transport/platform/configuration_publisher.h"

#include "state/base/hashing.h"

namespace peridot {

namespace {

/// Tries at moving `current` while answers are lost.
constexpr int MaxTries = 5;

bool mayHaveTakenEffect(const error &Error) {
  return Error.Kind == error_kind::Timeout ||
         Error.Kind == error_kind::Unavailable;
}

} // namespace

task<result<publish_report>>
configuration_publisher::publish(std::vector<service_document> Documents,
                                 publish_intent Intent) {
  if (auto Whole = assemble(revision{1}, Documents); !Whole)
    co_return tl::unexpected(Whole.error());
  auto Entries = co_await storeDocuments(Documents);
  if (!Entries)
    co_return tl::unexpected(Entries.error());
  publish_request Request{.PublishId = Intent.PublishId,
                          .Author = Intent.Author,
                          .Reason = Intent.Reason,
                          .Documents = std::move(*Entries)};
  co_return co_await moveCurrent(std::move(Request));
}

task<result<std::vector<manifest_entry>>>
configuration_publisher::storeDocuments(
    std::span<const service_document> Documents) {
  std::vector<manifest_entry> Entries;
  for (const service_document &Document : Documents) {
    std::string Json = encodeDocument(Document);
    std::string Digest = sha256Hex(Json);
    const auto Written =
        co_await Platform.write(documentObject(Digest), 0, std::move(Json));
    // A conflict means that the same document is stored already.
    if (!Written && Written.error().Kind != error_kind::Conflict &&
        !mayHaveTakenEffect(Written.error()))
      co_return tl::unexpected(Written.error());
    Entries.push_back({Document.Service.Name, std::move(Digest)});
  }
  for (const manifest_entry &Entry : Entries) {
    const auto Stored = co_await Platform.read(documentObject(Entry.Digest));
    if (!Stored)
      co_return tl::unexpected(Stored.error());
    if (!*Stored)
      co_return fail(error_kind::Unavailable,
                     "document of service " + Entry.Service.str() +
                         " was not stored",
                     "publish again with the same --publish_id");
  }
  co_return Entries;
}

task<result<publish_report>>
configuration_publisher::moveCurrent(publish_request Request) {
  std::optional<std::uint64_t> FirstVersion;
  for (int Try = 0; Try < MaxTries; ++Try) {
    const auto Stored = co_await Platform.read(std::string(CurrentObject));
    if (!Stored)
      co_return tl::unexpected(Stored.error());
    std::optional<configuration_manifest> Current;
    if (*Stored) {
      auto Decoded = decodeManifest((*Stored)->Body);
      if (!Decoded)
        co_return tl::unexpected(Decoded.error());
      Current = std::move(*Decoded);
    }
    const publish_plan Plan = planPublish(Current, Request);
    if (const auto *Done = std::get_if<already_published>(&Plan))
      co_return publish_report{Done->Revision, true};
    const std::uint64_t Version = *Stored ? (*Stored)->Version : 0;
    if (FirstVersion && *FirstVersion != Version)
      co_return fail(error_kind::Conflict, "someone else published meanwhile",
                     "compare your files with theirs and publish again");
    FirstVersion = Version;
    const auto &Next = std::get<manifest_to_write>(Plan).Manifest;
    const auto Written = co_await Platform.write(std::string(CurrentObject),
                                                 Version, encodeManifest(Next));
    if (Written)
      co_return publish_report{Next.Revision, false};
    // After a lost answer the next round reads back what happened.
    if (!mayHaveTakenEffect(Written.error()) &&
        Written.error().Kind != error_kind::Conflict)
      co_return tl::unexpected(Written.error());
  }
  co_return fail(error_kind::Unavailable,
                 "the platform lost the answer to every try",
                 "publish again with the same --publish_id");
}

} // namespace peridot
