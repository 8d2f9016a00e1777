#include "state/burn/request_series.h"

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

} // namespace

std::string requestLabels(const burn_subject &Subject, request_end End) {
  return "service=\"" + Subject.Service.str() + "\",account=\"" +
         Subject.Account.str() + "\",end=\"" +
         (End == request_end::Good ? "good" : "bad") + "\"";
}

std::optional<request_series> parseRequestLabels(std::string_view Labels) {
  const std::string_view Service = labelValue(Labels, "service");
  const std::string_view End = labelValue(Labels, "end");
  if (Service.empty() || (End != "good" && End != "bad"))
    return std::nullopt;
  return request_series{
      .Subject = {service_name(Service),
                  account_name(labelValue(Labels, "account"))},
      .End = End == "good" ? request_end::Good : request_end::Bad};
}

} // namespace peridot
