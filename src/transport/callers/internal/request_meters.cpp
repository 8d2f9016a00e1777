#include "transport/callers/request_meters.h"

namespace peridot {

namespace {

std::string label(std::string_view Name, std::string_view Value) {
  return std::string(Name).append("=\"").append(Value).append("\"");
}

} // namespace

std::string_view nameOf(request_end End) {
  switch (End) {
  case request_end::Answered:
    return "answered";
  case request_end::AnsweredError:
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

void request_meters::record(request_end End,
                            std::chrono::nanoseconds Elapsed) const {
  const auto Index = static_cast<std::size_t>(End);
  OfService[Index]->add();
  if (OfAccount[Index])
    OfAccount[Index]->add();
  Latency->record(Elapsed);
}

request_meters request_meter_cache::of(const admitted_request &Admitted,
                                       const configuration_ptr &Configuration) {
  if (Current != Configuration) {
    Meters.clear();
    Current = Configuration;
  }
  const meter_key Key{Admitted.Route, Admitted.Account};
  const auto Found = Meters.find(Key);
  if (Found != Meters.end())
    return Found->second;
  return Meters.emplace(Key, lookUp(Admitted)).first->second;
}

request_meters request_meter_cache::lookUp(const admitted_request &Admitted) {
  const std::string Service = label("service", Admitted.Service->Name.view());
  const std::string Account =
      Admitted.Account ? "," + label("account", Admitted.Account->Name.view())
                       : "";
  request_meters Found;
  for (std::size_t Index = 0; Index < RequestEndCount; ++Index) {
    const std::string Outcome =
        "," + label("outcome", nameOf(static_cast<request_end>(Index)));
    Found.OfService[Index] =
        &Registry.counterOf("peridot_requests_total", Service + Outcome);
    if (Admitted.Account)
      Found.OfAccount[Index] = &Registry.counterOf(
          "peridot_account_requests_total", Service + Account + Outcome);
  }
  Found.Latency = &Registry.histogramOf(
      "peridot_request_latency",
      Service + "," + label("route", Admitted.Route->PathPrefix) + Account);
  return Found;
}

} // namespace peridot
