#include "transport/node/internal/store_control.h"

#include <algorithm>
#include <array>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <openssl/rand.h>

#include "protocol/http/request_target.h"
#include "protocol/operator_documents/operator_documents.h"
#include "transport/logging/event_log.h"

namespace peridot {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds InitialJoinRetryDelay{200};
constexpr std::chrono::milliseconds MaxJoinRetryDelay{1'600};
/// Maximum time for which a VM waits to read the fleet key.
constexpr std::chrono::milliseconds MaxFleetKeyWait{800};
/// The largest of so many random draws is used, so that at the first start of a
/// fleet a few VMs create the key and the others have read it by then.
constexpr int FleetKeyWaitDraws = 4;
/// Some callers use an address response for this many times its time to live.
constexpr int AddressLifetimeFactor = 3;

asio::ip::tcp::endpoint endpointOf(const std::string &Address,
                                   std::uint16_t Port) {
  return {asio::ip::make_address(Address), Port};
}

fleet_key generateFleetKey() {
  std::array<unsigned char, 32> Bytes{};
  RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size()));
  constexpr std::string_view Digits = "0123456789abcdef";
  fleet_key Key;
  for (const unsigned char Byte : Bytes) {
    Key.Key += Digits[Byte >> 4U];
    Key.Key += Digits[Byte & 0xFU];
  }
  return Key;
}

std::chrono::milliseconds drawFleetKeyWait() {
  std::random_device Random;
  std::chrono::milliseconds Longest{0};
  for (int Draw = 0; Draw < FleetKeyWaitDraws; ++Draw)
    Longest = std::max(
        Longest, std::chrono::milliseconds(Random() % MaxFleetKeyWait.count()));
  return Longest;
}

} // namespace

store_control::store_control(node_services &Services)
    : Services(Services), Adapter(*Services.Settings.Adapter), Cold(Services),
      Store(Adapter.MakeStore(Services.Loop,
                              endpointOf(Services.Settings.PlatformAddress,
                                         Services.Settings.PlatformPort))),
      Hosting(
          Services,
          [this](std::span<const target_leaving> Leaving) {
            Follower.recordLeaving(Leaving);
          },
          [this](std::span<const vm_name> Hosts) {
            Cold.setHosts(Hosts, Hosting.ranking().size());
          }),
      Follower(
          Services, Store,
          {.RequestSnapshot =
               [this](fleet_collection Collection) {
                 return Relay.requestSnapshot(Collection);
               },
           .HasWatchers = [this] { return Relay.hasWatchers(); },
           .IsOutageReported = [this] { return Relay.isOutageReported(); }},
          [this](const store_items &Items, bool IsList) {
            Cold.apply(Items, IsList);
          },
          [this](const store_items &Items, bool IsList) {
            findFleetKey(Items);
            Hosting.apply(Items, IsList);
            checkRegistration(Items.Position);
            Relay.setRanking(Hosting.ranking());
          },
          [this](const store_changes &Changes) { Relay.relay(Changes); },
          [this] { Relay.reportRead(); },
          [this] {
            Cold.configurationAccepted();
            Hosting.configurationAccepted();
          }),
      Relay(Services, Follower),
      Directory(
          Services.Loop,
          endpointOf(Services.Settings.ListenAddress,
                     Services.Settings.DirectoryPort),
          [this](const operator_request &Request) { return respond(Request); }),
      Readiness(
          Services.Loop,
          endpointOf(Services.Settings.ListenAddress,
                     Services.Settings.ReadinessPort),
          [this](const operator_request &Request) { return respond(Request); }),
      Registration(Services.Self.Incarnation) {}

result<void> store_control::listen() {
  if (const auto Port = Directory.listen(); !Port)
    return tl::unexpected(Port.error());
  if (const auto Port = Readiness.listen(); !Port)
    return tl::unexpected(Port.error());
  return {};
}

void store_control::start() {
  for (const auto &Worker : Services.Workers)
    Worker->publishKeyFreshness(instant{});
  Directory.start();
  Readiness.start();
  Cold.start();
  Hosting.start();
  Relay.start();
  Follower.start();
  asio::co_spawn(Services.Loop, registerSelf(), asio::detached);
  asio::co_spawn(Services.Loop, obtainFleetKey(), asio::detached);
}

traffic_hooks store_control::hooks() {
  traffic_hooks Hooks;
  Hooks.TakeRate = [this](const client_account &Account, rate_check Check) {
    return Hosting.takeRate(Account, Check);
  };
  Hooks.Observe = [this](std::vector<attempt_observation> Attempts) {
    reportLeaving(Attempts);
    Hosting.reportAttempts(std::move(Attempts));
  };
  Hooks.ConfirmKeys = [this] {
    asio::post(Services.Loop, [this] { Relay.confirmKeys(); });
  };
  Hooks.SharePause = [this](const target_pause &Pause) {
    for (const auto &Worker : Services.Workers)
      Worker->addPause(Pause);
  };
  Hooks.ColdTargets = &Cold.targets();
  return Hooks;
}

void store_control::reportLeaving(
    std::span<const attempt_observation> Attempts) {
  std::vector<target_leaving> Leaving;
  for (const attempt_observation &Each : Attempts)
    if (Each.Signal == target_signal::Draining)
      Leaving.push_back({.Target = Each.Target,
                         .StartedAt = Each.TargetStartedAt,
                         .Request = Each.SignallingRequest});
  if (!Leaving.empty())
    asio::post(Services.Loop, [this, Events = std::move(Leaving)] {
      Follower.recordLeaving(Events);
    });
}

void store_control::findFleetKey(const store_items &Items) {
  for (const store_item &Item : Items.Items)
    if (const auto *Key = std::get_if<fleet_key>(&Item.Content))
      setFleetKey(*Key);
}

