#include "coordination/capacity/service_loads.h"

#include <utility>

namespace peridot {

void service_loads::load::advance(instant Now) {
  const std::chrono::duration<double> Span = Now - ChangedAt;
  RequestSeconds += static_cast<double>(Requests) * Span.count();
  ChangedAt = Now;
}

void service_loads::set(const service_name &Service, std::size_t Requests,
                        instant Now) {
  const std::lock_guard Lock(Mutex);
  load &Load = Loads[Service];
  Load.advance(Now);
  Load.Requests = Requests;
}

std::vector<service_demand> service_loads::takeMeans(instant Now) {
  const std::lock_guard Lock(Mutex);
  const std::chrono::duration<double> Span = Now - std::exchange(TakenAt, Now);
  std::vector<service_demand> Means;
  for (auto &[Service, Load] : Loads) {
    Load.advance(Now);
    const double RequestSeconds = std::exchange(Load.RequestSeconds, 0);
    if (RequestSeconds > 0 && Span.count() > 0)
      Means.push_back(
          {.Service = Service, .Requests = RequestSeconds / Span.count()});
  }
  return Means;
}

} // namespace peridot
