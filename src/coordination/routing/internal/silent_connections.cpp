#include "coordination/routing/silent_connections.h"

#include <algorithm>
#include <utility>

#include "state/base/types/overloaded.h"

namespace peridot {

std::optional<instant>
silent_connection_detector::handle(const connection_event &Event) {
  return std::visit(
      overloaded{
          [this](const connection_timed_out &Each) { return onTimeout(Each); },
          [this](const connection_answered &Each) { return onAnswer(Each); }},
      Event);
}

std::optional<instant>
silent_connection_detector::onTimeout(const connection_timed_out &Timeout) {
  if (Timeout.Reused)
    SuspectUntil =
        std::max(SuspectUntil.value_or(instant::min()), Timeout.OpenedAt);
  else if (!isSuspect(Timeout.OpenedAt))
    SuspectUntil.reset();
  return std::nullopt;
}

std::optional<instant>
silent_connection_detector::onAnswer(const connection_answered &Answer) {
  if (!SuspectUntil)
    return std::nullopt;
  const bool Suspect = isSuspect(Answer.OpenedAt);
  const auto Retired = std::exchange(SuspectUntil, std::nullopt);
  return Suspect ? std::nullopt : Retired;
}

} // namespace peridot