void store_control::setFleetKey(const fleet_key &Key) {
  Services.Peers.setFleetKey(Key.Key);
  IsFleetKeyKnown = true;
}

task<void> store_control::obtainFleetKey() {
  asio::steady_timer Timer(Services.Loop);
  std::chrono::milliseconds Delay = drawFleetKeyWait();
  while (true) {
    Timer.expires_after(Delay);
    co_await Timer.async_wait(UseTaskTuple);
    if (IsFleetKeyKnown)
      co_return;
    const auto Key = co_await Store.GetOrCreateFleetKey(generateFleetKey());
    if (Key) {
      setFleetKey(*Key);
      co_return;
    }
    logError("fleet-key-unknown", Key.error());
    Delay = std::clamp(Delay * 2, InitialJoinRetryDelay, MaxJoinRetryDelay);
  }
}

task<void> store_control::registerSelf() {
  const node_settings &Settings = Services.Settings;
  const registered_vm Self{.Vm = Settings.Vm,
                           .DataCenter = Settings.DataCenter,
                           .Address = Settings.ListenAddress,
                           .CallerPort = Settings.CallerPort,
                           .PeerPort = Settings.PeerPort,
                           .Incarnation = Services.Self.Incarnation,
                           .MaxRequestsPerSecond =
                               capacityOf(Settings.Resources)};
  asio::steady_timer RetryTimer(Services.Loop);
  std::chrono::milliseconds RetryDelay = InitialJoinRetryDelay;
  IsRegistering = true;
  while (!IsLeaving) {
    const auto Revision = co_await Store.Register(Self);
    if (Revision) {
      Registration.recordConfirmed(*Revision);
      logEvent(log_level::Info, "registered",
               {{"data_center", Settings.DataCenter.view()}});
      break;
    }
    logError("registration-failed", Revision.error());
    RetryTimer.expires_after(RetryDelay);
    co_await RetryTimer.async_wait(UseTaskTuple);
    RetryDelay = std::min(MaxJoinRetryDelay, RetryDelay * 2);
  }
  IsRegistering = false;
  // This process may have begun to leave while the call was under way.
  if (IsLeaving)
    co_await unregister();
}

void store_control::checkRegistration(std::uint64_t Position) {
  const ranked_vm *Listed = Hosting.findRegistered(Services.Self.Vm);
  const registration_state State = Registration.recordListed(
      Listed ? std::optional(
                   listed_registration{.Incarnation = Listed->Vm.Incarnation,
                                       .Revision = Listed->Rank})
             : std::nullopt,
      Position);
  if (State != registration_state::Lost || IsRegistering || IsLeaving)
    return;
  logEvent(log_level::Warning, "registration-lost",
           {{"position", static_cast<std::int64_t>(Position)},
            {"cause", Listed ? "the entry is that of an earlier process"
                             : "the entry was removed"}});
  asio::co_spawn(Services.Loop, registerSelf(), asio::detached);
}

task<void> store_control::unregister() {
  const auto Revision = Registration.revision();
  if (!Revision || IsRegistering)
    co_return;
  const auto Unregistered =
      co_await Store.Unregister(Services.Settings.Vm, *Revision);
  if (!Unregistered)
    logError("unregistration-failed", Unregistered.error());
}

bool store_control::isReady() const {
  const routing_snapshot &Snapshot = Services.Snapshots.current();
  return Snapshot.Configuration && Snapshot.RegisteredTargets &&
         !Snapshot.Leaving;
}

void store_control::leave() {
  Services.Snapshots.update(
      [](routing_snapshot &Snapshot) { Snapshot.Leaving = true; });
  Hosting.leave();
  IsLeaving = true;
  asio::co_spawn(Services.Loop, unregister(), asio::detached);
}

void store_control::settingsChanged() { Hosting.settingsChanged(); }

std::chrono::milliseconds store_control::addressLifetime() const {
  return Services.Settings.AddressTimeToLive * AddressLifetimeFactor;
}

operator_response
store_control::respond(const operator_request &Request) const {
  const std::string_view Path = Request.Path;
  const std::string_view Page = pathOf(Path);
  if (Page == Adapter.Directory.ReadinessPath)
    return {.Status = isReady() ? 200U : 503U, .Body = "{}"};
  if (Page != Adapter.Directory.AddressesPath)
    return {.Status = 404, .Body = R"({"error":"no such page"})"};
  const auto Addresses = Hosting.addressesFor(data_center_name(
      queryValue(Path, Adapter.Directory.DataCenterParameter)));
  if (Addresses.empty())
    return {.Status = 503, .Body = R"({"error":"no VM takes callers"})"};
  return {.Body = Adapter.Directory.EncodeAddresses(
              Addresses, Services.Settings.AddressTimeToLive)};
}

std::string store_control::status() const {
  const routing_snapshot &Snapshot = Services.Snapshots.current();
  vm_status Status{.Vm = Services.Self,
                   .DataCenter = Services.Settings.DataCenter,
                   .KeysAreFresh = Follower.isStoreReachable(),
                   .Freshness = Follower.isStoreReachable() ? "store-answers"
                                                            : "store-away",
                   .IsWatcher = Hosting.isHost(),
                   .Leaving = Snapshot.Leaving,
                   .VmsListed = Hosting.registeredVmCount()};
  if (Snapshot.Configuration)
    Status.Revision = Snapshot.Configuration->configuration().Revision;
  if (Snapshot.Evacuated)
    Status.Evacuated.assign(Snapshot.Evacuated->begin(),
                            Snapshot.Evacuated->end());
  return encodeStatus(Status);
}

} // namespace peridot
