/// \file
/// What operators declare: services, their routes, targets and client accounts.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "state/base/types/identifiers.h"

namespace peridot {

/// Sustained requests per second and the burst above them.
struct rate_limit {
  double RequestsPerSecond = 0;
  double Burst = 0; ///< Requests that may come at once.

  auto operator<=>(const rate_limit &) const = default;
};

/// Who may send requests, and how many.
struct client_account {
  account_name Name;
  rate_limit Limit;
  unsigned Weight = 1; ///< Share of a contended service, relative to others.
  std::vector<key_digest> Keys;
  /// Services the account may call; its declaring service is always one.
  std::vector<service_name> Services;

  bool operator==(const client_account &) const = default;
};

/// How quickly gray targets are ejected: the trade between detection time and
/// false ejections.
enum class ejection_mode { Fast, Careful };

/// Requests whose path starts with a prefix.
struct route {
  std::string PathPrefix;
  std::vector<std::string> Methods; ///< Empty: every method.
  bool Repeatable = false; ///< May a request safely run more than once?
  bool Open = false;       ///< May it be called without a key?
  std::chrono::milliseconds Deadline{10'000};
  std::uint64_t MaxBodyBytes = 8U << 20U;

  bool operator==(const route &) const = default;
};

/// One endpoint of a service.
struct target {
  target_name Name;
  data_center_name DataCenter;
  std::string Address; ///< IP number.
  std::uint16_t Port = 0;
  unsigned Slots = 3; ///< Requests it runs at once.
  unsigned MaxConnections = 330;

  bool operator==(const target &) const = default;
};

/// A group of interchangeable targets behind common routes.
struct service {
  service_name Name;
  unsigned FloorPercent = 50; ///< Share of slots that ejection must leave.
  ejection_mode Ejection = ejection_mode::Careful;
  std::string ProbePath = "/health";
  /// Targets send the attempt's id back; answers without it are refused.
  bool EchoesAttemptId = false;
  std::vector<route> Routes;
  std::vector<target> Targets;

  bool operator==(const service &) const = default;
};

/// Everything declared, as one accepted revision.
struct fleet_configuration {
  revision Revision;
  std::vector<service> Services;
  std::vector<client_account> Accounts;

  bool operator==(const fleet_configuration &) const = default;
};

} // namespace peridot
