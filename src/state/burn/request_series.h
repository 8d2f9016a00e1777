/// \file
/// The counters from which error-budget burn is worked out.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "state/burn/burn_ledger.h"

namespace peridot {

inline constexpr std::string_view RequestsMetric = "peridot_requests_total";

/// How a request that was admitted ended.
enum class request_end {
  Answered,      ///< A whole answer below 500.
  AnsweredError, ///< A whole answer of 500 or above.
  NotRun,        ///< Refused; no target ran it.
  Unknown,       ///< Refused or cut; a target may have run it.
  Cancelled,     ///< The caller went away.
  RateExceeded,  ///< Refused because the account was above its rate.
};
inline constexpr std::size_t RequestEndCount = 6;

/// Value of the label \c outcome.
std::string_view nameOf(request_end End);

/// How a request counts against the error budget.
request_totals budgetOf(request_end End);

/// Labels of the counter of \p Subject's requests that ended as \p End.
std::string requestLabels(const burn_subject &Subject, request_end End);

/// What one counter of RequestsMetric counts.
struct request_series {
  burn_subject Subject;
  request_end End = request_end::Answered;
};

/// Reads the labels back; empty when they are not of this form.
std::optional<request_series> parseRequestLabels(std::string_view Labels);

} // namespace peridot
