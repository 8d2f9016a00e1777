#include <algorithm>
#include <array>
#include <iostream>

#include <boost/json.hpp>

#include "commands.h"
#include "fleet_session.h"
#include "protocol/operator_documents/operator_documents.h"

namespace peridot {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 6> Kinds = {
    "target", "account", "vm", "shard", "service", "configuration"};

/// Entries of all journals in order of time.
std::vector<journal_entry> mergeJournals(std::span<const vm_answer> Answers) {
  std::vector<journal_entry> Story;
  for (const vm_answer &Answer : Answers) {
    if (!Answer.Answer)
      continue;
    auto Entries = decodeJournal(Answer.Answer->Body);
    if (Entries)
      Story.insert(Story.end(), Entries->begin(), Entries->end());
  }
  std::ranges::stable_sort(Story, {}, &journal_entry::At);
  return Story;
}

void printStory(std::span<const journal_entry> Story) {
  for (const journal_entry &Entry : Story) {
    std::cout << timeText(Entry.At) << ' ' << Entry.Vm << ' ' << Entry.Decision
              << ' ' << Entry.Subject << ' ' << Entry.Name
              << "\n    cause: " << Entry.Cause << '\n';
    if (!Entry.Evidence.empty())
      std::cout << "    evidence: " << Entry.Evidence << '\n';
    std::cout << "    rule: " << Entry.Rule << '\n';
  }
}

void printJson(std::span<const journal_entry> Story,
               std::span<const vm_answer> Answers) {
  json::array Missing;
  for (const std::string &Name : unreached(Answers))
    Missing.push_back(json::value(Name));
  std::cout << json::serialize(
                   json::value{{"story", json::parse(encodeJournal(Story))},
                               {"unreached", std::move(Missing)}})
            << '\n';
}

} // namespace

exit_code runExplain(const command_line &Line) {
  if (!Line.Operands.empty() && Line.Operands[0] == "request")
    return explainRequest(Line);
  if (Line.Operands.size() != 2 ||
      std::ranges::find(Kinds, Line.Operands[0]) == Kinds.end())
    return reportError(
        {error_kind::InvalidInput, "explain needs a kind and a name",
         "write: peridotctl explain target|account|vm|shard|service NAME"});
  const auto Answers =
      askFleet(Line.Options, {.Method = "GET",
                              .Path = "/journal?kind=" + Line.Operands[0] +
                                      "&name=" + Line.Operands[1]});
  if (!Answers)
    return reportError(Answers.error());
  const std::vector<journal_entry> Story = mergeJournals(*Answers);
  if (Line.Options.Json)
    printJson(Story, *Answers);
  else
    printStory(Story);
  warnUnreached(*Answers);
  if (exitCodeOf(*Answers) != exit_code::Success)
    return exitCodeOf(*Answers);
  return Story.empty() ? exit_code::Failed : exit_code::Success;
}

} // namespace peridot
