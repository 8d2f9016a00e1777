#include "transport/node/node.h"

#include <algorithm>
#include <optional>
#include <variant>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "transport/logging/event_log.h"
#include "transport/node/internal/native_control.h"
#include "transport/node/internal/stall_detector.h"
#include "transport/node/internal/store_control.h"

namespace peridot {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds DrainPollPeriod{50};
/// The same while the traffic threads tell their last requests to end.
constexpr std::chrono::milliseconds RefusalPollPeriod{5};

/// Returns when a shutdown is looked at next after \p Now. \p End is empty
/// until the last requests were refused.
instant nextCheck(const shutdown_schedule &Schedule, std::optional<instant> End,
                  instant Now) {
  if (!End && Now >= Schedule.AnswersAt)
    return Now + RefusalPollPeriod;
  return std::min(Now + DrainPollPeriod, End.value_or(Schedule.AnswersAt));
}

asio::ip::tcp::endpoint endpointOf(const std::string &Address,
                                   std::uint16_t Port) {
  return {asio::ip::make_address(Address), Port};
}

/// Returns a higher incarnation than any earlier process of this VM had. VMs
/// store nothing across restarts, so this is the wall-clock time in
/// nanoseconds.
incarnation makeIncarnation() {
  return {static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count())};
}

/// Maximum idle time of a pooled connection for a non-repeatable request: the
/// target may be closing a connection that was idle for longer.
constexpr std::chrono::seconds UnrepeatableIdleLimit{3};

/// A VM learns configuration and targets from others, or waits for their
/// silence and reads the store. Requests that arrive earlier wait for this
/// long, as they could only be refused; callers give up after about a second.
constexpr std::chrono::milliseconds StartupTimeout{950};

constexpr std::size_t RequestBufferBytes = 512U << 10U;
constexpr response_buffer_limits ResponseBuffers{
    .Small = 64U << 10U, .Large = 512U << 10U, .Total = 16U << 20U};

traffic_options trafficOptions(const node_settings &Settings,
                               std::shared_ptr<held_bytes> HeldBytes) {
  traffic_options Options{
      .Listen = endpointOf(Settings.ListenAddress, Settings.CallerPort),
      .Vm = Settings.Vm,
      .DataCenter = Settings.DataCenter,
      .AddressTimeToLive = Settings.AddressTimeToLive,
      .HeldBytes = std::move(HeldBytes)};
  if (Settings.Adapter) {
    Options.Dialect = Settings.Adapter->Dialect;
    Options.LoadBalancing =
        load_balancer_settings{.Floor = {.Share = Settings.FloorShare}};
    Options.RequestBufferBytes = RequestBufferBytes;
    Options.ResponseBuffers = ResponseBuffers;
    Options.StartupTimeout = StartupTimeout;
    Options.Pool.UnrepeatableIdleLimit = UnrepeatableIdleLimit;
  }
  return Options;
}

std::vector<std::unique_ptr<traffic_worker>>
makeWorkers(const node_settings &Settings, metrics_registry &Metrics) {
  const auto HeldBytes =
      std::make_shared<held_bytes>(heldBytesLimit(Settings.MemoryMegabytes));
  std::vector<std::unique_ptr<traffic_worker>> Workers;
  for (unsigned Index = 0; Index < Settings.TrafficThreads; ++Index)
    Workers.push_back(std::make_unique<traffic_worker>(
        trafficOptions(Settings, HeldBytes), Metrics,
        "traffic-" + std::to_string(Index)));
  return Workers;
}

} // namespace

/// Implementation of node. Members are destroyed in reverse order, which ends
/// the control thread before the workers that it publishes to.
struct node::impl {
  explicit impl(node_settings InitialSettings);

  result<node_ports> listen();
  void startDrivers();
  task<void> drain(instant SignalledAt, std::function<void()> Done);
  /// Waits until no caller has a connection, or until the process has to end.
  /// Requests are ended when they are due.
  task<void> awaitCallers(const shutdown_schedule &Schedule);
  /// Ends what has reached its end in \p Schedule.
  void endRequests(const shutdown_schedule &Schedule, instant Now);
  /// Whether all traffic threads have told their requests to end.
  bool haveRefusedRequests() const;
  /// Whether callers have connections to this process, or may get some.
  bool hasCallers() const;
  std::size_t openConnections() const;

  node_settings Settings;
  metrics_registry Metrics;
  std::vector<std::unique_ptr<traffic_worker>> Workers;
  event_loop Control{"control", logHandlerFailure};
  timer_service Timers{Control.context()};
  peer_hub Peers;
  decision_recorder Decisions;
  snapshot_publisher Snapshots{Workers};
  node_services Services;
  burn_driver Burn{Services};
  stall_detector StallDetector{Timers};
  std::variant<std::unique_ptr<native_control>, std::unique_ptr<store_control>>
      ControlPlane;
  operator_pages Pages;
  operator_server Operators;

  /// Calls \p Visit with the control plane of this node.
  template <typename Visitor> auto visitControlPlane(Visitor Visit) const {
    return std::visit([&](const auto &Plane) { return Visit(*Plane); },
                      ControlPlane);
  }
};

node::impl::impl(node_settings InitialSettings)
    : Settings(std::move(InitialSettings)),
      Workers(makeWorkers(Settings, Metrics)),
      Peers(Control.context(),
            {.Listen = endpointOf(Settings.ListenAddress, Settings.PeerPort),
             .Self = {{Settings.Vm, makeIncarnation()}, Settings.DataCenter},
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
                             return visitControlPlane([](const auto &Plane) {
                               return Plane.status();
                             });
                           },
                       .Ready =
                           [this] {
                             return visitControlPlane([](const auto &Plane) {
                               return Plane.isReady();
                             });
                           },
                       .Drain = [this] { Settings.OnDrain(); }}),
      Operators(Control.context(),
                endpointOf(Settings.ListenAddress, Settings.OperatorPort),
                [this](const operator_request &Request) {
                  return Pages.respond(Request);
                }) {
  if (Settings.Adapter)
    ControlPlane = std::make_unique<store_control>(Services);
  else
    ControlPlane = std::make_unique<native_control>(Services);
}

