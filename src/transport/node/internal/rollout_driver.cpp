#include "transport/node/internal/rollout_driver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "state/base/hashing.h"
#include "transport/logging/event_log.h"

namespace peridot {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds WatchWait{1'000};
constexpr std::chrono::milliseconds RetryDelay{250};
constexpr std::chrono::milliseconds FreshnessPeriod{250};

} // namespace

rollout_driver::rollout_driver(control_context &Context)
    : Context(Context), Machine(rollout_options{}) {}

void rollout_driver::start() {
  FreshnessTimer = Context.Timers.every(
      FreshnessPeriod, [this](instant Now) { updateFreshness(Now); });
  asio::co_spawn(Context.Loop, watchCurrent(), asio::detached);
}

task<void> rollout_driver::watchCurrent() {
  asio::steady_timer Delay(Context.Loop);
  while (true) {
    const instant AskedAt = Context.Timers.now();
    const auto Current = co_await Context.Platform.watch(
        std::string(CurrentObject), WatchedVersion, WatchWait);
    result<void> Loaded;
    if (!Current) {
      Loaded = tl::unexpected(Current.error());
    } else if (*Current) {
      auto Manifest = decodeManifest((*Current)->Body);
      if (Manifest)
        Loaded = co_await load(std::move(*Manifest));
      else
        Loaded = tl::unexpected(Manifest.error());
      if (Loaded)
        WatchedVersion = (*Current)->Version;
    }
    if (Loaded) {
      confirm(Machine.inForce(), AskedAt);
      continue;
    }
    logError("configuration-read-failed", Loaded.error());
    Delay.expires_after(RetryDelay);
    co_await Delay.async_wait(UseTaskTuple);
  }
}

task<result<void>> rollout_driver::load(configuration_manifest Manifest) {
  std::vector<service_document> Parts;
  for (const manifest_entry &Entry : Manifest.Documents) {
    auto Part = co_await document(Entry.Digest);
    if (!Part)
      co_return tl::unexpected(Part.error());
    Parts.push_back(std::move(*Part));
  }
  auto Whole = assemble(Manifest.Revision, Parts);
  if (!Whole)
    co_return tl::unexpected(Whole.error());
  const rollout_effect Effect =
      Machine.handle(configuration_received{std::move(*Whole)});
  if (const auto *Accepted = std::get_if<configuration_in_force>(&Effect)) {
    Context.Snapshots.update([&](routing_snapshot &Snapshot) {
      Snapshot.Configuration = Accepted->Configuration;
    });
    Context.Decisions.record(
        {.Kind = decision_kind::ConfigurationAccepted,
         .Subject = subject_kind::Configuration,
         .Name = std::to_string(Manifest.Revision.Value),
         .Cause = "published by " + Manifest.Author + ": " + Manifest.Reason,
         .Evidence =
             std::to_string(Manifest.Documents.size()) + " service documents",
         .Rule = "only a higher revision is accepted"});
  }
  co_return result<void>{};
}

task<result<service_document>> rollout_driver::document(std::string Digest) {
  if (const auto Known = Documents.find(Digest); Known != Documents.end())
    co_return Known->second;
  const auto Stored = co_await Context.Platform.read(documentObject(Digest));
  if (!Stored)
    co_return tl::unexpected(Stored.error());
  if (!*Stored || sha256Hex((*Stored)->Body) != Digest)
    co_return fail(error_kind::NotFound,
                   "document " + Digest + " is missing or damaged",
                   "publish the service files again");
  auto Decoded = decodeDocument((*Stored)->Body);
  if (Decoded)
    Documents.emplace(Digest, *Decoded);
  co_return Decoded;
}

void rollout_driver::confirm(revision Revision, instant At) {
  Machine.handle(revision_confirmed{Revision, At});
  updateFreshness(Context.Timers.now());
}

void rollout_driver::updateFreshness(instant Now) {
  const bool Fresh = Machine.keysAreFresh(Now);
  if (Fresh == Context.Snapshots.current().KeysAreFresh)
    return;
  Context.Snapshots.update(
      [Fresh](routing_snapshot &Snapshot) { Snapshot.KeysAreFresh = Fresh; });
  Context.Decisions.record(
      {.Kind = Fresh ? decision_kind::KeysFresh : decision_kind::KeysStale,
       .Subject = subject_kind::Vm,
       .Name = Context.Self.Vm.str(),
       .Cause = Fresh ? "the revision was confirmed"
                      : "the revision was not confirmed in time",
       .Evidence = "revision " + std::to_string(Machine.inForce().Value),
       .Rule = "keyed requests need a recent confirmation"});
}

} // namespace peridot
