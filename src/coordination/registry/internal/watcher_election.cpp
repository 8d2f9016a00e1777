#include "coordination/registry/watcher_election.h"

#include <algorithm>

namespace peridot {

void watcher_election::setRanking(std::span<const vm_name> Ranked) {
  Order.assign(Ranked.begin(), Ranked.end());
  std::erase_if(Reports, [this](const auto &Entry) {
    return std::ranges::find(Order, Entry.first) == Order.end();
  });
}

void watcher_election::recordReport(const vm_name &Vm,
                                    const watcher_report &Report, instant Now) {
  if (std::ranges::find(Order, Vm) != Order.end())
    Reports[Vm] = {.StoreResponds = Report.StoreResponds, .ReceivedAt = Now};
}

bool watcher_election::isAvailable(const vm_name &Vm, instant Now) const {
  const auto Found = Reports.find(Vm);
  return Found != Reports.end() && Found->second.StoreResponds &&
         Now - Found->second.ReceivedAt < Options.SilenceLimit;
}

bool watcher_election::shouldSelfWatch(instant Now) {
  const auto Own = std::ranges::find(Order, Self);
  const std::span<const vm_name> Before(Order.begin(), Own);
  const auto Available = static_cast<std::size_t>(std::ranges::count_if(
      Before, [&](auto &Each) { return isAvailable(Each, Now); }));
  if (Available >= Options.WatcherCount) {
    TooFewSince.reset();
    return false;
  }
  if (!TooFewSince)
    TooFewSince = Now;
  if (watchers(Now).empty())
    return true;
  return Now - *TooFewSince >=
         Options.Stagger * static_cast<duration::rep>(Before.size());
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
  const auto Own = std::ranges::find(Order, Self);
  const auto Rank =
      Own == Order.end() ? 0 : static_cast<std::size_t>(Own - Order.begin());
  if (Rank < Options.WatcherCount)
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
