#include "coordination/load_balancing/candidate_table.h"

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

bool isExcluded(const target &Target, const request_traits &Request) {
  return contains(Request.Tried, Target.Name) ||
         contains(Request.Paused, Target.Name);
}

} // namespace

candidate_table::candidate_table(std::span<const candidate> Candidates,
                                 const target_subset &OwnNames,
                                 const data_center_name &DataCenter) {
  for (const candidate &Each : Candidates) {
    if (Each.Target->DataCenter != DataCenter)
      Remote.push_back(Each);
    else if (OwnNames.contains(Each.Target->Name))
      Own.push_back(Each);
    else
      Local.push_back(Each);
  }
}

void candidate_table::compare(priced_candidate &Best,
                              std::span<const candidate> Among,
                              std::size_t MaxCompared,
                              const request_traits &Request,
                              const choice_context &Context,
                              const target_cost &Cost) const {
  if (Among.empty())
    return;
  // A random start and stride give different samples to VMs that choose at the
  // same moment.
  const bool IsSampled = Among.size() > MaxCompared;
  const std::size_t Count = IsSampled ? MaxCompared : Among.size();
  const std::size_t Stride =
      IsSampled ? 1 + (Context.Random >> 32U) % (Among.size() - 1) : 1;
  std::size_t Index = Context.Random % Among.size();
  for (std::size_t Compared = 0; Compared < Count; ++Compared) {
    const candidate &Each = Among[Index];
    Index = (Index + Stride) % Among.size();
    if (isExcluded(*Each.Target, Request))
      continue;
    const double EachCost = Cost.of(*Each.Target, Each.Known, Request, Context);
    if (!Best.Candidate || EachCost < Best.Cost)
      Best = {.Candidate = &Each, .Cost = EachCost};
  }
}

void candidate_table::updateFloor(instant Now,
                                  const candidate_table_options &Options) {
  const auto LocalCount = static_cast<duration::rep>(Own.size() + Local.size());
  const duration Period =
      std::max(Options.Subsets.MinFloorPeriod,
               Options.Subsets.FloorPeriodPerTarget * LocalCount);
  if (Now - FloorCountedAt < Period)
    return;
  FloorCountedAt = Now;
  const floor_options &Floor = Options.Floor;
  double Attempts = Floor.AssumedSuccesses;
  double Failures = 0;
  for (const candidates *Group : {&Own, &Local})
    for (const candidate &Each : *Group) {
      Attempts += Each.Known->recentSoundAttempts().attempts(Now);
      Failures += Each.Known->recentSoundAttempts().failures(Now);
    }
  const bool IsFailureShareHigh = Failures > Attempts * Floor.HighFailureShare;
  const double MaxFaultProbability =
      IsFailureShareHigh ? 1 : Floor.MaxHealthyFaultProbability;
  double Healthy = 0;
  double Used = 0;
  UnusedOwn.clear();
  UnusedLocal.clear();
  for (const candidates *Group : {&Own, &Local})
    for (const candidate &Each : *Group) {
      const bool IsUsed = Each.Known->isUsedWithin(Floor.Period, Now);
      if (!IsUsed)
        (Group == &Own ? UnusedOwn : UnusedLocal).push_back(Each);
      if (Each.Known->faultProbability(Now) > MaxFaultProbability)
        continue;
      Healthy += 1;
      Used += IsUsed ? 1 : 0;
    }
  const double Needed = Healthy * std::min(1.0, Floor.Share + Floor.Margin);
  // Rounding down lets one of a few targets stay unused.
  const double MinUsed =
      IsFailureShareHigh ? Needed : std::floor(Needed + RoundingError);
  if (Used >= MinUsed) {
    UnusedOwn.clear();
    UnusedLocal.clear();
  }
}

const target *
candidate_table::chooseUnused(const request_traits &Request,
                              const choice_context &Context,
                              const candidate_table_options &Options) {
  updateFloor(Context.Now, Options);
  if (Request.LeavesTrialsToOthers)
    return nullptr;
  priced_candidate Best;
  // Unused targets of other VMs are used as well, as their VMs may have too few
  // requests.
  for (candidates *Unused : {&UnusedOwn, &UnusedLocal}) {
    std::erase_if(*Unused, [&](const candidate &Each) {
      return Each.Known->isUsedWithin(Options.Floor.Period, Context.Now);
    });
    compare(Best, *Unused, Options.Subsets.MaxOwnCompared, Request, Context,
            Options.Cost);
    if (Best.Candidate)
      return Best.Candidate->Target;
  }
  return nullptr;
}

load_balancer_choice
candidate_table::choose(const request_traits &Request,
                        const choice_context &Context,
                        const candidate_table_options &Options) {
  const subset_options &Subsets = Options.Subsets;
  if (const target *Unused = chooseUnused(Request, Context, Options))
    return {.Target = Unused, .IsForFloor = true};
  priced_candidate Best;
  const auto IsFreeAndSound = [&] {
    return Best.Candidate &&
           Options.Cost.isFreeAndSound(*Best.Candidate->Target,
                                       *Best.Candidate->Known, Context.Now);
  };
  compare(Best, Own, Subsets.MaxOwnCompared, Request, Context, Options.Cost);
  if (!IsFreeAndSound())
    compare(Best, Local, Subsets.MaxLocalCompared, Request, Context,
            Options.Cost);
  if (!IsFreeAndSound())
    compare(Best, Remote, Subsets.MaxRemoteCompared, Request, Context,
            Options.Cost);
  if (Best.Candidate)
    return {.Target = Best.Candidate->Target};
  // The sample had only targets that were tried or are paused.
  for (const candidates *Group : {&Own, &Local, &Remote})
    compare(Best, *Group, Group->size(), Request, Context, Options.Cost);
  return {.Target = Best.Candidate ? Best.Candidate->Target : nullptr};
}

} // namespace peridot
