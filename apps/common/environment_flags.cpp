#include "environment_flags.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>

#include <gflags/gflags.h>

namespace peridot {

namespace {

std::string variableOf(const std::string &Flag) {
  std::string Variable = "PERIDOT_" + Flag;
  std::ranges::transform(Variable, Variable.begin(), [](unsigned char Letter) {
    return static_cast<char>(std::toupper(Letter));
  });
  return Variable;
}

} // namespace

std::vector<std::string> readEnvironmentFlags(const std::string &SourceFile) {
  std::vector<std::string> Faults;
  std::vector<gflags::CommandLineFlagInfo> Flags;
  gflags::GetAllFlags(&Flags);
  for (const gflags::CommandLineFlagInfo &Flag : Flags) {
    if (Flag.filename.find(SourceFile) == std::string::npos)
      continue;
    const std::string Variable = variableOf(Flag.name);
    const char *Value = std::getenv(Variable.c_str());
    if (Value && gflags::SetCommandLineOption(Flag.name.c_str(), Value).empty())
      Faults.push_back("environment variable " + Variable +
                       " does not hold a value of type " + Flag.type +
                       "; correct or unset it");
  }
  return Faults;
}

} // namespace peridot
