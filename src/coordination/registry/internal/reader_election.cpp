#include "coordination/registry/reader_election.h"

#include <algorithm>

namespace peridot {

void reader_election::ranked(std::span<const vm_name> Ranked) {
  Order.assign(Ranked.begin(), Ranked.end());
  std::erase_if(Reports, [this](const auto &Entry) {
    return std::ranges::find(Order, Entry.first) == Order.end();
  });
}

void reader_election::heard(const vm_name &Vm, const reader_report &Report,
                            instant Now) {
  if (std::ranges::find(Order, Vm) != Order.end())
    Reports[Vm] = {.StoreAnswers = Report.StoreAnswers, .ReceivedAt = Now};
}

bool reader_election::isAvailable(const vm_name &Vm, instant Now) const {
  const auto Found = Reports.find(Vm);
  return Found != Reports.end() && Found->second.StoreAnswers &&
         Now - Found->second.ReceivedAt < Options.SilenceLimit;
}

bool reader_election::selfReads(instant Now) {
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
  if (readers(Now).empty())
    return true;
  return Now - *TooFewSince >=
         Options.Stagger * static_cast<duration::rep>(Before.size());
}

std::vector<vm_name> reader_election::readers(instant Now) const {
  std::vector<vm_name> Found;
  for (const vm_name &Each : Order)
    if (Each != Self && isAvailable(Each, Now))
      Found.push_back(Each);
  return Found;
}

duration reader_election::lookPeriod(instant Now) const {
  if (!readers(Now).empty())
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

bool reader_election::storeAwayForReaders(instant Now) const {
  return readers(Now).empty() &&
         std::ranges::any_of(Reports, [&](const auto &Entry) {
           return !Entry.second.StoreAnswers &&
                  Now - Entry.second.ReceivedAt < Options.SilenceLimit;
         });
}

} // namespace peridot
