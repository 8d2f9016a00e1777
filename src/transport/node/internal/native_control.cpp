#include "transport/node/internal/native_control.h"

#include <algorithm>

namespace peridot {

native_control::native_control(node_services &Services)
    : Services(Services),
      Platform(Services.Loop,
               {.Endpoint = {boost::asio::ip::make_address(
                                 Services.Settings.PlatformAddress),
                             Services.Settings.PlatformPort}}),
      Context{Services, Platform, Members, Ownership} {}

void native_control::start() {
  Membership.start();
  VmList.start();
  OwnershipDriver.start();
  Limits.start();
  Rollout.start();
  Health.start();
}

traffic_hooks native_control::hooks() {
  traffic_hooks Hooks;
  Hooks.TakeRate = [this](const client_account &Account, rate_check) {
    return Limits.takeRate(Account);
  };
  Hooks.Observe = [this](std::vector<attempt_observation> Attempts) {
    Health.submitAttempts(std::move(Attempts));
  };
  Hooks.SharePause = [this](const target_pause &Pause) {
    for (const auto &Worker : Services.Workers)
      Worker->addPause(Pause);
  };
  return Hooks;
}

bool native_control::isReady() const {
  const routing_snapshot &Snapshot = Context.Snapshots.current();
  return Snapshot.Configuration && Snapshot.KeysAreFresh && !Snapshot.Leaving;
}

void native_control::leave() {
  // The membership driver announces it to the other VMs.
  Services.Snapshots.update(
      [](routing_snapshot &Snapshot) { Snapshot.Leaving = true; });
}

void native_control::settingsChanged() {
  // Nothing to do: the drivers read changeable settings at each use.
}

std::chrono::milliseconds native_control::addressLifetime() const {
  return Services.Settings.AddressTimeToLive;
}

std::string native_control::status() const {
  const routing_snapshot &Snapshot = Context.Snapshots.current();
  const freshness_verdict Freshness = Rollout.freshness(Context.Timers.now());
  const auto Suspected =
      std::ranges::count_if(Context.Members.Members, &member::Suspected);
  return encodeStatus({.Vm = Context.Self,
                       .DataCenter = Context.Settings.DataCenter,
                       .Revision = Rollout.inForce(),
                       .KeysAreFresh = Snapshot.KeysAreFresh,
                       .Freshness = std::string(nameOf(Freshness.Basis)),
                       .FreshnessEvidence = Freshness.Evidence,
                       .IsWatcher = Rollout.isWatchingPlatform(),
                       .Leaving = Snapshot.Leaving,
                       .VmsListed = Snapshot.Vms.size(),
                       .VmsSuspected = static_cast<std::uint64_t>(Suspected),
                       .SilentLinks = Context.Members.SilentLinks.size(),
                       .Shards = summarizeShards()});
}

shard_summary native_control::summarizeShards() const {
  const instant Now = Context.Timers.now();
  shard_summary Summary{.Owned = Context.Ownership.ActingUntil.size()};
  for (const auto &[Shard, Until] : Context.Ownership.ActingUntil) {
    if (Until <= Now)
      continue;
    ++Summary.Acting;
    Summary.ActingFor =
        std::chrono::ceil<std::chrono::milliseconds>(Until - Now);
  }
  return Summary;
}

} // namespace peridot
