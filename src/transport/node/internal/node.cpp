#include "transport/node/node.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "transport/logging/event_log.h"
#include "transport/node/internal/burn_driver.h"
#include "transport/node/internal/health_driver.h"
#include "transport/node/internal/limits_driver.h"
#include "transport/node/internal/membership_driver.h"
#include "transport/node/internal/operator_pages.h"
#include "transport/node/internal/ownership_driver.h"
#include "transport/node/internal/rollout_driver.h"
#include "transport/node/internal/vm_list_driver.h"
#include "transport/operators/operator_server.h"

namespace peridot {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds DrainPoll{50};

asio::ip::tcp::endpoint endpointOf(const std::string &Address,
                                   std::uint16_t Port) {
  return {asio::ip::make_address(Address), Port};
}

/// A restarted process must have a higher incarnation than the one before;
/// the VM keeps nothing, so wall-clock nanoseconds serve.
incarnation freshIncarnation() {
  return {static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count())};
}

std::vector<std::unique_ptr<traffic_worker>>
makeWorkers(const node_settings &Settings, metrics_registry &Metrics) {
  std::vector<std::unique_ptr<traffic_worker>> Workers;
  for (unsigned Index = 0; Index < Settings.TrafficThreads; ++Index)
    Workers.push_back(std::make_unique<traffic_worker>(
        traffic_options{
            .Listen = endpointOf(Settings.ListenAddress, Settings.CallerPort),
            .DataCenter = Settings.DataCenter,
            .AddressTimeToLive = Settings.AddressTimeToLive},
        Metrics, "traffic-" + std::to_string(Index)));
  return Workers;
}

} // namespace

/// Members are destroyed in reverse order: the control thread stops first.
struct node::parts {
  explicit parts(node_settings Chosen);

  result<node_ports> listen();
  void startDrivers();
  task<void> drain(std::function<void()> Done);
  std::size_t openConnections() const;

  node_settings Settings;
  metrics_registry Metrics;
  std::vector<std::unique_ptr<traffic_worker>> Workers;
  event_loop Control{"control"};
  timer_service Timers{Control.context()};
  platform_client Platform;
  peer_hub Peers;
  decision_recorder Decisions;
  snapshot_publisher Snapshots{Workers};
  membership_view Members;
  ownership_view Ownership;
  control_context Context;
  rollout_driver Rollout{Context};
  burn_driver Burn{Context};
  membership_driver Membership{Context};
  vm_list_driver VmList{Context, Membership};
  ownership_driver OwnershipDriver{Context};
  limits_driver Limits{Context};
  health_driver Health{Context};
  operator_pages Pages{Context,
                       {.Rollout = Rollout, .Burn = Burn, .Drain = [this] {
                          Settings.OnDrain();
                        }}};
  operator_server Operators;
};

node::parts::parts(node_settings Chosen)
    : Settings(std::move(Chosen)), Workers(makeWorkers(Settings, Metrics)),
      Platform(Control.context(),
               {.Endpoint = endpointOf(Settings.PlatformAddress,
                                       Settings.PlatformPort)}),
      Peers(Control.context(),
            {.Listen = endpointOf(Settings.ListenAddress, Settings.PeerPort),
             .Self = {{Settings.Vm, freshIncarnation()}, Settings.DataCenter},
             .FleetKey = Settings.FleetKey},
            Metrics),
      Context{.Settings = Settings,
              .Self = Peers.options().Self.Sender,
              .Loop = Control.context(),
              .Timers = Timers,
              .Platform = Platform,
              .Peers = Peers,
              .Metrics = Metrics,
              .Decisions = Decisions,
              .Snapshots = Snapshots,
              .Members = Members,
              .Ownership = Ownership},
      Operators(Control.context(),
                endpointOf(Settings.ListenAddress, Settings.OperatorPort),
                [this](const operator_request &Request) {
                  return Pages.answer(Request);
                }) {}

result<node_ports> node::parts::listen() {
  node_ports Ports;
  for (const auto &Worker : Workers) {
    const auto Port = Worker->listen(Ports.Caller);
    if (!Port)
      return tl::unexpected(Port.error());
    Ports.Caller = *Port;
  }
  const auto PeerPort = Peers.listen();
  if (!PeerPort)
    return tl::unexpected(PeerPort.error());
  Ports.Peer = *PeerPort;
  const auto OperatorPort = Operators.listen();
  if (!OperatorPort)
    return tl::unexpected(OperatorPort.error());
  Ports.Operator = *OperatorPort;
  return Ports;
}

void node::parts::startDrivers() {
  traffic_hooks Hooks;
  Hooks.TakeRate = [this](const client_account &Account) {
    return Limits.takeRate(Account);
  };
  Hooks.Observe = [this](std::vector<attempt_observation> Attempts) {
    Health.handOver(std::move(Attempts));
  };
  for (const auto &Worker : Workers) {
    Worker->setHooks(Hooks);
    Worker->start();
  }
  asio::post(Control.context(), [this] {
    Peers.start();
    Operators.start();
    Membership.start();
    VmList.start();
    OwnershipDriver.start();
    Limits.start();
    Rollout.start();
    Health.start();
    Burn.start();
  });
}

std::size_t node::parts::openConnections() const {
  std::size_t Total = 0;
  for (const auto &Worker : Workers)
    Total += Worker->openConnections();
  return Total;
}

task<void> node::parts::drain(std::function<void()> Done) {
  Decisions.record({.Kind = decision_kind::ShutdownStarted,
                    .Subject = subject_kind::Vm,
                    .Name = Settings.Vm.str(),
                    .Cause = "asked to stop",
                    .Rule = "finish running requests, then exit"});
  Snapshots.update([](routing_snapshot &Snapshot) { Snapshot.Leaving = true; });
  asio::steady_timer Timer(Control.context());
  Timer.expires_after(Settings.AddressTimeToLive);
  co_await Timer.async_wait(UseTaskTuple);
  for (const auto &Worker : Workers)
    Worker->beginShutdown();
  const instant Limit = Timers.now() + Settings.ShutdownLimit;
  while (openConnections() > 0 && Timers.now() < Limit) {
    Timer.expires_after(DrainPoll);
    co_await Timer.async_wait(UseTaskTuple);
  }
  logEvent(log_level::Info, "shutdown-finished",
           {{"connections_cut", static_cast<std::int64_t>(openConnections())}});
  Done();
}

node::node(node_settings Settings)
    : Parts(std::make_unique<parts>(std::move(Settings))) {}

node::~node() {
  Parts->Control.stop();
  for (const auto &Worker : Parts->Workers)
    Worker->stop();
}

result<node_ports> node::start() {
  auto Ports = Parts->listen();
  if (Ports)
    Parts->startDrivers();
  return Ports;
}

void node::beginShutdown(std::function<void()> Done) {
  asio::co_spawn(Parts->Control.context(), Parts->drain(std::move(Done)),
                 asio::detached);
}

} // namespace peridot
