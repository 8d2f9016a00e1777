#include <fstream>
#include <iostream>

#include "commands.h"
#include "protocol/operator_documents/operator_documents.h"
#include "request_story.h"

namespace peridot {

namespace {

/// Adds the events of a log; "-" is the standard input.
result<void> readLog(const std::string &File, std::vector<log_line> &Lines) {
  std::ifstream Opened;
  if (File != "-")
    Opened.open(File);
  if (!Opened)
    return fail(error_kind::InvalidInput, "cannot read the log " + File,
                "name log files of the VMs, or - for the standard input");
  std::istream &Input = File == "-" ? std::cin : Opened;
  for (std::string Text; std::getline(Input, Text);)
    if (auto Line = decodeLogLine(Text))
      Lines.push_back(*std::move(Line));
  return {};
}

void print(const log_line &Line) {
  std::cout << timeText(Line.At) << ' ' << Line.Vm << ' ' << Line.Event << '\n';
  for (const auto &[Key, Value] : Line.Fields)
    if (Key != "level" && Key != "request" && !Value.empty())
      std::cout << "    " << Key << ": " << Value << '\n';
}

void print(const request_story &Story) {
  for (const log_line &Each : Story.Own)
    print(Each);
  for (const auto &[Target, Ends] : Story.AtTargets) {
    std::cout << "logged attempts of other requests at " << Target
              << " within 2 s:" << (Ends.empty() ? " none" : "");
    for (const auto &[End, Count] : Ends)
      std::cout << ' ' << Count << ' ' << End;
    std::cout << '\n';
  }
  std::cout << (Story.Own.empty()
                    ? "no line has this request: it reached no VM that lived "
                      "on, or went well. Starts and stops:\n"
                    : "before, at the same VMs:\n");
  for (const log_line &Each : Story.Before)
    if (Story.Own.empty())
      std::cout << timeText(Each.At) << ' ' << Each.Vm << ' ' << Each.Event
                << '\n';
    else
      print(Each);
}

} // namespace

exit_code explainRequest(const command_line &Line) {
  if (Line.Operands.size() < 3)
    return reportError({error_kind::InvalidInput,
                        "explain request needs an id and logs",
                        "write: peridotctl explain request ID FILE..."});
  std::vector<log_line> Lines;
  for (std::size_t Index = 2; Index < Line.Operands.size(); ++Index)
    if (const auto Read = readLog(Line.Operands[Index], Lines); !Read)
      return reportError(Read.error());
  const request_story Story = tellRequest(Lines, Line.Operands[1]);
  print(Story);
  return Story.Own.empty() ? exit_code::Failed : exit_code::Success;
}

} // namespace peridot
