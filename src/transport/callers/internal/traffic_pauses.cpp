/// \file
/// Pauses that targets ask for; part of traffic_worker.
#include <boost/asio/post.hpp>

#include "transport/callers/traffic_worker.h"
#include "transport/logging/event_log.h"

namespace peridot {

void traffic_worker::applyPauseRequest(const target &Target,
                                       const target_report &Report,
                                       std::string_view RequestId) {
  if (!Report.Pause && !Report.HasUndecodablePause)
    return;
  const instant Now = bootNow();
  const auto Pause =
      Report.Pause ? makePause(Target, *Report.Pause, Now) : std::nullopt;
  if (!Pause) {
    logUnusablePause(Target, RequestId);
    return;
  }
  const pause_change Change = Pauses.accept(*Pause, Now, random());
  if (Change == pause_change::None)
    return;
  Hooks.SharePause(*Pause);
  if (Change == pause_change::Started)
    Metrics.getOrCreateCounter("peridot_targets_paused_total").add();
  const auto Length = std::chrono::duration_cast<std::chrono::milliseconds>(
      *Pauses.endOf(Target) - Now);
  logEvent(log_level::Info, "target-paused",
           {{"target", Target.Name.view()},
            {"started_at", Target.StartedAt},
            {"request", RequestId},
            {"asked_ms", std::int64_t{Report.Pause->count()}},
            {"until_in_ms", std::int64_t{Length.count()}},
            {"extends", Change == pause_change::Extended}});
}

void traffic_worker::logUnusablePause(const target &Target,
                                      std::string_view RequestId) {
  if (!LoggedUnusablePauses.insert(Target.Name).second)
    return;
  logEvent(log_level::Warning, "target-pause-ignored",
           {{"target", Target.Name.view()},
            {"request", RequestId},
            {"rule", "a pause is a positive number of seconds"}});
}

void traffic_worker::addPause(const target_pause &Pause) {
  boost::asio::post(Loop.context(), [this, Pause] {
    Pauses.accept(Pause, bootNow(), random());
  });
}

} // namespace peridot
