#include "coordination/steering/target_steering.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace peridot {

namespace {

constexpr double BytesPerKilobyte = 1'000;
/// Of shares that should add up to a whole number of targets.
constexpr double RoundingError = 1e-6;

/// A number from 0 to 1 for each pair of bits and target.
double spread(std::uint64_t Random, std::size_t Salt) {
  constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15U;
  const std::uint64_t Mixed = (Random ^ (Salt * Multiplier)) * Multiplier;
  return static_cast<double>(Mixed >> 11U) * 0x1.0p-53;
}

} // namespace

target_steering::known_target &target_steering::know(const target_name &Name) {
  return Targets.try_emplace(Name, Spells).first->second;
}

double target_steering::illnessOf(const known_target &Known,
                                  instant Now) const {
  double Odds = 1;
  for (const running_attempt &Each : Known.Running)
    if (Each.UsualTime > duration{0} &&
        Now - Each.StartedAt > Each.UsualTime * Spells.OverdueFactor)
      Odds *= Spells.OverdueOdds;
  const double Illness = Known.Spell.illness(Now) * Odds;
  return Illness / (Illness + 1 - Known.Spell.illness(Now));
}

double target_steering::illness(const target_name &Target, instant Now) const {
  const auto Found = Targets.find(Target);
  return Found == Targets.end() ? Spells.FirstIllness
                                : illnessOf(Found->second, Now);
}

double target_steering::othersAt(const known_target &Known, instant Now) const {
  const double Age = std::chrono::duration<double>(Now - Known.LoadAt) /
                     std::chrono::duration<double>(Weights.LoadFading);
  return Known.OthersRunning * std::exp(-std::max(Age, 0.0));
}

void target_steering::noteLoad(const target_name &Target,
                               const reported_load &Load, instant Now) {
  if (Load.Slots == 0)
    return;
  known_target &Known = know(Target);
  const auto All = static_cast<double>(Load.Running + Load.Waiting);
  Known.OthersRunning =
      std::max(0.0, All - static_cast<double>(Known.Running.size()));
  Known.LoadAt = Now;
}

double target_steering::loadCost(double Own, double Others,
                                 double Slots) const {
  const double Room = std::max(Slots, 1.0);
  const double Load = std::min((Own + 1) / Room, 1.0);
  // Few requests of others are no merit: they may avoid the target.
  const double Excess = std::max((Own + Others + 1) / Room - 1, 0.0);
  return Weights.FullLoad * Load * Load + Weights.Overload * Excess;
}

double target_steering::costOf(const target &Target,
                               const steered_request &Request,
                               const steering_moment &Moment) const {
  double Illness = Spells.FirstIllness;
  double Own = 0;
  double Others = 0;
  double Slowness = 0;
  double Unknown = 0;
  if (const auto Found = Targets.find(Target.Name); Found != Targets.end()) {
    Illness = illnessOf(Found->second, Moment.Now);
    Own = static_cast<double>(Found->second.Running.size());
    Others = othersAt(Found->second, Moment.Now);
    Slowness = std::clamp((Found->second.Spell.pace() - 1) * Weights.Slowness,
                          0.0, Weights.MostSlowness);
    Unknown = std::min(
        1.0,
        std::chrono::duration<double>(Found->second.Spell.silence(Moment.Now)) /
            std::chrono::duration<double>(Weights.FullCuriosity));
  }
  const double Failure = Illness * Spells.IllFailures;
  double Cost =
      Request.Repeatable ? Failure * Weights.RepeatableFactor : Failure;
  Cost += Slowness - Weights.Curiosity * Unknown +
          loadCost(Own, Others, Target.Slots);
  if (Target.DataCenter != Moment.DataCenter)
    Cost += Weights.CrossDataCenter +
            Weights.CrossPerKilobyte * static_cast<double>(Request.BodyBytes) /
                BytesPerKilobyte;
  return Cost + Weights.Jitter * spread(Moment.Random,
                                        std::hash<target_name>{}(Target.Name));
}

