#include "state/burn/request_series.h"

#include <string>

namespace peridot {

namespace {

std::string_view labelValue(std::string_view Labels, std::string_view Name) {
  const std::string Prefix = std::string(Name) + "=\"";
  const std::size_t Start = Labels.find(Prefix);
  if (Start == std::string_view::npos)
    return {};
  const std::string_view Rest = Labels.substr(Start + Prefix.size());
  return Rest.substr(0, Rest.find('"'));
}

bool isCallersAffair(std::string_view Outcome) {
  return Outcome == "cancelled" || Outcome == "rate-exceeded";
}

} // namespace

std::optional<request_series> parseRequestSeries(std::string_view Metric,
                                                 std::string_view Labels) {
  if (Metric != ServiceRequestsMetric && Metric != AccountRequestsMetric)
    return std::nullopt;
  const std::string_view Outcome = labelValue(Labels, "outcome");
  if (Outcome.empty() || isCallersAffair(Outcome))
    return std::nullopt;
  return request_series{
      .Subject = {service_name(labelValue(Labels, "service")),
                  account_name(labelValue(Labels, "account"))},
      .IsGood = Outcome == "answered"};
}

} // namespace peridot
