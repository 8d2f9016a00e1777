#include "coordination/capacity/served_fractions.h"

#include <cmath>

namespace peridot {

namespace {

/// Part of the served fraction of all requests that each account and route is
/// guaranteed. More than the quarter that is promised, as a source is served
/// only after it has fallen below.
constexpr double GuaranteedPart = 0.35;
/// Sources are removed when there are more than this.
constexpr std::size_t MaxSources = 512;
/// Smallest count that is kept then.
constexpr double MinCount = 0.05;

} // namespace

void aged_count::add(double Amount, instant Now) {
  Count = value(Now) + Amount;
  CountedAt = Now;
}

double aged_count::value(instant Now) const {
  const std::chrono::duration<double> Age = Now - CountedAt;
  return Count * std::exp(-Age / CountedTime);
}

void served_fractions::recordArrival(const request_source &Source,
                                     instant Now) {
  if (Accounts.size() + Routes.size() > MaxSources)
    dropAged(Now);
  Total.Arrived.add(1, Now);
  Accounts[Source.Account].Arrived.add(1, Now);
  Routes[Source.Route].Arrived.add(1, Now);
}

void served_fractions::recordServed(const request_source &Source, instant Now) {
  Total.Served.add(1, Now);
  Accounts[Source.Account].Served.add(1, Now);
  Routes[Source.Route].Served.add(1, Now);
}

bool served_fractions::isOwed(const request_source &Source, instant Now) const {
  const auto Account = Accounts.find(Source.Account);
  const auto Route = Routes.find(Source.Route);
  return (Account != Accounts.end() && isOwed(Account->second, Now)) ||
         (Route != Routes.end() && isOwed(Route->second, Now));
}

bool served_fractions::isOwed(const counts &Counts, instant Now) const {
  const double Arrived = Total.Arrived.value(Now);
  if (Arrived <= 0)
    return false;
  const double Guaranteed = GuaranteedPart * Total.Served.value(Now) / Arrived *
                            Counts.Arrived.value(Now);
  return Counts.Served.value(Now) + 1 <= Guaranteed;
}

void served_fractions::dropAged(instant Now) {
  const auto IsAged = [Now](const auto &Each) {
    return Each.second.Arrived.value(Now) < MinCount;
  };
  std::erase_if(Accounts, IsAged);
  std::erase_if(Routes, IsAged);
}

} // namespace peridot
