#include "transport/node/internal/store_control.h"

#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <openssl/rand.h>

#include "protocol/operator_documents/operator_documents.h"
#include "transport/logging/event_log.h"
#include "transport/node/internal/operator_pages.h"

namespace peridot {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds FirstJoinRetry{200};
constexpr std::chrono::milliseconds LongestJoinRetry{1'600};
/// Callers keep an answer for its lifetime, some for this many times as long.
constexpr int AnswersKeptFor = 3;

asio::ip::tcp::endpoint endpointOf(const std::string &Address,
                                   std::uint16_t Port) {
  return {asio::ip::make_address(Address), Port};
}

fleet_secret freshSecret() {
  std::array<unsigned char, 32> Bytes{};
  RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size()));
  constexpr std::string_view Digits = "0123456789abcdef";
  fleet_secret Secret;
  for (const unsigned char Byte : Bytes) {
    Secret.Key += Digits[Byte >> 4U];
    Secret.Key += Digits[Byte & 0xFU];
  }
  return Secret;
}

} // namespace

store_control::store_control(node_services &Services)
    : Services(Services), Adapter(*Services.Settings.Adapter),
      Store(Adapter.MakeStore(Services.Loop,
                              endpointOf(Services.Settings.PlatformAddress,
                                         Services.Settings.PlatformPort))),
      Hosting(Services),
      Follower(
          Services, Store,
          [this](const store_items &Items, bool IsList) {
            Hosting.apply(Items, IsList);
            Relay.ranked(Hosting.ranking());
          },
          [this](const store_changes &Changes) { Relay.changesRead(Changes); }),
      Relay(Services, Follower),
      Directory(
          Services.Loop,
          endpointOf(Services.Settings.ListenAddress,
                     Services.Settings.DirectoryPort),
          [this](const operator_request &Request) { return answer(Request); }),
      Readiness(Services.Loop,
                endpointOf(Services.Settings.ListenAddress,
                           Services.Settings.ReadinessPort),
                [this](const operator_request &Request) {
                  return answer(Request);
                }) {}

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
  Hosting.start();
  Relay.start();
  Follower.start();
  asio::co_spawn(Services.Loop, join(), asio::detached);
}

traffic_hooks store_control::hooks() {
  traffic_hooks Hooks;
  Hooks.TakeRate = [this](const client_account &Account,
                          rate_question Question) {
    return Hosting.takeRate(Account, Question);
  };
  Hooks.Observe = [this](std::vector<attempt_observation> Attempts) {
    Hosting.handOver(std::move(Attempts));
  };
  Hooks.ConfirmKeys = [this] {
    asio::post(Services.Loop, [this] { Relay.confirmKeys(); });
  };
  return Hooks;
}

task<void> store_control::join() {
  const node_settings &Settings = Services.Settings;
  const registered_vm Self{.Vm = Settings.Vm,
                           .DataCenter = Settings.DataCenter,
                           .Address = Settings.ListenAddress,
                           .CallerPort = Settings.CallerPort,
                           .PeerPort = Settings.PeerPort,
                           .Incarnation = Services.Self.Incarnation,
                           .Capacity = capacityOf(Settings.Resources)};
  asio::steady_timer Delay(Services.Loop);
  std::chrono::milliseconds Pause = FirstJoinRetry;
  while (true) {
    const auto Secret = co_await Store.AgreeOnSecret(freshSecret());
    if (Secret) {
      Services.Peers.setFleetKey(Secret->Key);
      const auto Registered = co_await Store.Register(Self);
      if (Registered)
        break;
      logError("registration-failed", Registered.error());
    } else {
      logError("fleet-key-unknown", Secret.error());
    }
    Delay.expires_after(Pause);
    co_await Delay.async_wait(UseTaskTuple);
    Pause = std::min(LongestJoinRetry, Pause * 2);
  }
  logEvent(log_level::Info, "registered",
           {{"data_center", Settings.DataCenter.view()}});
}

task<void> store_control::withdraw() {
  const auto Removed = co_await Store.Unregister(Services.Settings.Vm);
  if (!Removed)
    logError("unregistration-failed", Removed.error());
}

bool store_control::ready() const {
  const routing_snapshot &Snapshot = Services.Snapshots.current();
  return Snapshot.Configuration && Snapshot.RegisteredTargets &&
         !Snapshot.Leaving;
}

void store_control::leave() {
  Services.Snapshots.update(
      [](routing_snapshot &Snapshot) { Snapshot.Leaving = true; });
  Hosting.leave();
  asio::co_spawn(Services.Loop, withdraw(), asio::detached);
}

void store_control::settingsChanged() { Hosting.settingsChanged(); }

std::chrono::milliseconds store_control::addressLifetime() const {
  return Services.Settings.AddressTimeToLive * AnswersKeptFor;
}

operator_response store_control::answer(const operator_request &Request) const {
  const std::string_view Path = Request.Path;
  const std::string_view Page = Path.substr(0, Path.find('?'));
  if (Page == Adapter.Directory.ReadinessPath)
    return {.Status = ready() ? 200U : 503U, .Body = "{}"};
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
                   .KeysAreFresh = Follower.storeAnswers(),
                   .Freshness =
                       Follower.storeAnswers() ? "store-answers" : "store-away",
                   .Feeds = Hosting.isHost(),
                   .Leaving = Snapshot.Leaving,
                   .VmsListed = Hosting.listedVms()};
  if (Snapshot.Configuration)
    Status.Revision = Snapshot.Configuration->configuration().Revision;
  return encodeStatus(Status);
}

} // namespace peridot
