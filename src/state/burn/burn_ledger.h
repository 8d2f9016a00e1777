/// \file
/// How fast each client account's error budget at each service is spent.
#pragma once

#include <array>
#include <chrono>
#include <map>
#include <string_view>
#include <vector>

#include "state/base/types/identifiers.h"
#include "state/base/types/instant.h"

namespace peridot {

/// Requests that ended well, and those that failed through no fault of the
/// caller.
struct request_totals {
  std::uint64_t Good = 0;
  std::uint64_t Bad = 0;

  request_totals &operator+=(const request_totals &Other);
  bool operator==(const request_totals &) const = default;
};

/// Whose budget at which service.
struct burn_subject {
  service_name Service;
  account_name Account; ///< Empty: open routes.

  auto operator<=>(const burn_subject &) const = default;
};

/// Windows that burn is reported over, shortest first.
inline constexpr std::array<std::chrono::minutes, 3> BurnWindows = {
    std::chrono::minutes(5), std::chrono::hours(1), std::chrono::hours(6)};

using totals_by_window = std::array<request_totals, BurnWindows.size()>;

struct subject_burn {
  burn_subject Subject;
  totals_by_window Totals{};

  bool operator==(const subject_burn &) const = default;
};

/// Which windows spend the budget too fast.
enum class burn_alert { None, Slow, Fast };

std::string_view nameOf(burn_alert Alert);

/// Budgets spent per budget allowed: 1 uses it up exactly.
/// \param Objective share of requests that must end well, below 1.
double burnRate(const request_totals &Totals, double Objective);

/// Fast: both the shortest and the middle window burn quickly. Slow: both the
/// middle and the longest do so less quickly.
burn_alert judgeBurn(const totals_by_window &Totals, double Objective);

/// Totals per minute of the last hours.
class burn_ledger {
public:
  void add(const burn_subject &Subject, const request_totals &Totals,
           instant Now);
  std::vector<subject_burn> read(instant Now) const;

private:
  static constexpr std::size_t MinutesKept =
      static_cast<std::size_t>(BurnWindows.back().count());

  struct minute_totals {
    std::int64_t Minute = -1; ///< Since the VM's boot.
    request_totals Totals;
  };
  using ring = std::array<minute_totals, MinutesKept>;

  static request_totals sum(const ring &Ring, std::int64_t Last,
                            std::chrono::minutes Window);

  std::map<burn_subject, ring> Rings;
};

} // namespace peridot
