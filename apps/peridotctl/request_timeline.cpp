#include "request_timeline.h"

#include <algorithm>
#include <array>
#include <set>

namespace peridot {

namespace {

/// Maximum time between an attempt of the request and the attempts of other
/// requests that are counted.
constexpr std::chrono::seconds TargetWindow{2};
/// Time before the request from which lines of its VMs are shown.
constexpr std::chrono::seconds PrecedingWindow{10};
/// Maximum number of preceding lines shown for each VM; the latest are kept.
constexpr std::size_t MaxPrecedingLines = 8;

/// Events that show when a VM started, stopped or was stalled.
constexpr std::array<std::string_view, 4> LifecycleEvents = {
    "listening", "stop-asked", "shutdown-finished", "stood-still"};
/// Event that is not shown, because it is too frequent to be evidence about one
/// request.
constexpr std::string_view IgnoredEvent = "targets-changed";

void sortByTime(std::vector<log_line> &Lines) {
  std::ranges::stable_sort(Lines, {}, &log_line::At);
}

/// Counts the outcomes of other requests' attempts at the request's targets.
void countOtherAttempts(std::span<const log_line> Lines,
                        request_timeline &Timeline) {
  for (const log_line &RequestLine : Timeline.RequestLines) {
    if (RequestLine.field("target").empty())
      continue;
    auto &Outcomes =
        Timeline
            .OtherAttemptsByTarget[std::string(RequestLine.field("target"))];
    for (const log_line &Line : Lines)
      if (Line.field("target") == RequestLine.field("target") &&
          Line.field("request") != RequestLine.field("request") &&
          std::chrono::abs(Line.At - RequestLine.At) <= TargetWindow)
        ++Outcomes[std::string(Line.field("end"))];
  }
}

/// Adds the lines without a request id that \p Vm logged before the request.
void addPrecedingLines(std::span<const log_line> Lines, const std::string &Vm,
                       request_timeline &Timeline) {
  const auto RequestStart = Timeline.RequestLines.front().At;
  std::vector<log_line> Preceding;
  for (const log_line &Line : Lines)
    if (Line.Vm == Vm && Line.field("request").empty() &&
        Line.Event != IgnoredEvent && Line.At <= RequestStart &&
        RequestStart - Line.At <= PrecedingWindow)
      Preceding.push_back(Line);
  sortByTime(Preceding);
  const std::size_t OmittedCount =
      Preceding.size() - std::min(Preceding.size(), MaxPrecedingLines);
  Timeline.PrecedingLines.insert(Timeline.PrecedingLines.end(),
                                 Preceding.begin() +
                                     static_cast<std::ptrdiff_t>(OmittedCount),
                                 Preceding.end());
}

void addLifecycleLines(std::span<const log_line> Lines,
                       request_timeline &Timeline) {
  for (const log_line &Line : Lines)
    if (std::ranges::find(LifecycleEvents, Line.Event) != LifecycleEvents.end())
      Timeline.PrecedingLines.push_back(Line);
}

} // namespace

request_timeline buildRequestTimeline(std::span<const log_line> Lines,
                                      std::string_view Request) {
  request_timeline Timeline;
  std::set<std::string> Vms;
  for (const log_line &Line : Lines)
    if (Line.field("request") == Request) {
      Timeline.RequestLines.push_back(Line);
      Vms.insert(Line.Vm);
    }
  sortByTime(Timeline.RequestLines);
  countOtherAttempts(Lines, Timeline);
  for (const std::string &Vm : Vms)
    addPrecedingLines(Lines, Vm, Timeline);
  if (Timeline.RequestLines.empty())
    addLifecycleLines(Lines, Timeline);
  sortByTime(Timeline.PrecedingLines);
  return Timeline;
}

} // namespace peridot
