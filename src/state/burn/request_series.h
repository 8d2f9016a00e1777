/// \file
/// Request counters from which the error-budget burn rate is computed.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "state/burn/burn_ledger.h"

namespace peridot {

inline constexpr std::string_view RequestsMetric = "peridot_requests_total";

/// How an admitted request ended.
enum class request_end {
  Responded,      ///< Complete response with a status below 500.
  RespondedError, ///< Complete response with status 500 or above.
  NotRun,         ///< Refused; no target ran the request.
  Unknown,        ///< Refused or cut off; a target may have run the request.
  Cancelled,      ///< The caller closed the connection.
  RateExceeded,   ///< Refused because the account exceeded its rate limit.
};
inline constexpr std::size_t RequestEndCount = 6;

/// Value of the metric label `outcome`.
std::string_view nameOf(request_end End);

/// Returns how one request counts towards the error budget: as good, as bad, or
/// not at all.
request_totals errorBudgetImpact(request_end End);

/// Returns the labels of the counter for requests of \p Subject that ended as
/// \p End.
std::string requestLabels(const burn_subject &Subject, request_end End);

/// Identifies one counter of RequestsMetric.
struct request_series {
  burn_subject Subject;
  request_end End = request_end::Responded;
};

/// Parses the output of requestLabels(); nullopt when \p Labels has another
/// form.
std::optional<request_series> parseRequestLabels(std::string_view Labels);

} // namespace peridot
