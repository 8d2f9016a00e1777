#include "request_story.h"

#include <algorithm>
#include <array>
#include <set>

namespace peridot {

namespace {

constexpr std::chrono::seconds TargetSpan{2};
constexpr std::chrono::seconds BeforeSpan{10};
/// Lines of one VM that are shown from before the request.
constexpr std::size_t MostBefore = 8;

constexpr std::array<std::string_view, 4> StartsAndStops = {
    "listening", "stop-asked", "shutdown-finished", "stood-still"};
/// Too frequent to tell anything about one request.
constexpr std::string_view TargetsChanged = "targets-changed";

void sortByTime(std::vector<log_line> &Lines) {
  std::ranges::stable_sort(Lines, {}, &log_line::At);
}

void countAtTargets(std::span<const log_line> Lines, request_story &Story) {
  for (const log_line &Own : Story.Own) {
    if (Own.field("target").empty())
      continue;
    auto &Ends = Story.AtTargets[std::string(Own.field("target"))];
    for (const log_line &Each : Lines)
      if (Each.field("target") == Own.field("target") &&
          Each.field("request") != Own.field("request") &&
          std::chrono::abs(Each.At - Own.At) <= TargetSpan)
        ++Ends[std::string(Each.field("end"))];
  }
}

void addBefore(std::span<const log_line> Lines, const std::string &Vm,
               request_story &Story) {
  const auto Last = Story.Own.front().At;
  std::vector<log_line> Found;
  for (const log_line &Each : Lines)
    if (Each.Vm == Vm && Each.field("request").empty() &&
        Each.Event != TargetsChanged && Each.At <= Last &&
        Last - Each.At <= BeforeSpan)
      Found.push_back(Each);
  sortByTime(Found);
  const std::size_t LeftOut = Found.size() - std::min(Found.size(), MostBefore);
  Story.Before.insert(Story.Before.end(),
                      Found.begin() + static_cast<std::ptrdiff_t>(LeftOut),
                      Found.end());
}

void addStartsAndStops(std::span<const log_line> Lines, request_story &Story) {
  for (const log_line &Each : Lines)
    if (std::ranges::find(StartsAndStops, Each.Event) != StartsAndStops.end())
      Story.Before.push_back(Each);
}

} // namespace

request_story tellRequest(std::span<const log_line> Lines,
                          std::string_view Request) {
  request_story Story;
  std::set<std::string> Vms;
  for (const log_line &Each : Lines)
    if (Each.field("request") == Request) {
      Story.Own.push_back(Each);
      Vms.insert(Each.Vm);
    }
  sortByTime(Story.Own);
  countAtTargets(Lines, Story);
  for (const std::string &Vm : Vms)
    addBefore(Lines, Vm, Story);
  if (Story.Own.empty())
    addStartsAndStops(Lines, Story);
  sortByTime(Story.Before);
  return Story;
}

} // namespace peridot
