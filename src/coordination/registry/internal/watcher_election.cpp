#include "coordination/registry/watcher_election.h"

#include <algorithm>
#include <cmath>

namespace peridot {

void watcher_election::setRanking(std::span<const vm_name> Ranked) {
  Order.assign(Ranked.begin(), Ranked.end());
  std::erase_if(Reports, [this](const auto &Entry) {
    return std::ranges::find(Order, Entry.first) == Order.end();
  });
}

void watcher_election::recordReport(const vm_name &Vm,
                                    const watcher_report &Report, instant Now) {
  if (std::ranges::find(Order, Vm) == Order.end())
    return;
  Reports[Vm] = {.StoreResponds = Report.StoreResponds, .ReceivedAt = Now};
  HasReceivedReport = true;
}

bool watcher_election::isReporting(const vm_name &Vm, instant Now) const {
  const auto Found = Reports.find(Vm);
  return Found != Reports.end() &&
         Now - Found->second.ReceivedAt < Options.SilenceLimit;
}

bool watcher_election::isAvailable(const vm_name &Vm, instant Now) const {
  return isReporting(Vm, Now) && Reports.at(Vm).StoreResponds;
}

std::span<const vm_name> watcher_election::rankedBefore() const {
  return {Order.begin(), std::ranges::find(Order, Self)};
}

duration watcher_election::takeoverDelay(instant Now) const {
  const std::size_t Rank = rankedBefore().size();
  if (!watchers(Now).empty())
    return Options.Stagger * static_cast<duration::rep>(Rank);
  const auto Delay = std::chrono::duration_cast<duration>(
      Options.TakeoverStagger * std::sqrt(Rank));
  return HasReceivedReport ? Delay : Delay + Options.StartDelay;
}

std::optional<duration> watcher_election::timeToTakeover(instant Now) const {
  if (!TooFewSince)
    return std::nullopt;
  const duration TimeLeft = *TooFewSince + takeoverDelay(Now) - Now;
  return TimeLeft > duration{0} ? std::optional(TimeLeft) : std::nullopt;
}

bool watcher_election::isCheckedByOthers(duration Waited, instant Now) const {
  const std::span<const vm_name> Before = rankedBefore();
  const auto Checkers = static_cast<std::size_t>(std::ranges::count_if(
      Before, [&](auto &Each) { return isReporting(Each, Now); }));
  const auto Seconds = static_cast<std::size_t>(
      std::chrono::floor<std::chrono::seconds>(Waited).count());
  return watchers(Now).empty() && Checkers >= Options.CheckerCount &&
         Before.size() >=
             Options.CheckerCount + Seconds * Options.CheckersPerSecond;
}

bool watcher_election::shouldSelfWatch(instant Now) {
  const std::span<const vm_name> Before = rankedBefore();
  const auto Available = static_cast<std::size_t>(std::ranges::count_if(
      Before, [&](auto &Each) { return isAvailable(Each, Now); }));
  if (Available >= Options.WatcherCount) {
    TooFewSince.reset();
    return false;
  }
  if (!TooFewSince)
    TooFewSince = Now;
  const duration Waited = Now - *TooFewSince;
  if (isCheckedByOthers(Waited, Now))
    return false;
  return Waited >= takeoverDelay(Now);
}

std::vector<vm_name> watcher_election::watchers(instant Now) const {
  std::vector<vm_name> Found;
  for (const vm_name &Each : Order)
    if (Each != Self && isAvailable(Each, Now))
      Found.push_back(Each);
  return Found;
}

duration watcher_election::storeCheckPeriod(instant Now) const {
  if (!watchers(Now).empty())
    return Options.CheckPeriodWhileOthersWatch;
  const std::size_t Rank = rankedBefore().size();
  if (Rank < Options.WatcherCount || Rank == Order.size())
    return Options.CheckPeriod;
  const auto After =
      static_cast<duration::rep>(Rank - Options.WatcherCount + 1);
  return std::min(Options.MaxCheckPeriod,
                  Options.CheckPeriod + Options.CheckStagger * After);
}

bool watcher_election::isStoreUnreachableForWatchers(instant Now) const {
  return watchers(Now).empty() &&
         std::ranges::any_of(Reports, [&](const auto &Entry) {
           return !Entry.second.StoreResponds &&
                  Now - Entry.second.ReceivedAt < Options.SilenceLimit;
         });
}

} // namespace peridot
