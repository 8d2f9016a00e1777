/// \file
/// The counters from which error-budget burn is worked out.
#pragma once

#include <optional>
#include <string_view>

#include "state/burn/burn_ledger.h"

namespace peridot {

/// Counts a service's requests; labels `service` and `outcome`.
inline constexpr std::string_view ServiceRequestsMetric =
    "peridot_requests_total";
/// Counts an account's requests; labels `service`, `account` and `outcome`.
inline constexpr std::string_view AccountRequestsMetric =
    "peridot_account_requests_total";

/// What one series says about an error budget.
struct request_series {
  burn_subject Subject;
  bool IsGood = false;
};

/// Reads metric and labels of a counter. Empty when the counter is another one
/// or its requests are the caller's affair: cancelled or above the rate.
std::optional<request_series> parseRequestSeries(std::string_view Metric,
                                                 std::string_view Labels);

} // namespace peridot
