#include "environment_flags.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>

#include <gflags/gflags.h>

namespace peridot {

namespace {

std::string environmentVariableOf(const std::string &Flag) {
  std::string Variable = "PERIDOT_" + Flag;
  std::ranges::transform(Variable, Variable.begin(),
                         [](unsigned char Character) {
                           return static_cast<char>(std::toupper(Character));
                         });
  return Variable;
}

} // namespace

std::vector<std::string> readEnvironmentFlags(const std::string &SourceFile) {
  std::vector<std::string> Errors;
  std::vector<gflags::CommandLineFlagInfo> Flags;
  gflags::GetAllFlags(&Flags);
  for (const gflags::CommandLineFlagInfo &Flag : Flags) {
    if (Flag.filename.find(SourceFile) == std::string::npos)
      continue;
    const std::string Variable = environmentVariableOf(Flag.name);
    const char *Value = std::getenv(Variable.c_str());
    if (Value && gflags::SetCommandLineOption(Flag.name.c_str(), Value).empty())
      Errors.push_back("environment variable " + Variable +
                       " does not hold a value of type " + Flag.type +
                       "; correct or unset it");
  }
  return Errors;
}

} // namespace peridot
