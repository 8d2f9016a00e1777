/// \file
/// The counters from which error-budget burn is worked out.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "state/burn/burn_ledger.h"

namespace peridot {

inline constexpr std::string_view RequestsMetric = "peridot_requests_total";

/// How a request counts against the error budget.
enum class request_end { Good, Bad };

/// Labels of the counter of \p Subject's requests that ended as \p End.
std::string requestLabels(const burn_subject &Subject, request_end End);

struct request_series {
  burn_subject Subject;
  request_end End = request_end::Good;
};

/// Reads the labels back; empty when they are not of this form.
std::optional<request_series> parseRequestLabels(std::string_view Labels);

} // namespace peridot
