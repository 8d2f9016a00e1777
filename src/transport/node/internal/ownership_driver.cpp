#include "transport/node/internal/ownership_driver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "protocol/ownership_messages/lease_codec.h"
#include "protocol/ownership_messages/shard_map_document.h"
#include "transport/logging/event_log.h"

namespace peridot {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds TickPeriod{250};
/// Long, because the platform counts each long poll as one call.
constexpr std::chrono::milliseconds WatchWait{20'000};
constexpr std::chrono::milliseconds WatchGrace{2'000};
/// Pause between two watches, so that several changes arrive together.
constexpr std::chrono::milliseconds WatchPause{500};
constexpr std::chrono::milliseconds RetryDelay{1'000};

std::string textOf(const vm_incarnation &Id) {
  if (Id.Vm.empty())
    return "nobody";
  return Id.Vm.str() + "/" + std::to_string(Id.Incarnation.Value);
}

std::string_view textOf(release_cause Cause) {
  switch (Cause) {
  case release_cause::Leaving:
    return "this VM is leaving";
  case release_cause::LeaseLost:
    return "this VM could not renew its lease";
  case release_cause::Rebalancing:
    return "this VM owns more than its share of the shards";
  }
  return "";
}

} // namespace

ownership_driver::ownership_driver(control_context &Context)
    : Context(Context),
      Machine({.Self = Context.Self, .Seed = Context.Self.Incarnation.Value}) {}

void ownership_driver::start() {
  Context.Peers.subscribe(frame_subject::Ownership,
                          [this](const peer_hello &Sender, bytes_view Body) {
                            receive(Sender, Body);
                          });
  TickTimer = Context.Timers.every(TickPeriod, [this](instant) { tick(); });
  asio::co_spawn(Context.Loop, watchMap(), asio::detached);
}

void ownership_driver::tick() {
  if (!Context.Members.Members.empty())
    dispatch(member_list_updated{Context.Members.Members});
  if (Context.Snapshots.current().Leaving && !HasHandledLeave) {
    HasHandledLeave = true;
    dispatch(leave_started{});
  }
  dispatch(lease_tick{});
}

void ownership_driver::receive(const peer_hello &Sender, bytes_view Body) {
  auto Message = decodeLeaseMessage(Body);
  if (!Message) {
    Context.Metrics.getOrCreateCounter("peridot_peer_refused_total").add();
    logError("lease-message-refused", Message.error());
    return;
  }
  dispatch(lease_message_received{Sender.Sender, std::move(*Message)});
}

void ownership_driver::dispatch(const ownership_event &Event) {
  const auto Effects = Machine.handle(Event, Context.Timers.now());
  refreshView();
  for (const ownership_effect &Effect : Effects)
    std::visit([this](const auto &E) { perform(E); }, Effect);
}

void ownership_driver::refreshView() {
  if (ViewVersion != Machine.knownMapVersion()) {
    ViewVersion = Machine.knownMapVersion();
    Context.Ownership.Map = Machine.map();
  }
  Context.Ownership.ActingUntil = Machine.actingUntil(Context.Timers.now());
}

void ownership_driver::perform(const send_lease_message &Effect) {
  Context.Peers.send(Effect.Peer, frame_subject::Ownership,
                     encodeLeaseMessage(Effect.Message));
}

void ownership_driver::perform(const read_shard_map &) {
  if (IsReadingMap)
    return;
  IsReadingMap = true;
  asio::co_spawn(Context.Loop, readMap(), asio::detached);
}

void ownership_driver::perform(const write_shard_map &Effect) {
  asio::co_spawn(Context.Loop,
                 writeMap(Effect.ExpectedVersion, encodeShardMap(Effect.Map)),
                 asio::detached);
}

void ownership_driver::perform(const shard_claimed &Effect) {
  Context.Decisions.record(
      {.Kind = decision_kind::ShardClaimed,
       .Subject = subject_kind::Shard,
       .Name = std::to_string(Effect.Term.Shard.Value),
       .Cause = "owned by " + textOf(Effect.PreviousOwner) + " before",
       .Evidence = "epoch " + std::to_string(Effect.Term.Epoch.Value) +
                   ", map version " + std::to_string(Machine.mapVersion()),
       .Rule = "the earlier owner cannot act any more and the conditional "
               "update took effect"});
}

void ownership_driver::perform(const shard_released &Effect) {
  Context.Decisions.record(
      {.Kind = decision_kind::ShardReleased,
       .Subject = subject_kind::Shard,
       .Name = std::to_string(Effect.Term.Shard.Value),
       .Cause = std::string(textOf(Effect.Cause)),
       .Evidence = "epoch " + std::to_string(Effect.Term.Epoch.Value) +
                   ", successor " + Effect.Successor.str(),
       .Rule = "an owner stops acting before its successor claims"});
}

void ownership_driver::perform(const lease_lost &Effect) {
  Context.Decisions.record(
      {.Kind = decision_kind::LeaseLost,
       .Subject = subject_kind::Vm,
       .Name = Context.Self.Vm.str(),
       .Cause = "too few witnesses confirmed the lease in time",
       .Evidence = std::to_string(Effect.Shards) + " shards",
       .Rule = "an owner acts only while a majority of its witnesses "
               "confirmed within the lease's length"});
}

task<void> ownership_driver::watchMap() {
  asio::steady_timer Delay(Context.Loop);
  while (true) {
    const auto Watched = co_await Context.Platform.watch(
        std::string(ShardsObjectName), Machine.mapVersion(), WatchWait,
        WatchGrace);
    if (!Watched)
      logError("shard-map-read-failed", Watched.error());
    else if (*Watched)
      handleMap(*Watched);
    Delay.expires_after(Watched ? WatchPause : RetryDelay);
    co_await Delay.async_wait(UseTaskTuple);
  }
}

task<void> ownership_driver::readMap() {
  const auto Stored =
      co_await Context.Platform.read(std::string(ShardsObjectName));
  IsReadingMap = false;
  if (Stored)
    handleMap(*Stored);
}

void ownership_driver::handleMap(const std::optional<stored_object> &Stored) {
  if (!Stored) {
    dispatch(shard_map_read{});
    return;
  }
  auto Map = decodeShardMap(Stored->Body);
  if (!Map) {
    logError("shard-map-refused", Map.error());
    return;
  }
  dispatch(shard_map_read{Stored->Version, std::move(*Map)});
}

task<void> ownership_driver::writeMap(std::uint64_t ExpectedVersion,
                                      std::string Body) {
  const auto Written = co_await Context.Platform.write(
      std::string(ShardsObjectName), ExpectedVersion, std::move(Body));
  shard_map_write_ended Ended;
  if (Written) {
    Ended = {write_outcome::Written, *Written};
  } else {
    if (Written.error().Kind == error_kind::Conflict)
      Ended.Outcome = write_outcome::Conflict;
    else
      logError("shard-map-write-failed", Written.error());
  }
  dispatch(Ended);
}

} // namespace peridot
