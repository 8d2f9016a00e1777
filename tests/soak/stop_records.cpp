#include "soak/stop_records.h"

#include <algorithm>
#include <array>
#include <iostream>

#include <boost/json.hpp>

namespace peridot::test {

namespace json = boost::json;

namespace {

using std::chrono::milliseconds;

/// Length of the parts of a stop for which outcomes are counted.
constexpr milliseconds PartLength{500};
constexpr std::array<std::string_view, 3> LossClassNames = {
    "executed", "not executed, late", "not executed, crossed"};

std::string_view nameOf(loss_class Class) {
  return LossClassNames[static_cast<std::size_t>(Class)];
}

std::int64_t millisecondsBetween(run_time From, run_time To) {
  return std::chrono::duration_cast<milliseconds>(To - From).count();
}

/// Returns a field's value as text; empty if \p Object lacks it.
std::string fieldText(const json::object &Object, std::string_view Name) {
  const json::value *Found = Object.if_contains(Name);
  if (!Found)
    return "";
  return Found->is_string() ? std::string(Found->get_string())
                            : json::serialize(*Found);
}

/// Whether a response with \p Status says that no target ran the request.
bool isRefusal(unsigned Status) { return Status == 429 || Status == 503; }

bool isSentDuring(const vm_stop &Stop, const sent_request &Request) {
  return Request.LastByteAt >= Stop.SignalledAt &&
         Request.LastByteAt <= Stop.GoneAt;
}

} // namespace

loss_class classOf(const sent_request &Lost, bool IsExecuted) {
  if (IsExecuted)
    return loss_class::Executed;
  return Lost.EndedAt - Lost.LastByteAt > LossSlack ? loss_class::Late
                                                    : loss_class::Crossed;
}

void stop_records::addRequest(sent_request Request) {
  const std::lock_guard Lock(Mutex);
  Requests.push_back(std::move(Request));
}

void stop_records::addStop(const vm_stop &Stop,
                           std::span<const std::string> Lines) {
  const std::lock_guard Lock(Mutex);
  Stops.push_back(Stop);
  for (const std::string &Line : Lines)
    if (Line.find("request-unanswered") != std::string::npos ||
        Line.find("shutdown-finished") != std::string::npos)
      readLine(Line);
}

void stop_records::readLine(const std::string &Line) {
  boost::system::error_code Error;
  const json::value Parsed = json::parse(Line, Error);
  if (Error || !Parsed.is_object())
    return;
  const json::object &Fields = Parsed.get_object();
  const std::string Cause = fieldText(Fields, "cause");
  if (Fields.contains("took_ms")) {
    ShutdownTimes[Cause].push_back(
        Fields.at("took_ms").to_number<std::int64_t>());
    return;
  }
  const std::string Step = fieldText(Fields, "step");
  ++UnansweredSteps[Cause + " in step " + Step];
  UnansweredLines[fieldText(Fields, "request")] =
      Cause + ", step " + Step + " for " + fieldText(Fields, "step_ms") +
      " ms, age " + fieldText(Fields, "age_ms") + " ms, stopping for " +
      fieldText(Fields, "stopping_ms") + " ms, target_asked " +
      fieldText(Fields, "target_asked");
}

bool stop_records::report(const std::set<std::string> &Executed) const {
  const std::lock_guard Lock(Mutex);
  const bool HasLosses = reportLosses(Executed);
  const bool HasFalseRefusals = reportRefusedButExecuted(Executed);
  printStops();
  printOutcomes(Executed);
  printHeldRefusals();
  const bool HasKilled = std::ranges::any_of(Stops, &vm_stop::WasKilled);
  return !HasLosses && !HasFalseRefusals && !HasKilled;
}

std::optional<vm_stop> stop_records::stopOf(const sent_request &Request) const {
  std::optional<vm_stop> Found;
  for (const vm_stop &Stop : Stops)
    if (Stop.Vm == Request.Vm && Stop.SignalledAt <= Request.EndedAt &&
        (!Found || Stop.SignalledAt > Found->SignalledAt))
      Found = Stop;
  return Found;
}

bool stop_records::reportLosses(const std::set<std::string> &Executed) const {
  std::array<int, LossClassNames.size()> Counts{};
  int Excused = 0;
  for (const sent_request &Request : Requests) {
    if (Request.Status != 0)
      continue;
    const loss_class Class = classOf(Request, Executed.contains(Request.Id));
    ++Counts[static_cast<std::size_t>(Class)];
    // A request that its VM names was read.
    const bool WasRead = UnansweredLines.contains(Request.Id);
    Excused += Class == loss_class::Crossed && Request.MayCrossClose && !WasRead
                   ? 1
                   : 0;
    printLoss(Request, nameOf(Class));
  }
  int Total = 0;
  for (std::size_t Class = 0; Class < Counts.size(); ++Class) {
    std::cout << "  " << LossClassNames[Class] << ": " << Counts[Class] << '\n';
    Total += Counts[Class];
  }
  std::cout << "  of these crossed the close of an idle connection: " << Excused
            << '\n';
  return Total > Excused;
}

void stop_records::printLoss(const sent_request &Lost,
                             std::string_view Class) const {
  std::cout << "  LOST " << Lost.Id << " of " << Lost.Account << ", " << Class
            << "; ";
  if (const auto Stop = stopOf(Lost))
    std::cout << "last byte "
              << millisecondsBetween(Stop->SignalledAt, Lost.LastByteAt)
              << " ms after SIGTERM, closed "
              << millisecondsBetween(Stop->SignalledAt, Lost.EndedAt)
              << " ms after SIGTERM; ";
  else
    std::cout << "before the first stop; ";
  const auto Line = UnansweredLines.find(Lost.Id);
  std::cout << Lost.Error << "; "
            << (Line == UnansweredLines.end() ? "no log line" : Line->second)
            << '\n';
}

bool stop_records::reportRefusedButExecuted(
    const std::set<std::string> &Executed) const {
  bool HasAny = false;
  for (const sent_request &Request : Requests) {
    if (!isRefusal(Request.Status) || !Executed.contains(Request.Id))
      continue;
    HasAny = true;
    std::cout << "  REFUSED BUT EXECUTED " << Request.Id << ", status "
              << Request.Status << '\n';
  }
  return HasAny;
}

void stop_records::printStops() const {
  for (const auto &[Cause, Times] : ShutdownTimes)
    std::cout << "  shutdown-finished " << Cause << ": " << Times.size()
              << ", after " << std::ranges::min(Times) << " to "
              << std::ranges::max(Times) << " ms\n";
  for (const auto &[Step, Count] : UnansweredSteps)
    std::cout << "  request-unanswered " << Step << ": " << Count << '\n';
}

void stop_records::printOutcomes(const std::set<std::string> &Executed) const {
  std::map<std::int64_t, outcome_counts> Parts;
  std::map<std::string, outcome_counts> Accounts;
  for (const sent_request &Request : Requests) {
    const auto Stop = stopOf(Request);
    if (!Stop || !isSentDuring(*Stop, Request))
      continue;
    const std::string Outcome =
        Request.Status != 0
            ? std::to_string(Request.Status)
            : std::string(
                  nameOf(classOf(Request, Executed.contains(Request.Id))));
    const auto Part =
        millisecondsBetween(Stop->SignalledAt, Request.LastByteAt) /
        PartLength.count();
    ++Parts[Part][Outcome];
    ++Accounts[Request.Account][Outcome];
  }
  const auto Print = [](const outcome_counts &Counts) {
    for (const auto &[Outcome, Count] : Counts)
      std::cout << "  [" << Outcome << "] " << Count;
    std::cout << '\n';
  };
  std::cout << "  sent to stopping VMs:\n";
  for (const auto &[Account, Counts] : Accounts) {
    std::cout << "    by " << Account << ":";
    Print(Counts);
  }
  for (const auto &[Part, Counts] : Parts) {
    std::cout << "    from " << Part * PartLength.count() << " ms:";
    Print(Counts);
  }
}

void stop_records::printHeldRefusals() const {
  std::map<unsigned, std::vector<std::int64_t>> Held;
  for (const sent_request &Request : Requests) {
    const auto Stop = stopOf(Request);
    if (isRefusal(Request.Status) && Stop && isSentDuring(*Stop, Request))
      Held[Request.Status].push_back(
          millisecondsBetween(Request.LastByteAt, Request.EndedAt));
  }
  for (auto &[Status, Times] : Held) {
    std::ranges::sort(Times);
    std::cout << "  refusals " << Status << " of stopping VMs: " << Times.size()
              << ", held for " << Times[Times.size() / 2] << " ms (p50), "
              << Times.back() << " ms (max)\n";
  }
}

} // namespace peridot::test
