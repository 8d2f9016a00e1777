/// \file
/// Configuration that operators declare: services with their routes and
/// targets, and client accounts.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "state/base/types/identifiers.h"

namespace peridot {

/// Token-bucket limit: sustained rate and burst.
struct rate_limit {
  double RequestsPerSecond = 0;
  double Burst = 0; ///< Requests that may arrive at once.

  auto operator<=>(const rate_limit &) const = default;
};

/// How far an account's requests, summed over all VMs, may exceed its limit. In
/// any \c Window they must not exceed
/// (rate x window + burst) x (1 + share) + requests. No tolerance by default.
struct rate_tolerance {
  std::chrono::milliseconds Window{0};
  double Share = 0;
  double Requests = 0;
};

/// Low priority for routes and accounts that declare none; 0 is the highest.
inline constexpr unsigned DefaultPriority = 1000;

/// A client account: its keys, rate limit and the services that it may call.
struct client_account {
  account_name Name;
  rate_limit Limit;
  unsigned Weight = 1; ///< Relative share of an overloaded service.
  std::vector<key_digest> Keys;
  /// Services that the account may call, including the one that declares it.
  std::vector<service_name> Services;
  bool CanCallAnyService = false;
  unsigned Priority = DefaultPriority; ///< 0 is the most urgent.

  bool operator==(const client_account &) const = default;
};

/// How quickly failing targets are ejected: Fast detects them sooner, Careful
/// makes fewer false ejections.
enum class ejection_mode { Fast, Careful };

/// One of the services over which a route splits its requests.
struct weighted_service {
  service_name Service;
  unsigned Weight = 0; ///< Relative to the route's other services.

  bool operator==(const weighted_service &) const = default;
};

/// A route: forwards requests whose path starts with a prefix to a service.
struct route {
  std::string PathPrefix;
  std::string Host; ///< Empty: every host.
  /// Services that share the requests; empty: only the declaring service.
  std::vector<weighted_service> Split;
  std::vector<std::string> Methods; ///< Empty: every method.
  bool IsRepeatable =
      false; ///< Whether a request can safely run more than once.
  /// Whether responses are usually large, so that it matters more where they
  /// come from and that a broken one is fetched again.
  bool HasLargeResponses = false;
  bool IsOpen = false; ///< Whether callers may omit the key.
  std::chrono::milliseconds Deadline{10'000};
  std::uint64_t MaxBodyBytes = 8U << 20U;
  unsigned MaxAttempts = 3; ///< Maximum number of targets per request.
  /// Latency up to which a response keeps its full value; zero: not declared.
  std::chrono::milliseconds TargetLatency{0};
  unsigned Priority = DefaultPriority; ///< 0 is the most urgent.

  bool operator==(const route &) const = default;
};

/// One endpoint of a service; runs its requests.
struct target {
  target_name Name;
  data_center_name DataCenter;
  std::string Address; ///< IP address.
  std::uint16_t Port = 0;
  unsigned Slots = 3; ///< Maximum number of requests that it runs at once.
  unsigned MaxConnections = 330;
  /// Wall-clock time of the process's start in milliseconds; distinguishes
  /// processes under the same name. 0: unknown.
  std::int64_t StartedAt = 0;

  bool operator==(const target &) const = default;
};

/// A group of interchangeable targets with common routes.
struct service {
  service_name Name;
  unsigned FloorPercent = 50; ///< Slots that ejections must leave, in percent.
  ejection_mode Ejection = ejection_mode::Careful;
  std::string ProbePath = "/health";
  /// Whether targets echo the attempt's id; responses without it are rejected.
  bool EchoesAttemptId = false;
  /// Time after its start in which a target is cold; zero: not declared.
  std::chrono::milliseconds WarmUp{0};
  /// Requests per second that a cold target bears; 0: not limited.
  double WarmUpRequestsPerSecond = 0;
  std::vector<route> Routes;
  std::vector<target> Targets;

  bool operator==(const service &) const = default;
};

/// Limits on callers' connections: size and duration of a request head, idle
/// time.
struct caller_limits {
  std::uint32_t MaxHeadBytes = 16U << 10U;
  std::chrono::milliseconds HeadTimeout{10'000};
  std::chrono::milliseconds IdleTimeout{60'000};

  bool operator==(const caller_limits &) const = default;
};

/// One accepted revision of the whole configuration.
struct fleet_configuration {
  revision Revision;
  caller_limits Limits;
  std::vector<service> Services;
  std::vector<client_account> Accounts;
  /// Descriptions of resources that were left out, as a name cannot be used.
  std::vector<std::string> SkippedResources;

  bool operator==(const fleet_configuration &) const = default;
};

} // namespace peridot
