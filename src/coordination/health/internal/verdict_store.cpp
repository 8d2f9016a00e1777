#include "coordination/health/verdict_store.h"

#include <algorithm>

namespace peridot {

bool verdict_store::accept(const service_verdicts &Offered) {
  const auto [Found, IsNew] = Held.try_emplace(Offered.Service);
  if (!IsNew && Offered.Version <= Found->second.Version)
    return false;
  Found->second = Offered;
  return true;
}

const service_verdicts *verdict_store::find(const service_name &Service) const {
  const auto Found = Held.find(Service);
  return Found == Held.end() ? nullptr : &Found->second;
}

verdict_version verdict_store::versionOf(const service_name &Service) const {
  const service_verdicts *Set = find(Service);
  return Set ? Set->Version : verdict_version{};
}

target_condition conditionUnder(const target_verdict &Verdict,
                                const data_center_name &DataCenter) {
  switch (Verdict.State) {
  case verdict_state::Trial:
    return target_condition::Trial;
  case verdict_state::Ejected:
    return target_condition::Ejected;
  case verdict_state::Draining:
    return target_condition::Draining;
  case verdict_state::Serving:
    break;
  }
  const bool Avoided = std::ranges::find(Verdict.AvoidedIn, DataCenter) !=
                       Verdict.AvoidedIn.end();
  return Avoided ? target_condition::Ejected : target_condition::Serving;
}

} // namespace peridot
