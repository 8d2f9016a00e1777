/// \file
/// Command-line tool for operators of a peridotport fleet.

#include <array>

#include "commands.h"

namespace {

struct command_entry {
  std::string_view Name;
  peridot::exit_code (*Run)(const peridot::command_line &);
};

constexpr std::array Commands = {
    command_entry{"check", peridot::runCheck},
    command_entry{"publish", peridot::runPublish},
    command_entry{"keys", peridot::runKeys},
    command_entry{"status", peridot::runStatus},
    command_entry{"explain", peridot::runExplain},
    command_entry{"burn", peridot::runBurn},
    command_entry{"drain", peridot::runDrain},
};

peridot::exit_code run(const peridot::command_line &Line) {
  for (const command_entry &Entry : Commands)
    if (Entry.Name == Line.Command)
      return Entry.Run(Line);
  return peridot::reportError({peridot::error_kind::InvalidInput,
                               "command '" + Line.Command + "' is unknown",
                               "see peridotctl --help"});
}

} // namespace

int main(int Argc, char **Argv) {
  const auto Line = peridot::readCommandLine(Argc, Argv);
  return static_cast<int>(Line ? run(*Line)
                               : peridot::reportError(Line.error()));
}
