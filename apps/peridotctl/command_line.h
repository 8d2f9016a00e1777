/// \file
/// Command line of peridotctl and its exit codes.
#pragma once

#include <span>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "state/base/types/error.h"

namespace peridot {

/// Exit codes of peridotctl. Scripts depend on the values.
enum class exit_code {
  Success = 0,
  Failed = 1,      ///< The command ran with a negative result.
  BadUsage = 2,    ///< The command line or a file is invalid.
  Conflict = 3,    ///< A concurrent change took precedence.
  Unreachable = 4, ///< The platform or every node did not respond.
};

/// Values of the flags.
struct command_options {
  std::string Platform; ///< IP:PORT of the platform's service.
  std::string Node;     ///< IP:PORT of an operator port.
  std::string Author;
  std::string Reason;
  std::string PublishId;
  double Objective = 0; ///< Target share of successful requests, 0 to 1.
  bool Json = false;
};

/// Parsed command line: a command, its operands and the flags.
struct command_line {
  std::string Command;
  std::vector<std::string> Operands;
  command_options Options;
};

/// Reads the environment and the command line. Exits the process on --help or
/// an unknown flag.
result<command_line> readCommandLine(int Argc, char **Argv);

/// Parses \p Text as IP:PORT. Errors name \p Flag.
result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view Flag,
                                                     std::string_view Text);

/// Returns the exit code for \p Error.
exit_code exitCodeOf(const error &Error);

/// Prints \p Error to standard error and returns its exit code.
exit_code reportError(const error &Error);

} // namespace peridot
