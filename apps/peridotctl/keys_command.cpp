#include <iostream>

#include "commands.h"
#include "state/base/hashing.h"

namespace peridot {

exit_code runKeys(const command_line &Line) {
  if (Line.Operands.size() == 1 && Line.Operands[0] == "digest") {
    std::string Key;
    std::getline(std::cin, Key);
    std::cout << digestOfKey(Key) << '\n';
    return exit_code::Success;
  }
  return reportError({error_kind::InvalidInput, "unknown keys command",
                      "see peridotctl --help"});
}

} // namespace peridot
