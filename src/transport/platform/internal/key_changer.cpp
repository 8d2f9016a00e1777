#include "transport/platform/key_changer.h"

#include "transport/platform/manifest_access.h"

namespace peridot {

namespace {

/// Maximum number of attempts when others publish or responses are lost.
constexpr int MaxAttempts = 8;

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
  recordKeyChange(Current, Change);
  co_return Current;
}

/// Makes one attempt. Returns an empty value if the manifest changed in the
/// meantime or the response was lost.
task<result<std::optional<publish_report>>>
attemptChange(platform_client &Platform, key_change Change,
              publish_intent Intent) {
  const auto Stored = co_await readManifest(Platform);
  if (!Stored)
    co_return tl::unexpected(Stored.error());
  if (!Stored->Manifest)
    co_return fail(error_kind::NotFound,
                   "no configuration has been published yet",
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
      std::string(CurrentObjectName), Stored->Version, encodeManifest(*Next));
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
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    const auto Report = co_await attemptChange(Platform, Change, Intent);
    if (!Report)
      co_return tl::unexpected(Report.error());
    if (*Report)
      co_return **Report;
  }
  co_return fail(
      error_kind::Conflict,
      "the manifest changed, or the platform's response was lost, in every "
      "attempt",
      "run the command again; repeating it is safe");
}

} // namespace peridot
