/// \file
/// Flags and exit codes that all commands share.
#pragma once

#include <span>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "state/base/types/error.h"

namespace peridot {

/// Exit codes of peridotctl; stable, for scripts.
enum class exit_code {
  Success = 0,
  Failed = 1,      ///< The command ran and the answer is negative.
  BadUsage = 2,    ///< The command line or a file is wrong.
  Conflict = 3,    ///< Someone else changed the same thing first.
  Unreachable = 4, ///< The platform or a node did not answer.
};

/// Values of the flags.
struct command_options {
  std::string Platform; ///< IP:PORT
  std::string Node;     ///< IP:PORT of an operators' port.
  std::string Author;
  std::string Reason;
  std::string PublishId;
  double Objective = 0; ///< Share of requests that must end well.
  bool Json = false;
};

/// What was typed: a command, its operands and the flags.
struct command_line {
  std::string Command;
  std::vector<std::string> Operands;
  command_options Options;
};

/// Reads environment and command line; exits on --help or an unknown flag.
result<command_line> readCommandLine(int Argc, char **Argv);

/// Parses IP:PORT.
result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view Flag,
                                                     std::string_view Text);

exit_code exitCodeOf(const error &Error);

/// Prints an error to standard error and returns its exit code.
exit_code reportError(const error &Error);

} // namespace peridot
