#include "coordination/load_balancing/target_pauses.h"

#include <algorithm>

namespace peridot {

namespace {

/// Whether both are the same process, and not an earlier or later one of the
/// same name.
bool isSameProcess(const target &Left, const target &Right) {
  return Left.StartedAt == Right.StartedAt && Left.Port == Right.Port &&
         Left.Address == Right.Address;
}

} // namespace

std::optional<target_pause> makePause(const target &Target,
                                      std::chrono::milliseconds Requested,
                                      instant Now,
                                      const target_pause_options &Options) {
  if (Requested <= std::chrono::milliseconds{0})
    return std::nullopt;
  // Compared in milliseconds, as a long pause overflows in nanoseconds.
  const auto MaxPause =
      std::chrono::duration_cast<std::chrono::milliseconds>(Options.MaxPause);
  return target_pause{.Target = Target,
                      .StartedAt = Now,
                      .EndsAt = Now + std::min(Requested, MaxPause)};
}

duration spreadDelay(duration Delay, double MaxSpread, std::uint64_t Random) {
  const double Fraction = static_cast<double>(Random >> 11U) * 0x1.0p-53;
  return Delay +
         std::chrono::duration_cast<duration>(Delay * MaxSpread * Fraction);
}

const target_pauses::entry *target_pauses::find(const target &Target) const {
  const auto Found = Entries.find(Target.Name);
  return Found != Entries.end() &&
                 isSameProcess(Found->second.Pause.Target, Target)
             ? &Found->second
             : nullptr;
}

pause_change target_pauses::accept(const target_pause &Pause, instant Now,
                                   std::uint64_t Random) {
  if (Pause.EndsAt <= Now)
    return pause_change::None;
  const auto Found = Entries.find(Pause.Target.Name);
  if (Found != Entries.end() &&
      Found->second.Pause.Target.StartedAt > Pause.Target.StartedAt)
    return pause_change::None;
  const entry *Known = find(Pause.Target);
  if (Known && Known->Pause.EndsAt >= Pause.EndsAt)
    return pause_change::None;
  const bool WasPaused = Known && Now < Known->ReturnsAt;
  instant ReturnsAt =
      Pause.StartedAt +
      spreadDelay(Pause.EndsAt - Pause.StartedAt, Options.MaxSpread, Random);
  if (WasPaused)
    ReturnsAt = std::max(ReturnsAt, Known->ReturnsAt);
  Entries[Pause.Target.Name] = {.Pause = Pause, .ReturnsAt = ReturnsAt};
  return WasPaused ? pause_change::Extended : pause_change::Started;
}

bool target_pauses::isPaused(const target &Target, instant Now) const {
  const entry *Known = find(Target);
  if (!Known)
    return false;
  const auto &TrialStartedAt = Known->TrialStartedAt;
  return Now < Known->ReturnsAt ||
         (TrialStartedAt && Now < *TrialStartedAt + Options.TrialTimeout);
}

std::vector<target_name>
target_pauses::pausedAmong(std::span<const target> Targets, instant Now) const {
  std::vector<target_name> Names;
  if (Entries.empty())
    return Names;
  for (const target &Each : Targets)
    if (isPaused(Each, Now))
      Names.push_back(Each.Name);
  return Names;
}

std::optional<duration>
target_pauses::timeUntilFirst(std::span<const target> Targets,
                              instant Now) const {
  if (Entries.empty() || Targets.empty())
    return std::nullopt;
  duration First = duration::max();
  for (const target &Each : Targets) {
    if (!isPaused(Each, Now))
      return std::nullopt;
    First = std::min(First, std::max(*endOf(Each) - Now, duration{0}));
  }
  return First;
}

std::optional<instant> target_pauses::endOf(const target &Target) const {
  const entry *Known = find(Target);
  return Known ? std::optional(Known->ReturnsAt) : std::nullopt;
}

bool target_pauses::begin(const target &Target, instant Now) {
  if (!find(Target))
    return false;
  entry &Known = Entries.at(Target.Name);
  if (Known.TrialStartedAt) {
    // No refusal within the trial's timeout: the target accepts requests.
    Entries.erase(Target.Name);
    return false;
  }
  Known.TrialStartedAt = Now;
  return true;
}

void target_pauses::endTrial(const target &Target, attempt_end End) {
  const entry *Known = find(Target);
  // Without a start, the trial's response asked for the next pause.
  if (!Known || !Known->TrialStartedAt)
    return;
  const bool ShowsNothing = End == attempt_end::Cancelled ||
                            End == attempt_end::ConnectFailed ||
                            End == attempt_end::Shed;
  if (ShowsNothing)
    Entries.at(Target.Name).TrialStartedAt.reset();
  else
    Entries.erase(Target.Name);
}

void target_pauses::retain(std::span<const target_name> Targets, instant Now) {
  std::erase_if(Entries, [&](const auto &Each) {
    return Now >= Each.second.ReturnsAt &&
           std::ranges::find(Targets, Each.first) == Targets.end();
  });
}

} // namespace peridot
