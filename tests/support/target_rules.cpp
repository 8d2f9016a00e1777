#include "support/target_rules.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace peridot::test {

namespace {

/// A VM and a process of a target.
struct vm_and_process {
  std::uint16_t CallerPort = 0;
  std::string Target;
  int Process = 0;

  auto operator<=>(const vm_and_process &) const = default;
};

/// An arrival and the request as its caller sent it.
struct sent_arrival {
  const arrival_record *Arrival = nullptr;
  const response_record *Sent = nullptr;
};

using arrivals_by_process = std::map<vm_and_process, std::vector<sent_arrival>>;

/// Groups the arrivals whose caller is known.
arrivals_by_process groupArrivals(const run_records &Records) {
  std::map<std::string_view, const response_record *> SentById;
  for (const response_record &Each : Records.Responses)
    SentById[Each.RequestId] = &Each;
  arrivals_by_process Groups;
  for (const arrival_record &Each : Records.Arrivals) {
    const auto Sent = SentById.find(Each.RequestId);
    if (Sent != SentById.end())
      Groups[{Sent->second->CallerPort, Each.Target, Each.Process}].push_back(
          {&Each, Sent->second});
  }
  return Groups;
}

/// Whether the VM was restarted or frozen in a time.
bool wasStopped(const run_records &Records, const vm_and_process &Pair,
                run_time From, run_time Until) {
  return std::ranges::any_of(Records.Interruptions,
                             [&](const vm_interruption &Each) {
                               return Each.Kind != interruption_kind::Cut &&
                                      Each.CallerPort == Pair.CallerPort &&
                                      Each.From <= Until && Each.Until >= From;
                             });
}

/// Whether the VM was cut off from the platform or from the target in a time.
bool wasCutOff(const run_records &Records, const vm_and_process &Pair,
               run_time From, run_time Until) {
  return std::ranges::any_of(
      Records.Interruptions, [&](const vm_interruption &Each) {
        return Each.Kind == interruption_kind::Cut &&
               Each.CallerPort == Pair.CallerPort &&
               (Each.Target.empty() || Each.Target == Pair.Target) &&
               Each.From <= Until && Each.Until >= From;
      });
}

/// Whether the caller received this response of the target, and it says that
/// the target leaves.
bool passedOnLeaving(const sent_arrival &Each) {
  return Each.Arrival->SaysLeaving && Each.Arrival->RespondedAt &&
         Each.Sent->Status != 0 && Each.Sent->Target == Each.Arrival->Target &&
         *Each.Arrival->RespondedAt <= Each.Sent->ReceivedAt;
}

/// Returns the last time before \p Limit at which the VM of \p Group had passed
/// on that the process leaves.
std::optional<run_time> lastPassedOn(std::span<const sent_arrival> Group,
                                     run_time Limit) {
  std::optional<run_time> Last;
  for (const sent_arrival &Each : Group)
    if (passedOnLeaving(Each) && Each.Sent->ReceivedAt < Limit)
      Last = std::max(Last, std::optional(Each.Sent->ReceivedAt));
  return Last;
}

std::string describe(const vm_and_process &Pair) {
  return "VM at port " + std::to_string(Pair.CallerPort) + ", target " +
         Pair.Target + ", process " + std::to_string(Pair.Process);
}

std::string milliseconds(run_time::duration Time) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(Time)
                 .count()) +
         " ms";
}

std::size_t countArrivals(std::span<const sent_arrival> Group, run_time From,
                          run_time Until) {
  return static_cast<std::size_t>(
      std::ranges::count_if(Group, [&](const sent_arrival &Each) {
        return Each.Arrival->ArrivedAt >= From &&
               Each.Arrival->ArrivedAt < Until;
      }));
}

std::optional<violation> findLateRequest(const run_records &Records,
                                         const vm_and_process &Pair,
                                         std::span<const sent_arrival> Group) {
  std::size_t Count = 0;
  std::string First;
  for (const sent_arrival &Each : Group) {
    const auto PassedOn = lastPassedOn(Group, Each.Sent->SentAt - DrainTime);
    if (!PassedOn ||
        wasStopped(Records, Pair, *PassedOn, Each.Arrival->ArrivedAt))
      continue;
    if (++Count == 1)
      First = Each.Arrival->RequestId + " was sent " +
              milliseconds(Each.Sent->SentAt - *PassedOn) +
              " after word of leaving";
  }
  if (Count == 0)
    return std::nullopt;
  return violation{violation_kind::RequestAfterLeaving,
                   describe(Pair) + ": " + First + ", " +
                       std::to_string(Count) + " such requests"};
}

std::optional<violation> findBrokenPause(const run_records &Records,
                                         const vm_and_process &Pair,
                                         std::span<const sent_arrival> Group) {
  for (const sent_arrival &Each : Group) {
    const auto &RespondedAt = Each.Arrival->RespondedAt;
    if (!RespondedAt || Each.Arrival->Pause <= PauseTolerance)
      continue;
    const run_time End = *RespondedAt + Each.Arrival->Pause;
    const std::size_t Count =
        countArrivals(Group, *RespondedAt + PauseTolerance, End);
    if (Count > MaxArrivalsInPause &&
        !wasStopped(Records, Pair, *RespondedAt, End) &&
        !wasCutOff(Records, Pair, *RespondedAt, End))
      return violation{violation_kind::RequestsInPause,
                       describe(Pair) + ": " + std::to_string(Count) +
                           " requests in the pause of " +
                           milliseconds(Each.Arrival->Pause) +
                           " that the response to " + Each.Arrival->RequestId +
                           " asked for"};
  }
  return std::nullopt;
}

} // namespace

std::vector<violation> checkLeavingTargets(const run_records &Records) {
  std::vector<violation> Found;
  for (const auto &[Pair, Group] : groupArrivals(Records))
    if (auto Late = findLateRequest(Records, Pair, Group))
      Found.push_back(std::move(*Late));
  return Found;
}

std::vector<violation> checkPauses(const run_records &Records) {
  std::vector<violation> Found;
  for (const auto &[Pair, Group] : groupArrivals(Records))
    if (auto Broken = findBrokenPause(Records, Pair, Group))
      Found.push_back(std::move(*Broken));
  return Found;
}

std::size_t countLeavingResponses(const run_records &Records) {
  std::size_t Count = 0;
  for (const auto &[Pair, Group] : groupArrivals(Records))
    Count +=
        static_cast<std::size_t>(std::ranges::count_if(Group, passedOnLeaving));
  return Count;
}

std::size_t countPauses(const run_records &Records) {
  return static_cast<std::size_t>(
      std::ranges::count_if(Records.Arrivals, [](const arrival_record &Each) {
        return Each.RespondedAt && Each.Pause > PauseTolerance;
      }));
}

} // namespace peridot::test
