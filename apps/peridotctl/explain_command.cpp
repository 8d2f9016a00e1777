#include <algorithm>
#include <array>
#include <iostream>

#include <boost/json.hpp>

#include "commands.h"
#include "fleet_session.h"
#include "protocol/http/request_target.h"
#include "protocol/operator_documents/operator_documents.h"

namespace peridot {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 7> Kinds = {
    "target",  "account",       "vm",         "shard",
    "service", "configuration", "data-center"};

/// Merges the journals of all VMs in order of time.
std::vector<journal_entry>
mergeJournals(std::span<const vm_response> Responses) {
  std::vector<journal_entry> Timeline;
  for (const vm_response &Response : Responses) {
    if (!Response.Result)
      continue;
    auto Entries = decodeJournal(Response.Result->Body);
    if (Entries)
      Timeline.insert(Timeline.end(), Entries->begin(), Entries->end());
  }
  std::ranges::stable_sort(Timeline, {}, &journal_entry::At);
  return Timeline;
}

void printTimeline(std::span<const journal_entry> Timeline) {
  for (const journal_entry &Entry : Timeline) {
    std::cout << formatTime(Entry.At) << ' ' << Entry.Vm << ' '
              << Entry.Decision << ' ' << Entry.Subject << ' ' << Entry.Name
              << "\n    cause: " << Entry.Cause << '\n';
    if (!Entry.Evidence.empty())
      std::cout << "    evidence: " << Entry.Evidence << '\n';
    std::cout << "    rule: " << Entry.Rule << '\n';
  }
}

void printJson(std::span<const journal_entry> Timeline,
               std::span<const vm_response> Responses) {
  json::array UnreachedNames;
  for (const std::string &Name : unreachedVms(Responses))
    UnreachedNames.push_back(json::value(Name));
  std::cout << json::serialize(
                   json::value{{"story", json::parse(encodeJournal(Timeline))},
                               {"unreached", std::move(UnreachedNames)}})
            << '\n';
}

} // namespace

exit_code runExplain(const command_line &Line) {
  if (!Line.Operands.empty() && Line.Operands[0] == "request")
    return explainRequest(Line);
  if (Line.Operands.size() != 2 ||
      std::ranges::find(Kinds, Line.Operands[0]) == Kinds.end())
    return reportError({error_kind::InvalidInput,
                        "explain needs a known kind and a name",
                        "usage: peridotctl explain "
                        "target|account|vm|shard|service|configuration NAME"});
  const request_target Journal = request_target("/journal")
                                     .addParameter("kind", Line.Operands[0])
                                     .addParameter("name", Line.Operands[1]);
  const auto Responses =
      queryFleet(Line.Options, {.Method = "GET", .Path = Journal.text()});
  if (!Responses)
    return reportError(Responses.error());
  const std::vector<journal_entry> Timeline = mergeJournals(*Responses);
  if (Line.Options.Json)
    printJson(Timeline, *Responses);
  else
    printTimeline(Timeline);
  warnUnreached(*Responses);
  if (exitCodeOf(*Responses) != exit_code::Success)
    return exitCodeOf(*Responses);
  return Timeline.empty() ? exit_code::Failed : exit_code::Success;
}

} // namespace peridot
