#include "stand_ins/target/target_behaviour.h"

#include <boost/json.hpp>

#include "stand_ins/http_server.h"

namespace peridot::stand_in {

namespace {

std::int64_t number(std::string_view Target, std::string_view Name,
                    std::string_view Default) {
  return std::stoll(queryValue(Target, Name, Default));
}

} // namespace

target_behaviour parseBehaviour(std::string_view Target) {
  target_behaviour Behaviour;
  Behaviour.Delay = std::chrono::milliseconds(number(Target, "delay_ms", "0"));
  Behaviour.FailPercent =
      static_cast<unsigned>(number(Target, "fail_percent", "0"));
  Behaviour.SlowPercent =
      static_cast<unsigned>(number(Target, "slow_percent", "0"));
  Behaviour.SlowDelay =
      std::chrono::milliseconds(number(Target, "slow_ms", "0"));
  Behaviour.SilentPercent =
      static_cast<unsigned>(number(Target, "silent_percent", "0"));
  Behaviour.DropPercent =
      static_cast<unsigned>(number(Target, "drop_percent", "0"));
  Behaviour.TruncateAt = number(Target, "truncate_at", "-1");
  Behaviour.Shed = queryValue(Target, "shed", "0") == "1";
  Behaviour.Draining = queryValue(Target, "draining", "0") == "1";
  Behaviour.AnswerBytes =
      static_cast<std::size_t>(number(Target, "answer_bytes", "0"));
  return Behaviour;
}

std::string encodeExecutions(const std::vector<execution> &Executions) {
  boost::json::array Rows;
  for (const execution &Each : Executions)
    Rows.push_back({{"request_id", Each.RequestId},
                    {"account", Each.Account},
                    {"saw_key", Each.SawKey}});
  return boost::json::serialize(Rows);
}

} // namespace peridot::stand_in
