#include "soak/target_announcements.h"

#include <algorithm>
#include <array>
#include <utility>

namespace peridot::test {

namespace {

/// Distinguishes the random numbers from those of a seed's other faults.
constexpr unsigned SeedOffset = 1'000'003;
/// At least one target stays, so that requests are served.
constexpr std::size_t MaxLeaving = 2;
/// Values of Retry-After; the last three ask for no pause.
constexpr std::array RetryAfterValues = {"0.8", "1.5", "2",   "2.5",
                                         "0",   "-1",  "soon"};

} // namespace

target_announcer::target_announcer(store_fleet &Fleet, unsigned Seed,
                                   event_logger Log)
    : Fleet(Fleet), Random(Seed + SeedOffset), Log(std::move(Log)),
      Next(std::chrono::steady_clock::now() + randomDelay(0, 500)) {
  for (const auto &Each : Fleet.Targets)
    Targets.push_back({.Target = Each.get()});
}

void target_announcer::advance(time_point Now) {
  for (announcing_target &Each : Targets) {
    if (Each.IsLeaving && Each.LeavesUntil <= Now)
      replace(Each);
    if (!Each.RetryAfter.empty() && Each.AsksUntil <= Now)
      stopAsking(Each);
  }
  if (Now < Next)
    return;
  Next = Now + randomDelay(300, 1'200);
  announcing_target &Chosen = Targets[randomBelow(Targets.size())];
  // Only a target that leaves early in a run does so for longer than requests
  // may still reach it.
  if (std::exchange(IsFirst, false) || randomBelow(3) == 0)
    beginLeaving(Chosen, Now);
  else
    askForPause(Chosen, Now);
}

void target_announcer::endAll() {
  for (announcing_target &Each : Targets) {
    if (Each.IsLeaving)
      replace(Each);
    stopAsking(Each);
  }
}

std::size_t target_announcer::leavingCount() const {
  return static_cast<std::size_t>(
      std::ranges::count(Targets, true, &announcing_target::IsLeaving));
}

void target_announcer::beginLeaving(announcing_target &Each, time_point Now) {
  const auto Time = randomDelay(3'000, 6'000);
  const bool WritesEntry = randomBelow(4) == 0;
  if (Each.IsLeaving || leavingCount() >= MaxLeaving)
    return;
  Log(Each.Target->Target.Name + " says that it leaves" +
      (WritesEntry ? ", as does its entry" : ""));
  Each.IsLeaving = true;
  Each.LeavesUntil = Now + Time;
  apply(Each);
  if (WritesEntry)
    Fleet.registerTarget(*Each.Target, "draining");
}

void target_announcer::askForPause(announcing_target &Each, time_point Now) {
  const std::string RetryAfter =
      RetryAfterValues[randomBelow(RetryAfterValues.size())];
  const auto Time = randomDelay(200, 1'500);
  if (!Each.RetryAfter.empty())
    return;
  Log(Each.Target->Target.Name + " turns requests away with Retry-After " +
      RetryAfter);
  Each.RetryAfter = RetryAfter;
  Each.AsksUntil = Now + Time;
  apply(Each);
}

void target_announcer::replace(announcing_target &Each) {
  Log(Each.Target->Target.Name + " is replaced");
  Each.IsLeaving = false;
  ++Each.Target->Process;
  apply(Each);
  Fleet.registerTarget(*Each.Target);
}

void target_announcer::stopAsking(announcing_target &Each) {
  Each.RetryAfter.clear();
  apply(Each);
}

void target_announcer::apply(const announcing_target &Each) {
  Each.Target->Target.setAnnouncements(
      "process=" + std::to_string(Each.Target->Process) + "&leaving=" +
      (Each.IsLeaving ? "1" : "0") + "&retry_after=" + Each.RetryAfter);
}

} // namespace peridot::test
