#include "coordination/registry/reader_election.h"

#include <algorithm>

namespace peridot {

void reader_election::ranked(std::span<const vm_name> Ranked) {
  Order.assign(Ranked.begin(), Ranked.end());
  std::erase_if(Heard, [this](const auto &Entry) {
    return std::ranges::find(Order, Entry.first) == Order.end();
  });
}

void reader_election::heard(const vm_name &Vm, const reader_report &Report,
                            instant Now) {
  if (std::ranges::find(Order, Vm) != Order.end())
    Heard[Vm] = {.StoreAnswers = Report.StoreAnswers, .At = Now};
}

bool reader_election::isGood(const vm_name &Vm, instant Now) const {
  const auto Found = Heard.find(Vm);
  return Found != Heard.end() && Found->second.StoreAnswers &&
         Now - Found->second.At < Options.SilenceLimit;
}

bool reader_election::selfReads(instant Now) {
  const auto Own = std::ranges::find(Order, Self);
  const std::span<const vm_name> Before(Order.begin(), Own);
  const auto Good = static_cast<std::size_t>(std::ranges::count_if(
      Before, [&](auto &Each) { return isGood(Each, Now); }));
  if (Good >= Options.Readers) {
    FewSince.reset();
    return false;
  }
  if (!FewSince)
    FewSince = Now;
  if (readers(Now).empty())
    return true;
  return Now - *FewSince >=
         Options.Stagger * static_cast<duration::rep>(Before.size());
}

std::vector<vm_name> reader_election::readers(instant Now) const {
  std::vector<vm_name> Found;
  for (const vm_name &Each : Order)
    if (Each != Self && isGood(Each, Now))
      Found.push_back(Each);
  return Found;
}

duration reader_election::lookPeriod(instant Now) const {
  if (!readers(Now).empty())
    return Options.LookWhileOthersRead;
  const auto Own = std::ranges::find(Order, Self);
  const auto Place =
      Own == Order.end() ? 0 : static_cast<std::size_t>(Own - Order.begin());
  if (Place < Options.Readers)
    return Options.Look;
  const auto After = static_cast<duration::rep>(Place - Options.Readers + 1);
  return std::min(Options.LongestLook,
                  Options.Look + Options.LookStagger * After);
}

bool reader_election::storeAwayForReaders(instant Now) const {
  return readers(Now).empty() &&
         std::ranges::any_of(Heard, [&](const auto &Entry) {
           return !Entry.second.StoreAnswers &&
                  Now - Entry.second.At < Options.SilenceLimit;
         });
}

} // namespace peridot