const target_steering::known_target *
target_steering::find(const target_name &Name) const {
  const auto Found = Targets.find(Name);
  return Found == Targets.end() ? nullptr : &Found->second;
}

bool target_steering::usedLately(const target &Target, instant Now) const {
  const known_target *Known = find(Target.Name);
  return Known && Now - Known->UsedAt < Floor.Period;
}

bool target_steering::muchFails(std::span<const target> Candidates,
                                const steering_moment &Moment) const {
  double Attempts = Floor.AssumedGood;
  double Failures = 0;
  for (const target &Each : Candidates) {
    const known_target *Known = find(Each.Name);
    if (!Known || Each.DataCenter != Moment.DataCenter)
      continue;
    Attempts += Known->Lately.attempts(Moment.Now);
    Failures += Known->Lately.failures(Moment.Now);
  }
  return Failures > Attempts * Floor.FailedShare;
}

bool target_steering::belowFloor(std::span<const target> Candidates,
                                 const steering_moment &Moment) const {
  const bool MuchFails = muchFails(Candidates, Moment);
  const double MostIllness = MuchFails ? 1 : Floor.SoundBelow;
  double Sound = 0;
  double Used = 0;
  for (const target &Each : Candidates) {
    if (Each.DataCenter != Moment.DataCenter ||
        illness(Each.Name, Moment.Now) > MostIllness)
      continue;
    Sound += 1;
    Used += usedLately(Each, Moment.Now) ? 1 : 0;
  }
  const double Needed = Sound * std::min(1.0, Floor.Share + Floor.Margin);
  // One of a few targets may rest; many requests find it again by themselves.
  return Used < (MuchFails ? Needed : std::floor(Needed + RoundingError));
}

const target *target_steering::cheapest(std::span<const target> Candidates,
                                        const steered_request &Request,
                                        const steering_moment &Moment,
                                        bool UnusedOnly) const {
  const target *Best = nullptr;
  double Least = std::numeric_limits<double>::max();
  for (const target &Each : Candidates) {
    if (std::ranges::find(Request.Tried, Each.Name) != Request.Tried.end())
      continue;
    if (UnusedOnly &&
        (Each.DataCenter != Moment.DataCenter || usedLately(Each, Moment.Now)))
      continue;
    const double Cost = costOf(Each, Request, Moment);
    if (Cost >= Least)
      continue;
    Least = Cost;
    Best = &Each;
  }
  return Best;
}

steering_choice target_steering::choose(std::span<const target> Candidates,
                                        const steered_request &Request,
                                        const steering_moment &Moment) const {
  if (belowFloor(Candidates, Moment))
    if (const target *Unused = cheapest(Candidates, Request, Moment, true))
      return {.Target = Unused, .ForFloor = true};
  return {.Target = cheapest(Candidates, Request, Moment, false)};
}

std::uint64_t target_steering::begin(const target_name &Target, instant Now,
                                     duration UsualTime) {
  known_target &Known = know(Target);
  Known.UsedAt = Now;
  Known.Running.push_back(
      {.Id = ++LastId, .StartedAt = Now, .UsualTime = UsualTime});
  return LastId;
}

void target_steering::end(const target_name &Target, std::uint64_t Id,
                          attempt_end End, std::optional<double> Pace,
                          instant Now) {
  known_target &Known = know(Target);
  std::erase_if(Known.Running,
                [Id](const running_attempt &Each) { return Each.Id == Id; });
  Known.Spell.note(End, Now);
  Known.Lately.note(End, Now);
  if (Pace)
    Known.Spell.notePace(*Pace);
}

void target_steering::learn(const target_name &Target, attempt_end End,
                            instant Now) {
  known_target &Known = know(Target);
  Known.UsedAt = Now;
  Known.Spell.note(End, Now);
  Known.Lately.note(End, Now);
}

void target_steering::retain(std::span<const target_name> Kept) {
  std::erase_if(Targets, [&](const auto &Each) {
    return Each.second.Running.empty() &&
           std::ranges::find(Kept, Each.first) == Kept.end();
  });
}

} // namespace peridot
