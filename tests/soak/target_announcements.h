/// \file
/// Lets targets announce at random that they leave, or ask for pauses. A seed
/// determines the series.
#pragma once

#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "support/store_fleet.h"

namespace peridot::test {

/// Sets the announcements of a fleet's targets. Its random numbers are its own,
/// so that a seed's other faults do not depend on it.
class target_announcer {
public:
  using time_point = std::chrono::steady_clock::time_point;
  using event_logger = std::function<void(const std::string &Event)>;

  target_announcer(store_fleet &Fleet, unsigned Seed, event_logger Log);

  /// Begins and ends announcements that are due at \p Now.
  void advance(time_point Now);
  /// Ends all announcements. Targets that leave are replaced.
  void endAll();

private:
  struct announcing_target {
    store_target *Target = nullptr;
    bool IsLeaving = false;
    time_point LeavesUntil{};
    std::string RetryAfter; ///< Empty: it asks for no pause.
    time_point AsksUntil{};
  };

  std::size_t randomBelow(std::size_t Limit) { return Random() % Limit; }
  std::chrono::milliseconds randomDelay(unsigned MinMs, unsigned MaxMs) {
    return std::chrono::milliseconds(MinMs + randomBelow(MaxMs - MinMs));
  }
  std::size_t leavingCount() const;
  void beginLeaving(announcing_target &Each, time_point Now);
  void askForPause(announcing_target &Each, time_point Now);
  /// Lets the next process of the target take its place.
  void replace(announcing_target &Each);
  void stopAsking(announcing_target &Each);
  static void apply(const announcing_target &Each);

  store_fleet &Fleet;
  std::mt19937 Random;
  event_logger Log;
  std::vector<announcing_target> Targets;
  time_point Next;
  bool IsFirst = true; ///< No announcement was made yet.
};

} // namespace peridot::test
