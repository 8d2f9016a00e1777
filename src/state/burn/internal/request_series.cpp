#include "state/burn/request_series.h"

#include "state/metrics/series_label.h"

namespace peridot {

namespace {

std::optional<request_end> parseRequestEnd(std::string_view Name) {
  for (std::size_t Index = 0; Index < RequestEndCount; ++Index)
    if (nameOf(static_cast<request_end>(Index)) == Name)
      return static_cast<request_end>(Index);
  return std::nullopt;
}

} // namespace

std::string_view nameOf(request_end End) {
  switch (End) {
  case request_end::Responded:
    return "answered";
  case request_end::RespondedError:
    return "answered-error";
  case request_end::NotRun:
    return "not-run";
  case request_end::Unknown:
    return "unknown";
  case request_end::Cancelled:
    return "cancelled";
  case request_end::RateExceeded:
    return "rate-exceeded";
  }
  return "unknown";
}

request_totals errorBudgetImpact(request_end End) {
  switch (End) {
  case request_end::Responded:
    return {.Good = 1};
  case request_end::RespondedError:
  case request_end::NotRun:
  case request_end::Unknown:
    return {.Bad = 1};
  case request_end::Cancelled:
  case request_end::RateExceeded:
    return {};
  }
  return {};
}

std::string requestLabels(const burn_subject &Subject, request_end End) {
  return seriesLabel("service", Subject.Service.view()) + "," +
         seriesLabel("account", Subject.Account.view()) + "," +
         seriesLabel("outcome", nameOf(End));
}

std::optional<request_series> parseRequestLabels(std::string_view Labels) {
  const std::string Service = labelValue(Labels, "service");
  const auto End = parseRequestEnd(labelValue(Labels, "outcome"));
  if (Service.empty() || !End)
    return std::nullopt;
  return request_series{
      .Subject = {service_name(Service),
                  account_name(labelValue(Labels, "account"))},
      .End = *End};
}

} // namespace peridot
