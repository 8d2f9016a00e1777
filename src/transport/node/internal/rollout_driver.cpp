#include "transport/node/internal/rollout_driver.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "coordination/membership/heartbeat_peers.h"
#include "protocol/rollout_messages/rollout_codec.h"
#include "transport/logging/event_log.h"

namespace peridot {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds WatchWait{500};
constexpr std::chrono::milliseconds WatchGrace{500};
constexpr std::chrono::milliseconds RetryDelay{250};
constexpr std::chrono::milliseconds FreshnessPeriod{250};
constexpr std::chrono::milliseconds UpstreamPollPeriod{1'000};
/// Requests without a response are dropped after this time. Reports count from
/// the time of the request, so later ones could not keep keys fresh.
constexpr std::chrono::seconds ResponseTimeout{4};
/// If keys would be stale after this time, all heartbeat peers are polled.
constexpr std::chrono::milliseconds FreshnessLookAhead{500};
/// Minimum time that a VM watches the platform after it took over.
constexpr std::chrono::seconds WatcherTenure{30};
constexpr std::size_t MaxDocumentsPerRequest = 64;

} // namespace

rollout_driver::rollout_driver(control_context &Context)
    : Context(Context), Store(Context), Freshness(freshness_options{}),
      Pull(pull_options{}),
      PendingRequests(Context.Self.Incarnation.Value, ResponseTimeout) {}

void rollout_driver::start() {
  Context.Peers.subscribe(frame_subject::Rollout,
                          [this](const peer_hello &Sender, bytes_view Body) {
                            receive(Sender, Body);
                          });
  FreshnessTimer = Context.Timers.every(FreshnessPeriod,
                                        [this](instant) { updateFreshness(); });
  UpstreamPollTimer = Context.Timers.every(
      UpstreamPollPeriod, [this](instant Now) { pollUpstreamPeers(Now); });
  asio::co_spawn(Context.Loop, watchPlatform(), asio::detached);
}

rollout_watcher_context rollout_driver::watcherContext() const {
  return {.Self = Context.Self.Vm,
          .DataCenter = Context.Settings.DataCenter,
          .Members = Context.Members.Members};
}

freshness_verdict rollout_driver::freshness(instant Now) const {
  return Freshness.evaluate({.Now = Now,
                             .InForce = inForce(),
                             .Self = Context.Self.Vm,
                             .DataCenter = Context.Settings.DataCenter,
                             .Members = Context.Members.Members});
}

// Calls to the platform.

task<void> rollout_driver::watchPlatform() {
  asio::steady_timer Delay(Context.Loop);
  while (true) {
    IsWatchingPlatform = updateWatcherRole();
    if (IsWatchingPlatform) {
      const result<void> Called = co_await callPlatform();
      updateFreshness();
      if (Called)
        continue;
      logError("configuration-read-failed", Called.error());
    }
    Delay.expires_after(RetryDelay);
    co_await Delay.async_wait(UseTaskTuple);
  }
}

bool rollout_driver::updateWatcherRole() {
  const instant Now = Context.Timers.now();
  if (inForce() == revision{} || Pull.isStalled(Now) || Now < WatchUntil)
    return true;
  std::optional<duration> SinceReport;
  if (const auto Last = Freshness.lastReportAt(Context.Settings.DataCenter))
    SinceReport = Now - *Last;
  if (!shouldWatchPlatform(watcherContext(), SinceReport, WatcherOptions))
    return false;
  const bool HasTakenOver =
      SinceReport && *SinceReport > WatcherOptions.SilenceLimit;
  if (HasTakenOver)
    WatchUntil = Now + WatcherTenure;
  return true;
}

task<result<void>> rollout_driver::callPlatform() {
  const instant RequestedAt = Context.Timers.now();
  const auto Current = co_await Context.Platform.watch(
      std::string(CurrentObjectName), WatchedVersion, WatchWait, WatchGrace);
  if (!Current) {
    Freshness.handle(platform_call_completed{Context.Settings.DataCenter,
                                             platform_state::Unreachable,
                                             inForce(), Context.Timers.now()});
    co_return tl::unexpected(Current.error());
  }
  result<void> Loaded;
  if (*Current) {
    auto Manifest = decodeManifest((*Current)->Body);
    if (!Manifest)
      co_return tl::unexpected(Manifest.error());
    PlatformRevision = Manifest->Revision;
    Loaded = co_await load(std::move(*Manifest));
    if (Loaded)
      WatchedVersion = (*Current)->Version;
  }
  Freshness.handle(platform_call_completed{Context.Settings.DataCenter,
                                           platform_state::Confirmed,
                                           PlatformRevision, RequestedAt});
  co_return Loaded;
}

task<result<void>> rollout_driver::load(configuration_manifest Manifest) {
  if (Manifest.Revision <= inForce())
    co_return result<void>{};
  for (const manifest_entry &Entry : Manifest.Documents) {
    const result<void> Fetched = co_await fetchDocument(Entry.Digest);
    if (!Fetched)
      co_return tl::unexpected(Fetched.error());
  }
  co_return accept(Manifest);
}

task<result<void>> rollout_driver::fetchDocument(std::string Digest) {
  if (Store.find(Digest))
    co_return result<void>{};
  auto Stored = co_await Context.Platform.read(documentObjectName(Digest));
  if (!Stored)
    co_return tl::unexpected(Stored.error());
  if (!*Stored || !Store.add(Digest, std::move((*Stored)->Body)))
    co_return fail(error_kind::NotFound,
                   "document " + Digest + " is missing or damaged",
                   "publish the service files again");
  Pull.addHeld(Digest);
  co_return result<void>{};
}

result<void> rollout_driver::accept(const configuration_manifest &Manifest) {
  const revision PreviousRevision = inForce();
  const result<void> Accepted = Store.accept(Manifest);
  if (!Accepted || inForce() == PreviousRevision)
    return Accepted;
  Pull.finish();
  Pull.keepOnly(Manifest);
  updateFreshness();
  announce();
  return {};
}

// Messages to and from peers.

void rollout_driver::send(const vm_name &Peer, const rollout_message &Message) {
  Context.Peers.send(Peer, frame_subject::Rollout,
                     encodeRolloutMessage(Message));
}

void rollout_driver::receive(const peer_hello &Sender, bytes_view Body) {
  const auto Message = decodeRolloutMessage(Body);
  if (!Message) {
    logError("rollout-message-refused", Message.error());
    return;
  }
  std::visit([&](const auto &M) { on(Sender.Sender.Vm, M); }, *Message);
}

std::vector<vm_name> rollout_driver::heartbeatPeers() const {
  return chooseHeartbeatPeers(Context.Self.Vm, Context.Settings.DataCenter,
                              Context.Members.Members,
                              heartbeat_peer_options{});
}

void rollout_driver::pollUpstreamPeers(instant Now) {
  std::vector<vm_name> Recipients =
      chooseUpstreamPeers(watcherContext(), WatcherOptions);
  if (!freshness(Now + FreshnessLookAhead).isFresh())
    for (vm_name &Peer : heartbeatPeers())
      if (std::ranges::find(Recipients, Peer) == Recipients.end())
        Recipients.push_back(std::move(Peer));
  for (const vm_name &Peer : Recipients)
    send(Peer, rollout_request{PendingRequests.add(Peer, Now), inForce()});
}

void rollout_driver::announce() {
  for (const vm_name &Peer : heartbeatPeers())
    send(Peer, rollout_request{.InForce = inForce()});
}

void rollout_driver::handleReportedRevision(const vm_name &Peer,
                                            revision Revision) {
  Freshness.handle(revision_reported{Revision});
  if (Revision > inForce())
    perform(Pull.handle(higher_revision_reported{Peer, Context.Timers.now()}));
}

void rollout_driver::on(const vm_name &Peer, const rollout_request &Message) {
  handleReportedRevision(Peer, Message.InForce);
  if (Message.Sequence != 0)
    send(Peer,
         rollout_response{Message.Sequence, inForce(),
                          Freshness.reports(Context.Timers.now(),
                                            Context.Settings.DataCenter)});
}

void rollout_driver::on(const vm_name &Peer, const rollout_response &Message) {
  handleReportedRevision(Peer, Message.InForce);
  const auto RequestedAt = PendingRequests.take(Peer, Message.Sequence);
  if (!RequestedAt)
    return;
  Freshness.handle(
      reports_received{Message.Reports, Message.InForce, *RequestedAt});
  updateFreshness();
}

void rollout_driver::on(const vm_name &Peer, const manifest_request &) {
  if (inForce() > revision{})
    send(Peer, manifest_response{encodeManifest(Store.manifest())});
}

void rollout_driver::on(const vm_name &Peer, const manifest_response &Message) {
  auto Manifest = decodeManifest(Message.Json);
  if (!Manifest) {
    logError("rollout-message-refused", Manifest.error());
    return;
  }
  if (Manifest->Revision > inForce())
    perform(Pull.handle(
        manifest_received{Peer, std::move(*Manifest), Context.Timers.now()}));
}

void rollout_driver::on(const vm_name &Peer, const documents_request &Message) {
  const std::span Digests(Message.Digests);
  for (const std::string &Digest :
       Digests.first(std::min(Digests.size(), MaxDocumentsPerRequest)))
    if (const std::string *Json = Store.find(Digest))
      send(Peer, document_response{Digest, *Json});
}

void rollout_driver::on(const vm_name &Peer, const document_response &Message) {
  if (Store.add(Message.Digest, Message.Json)) {
    perform(Pull.handle(document_stored{Message.Digest, Context.Timers.now()}));
    return;
  }
  logError(
      "document-refused",
      {error_kind::Protocol,
       "VM " + Peer.str() + " sent a document with a wrong digest",
       "check the network path to that VM, and the VM, for data corruption"});
}

void rollout_driver::perform(const pull_effect &Effect) {
  if (const auto *ManifestRequest = std::get_if<request_manifest>(&Effect))
    send(ManifestRequest->Peer, manifest_request{});
  else if (const auto *Documents = std::get_if<request_documents>(&Effect))
    send(Documents->Peer, documents_request{Documents->Digests});
  else if (const auto *Complete = std::get_if<pull_complete>(&Effect))
    if (const auto Accepted = accept(Complete->Manifest); !Accepted)
      logError("configuration-refused", Accepted.error());
}

void rollout_driver::updateFreshness() {
  const freshness_verdict Verdict = freshness(Context.Timers.now());
  const bool AreKeysFresh = Verdict.isFresh();
  if (AreKeysFresh == Context.Snapshots.current().KeysAreFresh)
    return;
  Context.Snapshots.update([AreKeysFresh](routing_snapshot &Snapshot) {
    Snapshot.KeysAreFresh = AreKeysFresh;
  });
  Context.Decisions.record(
      {.Kind =
           AreKeysFresh ? decision_kind::KeysFresh : decision_kind::KeysStale,
       .Subject = subject_kind::Vm,
       .Name = Context.Self.Vm.str(),
       .Cause = Verdict.Evidence,
       .Evidence = "revision " + std::to_string(inForce().Value),
       .Rule = "keyed requests need a recent confirmation, or reports from "
               "every data centre that the platform is unreachable"});
}

} // namespace peridot
