#include "coordination/load_balancing/load_balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace peridot {

namespace {

/// Absorbs rounding where a share of the targets should be a whole number.
constexpr double RoundingError = 1e-6;

bool contains(std::span<const target_name> Names, const target_name &Name) {
  return std::ranges::find(Names, Name) != Names.end();
}

} // namespace

target_estimate &load_balancer::getOrCreate(const target_name &Name) {
  return Targets.try_emplace(Name, Episodes).first->second;
}

const target_estimate *load_balancer::find(const target_name &Name) const {
  const auto Found = Targets.find(Name);
  return Found == Targets.end() ? nullptr : &Found->second;
}

double load_balancer::faultProbability(const target_name &Target,
                                       instant Now) const {
  const target_estimate *Known = find(Target);
  return Known ? Known->faultProbability(Now)
               : Episodes.InitialFaultProbability;
}

void load_balancer::noteLoad(const target_name &Target,
                             const reported_load &Load, instant Now) {
  if (Load.Slots > 0)
    getOrCreate(Target).noteLoad(Load, Now);
}

bool load_balancer::isRecentlyUsed(const target &Target, instant Now) const {
  const target_estimate *Known = find(Target.Name);
  return Known && Known->isUsedWithin(Floor.Period, Now);
}

bool load_balancer::isFailureShareHigh(std::span<const target> Candidates,
                                       const choice_context &Context) const {
  double Attempts = Floor.AssumedSuccesses;
  double Failures = 0;
  for (const target &Each : Candidates) {
    const target_estimate *Known = find(Each.Name);
    if (!Known || Each.DataCenter != Context.DataCenter)
      continue;
    Attempts += Known->recentAttempts().attempts(Context.Now);
    Failures += Known->recentAttempts().failures(Context.Now);
  }
  return Failures > Attempts * Floor.HighFailureShare;
}

bool load_balancer::isBelowFloor(std::span<const target> Candidates,
                                 const choice_context &Context) const {
  const bool IsFailureShareHigh = isFailureShareHigh(Candidates, Context);
  const double MaxFaultProbability =
      IsFailureShareHigh ? 1 : Floor.MaxHealthyFaultProbability;
  double Healthy = 0;
  double Used = 0;
  for (const target &Each : Candidates) {
    if (Each.DataCenter != Context.DataCenter ||
        faultProbability(Each.Name, Context.Now) > MaxFaultProbability)
      continue;
    Healthy += 1;
    Used += isRecentlyUsed(Each, Context.Now) ? 1 : 0;
  }
  const double Needed = Healthy * std::min(1.0, Floor.Share + Floor.Margin);
  // Rounding down lets one of a few targets stay unused; with many requests it
  // is chosen again without the floor.
  return Used <
         (IsFailureShareHigh ? Needed : std::floor(Needed + RoundingError));
}

const target *load_balancer::cheapest(std::span<const target> Candidates,
                                      const request_traits &Request,
                                      const choice_context &Context,
                                      bool UnusedOnly) const {
  const target *Best = nullptr;
  double MinCost = std::numeric_limits<double>::max();
  for (const target &Each : Candidates) {
    if (contains(Request.Tried, Each.Name) ||
        contains(Request.Paused, Each.Name))
      continue;
    if (UnusedOnly && (Each.DataCenter != Context.DataCenter ||
                       isRecentlyUsed(Each, Context.Now)))
      continue;
    const double EachCost = Cost.of(Each, find(Each.Name), Request, Context);
    if (EachCost >= MinCost)
      continue;
    MinCost = EachCost;
    Best = &Each;
  }
  return Best;
}

load_balancer_choice
load_balancer::chooseAmongAll(std::span<const target> Candidates,
                              const request_traits &Request,
                              const choice_context &Context) const {
  if (!Request.LeavesTrialsToOthers && isBelowFloor(Candidates, Context))
    if (const target *Unused = cheapest(Candidates, Request, Context, true))
      return {.Target = Unused, .IsForFloor = true};
  return {.Target = cheapest(Candidates, Request, Context, false)};
}

void load_balancer::divide(std::span<const std::span<const target>> Services,
                           const dividing_hosts &Hosts) {
  Tables.clear();
  Own.reset();
  if (Hosts.Hosts.size() < Subsets.MinHosts)
    return;
  Own.emplace();
  for (const std::span<const target> Each : Services)
    addOwnTargets(Each, Hosts, *Own);
}

candidate_table &load_balancer::tableOf(std::span<const target> Candidates,
                                        const data_center_name &DataCenter) {
  const auto Found = Tables.find(Candidates.data());
  if (Found != Tables.end())
    return Found->second;
  std::vector<candidate> Known;
  Known.reserve(Candidates.size());
  for (const target &Each : Candidates)
    Known.push_back({.Target = &Each, .Known = &getOrCreate(Each.Name)});
  return Tables.try_emplace(Candidates.data(), Known, *Own, DataCenter)
      .first->second;
}

bool load_balancer::leavesTrialsToOthers(const request_traits &Request) {
  auto Share = RepeatableShares.find(Request.Service);
  if (Share == RepeatableShares.end())
    Share = RepeatableShares
                .emplace(Request.Service, Subsets.InitialRepeatableShare)
                .first;
  if (Request.Tried.empty())
    Share->second += Subsets.RepeatableShareWeight *
                     ((Request.IsRepeatable ? 1 : 0) - Share->second);
  return !Request.IsRepeatable && Share->second >= Subsets.MinRepeatableShare;
}

load_balancer_choice load_balancer::choose(std::span<const target> Candidates,
                                           const request_traits &Request,
                                           const choice_context &Context) {
  request_traits Traits = Request;
  Traits.LeavesTrialsToOthers = leavesTrialsToOthers(Request);
  if (!Own || Candidates.empty())
    return chooseAmongAll(Candidates, Traits, Context);
  return tableOf(Candidates, Context.DataCenter)
      .choose(Traits, Context,
              {.Subsets = Subsets, .Floor = Floor, .Cost = SubsetCost});
}

std::uint64_t load_balancer::begin(const target_name &Target, instant Now,
                                   duration TypicalLatency) {
  getOrCreate(Target).begin(
      {.Id = ++LastId, .StartedAt = Now, .TypicalLatency = TypicalLatency});
  return LastId;
}

void load_balancer::end(const target_name &Target, std::uint64_t Id,
                        attempt_end End, std::optional<double> LatencyRatio,
                        instant Now) {
  getOrCreate(Target).end(Id, End, LatencyRatio, Now);
}

void load_balancer::recordPeerAttempt(const target_name &Target,
                                      attempt_end End, instant Now) {
  getOrCreate(Target).recordPeerAttempt(End, Now);
}

void load_balancer::retain(std::span<const target_name> Retained) {
  Tables.clear();
  const std::unordered_set<target_name> Kept(Retained.begin(), Retained.end());
  std::erase_if(Targets, [&](const auto &Each) {
    return !Each.second.isRunning() && !Kept.contains(Each.first);
  });
}

} // namespace peridot
