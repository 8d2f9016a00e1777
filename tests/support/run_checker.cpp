#include "support/run_checker.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <span>

#include <boost/json.hpp>

#include "support/target_rules.h"

namespace peridot::test {

namespace {

using run_counts = std::map<std::string, unsigned>;

run_counts countRuns(std::span<const execution_record> Executions) {
  run_counts Counts;
  for (const execution_record &Execution : Executions)
    ++Counts[Execution.RequestId];
  return Counts;
}

void checkOutcomes(const run_records &Records, const run_counts &Runs,
                   std::vector<violation> &Found) {
  for (const response_record &Response : Records.Responses) {
    const auto Ran = Runs.find(Response.RequestId);
    const unsigned Times = Ran == Runs.end() ? 0 : Ran->second;
    if (Response.Outcome == "not-run" && Times > 0)
      Found.push_back({violation_kind::NotRunButRan, Response.RequestId});
    if (!Response.IsRepeatable && Times > 1)
      Found.push_back({violation_kind::RanTwice, Response.RequestId});
  }
}

void checkResponses(const run_records &Records, std::vector<violation> &Found) {
  for (const response_record &Response : Records.Responses) {
    if (Response.Status != 200)
      continue;
    if (Response.EchoedRequestId != Response.RequestId ||
        Response.ReceivedBody != Response.SentBody)
      Found.push_back({violation_kind::WrongResponse,
                       Response.RequestId + " got the response of '" +
                           Response.EchoedRequestId + "'"});
  }
}

void checkKeys(const run_records &Records, std::vector<violation> &Found) {
  for (const execution_record &Execution : Records.Executions)
    if (Execution.SawKey)
      Found.push_back({violation_kind::KeySeenByTarget, Execution.RequestId});
}

/// Requests that ran, and that were sent and got their response within a
/// window, were admitted within it. At most burst + rate * window of them may
/// exist.
void checkEnvelope(const run_records &Records, const run_counts &Runs,
                   const account_envelope &Envelope,
                   std::vector<violation> &Found) {
  std::vector<const response_record *> Ran;
  for (const response_record &Response : Records.Responses)
    if (Response.Account == Envelope.Account &&
        Runs.contains(Response.RequestId))
      Ran.push_back(&Response);
  std::ranges::sort(Ran, {}, &response_record::ReceivedAt);
  for (const response_record *First : Ran) {
    double Count = 0;
    for (const response_record *Each : Ran) {
      if (Each->SentAt < First->SentAt)
        continue;
      ++Count;
      const std::chrono::duration<double> Window =
          Each->ReceivedAt - First->SentAt;
      if (Envelope.MaxWindowSeconds > 0 &&
          Window.count() > Envelope.MaxWindowSeconds)
        break;
      if (Count >
          Envelope.Burst + Envelope.RequestsPerSecond * Window.count()) {
        Found.push_back({violation_kind::EnvelopeExceeded,
                         Envelope.Account + ": " + std::to_string(Count) +
                             " requests in " + std::to_string(Window.count()) +
                             " s"});
        return;
      }
    }
  }
}

} // namespace

std::vector<violation> checkRun(const run_records &Records) {
  std::vector<violation> Found;
  const run_counts Runs = countRuns(Records.Executions);
  checkOutcomes(Records, Runs, Found);
  checkResponses(Records, Found);
  checkKeys(Records, Found);
  for (const account_envelope &Envelope : Records.Envelopes)
    checkEnvelope(Records, Runs, Envelope, Found);
  std::ranges::move(checkLeavingTargets(Records), std::back_inserter(Found));
  std::ranges::move(checkPauses(Records), std::back_inserter(Found));
  return Found;
}

std::vector<execution_record> parseExecutions(const std::string &Json) {
  std::vector<execution_record> Executions;
  const boost::json::value Rows = boost::json::parse(Json);
  for (const boost::json::value &Row : Rows.as_array())
    Executions.push_back(
        {.RequestId = std::string(Row.at("request_id").as_string()),
         .Account = std::string(Row.at("account").as_string()),
         .SawKey = Row.at("saw_key").as_bool()});
  return Executions;
}

std::vector<arrival_record> parseArrivals(const std::string &Json) {
  const auto TimeOf = [](const boost::json::value &Nanoseconds) {
    return run_time(std::chrono::nanoseconds(Nanoseconds.as_int64()));
  };
  std::vector<arrival_record> Arrivals;
  const boost::json::value Rows = boost::json::parse(Json);
  for (const boost::json::value &Row : Rows.as_array()) {
    const boost::json::value &RespondedAt = Row.at("responded_at");
    Arrivals.push_back(
        {.Target = std::string(Row.at("target").as_string()),
         .Process = Row.at("process").to_number<int>(),
         .RequestId = std::string(Row.at("request_id").as_string()),
         .ArrivedAt = TimeOf(Row.at("arrived_at")),
         .RespondedAt = RespondedAt.is_null()
                            ? std::nullopt
                            : std::optional(TimeOf(RespondedAt)),
         .SaysLeaving = Row.at("says_leaving").as_bool(),
         .Pause = std::chrono::milliseconds(Row.at("pause_ms").as_int64())});
  }
  return Arrivals;
}

} // namespace peridot::test
