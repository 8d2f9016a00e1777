#include <iostream>

#include <boost/json.hpp>

#include "commands.h"
#include "service_folder.h"

namespace peridot {

namespace json = boost::json;

namespace {

void printFaults(const file_faults &Faults, bool Json) {
  if (!Json) {
    for (const file_fault &Fault : Faults)
      std::cout << Fault.text() << '\n';
    return;
  }
  json::array Rows;
  for (const file_fault &Fault : Faults)
    Rows.push_back({{"file", Fault.File},
                    {"line", Fault.Line},
                    {"column", Fault.Column},
                    {"message", Fault.Message},
                    {"remedy", Fault.Remedy}});
  std::cout << json::serialize(json::value{{"faults", std::move(Rows)}})
            << '\n';
}

} // namespace

exit_code runCheck(const command_line &Line) {
  if (Line.Operands.size() != 1)
    return reportError({error_kind::InvalidInput,
                        "check needs exactly one folder",
                        "usage: peridotctl check DIR"});
  const auto Folder = readServiceFolder(Line.Operands.front());
  if (!Folder)
    return reportError(Folder.error());
  printFaults(Folder->Faults, Line.Options.Json);
  if (!Folder->Faults.empty())
    return exit_code::BadUsage;
  if (const auto Configuration = assemble(revision{1}, Folder->Documents);
      !Configuration)
    return reportError(Configuration.error());
  return exit_code::Success;
}

} // namespace peridot
