#include "transport/platform/key_changer.h"

#include "transport/platform/manifest_access.h"

namespace peridot {

namespace {

/// Tries while others publish or answers are lost.
constexpr int MaxTries = 8;

task<result<configuration_manifest>>
nextManifest(platform_client &Platform, configuration_manifest Current,
             document_to_replace Replace, key_change Change,
             publish_intent Intent) {
  auto Entry = co_await storeDocument(Platform, std::move(Replace.Document));
  if (!Entry)
    co_return tl::unexpected(Entry.error());
  Current.Documents[Replace.Index] = std::move(*Entry);
  Current.Revision = Current.Revision.next();
  Current.PublishId = std::move(Intent.PublishId);
  Current.Author = std::move(Intent.Author);
  Current.Reason = std::move(Intent.Reason);
  noteKeyChange(Current, Change);
  co_return Current;
}

/// One try; empty when the manifest changed meanwhile or the answer was lost.
task<result<std::optional<publish_report>>>
tryChange(platform_client &Platform, key_change Change, publish_intent Intent) {
  const auto Stored = co_await readManifest(Platform);
  if (!Stored)
    co_return tl::unexpected(Stored.error());
  if (!Stored->Manifest)
    co_return fail(error_kind::NotFound, "nothing was published yet",
                   "publish the service files first");
  const auto Documents = co_await readDocuments(Platform, *Stored->Manifest);
  if (!Documents)
    co_return tl::unexpected(Documents.error());
  auto Plan = planKeyChange(*Documents, Change);
  if (!Plan)
    co_return tl::unexpected(Plan.error());
  if (std::holds_alternative<key_unchanged>(*Plan))
    co_return publish_report{Stored->Manifest->Revision, true};
  const auto Next = co_await nextManifest(
      Platform, *Stored->Manifest,
      std::move(std::get<document_to_replace>(*Plan)), Change, Intent);
  if (!Next)
    co_return tl::unexpected(Next.error());
  const auto Written = co_await Platform.write(
      std::string(CurrentObject), Stored->Version, encodeManifest(*Next));
  if (Written)
    co_return publish_report{Next->Revision, false};
  if (mayHaveTakenEffect(Written.error()) ||
      Written.error().Kind == error_kind::Conflict)
    co_return std::nullopt;
  co_return tl::unexpected(Written.error());
}

} // namespace

task<result<publish_report>>
changeKey(platform_client &Platform, key_change Change, publish_intent Intent) {
  for (int Try = 0; Try < MaxTries; ++Try) {
    const auto Tried = co_await tryChange(Platform, Change, Intent);
    if (!Tried)
      co_return tl::unexpected(Tried.error());
    if (*Tried)
      co_return **Tried;
  }
  co_return fail(error_kind::Conflict,
                 "others kept publishing, or the platform lost every answer",
                 "repeat the command; it is safe to repeat");
}

} // namespace peridot
