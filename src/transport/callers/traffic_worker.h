/// \file
/// One traffic thread: its callers, its target connections, its snapshot.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <random>

#include "coordination/health/retry_budget.h"
#include "coordination/health/types/attempt_observation.h"
#include "coordination/limits/types/rate_decision.h"
#include "coordination/routing/types/routing_snapshot.h"
#include "state/base/types/error.h"
#include "state/metrics/metrics_registry.h"
#include "transport/callers/request_meters.h"
#include "transport/runtime/event_loop.h"
#include "transport/runtime/timer_service.h"
#include "transport/targets/target_pool.h"

namespace peridot {

class service_queues;

/// Limits on what a caller may send and hold.
struct caller_limits {
  std::uint32_t MaxHeadBytes = 16U << 10U;
  std::chrono::milliseconds HeadTimeout{10'000};
  std::chrono::milliseconds IdleTimeout{60'000};
  std::size_t MaxConnections = 10'000;
};

/// Settings of one traffic thread.
struct traffic_options {
  boost::asio::ip::tcp::endpoint Listen;
  data_center_name DataCenter;
  caller_limits Limits;
  std::chrono::seconds AddressTimeToLive{10};
  target_pool_options Pool;
};

/// How a traffic thread asks and tells the rest of the node.
struct traffic_hooks {
  /// Takes one request off an account's share. Thread-safe.
  std::function<rate_decision(const client_account &)> TakeRate =
      [](const client_account &) { return rate_admitted{}; };
  /// Gets the attempts of the last moments, on the traffic thread.
  std::function<void(std::vector<attempt_observation>)> Observe =
      [](const std::vector<attempt_observation> &) {};
};

/// Owns one thread that accepts callers and serves their requests. All
/// members but those marked thread-safe are used on that thread only.
class traffic_worker {
public:
  traffic_worker(traffic_options Options, metrics_registry &Metrics,
                 const std::string &ThreadName);
  ~traffic_worker();

  /// Binds the listening socket; called before start().
  /// \param SharedPort port that an earlier worker got; 0: the one in the
  ///        options.
  /// \returns the bound port.
  result<std::uint16_t> listen(std::uint16_t SharedPort);
  /// Replaces the hooks; called before start().
  void setHooks(traffic_hooks Replacing) { Hooks = std::move(Replacing); }
  void start();
  /// Ends the thread; running requests are cut.
  void stop() { Loop.stop(); }

  /// Replaces the snapshot that new requests are routed by. Thread-safe.
  void publish(snapshot_ptr Snapshot);
  /// Stops accepting and closes connections once idle. Thread-safe.
  void beginShutdown();
  /// Open connections of callers. Thread-safe.
  std::size_t openConnections() const { return Connections.load(); }

  /// Notes an attempt; attempts are handed over in batches.
  void observe(attempt_observation Observation);
  rate_decision takeRate(const client_account &Account) {
    return Hooks.TakeRate(Account);
  }

  const snapshot_ptr &snapshot() const { return Snapshot; }
  const traffic_options &options() const { return Options; }
  metrics_registry &metrics() { return Metrics; }
  target_pool &targets() { return Targets; }
  retry_budgets &retries() { return Retries; }
  /// Series of requests like \p Admitted, which points into \p Configuration.
  request_meters metersOf(const admitted_request &Admitted,
                          const configuration_ptr &Configuration) {
    return Meters.of(Admitted, Configuration);
  }
  /// Learns how a request on a connection to a target ended.
  void noteConnection(const target_name &Target, const connection_event &Event);
  service_queues &queues() { return *Queues; }
  boost::asio::io_context &loop() { return Loop.context(); }
  std::uint64_t random() { return Random(); }
  bool shuttingDown() const { return ShuttingDown; }
  void connectionOpened() { ++Connections; }
  void connectionClosed() { --Connections; }

private:
  /// Refusals of connections that run at once; more are closed unanswered.
  static constexpr std::size_t MaxTurningAway = 256;

  task<void> acceptCallers();
  void serve(tcp_socket Socket);
  void turnAway(tcp_socket Socket);
  /// Takes the connections that the system accepted already; closing the
  /// listener would reset them.
  void acceptWaiting();
  void handOverObservations();

  traffic_options Options;
  metrics_registry &Metrics;
  traffic_hooks Hooks;
  std::vector<attempt_observation> Observations;
  snapshot_ptr Snapshot = std::make_shared<routing_snapshot>();
  target_pool Targets;
  retry_budgets Retries;
  request_meter_cache Meters;
  std::mt19937_64 Random{std::random_device{}()};
  std::atomic<std::size_t> Connections{0};
  std::size_t TurningAway = 0;
  bool ShuttingDown = false;
  /// Outlives the loop, whose coroutines hold turns.
  std::unique_ptr<service_queues> Queues;
  event_loop Loop;
  tcp_acceptor Acceptor;
  timer_service Timers;
  timer_subscription ObservationTimer;
};

} // namespace peridot
