#include "transport/node/internal/rollout_driver.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "coordination/membership/neighbours.h"
#include "protocol/rollout_messages/rollout_codec.h"
#include "transport/logging/event_log.h"

namespace peridot {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds WatchWait{500};
constexpr std::chrono::milliseconds WatchGrace{500};
constexpr std::chrono::milliseconds RetryDelay{250};
constexpr std::chrono::milliseconds FreshnessPeriod{250};
constexpr std::chrono::milliseconds AskPeriod{1'000};
/// Answers that take longer are worthless.
constexpr std::chrono::seconds QuestionLimit{4};
/// When keys would be stale this much later, the whole neighbourhood is asked.
constexpr std::chrono::milliseconds LookAhead{500};
/// Time that a VM stays a feeder once it stepped in.
constexpr std::chrono::seconds FeederTenure{30};
constexpr std::size_t MaxDocumentsPerRequest = 64;

} // namespace

rollout_driver::rollout_driver(control_context &Context)
    : Context(Context), Store(Context), Freshness(freshness_options{}),
      Pull(pull_options{}),
      Questions(Context.Self.Incarnation.Value, QuestionLimit) {}

void rollout_driver::start() {
  Context.Peers.subscribe(frame_subject::Rollout,
                          [this](const peer_hello &Sender, bytes_view Body) {
                            receive(Sender, Body);
                          });
  FreshnessTimer = Context.Timers.every(FreshnessPeriod,
                                        [this](instant) { updateFreshness(); });
  AskTimer = Context.Timers.every(AskPeriod,
                                  [this](instant Now) { askInformants(Now); });
  asio::co_spawn(Context.Loop, watchPlatform(), asio::detached);
}

feeder_position rollout_driver::position() const {
  return {.Self = Context.Self.Vm,
          .DataCenter = Context.Settings.DataCenter,
          .Members = Context.Members.Members};
}

freshness_verdict rollout_driver::freshness(instant Now) const {
  return Freshness.judge({.Now = Now,
                          .InForce = inForce(),
                          .Self = Context.Self.Vm,
                          .DataCenter = Context.Settings.DataCenter,
                          .Members = Context.Members.Members});
}

// Towards the platform.

task<void> rollout_driver::watchPlatform() {
  asio::steady_timer Delay(Context.Loop);
  while (true) {
    Feeds = needsPlatform();
    if (Feeds) {
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

bool rollout_driver::needsPlatform() {
  const instant Now = Context.Timers.now();
  if (inForce() == revision{} || Pull.isStalled(Now) || Now < FeedsUntil)
    return true;
  std::optional<duration> SinceReport;
  if (const auto Last = Freshness.lastReport(Context.Settings.DataCenter))
    SinceReport = Now - *Last;
  if (!shouldFeed(position(), SinceReport, Feeding))
    return false;
  const bool SteppedIn = SinceReport && *SinceReport > Feeding.Silence;
  if (SteppedIn)
    FeedsUntil = Now + FeederTenure;
  return true;
}

task<result<void>> rollout_driver::callPlatform() {
  const instant AskedAt = Context.Timers.now();
  const auto Current = co_await Context.Platform.watch(
      std::string(CurrentObject), WatchedVersion, WatchWait, WatchGrace);
  if (!Current) {
    Freshness.handle(platform_called{Context.Settings.DataCenter,
                                     platform_state::Away, inForce(),
                                     Context.Timers.now()});
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
  Freshness.handle(platform_called{Context.Settings.DataCenter,
                                   platform_state::Confirmed, PlatformRevision,
                                   AskedAt});
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
  auto Stored = co_await Context.Platform.read(documentObject(Digest));
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
  const revision Before = inForce();
  const result<void> Accepted = Store.accept(Manifest);
  if (!Accepted || inForce() == Before)
    return Accepted;
  Pull.finish();
  Pull.keepOnly(Manifest);
  updateFreshness();
  announce();
  return {};
}

// Towards peers.

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

std::vector<vm_name> rollout_driver::neighbours() const {
  return chooseNeighbours(Context.Self.Vm, Context.Settings.DataCenter,
                          Context.Members.Members, neighbour_options{});
}

void rollout_driver::askInformants(instant Now) {
  std::vector<vm_name> Asked = chooseInformants(position(), Feeding);
  if (!freshness(Now + LookAhead).fresh())
    for (vm_name &Peer : neighbours())
      if (std::ranges::find(Asked, Peer) == Asked.end())
        Asked.push_back(std::move(Peer));
  for (const vm_name &Peer : Asked)
    send(Peer, rollout_ask{Questions.add(Peer, Now), inForce()});
}

void rollout_driver::announce() {
  for (const vm_name &Peer : neighbours())
    send(Peer, rollout_ask{.InForce = inForce()});
}

void rollout_driver::hearRevision(const vm_name &Peer, revision Revision) {
  Freshness.handle(revision_heard{Revision});
  if (Revision > inForce())
    run(Pull.handle(higher_revision_heard{Peer, Context.Timers.now()}));
}

void rollout_driver::on(const vm_name &Peer, const rollout_ask &Message) {
  hearRevision(Peer, Message.InForce);
  if (Message.Sequence != 0)
    send(Peer, rollout_answer{Message.Sequence, inForce(),
                              Freshness.reports(Context.Timers.now(),
                                                Context.Settings.DataCenter)});
}

void rollout_driver::on(const vm_name &Peer, const rollout_answer &Message) {
  hearRevision(Peer, Message.InForce);
  const auto AskedAt = Questions.take(Peer, Message.Sequence);
  if (!AskedAt)
    return;
  Freshness.handle(
      reports_received{Message.Reports, Message.InForce, *AskedAt});
  updateFreshness();
}

void rollout_driver::on(const vm_name &Peer, const manifest_wanted &) {
  if (inForce() > revision{})
    send(Peer, manifest_offered{encodeManifest(Store.manifest())});
}

void rollout_driver::on(const vm_name &Peer, const manifest_offered &Message) {
  auto Manifest = decodeManifest(Message.Json);
  if (!Manifest) {
    logError("rollout-message-refused", Manifest.error());
    return;
  }
  if (Manifest->Revision > inForce())
    run(Pull.handle(
        manifest_arrived{Peer, std::move(*Manifest), Context.Timers.now()}));
}

void rollout_driver::on(const vm_name &Peer, const documents_wanted &Message) {
  const std::span Digests(Message.Digests);
  for (const std::string &Digest :
       Digests.first(std::min(Digests.size(), MaxDocumentsPerRequest)))
    if (const std::string *Json = Store.find(Digest))
      send(Peer, document_offered{Digest, *Json});
}

void rollout_driver::on(const vm_name &Peer, const document_offered &Message) {
  if (Store.add(Message.Digest, Message.Json)) {
    run(Pull.handle(document_arrived{Message.Digest, Context.Timers.now()}));
    return;
  }
  logError("document-refused",
           {error_kind::Protocol,
            "VM " + Peer.str() + " sent a document with a wrong digest",
            "look for a damaged network path or VM"});
}

void rollout_driver::run(const pull_effect &Effect) {
  if (const auto *Ask = std::get_if<ask_manifest>(&Effect))
    send(Ask->Peer, manifest_wanted{});
  else if (const auto *Documents = std::get_if<ask_documents>(&Effect))
    send(Documents->Peer, documents_wanted{Documents->Digests});
  else if (const auto *Complete = std::get_if<pull_complete>(&Effect))
    if (const auto Accepted = accept(Complete->Manifest); !Accepted)
      logError("configuration-refused", Accepted.error());
}

void rollout_driver::updateFreshness() {
  const freshness_verdict Verdict = freshness(Context.Timers.now());
  const bool Fresh = Verdict.fresh();
  if (Fresh == Context.Snapshots.current().KeysAreFresh)
    return;
  Context.Snapshots.update(
      [Fresh](routing_snapshot &Snapshot) { Snapshot.KeysAreFresh = Fresh; });
  Context.Decisions.record(
      {.Kind = Fresh ? decision_kind::KeysFresh : decision_kind::KeysStale,
       .Subject = subject_kind::Vm,
       .Name = Context.Self.Vm.str(),
       .Cause = Verdict.Evidence,
       .Evidence = "revision " + std::to_string(inForce().Value),
       .Rule = "keyed requests need a recent confirmation, or word from every "
               "data centre that the platform is away"});
}

} // namespace peridot
