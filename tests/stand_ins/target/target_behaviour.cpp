#include "stand_ins/target/target_behaviour.h"

#include <algorithm>
#include <cstdlib>

#include <boost/json.hpp>

#include "stand_ins/http_server.h"

namespace peridot::stand_in {

namespace {

std::int64_t queryNumber(std::string_view Target, std::string_view Name,
                         std::string_view Default) {
  return std::stoll(queryValue(Target, Name, Default));
}

} // namespace

target_behaviour parseBehaviour(std::string_view Target) {
  target_behaviour Behaviour;
  Behaviour.Delay =
      std::chrono::milliseconds(queryNumber(Target, "delay_ms", "0"));
  Behaviour.FailPercent =
      static_cast<unsigned>(queryNumber(Target, "fail_percent", "0"));
  Behaviour.SlowPercent =
      static_cast<unsigned>(queryNumber(Target, "slow_percent", "0"));
  Behaviour.SlowDelay =
      std::chrono::milliseconds(queryNumber(Target, "slow_ms", "0"));
  Behaviour.SilentPercent =
      static_cast<unsigned>(queryNumber(Target, "silent_percent", "0"));
  Behaviour.DropPercent =
      static_cast<unsigned>(queryNumber(Target, "drop_percent", "0"));
  Behaviour.TruncateAt = queryNumber(Target, "truncate_at", "-1");
  Behaviour.IsShedding = queryValue(Target, "shed", "0") == "1";
  Behaviour.RetryAfter = queryValue(Target, "retry_after", "");
  Behaviour.IsDraining = queryValue(Target, "draining", "0") == "1";
  Behaviour.ResponseBytes =
      static_cast<std::size_t>(queryNumber(Target, "answer_bytes", "0"));
  return Behaviour;
}

target_announcements parseAnnouncements(std::string_view Target) {
  return {.Process = static_cast<int>(queryNumber(Target, "process", "1")),
          .IsLeaving = queryValue(Target, "leaving", "0") == "1",
          .RetryAfter = queryValue(Target, "retry_after", "")};
}

void pause_monitor::recordArrival(clock::time_point Now) {
  for (pause &Each : Pauses)
    if (Now >= Each.From && Now < Each.Until)
      ++Each.Arrivals;
}

void pause_monitor::recordResponse(clock::time_point Now,
                                   const std::string &RetryAfter) {
  constexpr std::chrono::milliseconds Tolerance{500};
  const std::chrono::duration<double> Seconds(std::atof(RetryAfter.c_str()));
  if (Seconds > Tolerance)
    Pauses.push_back(
        {.From = Now + Tolerance,
         .Until = Now + std::chrono::duration_cast<clock::duration>(Seconds)});
}

std::size_t pause_monitor::maxArrivals() const {
  std::size_t Max = 0;
  for (const pause &Each : Pauses)
    Max = std::max(Max, Each.Arrivals);
  return Max;
}

std::string encodeExecutions(const std::vector<execution> &Executions) {
  boost::json::array Rows;
  for (const execution &Each : Executions)
    Rows.push_back({{"request_id", Each.RequestId},
                    {"account", Each.Account},
                    {"saw_key", Each.HadKey}});
  return boost::json::serialize(Rows);
}

} // namespace peridot::stand_in