result<node_ports> node::impl::listen() {
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
  // The VM announces the bound ports, which the system may have chosen.
  Settings.CallerPort = Ports.Caller;
  Settings.PeerPort = Ports.Peer;
  const auto OperatorPort = Operators.listen();
  if (!OperatorPort)
    return tl::unexpected(OperatorPort.error());
  Ports.Operator = *OperatorPort;
  if (auto *StoreControl =
          std::get_if<std::unique_ptr<store_control>>(&ControlPlane))
    if (const auto Opened = (*StoreControl)->listen(); !Opened)
      return tl::unexpected(Opened.error());
  return Ports;
}

void node::impl::startDrivers() {
  const traffic_hooks Hooks =
      visitControlPlane([](auto &Plane) { return Plane.hooks(); });
  for (const auto &Worker : Workers) {
    Worker->setHooks(Hooks);
    Worker->start();
  }
  asio::post(Control.context(), [this] {
    Peers.start();
    Operators.start();
    visitControlPlane([](auto &Plane) { Plane.start(); });
    Burn.start();
  });
}

bool node::impl::hasCallers() const {
  return std::ranges::any_of(Workers, [](const auto &Worker) {
    return Worker->isAccepting() || Worker->openConnections() > 0;
  });
}

std::size_t node::impl::openConnections() const {
  std::size_t Total = 0;
  for (const auto &Worker : Workers)
    Total += Worker->openConnections();
  return Total;
}

void node::impl::endRequests(const shutdown_schedule &Schedule, instant Now) {
  for (const auto &Worker : Workers) {
    if (Now >= Schedule.IdleClosesAt) {
      Worker->refuseWaitingRequests();
      Worker->closeIdleConnections();
    }
    if (Now >= Schedule.AnswersAt)
      Worker->refuseRunningRequests();
  }
}

bool node::impl::haveRefusedRequests() const {
  return std::ranges::all_of(Workers, [](const auto &Worker) {
    return Worker->hasRefusedRunningRequests();
  });
}

task<void> node::impl::awaitCallers(const shutdown_schedule &Schedule) {
  asio::steady_timer Timer(Control.context());
  std::optional<instant> End;
  while (hasCallers()) {
    const instant Now = Timers.now();
    endRequests(Schedule, Now);
    if (!End && haveRefusedRequests())
      End = endAfterRefusals(Schedule, Now);
    if (Now >= End.value_or(Schedule.KilledAt))
      co_return;
    Timer.expires_after(nextCheck(Schedule, End, Now) - Now);
    co_await Timer.async_wait(UseTaskTuple);
  }
}

task<void> node::impl::drain(instant SignalledAt, std::function<void()> Done) {
  Decisions.record({.Kind = decision_kind::ShutdownStarted,
                    .Subject = subject_kind::Vm,
                    .Name = Settings.Vm.str(),
                    .Cause = "shutdown requested",
                    .Rule = "finish running requests, then exit"});
  const shutdown_schedule Schedule = scheduleShutdown(
      SignalledAt, Settings.ShutdownLimit,
      visitControlPlane([](auto &Plane) { return Plane.addressLifetime(); }));
  for (const auto &Worker : Workers)
    Worker->beginLeaving(Schedule);
  visitControlPlane([](auto &Plane) { Plane.leave(); });
  asio::steady_timer Timer(Control.context());
  Timer.expires_after(Schedule.AddressesEndAt - Timers.now());
  co_await Timer.async_wait(UseTaskTuple);
  for (const auto &Worker : Workers)
    Worker->beginShutdown();
  co_await awaitCallers(Schedule);
  logEvent(log_level::Info, "shutdown-finished",
           {{"connections_cut", static_cast<std::int64_t>(openConnections())},
            {"cause", std::string_view(hasCallers() ? "limit-reached"
                                                    : "connections-closed")},
            {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                            Timers.now() - SignalledAt)
                            .count()}});
  Done();
}

node::node(node_settings Settings)
    : Impl(std::make_unique<impl>(std::move(Settings))) {}

node::~node() {
  Impl->Control.stop();
  for (const auto &Worker : Impl->Workers)
    Worker->stop();
}

result<node_ports> node::start() {
  auto Ports = Impl->listen();
  if (Ports)
    Impl->startDrivers();
  return Ports;
}

void node::reload(node_settings Settings) {
  asio::post(
      Impl->Control.context(), [this, NewSettings = std::move(Settings)] {
        node_settings &CurrentSettings = Impl->Settings;
        CurrentSettings.KeyStalenessLimit = NewSettings.KeyStalenessLimit;
        CurrentSettings.RetryRatio = NewSettings.RetryRatio;
        CurrentSettings.RetryExtra = NewSettings.RetryExtra;
        CurrentSettings.RateTolerance = NewSettings.RateTolerance;
        CurrentSettings.AddressTimeToLive = NewSettings.AddressTimeToLive;
        CurrentSettings.ShutdownLimit = NewSettings.ShutdownLimit;
        Impl->visitControlPlane([](auto &Plane) { Plane.settingsChanged(); });
      });
}

void node::beginShutdown(std::function<void()> Done) {
  asio::co_spawn(Impl->Control.context(),
                 Impl->drain(bootNow(), std::move(Done)), asio::detached);
}

} // namespace peridot
