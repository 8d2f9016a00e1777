#include "command_line.h"

#include <charconv>
#include <iostream>

#include <gflags/gflags.h>

#include "environment_flags.h"

DEFINE_string(platform, "", "IP:PORT of the platform's service");
DEFINE_string(node, "", "IP:PORT of a node's operators' port");
DEFINE_string(author, "", "Who changes the configuration");
DEFINE_string(reason, "", "Why the configuration is changed; kept with it");
DEFINE_string(publish_id, "",
              "Repeat an earlier publish under its id; default: a new one");
DEFINE_double(objective, 0.999,
              "Share of requests that must end well, for burn");
DEFINE_bool(json, false, "Print JSON instead of text");

namespace peridot {

namespace {

constexpr const char *Usage =
    "operates a peridotport fleet\n\n"
    "  peridotctl check DIR            check the service files of a folder\n"
    "  peridotctl publish DIR          put the folder's files in force\n"
    "  peridotctl keys digest          digest of the key on standard input\n"
    "  peridotctl keys add|revoke ACCOUNT DIGEST\n"
    "                                  change one key; safe to repeat\n"
    "  peridotctl status               state of all VMs\n"
    "  peridotctl explain target|account|vm|shard|service|configuration NAME\n"
    "                                  what the VMs decided about it, and why\n"
    "  peridotctl explain request ID FILE...\n"
    "                                  what logs of the VMs tell about a "
    "request\n"
    "  peridotctl burn                 error-budget burn of each account at "
    "each service\n"
    "  peridotctl drain VM             let a VM finish its work and exit\n\n"
    "--platform=IP:PORT names the platform's service; status, explain and burn "
    "ask all\nVMs on its list, or only the one given by --node=IP:PORT. "
    "publish and keys need\n--author and --reason. --json prints JSON.\n\n"
    "Every flag is also read from PERIDOT_<FLAG>. Exit codes: 0 success,\n"
    "1 negative answer (no such name, nothing to tell), 2 wrong usage or file,"
    "\n3 conflict, 4 the platform or every VM asked is unreachable.";

} // namespace

result<command_line> readCommandLine(int Argc, char **Argv) {
  const std::vector<std::string> Faults =
      readEnvironmentFlags("peridotctl/command_line.cpp");
  if (!Faults.empty())
    return fail(error_kind::InvalidInput, Faults.front(), "then try again");
  gflags::SetUsageMessage(Usage);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  if (Argc < 2)
    return fail(error_kind::InvalidInput, "no command given",
                "see peridotctl --help");
  return command_line{.Command = Argv[1],
                      .Operands = {Argv + 2, Argv + Argc},
                      .Options = {.Platform = FLAGS_platform,
                                  .Node = FLAGS_node,
                                  .Author = FLAGS_author,
                                  .Reason = FLAGS_reason,
                                  .PublishId = FLAGS_publish_id,
                                  .Objective = FLAGS_objective,
                                  .Json = FLAGS_json}};
}

result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view Flag,
                                                     std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  std::uint16_t Port = 0;
  boost::system::error_code Error;
  boost::asio::ip::address Address;
  bool PortIsNumber = false;
  if (Colon != std::string_view::npos) {
    Address = boost::asio::ip::make_address(std::string(Text.substr(0, Colon)),
                                            Error);
    const std::string_view Digits = Text.substr(Colon + 1);
    const auto Parsed =
        std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
    PortIsNumber =
        Parsed.ec == std::errc() && Parsed.ptr == Digits.data() + Digits.size();
  }
  if (Error || !PortIsNumber)
    return fail(error_kind::InvalidInput,
                "--" + std::string(Flag) + "='" + std::string(Text) +
                    "' is not IP:PORT",
                "write for example 127.0.0.1:8082");
  return boost::asio::ip::tcp::endpoint(Address, Port);
}

exit_code exitCodeOf(const error &Error) {
  switch (Error.Kind) {
  case error_kind::InvalidInput:
    return exit_code::BadUsage;
  case error_kind::Conflict:
    return exit_code::Conflict;
  case error_kind::Unavailable:
  case error_kind::Timeout:
    return exit_code::Unreachable;
  default:
    return exit_code::Failed;
  }
}

exit_code reportError(const error &Error) {
  std::cerr << "peridotctl: " << Error.text() << '\n';
  return exitCodeOf(Error);
}

} // namespace peridot
