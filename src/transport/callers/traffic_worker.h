/// \file
/// A traffic thread with its caller connections, target connections and
/// routing snapshot.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <unordered_set>

#include "coordination/capacity/held_bytes.h"
#include "coordination/capacity/retry_reserve.h"
#include "coordination/capacity/return_line.h"
#include "coordination/capacity/service_loads.h"
#include "coordination/capacity/service_room.h"
#include "coordination/health/retry_budget.h"
#include "coordination/health/types/attempt_observation.h"
#include "coordination/limits/types/rate_decision.h"
#include "coordination/load_balancing/cold_targets.h"
#include "coordination/load_balancing/load_balancer.h"
#include "coordination/load_balancing/route_statistics.h"
#include "coordination/load_balancing/target_pauses.h"
#include "coordination/load_balancing/weighted_rotation.h"
#include "coordination/routing/shutdown_rule.h"
#include "coordination/routing/types/routing_snapshot.h"
#include "protocol/http/types/http_dialect.h"
#include "state/base/types/error.h"
#include "state/metrics/metrics_registry.h"
#include "transport/callers/request_meters.h"
#include "transport/callers/response_buffers.h"
#include "transport/runtime/event_loop.h"
#include "transport/runtime/timer_service.h"
#include "transport/targets/target_pool.h"

namespace peridot {

class running_requests;
class service_queues;

/// Settings of one traffic thread.
struct traffic_options {
  boost::asio::ip::tcp::endpoint Listen;
  vm_name Vm; ///< This VM.
  data_center_name DataCenter;
  std::size_t MaxConnections = 10'000; ///< Maximum caller connections.
  std::chrono::milliseconds AddressTimeToLive{10'000};
  target_pool_options Pool;
  const http_dialect *Dialect = &nativeDialect();
  /// Bytes of a request body that are buffered before a target is chosen, so
  /// that the request can be retried at another target.
  std::size_t RequestBufferBytes = 32U << 10U;
  /// Responses that are buffered completely before they are forwarded, so that
  /// the request can be retried if the response is damaged. Others are
  /// streamed.
  response_buffer_limits ResponseBuffers;
  /// Shared by all traffic threads of the VM.
  std::shared_ptr<held_bytes> HeldBytes =
      std::make_shared<held_bytes>(heldBytesLimit(0));
  /// Set if targets are chosen by what this VM and its peers observe; otherwise
  /// the verdicts of the services' owners decide.
  std::optional<load_balancer_settings> LoadBalancing;
  /// Maximum time after the start for which callers wait in the listener's
  /// backlog until configuration and targets are known.
  std::chrono::milliseconds StartupTimeout{0};
};

/// Calls from a traffic thread to the rest of the node.
struct traffic_hooks {
  /// Deducts one request from this VM's share of the account's limit.
  /// Thread-safe.
  std::function<rate_decision(const client_account &, rate_check)> TakeRate =
      [](const client_account &, rate_check) { return rate_admitted{}; };
  /// Receives a batch of finished attempts; called on the traffic thread.
  std::function<void(std::vector<attempt_observation>)> Observe =
      [](const std::vector<attempt_observation> &) {};
  /// Requests a confirmation that no revoked key is in force. Thread-safe.
  std::function<void()> ConfirmKeys = [] {};
  /// Passes a pause that a target asked for to all traffic threads.
  std::function<void(const target_pause &)> SharePause =
      [](const target_pause &) {};
  /// Limit of requests to cold targets, shared by the traffic threads; null:
  /// targets are not limited.
  cold_targets *ColdTargets = nullptr;
};

/// Owns one thread that accepts caller connections and serves their requests.
/// Members that are not marked thread-safe are used on that thread only.
class traffic_worker {
public:
  traffic_worker(traffic_options Options, metrics_registry &Metrics,
                 const std::string &ThreadName);
  ~traffic_worker();

  /// Binds the listening socket; called before start().
  /// \param SharedPort port that another worker has bound; 0: use the port in
  ///        the options.
  /// \returns the bound port.
  result<std::uint16_t> listen(std::uint16_t SharedPort);
  /// Replaces the hooks; called before start().
  void setHooks(traffic_hooks Replacing);
  void start();
  /// Ends the thread; requests in progress are aborted.
  void stop() { Loop.stop(); }

