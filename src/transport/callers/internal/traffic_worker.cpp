#include "transport/callers/traffic_worker.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "state/metrics/series_label.h"
#include "transport/callers/internal/caller_session.h"
#include "transport/callers/internal/running_requests.h"
#include "transport/callers/internal/service_queue.h"
#include "transport/logging/event_log.h"
#include "transport/runtime/listener.h"

namespace peridot {

namespace asio = boost::asio;

namespace {

/// Time for which attempts are collected before they are passed to the control
/// thread in a batch.
constexpr std::chrono::milliseconds ObservationPeriod{100};
/// A confirmation is requested when the keys become stale within this time.
constexpr std::chrono::milliseconds ConfirmationLead{3'000};
/// Requests stop waiting for an outstanding confirmation after this time.
constexpr std::chrono::milliseconds ConfirmationTimeout{100};
/// Minimum time between two requests for a confirmation.
constexpr std::chrono::milliseconds ConfirmationRequestInterval{200};
/// Interval of checks for the first configuration and targets.
constexpr std::chrono::milliseconds FirstSnapshotPollInterval{5};
/// Time for callers to complete handshakes before a listener closes.
constexpr std::chrono::milliseconds HandshakeTimeout{100};
/// Delay after which a backlog is tried again that could not be accepted.
constexpr std::chrono::milliseconds BacklogRetryDelay{20};

} // namespace

traffic_worker::traffic_worker(traffic_options Chosen,
                               metrics_registry &Metrics,
                               const std::string &ThreadName)
    : Options(std::move(Chosen)), Metrics(Metrics), Targets(Options.Pool),
      LoadBalancer(Options.LoadBalancing
                       ? std::optional<load_balancer>(*Options.LoadBalancing)
                       : std::nullopt),
      Meters(Metrics),
      Queues(std::make_unique<service_queues>(Pauses, Metrics, ServiceLoads)),
      RunningRequests(std::make_unique<running_requests>()),
      ResponseBuffers(Options.ResponseBuffers),
      Loop(ThreadName, logHandlerFailure), Acceptor(Loop.context()),
      Timers(Loop.context()) {}

traffic_worker::~traffic_worker() {
  Loop.stop();
  Queues->close();
  // The connections of the pool use the loop, which is destroyed before it.
  Targets.retain({});
}

result<std::uint16_t> traffic_worker::listen(std::uint16_t SharedPort) {
  if (SharedPort != 0)
    Options.Listen.port(SharedPort);
  return openListener(Acceptor, {.Endpoint = Options.Listen,
                                 .Purpose = "the callers' port",
                                 .PortFlag = "caller_port",
                                 .ReusePort = true});
}

void traffic_worker::setHooks(traffic_hooks Replacing) {
  Hooks = std::move(Replacing);
  Queues->limitColdTargets(Hooks.ColdTargets);
}

void traffic_worker::start() {
  asio::co_spawn(Loop.context(), acceptCallers(), asio::detached);
}

bool traffic_worker::hold(held_reservation &Held, held_kind Kind,
                          unsigned Priority, std::uint64_t Bytes) {
  held_bytes &Budget = *Options.HeldBytes;
  const bool IsGranted = Held.tryAdd(Budget, Kind, Priority, Bytes);
  if (!IsGranted)
    Metrics
        .getOrCreateCounter("peridot_held_bytes_denied_total",
                            seriesLabel("kind", nameOf(Kind)))
        .add();
  const budget_change Change = Budget.takeChange();
  if (Change != budget_change::None)
    logEvent(log_level::Info,
             Change == budget_change::BecameShort ? "memory-short"
                                                  : "memory-no-longer-short",
             {{"held_bytes", static_cast<std::int64_t>(Budget.used())},
              {"limit_bytes", static_cast<std::int64_t>(Budget.limit())},
              {"kind", nameOf(Kind)}});
  return IsGranted;
}

void traffic_worker::observe(attempt_observation Observation) {
  if (Observations.empty())
    ObservationTimer = Timers.once(ObservationPeriod,
                                   [this](instant) { flushObservations(); });
  Observations.push_back(std::move(Observation));
}

void traffic_worker::flushObservations() {
  if (!Observations.empty())
    Hooks.Observe(std::exchange(Observations, {}));
}

void traffic_worker::recordConnectionEvent(const target_name &Target,
                                           const connection_event &Event) {
  const std::size_t Retired = Targets.recordEvent(Target, Event);
  if (Retired == 0)
    return;
  Metrics
      .getOrCreateCounter("peridot_connections_retired_total",
                          seriesLabel("target", Target.view()))
      .add(Retired);
  logEvent(log_level::Warning, "connections-retired",
           {{"target", Target.view()},
            {"connections", static_cast<std::int64_t>(Retired)},
            {"cause", "requests time out on old connections but get responses "
                      "on newer ones"}});
}

void traffic_worker::publish(snapshot_ptr Published) {
  asio::post(Loop.context(), [this, Next = std::move(Published)]() mutable {
    const bool HasNewTargets =
        Snapshot->RegisteredTargets != Next->RegisteredTargets;
    if (HasNewTargets)
      dropUnregisteredTargets(*Next);
    if (HasNewTargets || Snapshot->LocalHosts != Next->LocalHosts)
      divideTargets(*Next);
    Snapshot = std::move(Next);
  });
}

void traffic_worker::divideTargets(const routing_snapshot &Next) {
  if (!LoadBalancer)
    return;
  std::vector<std::span<const target>> Services;
  if (Next.RegisteredTargets)
    for (const auto &[Service, Registered] : *Next.RegisteredTargets)
      Services.emplace_back(Registered);
  dividing_hosts Hosts{.DataCenter = Options.DataCenter, .Self = Options.Vm};
  if (Next.LocalHosts)
    Hosts.Hosts = *Next.LocalHosts;
  LoadBalancer->divide(Services, Hosts);
  const auto OwnCount = LoadBalancer->ownTargetCount();
  if (OwnCount == OwnTargetCount)
    return;
  OwnTargetCount = OwnCount;
  logEvent(log_level::Info, "targets-divided",
           {{"divided", OwnCount.has_value()},
            {"own", static_cast<std::int64_t>(OwnCount.value_or(0))},
            {"hosts", static_cast<std::int64_t>(Hosts.Hosts.size())}});
}

void traffic_worker::dropUnregisteredTargets(const routing_snapshot &Next) {
  std::vector<target_name> Names;
  if (Next.RegisteredTargets)
    for (const auto &[Service, Registered] : *Next.RegisteredTargets)
      for (const target &Each : Registered)
        Names.push_back(Each.Name);
  Targets.retain(Names);
  if (LoadBalancer)
    LoadBalancer->retain(Names);
  Pauses.retain(Names, bootNow());
}

void traffic_worker::publishKeyFreshness(instant Until) {
  asio::post(Loop.context(), [this, Until] {
    KeysFreshUntil = Until;
    IsConfirmationOutstanding = false;
  });
}

void traffic_worker::addPeerObservations(
    std::vector<attempt_observation> PeerObservations) {
  asio::post(Loop.context(), [this, Batch = std::move(PeerObservations)] {
    if (!LoadBalancer)
      return;
    for (const attempt_observation &Each : Batch)
      LoadBalancer->recordPeerAttempt(Each.Target, Each.End, bootNow());
  });
}

void traffic_worker::configureRetries(const retry_budget_options &Chosen) {
  asio::post(Loop.context(), [this, Chosen] { Retries.configure(Chosen); });
}

void traffic_worker::setServiceQuotas(std::vector<service_quota> Quotas) {
  asio::post(Loop.context(),
             [this, Next = std::move(Quotas)] { Queues->setQuotas(Next); });
}

bool traffic_worker::requestConfirmationIfDue() {
  const instant Now = bootNow();
  if (KeysFreshUntil == instant::max() ||
      Now + ConfirmationLead < KeysFreshUntil)
    return false;
  if (Now >= ConfirmationRequestedAt + ConfirmationRequestInterval) {
    ConfirmationRequestedAt = Now;
    if (!IsConfirmationOutstanding)
      ConfirmationOutstandingSince = Now;
    IsConfirmationOutstanding = true;
    Hooks.ConfirmKeys();
  }
  return Now < ConfirmationOutstandingSince + ConfirmationTimeout;
}

std::chrono::milliseconds traffic_worker::keysFreshFor() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(KeysFreshUntil -
                                                               bootNow());
}

const caller_limits &traffic_worker::limits() const {
  static const caller_limits Default;
  return Snapshot->Configuration
             ? Snapshot->Configuration->configuration().Limits
             : Default;
}

std::size_t traffic_worker::nextInSplit(const route &Route) {
  return Rotations[Route.Host + Route.PathPrefix].next(Route.Split);
}

void traffic_worker::beginLeaving(const shutdown_schedule &Schedule) {
  asio::post(Loop.context(), [this, Schedule] { ShutdownSchedule = Schedule; });
}

void traffic_worker::beginShutdown() {
  asio::post(Loop.context(), [this] {
    IsShuttingDown = true;
    asio::co_spawn(Loop.context(), closeListener(), asio::detached);
  });
}

void traffic_worker::closeIdleConnections() {
  asio::post(Loop.context(), [this] {
    for (tcp_stream *Caller : IdleConnections) {
      boost::system::error_code Error;
      // Bytes that have arrived are the beginning of a request.
      if (Caller->socket().available(Error) == 0)
        Caller->cancel();
    }
  });
}

void traffic_worker::refuseWaitingRequests() {
  asio::post(Loop.context(), [this] { Queues->stopWaiting(); });
}

void traffic_worker::refuseRunningRequests() {
  asio::post(Loop.context(), [this] {
    RunningRequests->endAll();
    HasRefusedRequests = true;
  });
}

task<void> traffic_worker::closeListener() {
  if (ignoreConnectRequests(Acceptor)) {
    asio::steady_timer Delay(Loop.context(), HandshakeTimeout);
    co_await Delay.async_wait(UseTaskTuple);
  }
  co_await acceptBacklog();
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
}

void traffic_worker::rejectConnection(tcp_socket Socket) {
  if (RunningRejections >= MaxRunningRejections)
    return; // The destructor of the socket closes the connection.
  ++RunningRejections;
  asio::co_spawn(
      Loop.context(),
      caller_session::rejectConnection(*this, tcp_stream(std::move(Socket))),
      [this](const std::exception_ptr &) { --RunningRejections; });
}

void traffic_worker::serve(tcp_socket Socket) {
  if (Connections >= Options.MaxConnections) {
    rejectConnection(std::move(Socket));
    return;
  }
  boost::system::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  connectionOpened();
  asio::co_spawn(Loop.context(),
                 caller_session::serve(*this, tcp_stream(std::move(Socket))),
                 asio::detached);
}

task<void> traffic_worker::acceptBacklog() {
  const instant Limit =
      ShutdownSchedule ? ShutdownSchedule->EndsAt : instant::min();
  asio::steady_timer Delay(Loop.context());
  bool IsDone = false;
  while (!IsDone) {
    backlog_entry Entry = takeFromBacklog(Acceptor);
    const bool IsBlocked = std::holds_alternative<backlog_blocked>(Entry);
    IsDone = std::holds_alternative<backlog_empty>(Entry) ||
             (IsBlocked && bootNow() >= Limit);
    if (auto *Socket = std::get_if<tcp_socket>(&Entry))
      serve(std::move(*Socket));
    if (!IsBlocked || IsDone)
      continue;
    Delay.expires_after(BacklogRetryDelay);
    co_await Delay.async_wait(UseTaskTuple);
  }
}

task<void> traffic_worker::awaitFirstSnapshot() {
  const instant Limit = bootNow() + Options.StartupTimeout;
  asio::steady_timer Delay(Loop.context());
  while (!IsShuttingDown && bootNow() < Limit &&
         (!Snapshot->Configuration || !Snapshot->RegisteredTargets)) {
    Delay.expires_after(FirstSnapshotPollInterval);
    co_await Delay.async_wait(UseTaskTuple);
  }
}

task<void> traffic_worker::acceptCallers() {
  co_await awaitFirstSnapshot();
  while (Acceptor.is_open()) {
    auto Socket = co_await acceptConnection(Acceptor);
    if (Socket)
      serve(std::move(*Socket));
  }
  Accepting = false;
}

} // namespace peridot
