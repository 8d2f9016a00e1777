/// \file
/// Limits requests to cold targets; part of request_relay.
#include "transport/callers/internal/request_relay.h"

#include <algorithm>

namespace peridot {

namespace {

bool contains(std::span<const target_name> Names, const target_name &Name) {
  return std::ranges::find(Names, Name) != Names.end();
}

} // namespace

bool request_relay::admitToTarget(const target &Target, instant Now) {
  ColdTokenAt.reset();
  cold_targets *Cold = Worker.coldTargets();
  if (!Cold)
    return true;
  const cold_admission Admission = Cold->take(Target.Name, Now);
  if (Admission == cold_admission::Taken)
    ColdTokenAt = Now;
  return Admission != cold_admission::Closed;
}

const target *request_relay::chooseDueColdTarget(
    std::span<const target> Targets, std::span<const target_name> Due,
    std::span<const target_name> Paused, instant Now) {
  for (const target_name &Name : Due) {
    const auto Found = std::ranges::find(Targets, Name, &target::Name);
    if (Found == Targets.end() || contains(TriedTargets, Name) ||
        contains(Paused, Name))
      continue;
    if (admitToTarget(*Found, Now))
      return &*Found;
  }
  return nullptr;
}

bool request_relay::maySendTo(const target &Target) {
  cold_targets *Cold = Worker.coldTargets();
  const bool MaySend =
      !Cold || Cold->maySend(Target.Name, ColdTokenAt, bootNow());
  if (!MaySend)
    Worker.metrics()
        .getOrCreateCounter("peridot_cold_target_withheld_total")
        .add();
  else if (ColdTokenAt)
    Worker.metrics()
        .getOrCreateCounter("peridot_cold_target_requests_total")
        .add();
  return MaySend;
}

} // namespace peridot
