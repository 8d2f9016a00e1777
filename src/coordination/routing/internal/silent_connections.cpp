#include "coordination/routing/silent_connections.h"

#include <algorithm>
#include <utility>

#include "state/base/types/overloaded.h"

namespace peridot {

std::optional<instant>
silent_connection_detector::handle(const connection_event &Event) {
  return std::visit(overloaded{[this](const connection_timed_out &Each) {
                                 return onTimeout(Each);
                               },
                               [this](const connection_responded &Each) {
                                 return onResponse(Each);
                               }},
                    Event);
}

std::optional<instant>
silent_connection_detector::onTimeout(const connection_timed_out &Timeout) {
  if (Timeout.Reused)
    NewestSuspectOpenedAt = std::max(
        NewestSuspectOpenedAt.value_or(instant::min()), Timeout.OpenedAt);
  else if (!isSuspect(Timeout.OpenedAt))
    NewestSuspectOpenedAt.reset();
  return std::nullopt;
}

std::optional<instant>
silent_connection_detector::onResponse(const connection_responded &Response) {
  if (!NewestSuspectOpenedAt)
    return std::nullopt;
  const bool Suspect = isSuspect(Response.OpenedAt);
  const auto Retired = std::exchange(NewestSuspectOpenedAt, std::nullopt);
  return Suspect ? std::nullopt : Retired;
}

} // namespace peridot