  /// Replaces the snapshot used to route new requests. Thread-safe.
  void publish(snapshot_ptr Snapshot);
  /// Sets the time until which the keys of the latest snapshot count as fresh.
  /// Thread-safe.
  void publishKeyFreshness(instant Until);
  /// Adds observations of targets that a peer reported. Thread-safe.
  void addPeerObservations(std::vector<attempt_observation> Observations);
  /// Adds a pause that a target asked another traffic thread for. Thread-safe.
  void addPause(const target_pause &Pause);
  /// Replaces the settings of the retry budgets. Thread-safe.
  void configureRetries(const retry_budget_options &Retries);
  /// Replaces this thread's quotas of services; services without one are not
  /// limited by it. Thread-safe.
  void setServiceQuotas(std::vector<service_quota> Quotas);
  /// Returns the mean number of requests that ran or waited since the last
  /// call. Thread-safe.
  std::vector<service_demand> takeServiceDemands(instant Now) {
    return ServiceLoads.takeMeans(Now);
  }
  /// Refuses requests from now on that would not end before the process does.
  /// Thread-safe.
  void beginLeaving(const shutdown_schedule &Schedule);
  /// Stops accepting connections and closes each open one after its current
  /// request. Thread-safe.
  void beginShutdown();
  /// Whether connections may still be accepted; openConnections() can grow
  /// until then. Thread-safe.
  bool isAccepting() const { return Accepting.load(); }
  /// Closes the connections on which no request has begun. Thread-safe.
  void closeIdleConnections();
  /// Refuses the requests that wait for a slot of their service. Thread-safe.
  void refuseWaitingRequests();
  /// Refuses the requests whose response has not begun, also those at a target.
  /// Thread-safe.
  void refuseRunningRequests();
  /// Whether refuseRunningRequests() was carried out. Thread-safe.
  bool hasRefusedRunningRequests() const { return HasRefusedRequests.load(); }
  /// Number of open caller connections. Thread-safe.
  std::size_t openConnections() const { return Connections.load(); }

  /// Records a finished attempt; attempts are passed on in batches.
  void observe(attempt_observation Observation);
  /// Applies, shares and logs the pause for which \p Target asks in a response
  /// to the request \p RequestId, if any.
  void applyPauseRequest(const target &Target, const target_report &Report,
                         std::string_view RequestId);
  rate_decision takeRate(const client_account &Account, rate_check Check) {
    return Hooks.TakeRate(Account, Check);
  }

  /// Whether keys may be accepted: any revocation that this VM has missed is
  /// still within the staleness limit.
  bool areKeysFresh() const { return bootNow() < KeysFreshUntil; }
  /// Requests a confirmation of the configuration if the keys are about to
  /// become stale.
  /// \returns whether the request is recent enough to wait for its response.
  bool requestConfirmationIfDue();
  /// Time until the keys become stale; zero or negative if they are stale.
  std::chrono::milliseconds keysFreshFor() const;

