#include "transport/callers/request_meters.h"

#include "state/metrics/series_label.h"
namespace peridot {

void request_meters::record(request_end End,
                            std::chrono::nanoseconds Elapsed) const {
  const auto Index = static_cast<std::size_t>(End);
  Requests[Index]->add();
  Latency->record(Elapsed);
}

request_meters
request_meter_cache::getOrCreate(const admitted_request &Admitted,
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
  const burn_subject Subject{Admitted.Service->Name,
                             Admitted.Account ? Admitted.Account->Name
                                              : account_name()};
  request_meters Found;
  for (std::size_t Index = 0; Index < RequestEndCount; ++Index)
    Found.Requests[Index] = &Registry.getOrCreateCounter(
        RequestsMetric,
        requestLabels(Subject, static_cast<request_end>(Index)));
  Found.Latency = &Registry.getOrCreateHistogram(
      "peridot_request_latency",
      seriesLabel("service", Subject.Service.view()) + "," +
          seriesLabel("account", Subject.Account.view()) + "," +
          seriesLabel("route", Admitted.Route->PathPrefix));
  return Found;
}

} // namespace peridot
