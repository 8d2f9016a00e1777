#include <fstream>
#include <iostream>

#include "commands.h"
#include "protocol/operator_documents/operator_documents.h"
#include "request_timeline.h"

namespace peridot {

namespace {

/// Appends the events of log \p File to \p Lines; "-" is standard input.
result<void> readLog(const std::string &File, std::vector<log_line> &Lines) {
  std::ifstream LogFile;
  if (File != "-")
    LogFile.open(File);
  if (!LogFile)
    return fail(error_kind::InvalidInput, "cannot read log file " + File,
                "give readable log files of the VMs, or - for standard input");
  std::istream &Input = File == "-" ? std::cin : LogFile;
  for (std::string LineText; std::getline(Input, LineText);)
    if (auto Line = decodeLogLine(LineText))
      Lines.push_back(*std::move(Line));
  return {};
}

void print(const log_line &Line) {
  std::cout << formatTime(Line.At) << ' ' << Line.Vm << ' ' << Line.Event
            << '\n';
  for (const auto &[Key, Value] : Line.Fields)
    if (Key != "level" && Key != "request" && !Value.empty())
      std::cout << "    " << Key << ": " << Value << '\n';
}

void print(const request_timeline &Timeline) {
  for (const log_line &Line : Timeline.RequestLines)
    print(Line);
  for (const auto &[Target, Outcomes] : Timeline.OtherAttemptsByTarget) {
    std::cout << "logged attempts of other requests at " << Target
              << " within 2 s:" << (Outcomes.empty() ? " none" : "");
    for (const auto &[Outcome, Count] : Outcomes)
      std::cout << ' ' << Count << ' ' << Outcome;
    std::cout << '\n';
  }
  std::cout << (Timeline.RequestLines.empty()
                    ? "no line has this request: it succeeded, or reached no "
                      "VM that kept running. Starts and stops of VMs:\n"
                    : "earlier events of the same VMs:\n");
  for (const log_line &Line : Timeline.PrecedingLines)
    if (Timeline.RequestLines.empty())
      std::cout << formatTime(Line.At) << ' ' << Line.Vm << ' ' << Line.Event
                << '\n';
    else
      print(Line);
}

} // namespace

exit_code explainRequest(const command_line &Line) {
  if (Line.Operands.size() < 3)
    return reportError({error_kind::InvalidInput,
                        "explain request needs an id and log files",
                        "usage: peridotctl explain request ID FILE..."});
  std::vector<log_line> Lines;
  for (std::size_t Index = 2; Index < Line.Operands.size(); ++Index)
    if (const auto Read = readLog(Line.Operands[Index], Lines); !Read)
      return reportError(Read.error());
  const request_timeline Timeline =
      buildRequestTimeline(Lines, Line.Operands[1]);
  print(Timeline);
  return Timeline.RequestLines.empty() ? exit_code::Failed : exit_code::Success;
}

} // namespace peridot