  const snapshot_ptr &snapshot() const { return Snapshot; }
  /// Limits for callers in the current configuration.
  const caller_limits &limits() const;
  const http_dialect &dialect() const { return *Options.Dialect; }
  /// Null if the verdicts of the services' owners decide.
  load_balancer *loadBalancer() {
    return LoadBalancer ? &*LoadBalancer : nullptr;
  }
  target_pauses &pauses() { return Pauses; }
  /// Null if targets are not limited while they are cold.
  cold_targets *coldTargets() { return Hooks.ColdTargets; }
  route_statistics &routeStatistics() { return RouteStatistics; }
  response_buffers &responseBuffers() { return ResponseBuffers; }
  /// Holds \p Bytes more in \p Held if the VM's memory budget grants them, and
  /// logs when the budget becomes short.
  /// \returns whether it did.
  bool hold(held_reservation &Held, held_kind Kind, unsigned Priority,
            std::uint64_t Bytes);
  /// Holds bytes that a response needs, whatever the budget.
  void holdForResponse(held_reservation &Held, std::uint64_t Bytes) {
    Held.add(*Options.HeldBytes, Bytes);
  }
  /// Index in the split of \p Route of the service for its next request.
  std::size_t nextInSplit(const route &Route);
  const traffic_options &options() const { return Options; }
  metrics_registry &metrics() { return Metrics; }
  target_pool &targets() { return Targets; }
  retry_budgets &retries() { return Retries; }
  /// What of a service's retry budget is left to more urgent requests.
  retry_reserve &retryReserve(const service_name &Service) {
    return RetryReserves[Service];
  }
  /// Callers of an account that were rejected by its rate limit.
  return_line &rateReturns(const account_name &Account) {
    return RateReturns[Account];
  }
  /// Returns the metrics for \p Admitted, which points into \p Configuration.
  request_meters metersOf(const admitted_request &Admitted,
                          const configuration_ptr &Configuration) {
    return Meters.getOrCreate(Admitted, Configuration);
  }
  /// Records how a request on a connection to a target ended, and logs idle
  /// connections that are closed because of it.
  void recordConnectionEvent(const target_name &Target,
                             const connection_event &Event);
  service_queues &queues() { return *Queues; }
  running_requests &runningRequests() { return *RunningRequests; }
  boost::asio::io_context &loop() { return Loop.context(); }
  std::uint64_t random() { return Random(); }
  bool isShuttingDown() const { return IsShuttingDown; }
  /// Empty unless the VM is leaving.
  const std::optional<shutdown_schedule> &shutdownSchedule() const {
    return ShutdownSchedule;
  }
  void connectionOpened() { ++Connections; }
  void connectionClosed() { --Connections; }
  /// Notes that \p Caller waits for the first byte of a request.
  void idleBegan(tcp_stream &Caller) { IdleConnections.insert(&Caller); }
  void idleEnded(tcp_stream &Caller) { IdleConnections.erase(&Caller); }

private:
  /// Maximum number of connections that are rejected with a response at the
  /// same time; further ones are closed without a response.
  static constexpr std::size_t MaxRunningRejections = 256;

  task<void> acceptCallers();
  task<void> awaitFirstSnapshot();
  void serve(tcp_socket Socket);
  void rejectConnection(tcp_socket Socket);
  /// Closes the listener after all connections have been accepted that callers
  /// may count as established.
  task<void> closeListener();
  /// Accepts the connections in the listener's backlog, which would be reset
  /// when the listener closes.
  task<void> acceptBacklog();
  void flushObservations();
  /// Logs once for each target that it asked for no usable pause.
  void logUnusablePause(const target &Target, std::string_view RequestId);
  /// Drops connections and statistics of targets that are not in \p Next.
  void dropUnregisteredTargets(const routing_snapshot &Next);
  /// Divides the targets in \p Next among the hosts of this data centre.
  void divideTargets(const routing_snapshot &Next);

  traffic_options Options;
  metrics_registry &Metrics;
  traffic_hooks Hooks;
  std::vector<attempt_observation> Observations;
  snapshot_ptr Snapshot = std::make_shared<routing_snapshot>();
  target_pool Targets;
  std::optional<load_balancer> LoadBalancer;
  std::optional<std::size_t> OwnTargetCount; ///< As last logged.
  target_pauses Pauses;
  /// Targets whose unusable requests for a pause were logged.
  std::unordered_set<target_name> LoggedUnusablePauses;
  route_statistics RouteStatistics;
  std::unordered_map<std::string, weighted_rotation> Rotations;
  instant KeysFreshUntil = instant::max();
  instant ConfirmationRequestedAt{};
  instant ConfirmationOutstandingSince{};
  bool IsConfirmationOutstanding = false; ///< Requested but not received yet.
  retry_budgets Retries;
  service_loads ServiceLoads;
  std::unordered_map<service_name, retry_reserve> RetryReserves;
  std::unordered_map<account_name, return_line> RateReturns;
  request_meter_cache Meters;
  std::mt19937_64 Random{std::random_device{}()};
  std::atomic<std::size_t> Connections{0};
  std::atomic<bool> Accepting{true};
  std::atomic<bool> HasRefusedRequests{false};
  std::unordered_set<tcp_stream *> IdleConnections;
  std::size_t RunningRejections = 0;
  bool IsShuttingDown = false;
  std::optional<shutdown_schedule> ShutdownSchedule;
  /// Must outlive the loop, whose coroutines hold slots of these queues,
  /// entries of this list and reservations of these buffers.
  std::unique_ptr<service_queues> Queues;
  std::unique_ptr<running_requests> RunningRequests;
  response_buffers ResponseBuffers;
  event_loop Loop;
  tcp_acceptor Acceptor;
  timer_service Timers;
  timer_subscription ObservationTimer;
};

} // namespace peridot
