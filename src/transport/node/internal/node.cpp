#include "transport/node/node.h"

#include <algorithm>
#include <variant>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "transport/logging/event_log.h"
#include "transport/node/internal/native_control.h"
#include "transport/node/internal/stall_watch.h"
#include "transport/node/internal/store_control.h"

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

/// Connections that carry requests which must not be repeated were used a
/// moment ago, so that the target is not just closing them.
constexpr std::chrono::seconds UnrepeatableIdleLimit{3};

/// Reading configuration and targets takes some round trips; a request that
/// waits for them is served, one that is answered before is lost.
constexpr std::chrono::milliseconds StartPatience{800};

constexpr std::size_t GatherBytes = 512U << 10U;
constexpr std::uint64_t HoldBytes = 64U << 10U;

traffic_options trafficOptions(const node_settings &Settings) {
  traffic_options Options{
      .Listen = endpointOf(Settings.ListenAddress, Settings.CallerPort),
      .DataCenter = Settings.DataCenter,
      .AddressTimeToLive = Settings.AddressTimeToLive};
  if (Settings.Adapter) {
    Options.Dialect = Settings.Adapter->Dialect;
    Options.Steering =
        steering_settings{.Floor = {.Share = Settings.FloorShare}};
    Options.GatherBytes = GatherBytes;
    Options.HoldBytes = HoldBytes;
    Options.StartPatience = StartPatience;
    Options.Pool.UnrepeatableIdleLimit = UnrepeatableIdleLimit;
  }
  return Options;
}

std::vector<std::unique_ptr<traffic_worker>>
makeWorkers(const node_settings &Settings, metrics_registry &Metrics) {
  std::vector<std::unique_ptr<traffic_worker>> Workers;
  for (unsigned Index = 0; Index < Settings.TrafficThreads; ++Index)
    Workers.push_back(std::make_unique<traffic_worker>(
        trafficOptions(Settings), Metrics, "traffic-" + std::to_string(Index)));
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
  peer_hub Peers;
  decision_recorder Decisions;
  snapshot_publisher Snapshots{Workers};
  node_services Services;
  burn_driver Burn{Services};
  stall_watch Stalls{Timers};
  std::variant<std::unique_ptr<native_control>, std::unique_ptr<store_control>>
      Plane;
  operator_pages Pages;
  operator_server Operators;

  /// Calls \p Visitor with the control plane that this node has.
  template <typename Visitor> auto withPlane(Visitor Visit) const {
    return std::visit([&](const auto &Each) { return Visit(*Each); }, Plane);
  }
};

node::parts::parts(node_settings Chosen)
    : Settings(std::move(Chosen)), Workers(makeWorkers(Settings, Metrics)),
      Peers(Control.context(),
            {.Listen = endpointOf(Settings.ListenAddress, Settings.PeerPort),
             .Self = {{Settings.Vm, freshIncarnation()}, Settings.DataCenter},
             .FleetKey = Settings.FleetKey},
            Metrics),
      Services{.Settings = Settings,
               .Self = Peers.options().Self.Sender,
               .Loop = Control.context(),
               .Timers = Timers,
               .Peers = Peers,
               .Metrics = Metrics,
               .Decisions = Decisions,
               .Snapshots = Snapshots,
               .Workers = Workers},
      Pages(Services, {.Burn = Burn,
                       .Status =
                           [this] {
                             return withPlane([](const auto &Each) {
                               return Each.status();
                             });
                           },
                       .Ready =
                           [this] {
                             return withPlane(
                                 [](const auto &Each) { return Each.ready(); });
                           },
                       .Drain = [this] { Settings.OnDrain(); }}),
      Operators(Control.context(),
                endpointOf(Settings.ListenAddress, Settings.OperatorPort),
                [this](const operator_request &Request) {
                  return Pages.answer(Request);
                }) {
  if (Settings.Adapter)
    Plane = std::make_unique<store_control>(Services);
  else
    Plane = std::make_unique<native_control>(Services);
}

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
  // What the other VMs are told.
  Settings.CallerPort = Ports.Caller;
  Settings.PeerPort = Ports.Peer;
  const auto OperatorPort = Operators.listen();
  if (!OperatorPort)
    return tl::unexpected(OperatorPort.error());
  Ports.Operator = *OperatorPort;
  if (auto *Stored = std::get_if<std::unique_ptr<store_control>>(&Plane))
    if (const auto Opened = (*Stored)->listen(); !Opened)
      return tl::unexpected(Opened.error());
  return Ports;
}

void node::parts::startDrivers() {
  const traffic_hooks Hooks =
      withPlane([](auto &Each) { return Each.hooks(); });
  for (const auto &Worker : Workers) {
    Worker->setHooks(Hooks);
    Worker->start();
  }
  asio::post(Control.context(), [this] {
    Peers.start();
    Operators.start();
    withPlane([](auto &Each) { Each.start(); });
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
  withPlane([](auto &Each) { Each.leave(); });
  asio::steady_timer Timer(Control.context());
  const instant Limit = Timers.now() + Settings.ShutdownLimit;
  Timer.expires_after(
      std::min(withPlane([](auto &Each) { return Each.addressLifetime(); }),
               Settings.ShutdownLimit / 2));
  co_await Timer.async_wait(UseTaskTuple);
  for (const auto &Worker : Workers)
    Worker->beginShutdown();
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

void node::reload(node_settings Settings) {
  asio::post(Parts->Control.context(), [this, Replacing = std::move(Settings)] {
    node_settings &InForce = Parts->Settings;
    InForce.KeyStalenessLimit = Replacing.KeyStalenessLimit;
    InForce.RetryRatio = Replacing.RetryRatio;
    InForce.RetryExtra = Replacing.RetryExtra;
    InForce.RateTolerance = Replacing.RateTolerance;
    InForce.AddressTimeToLive = Replacing.AddressTimeToLive;
    InForce.ShutdownLimit = Replacing.ShutdownLimit;
    Parts->withPlane([](auto &Each) { Each.settingsChanged(); });
  });
}

void node::beginShutdown(std::function<void()> Done) {
  asio::co_spawn(Parts->Control.context(), Parts->drain(std::move(Done)),
                 asio::detached);
}

} // namespace peridot
