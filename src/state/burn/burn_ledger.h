/// \file
/// Error-budget burn rate of each client account at each service.
#pragma once

#include <array>
#include <chrono>
#include <map>
#include <string_view>
#include <vector>

#include "state/base/types/identifiers.h"
#include "state/base/types/instant.h"

namespace peridot {

/// Numbers of successful requests and of requests that failed for a reason
/// other than the caller.
struct request_totals {
  std::uint64_t Good = 0;
  std::uint64_t Bad = 0;

  request_totals &operator+=(const request_totals &Other);
  bool operator==(const request_totals &) const = default;
};

/// A client account and the service whose error budget is tracked.
struct burn_subject {
  service_name Service;
  account_name Account; ///< Empty: requests to open routes.

  auto operator<=>(const burn_subject &) const = default;
};

/// Windows over which the burn rate is reported, shortest first.
inline constexpr std::array<std::chrono::minutes, 3> BurnWindows = {
    std::chrono::minutes(5), std::chrono::hours(1), std::chrono::hours(6)};

using totals_by_window = std::array<request_totals, BurnWindows.size()>;

/// Request totals of one subject in each of BurnWindows.
struct subject_burn {
  burn_subject Subject;
  totals_by_window Totals{};

  bool operator==(const subject_burn &) const = default;
};

/// Severity of a burn rate that is too high.
enum class burn_alert { None, Slow, Fast };

std::string_view nameOf(burn_alert Alert);

/// Returns the burn rate: 1 spends exactly the error budget that the objective
/// allows.
/// \param Objective share of requests that must succeed, below 1.
double burnRate(const request_totals &Totals, double Objective);

/// Returns Fast when the shortest and the middle window exceed the fast burn
/// rate, otherwise Slow when the middle and the longest exceed the slow one.
burn_alert evaluateBurnRate(const totals_by_window &Totals, double Objective);

/// Request totals per minute, kept for the longest of BurnWindows.
class burn_ledger {
public:
  void add(const burn_subject &Subject, const request_totals &Totals,
           instant Now);
  /// Returns the totals of each subject with requests in the longest window.
  std::vector<subject_burn> read(instant Now) const;

private:
  static constexpr std::size_t MinutesKept =
      static_cast<std::size_t>(BurnWindows.back().count());

  struct minute_totals {
    std::int64_t Minute = -1; ///< Minutes since the VM's boot; -1: unused.
    request_totals Totals;
  };
  /// One entry per minute, indexed by the minute modulo MinutesKept.
  using ring = std::array<minute_totals, MinutesKept>;

  static request_totals sum(const ring &Ring, std::int64_t Last,
                            std::chrono::minutes Window);

  std::map<burn_subject, ring> Rings;
};

} // namespace peridot
