#include "command_line.h"

#include <charconv>
#include <iostream>

#include <gflags/gflags.h>

#include "environment_flags.h"

DEFINE_string(platform, "", "IP:PORT of the platform's service");
DEFINE_string(node, "", "IP:PORT of the operator port of one node");
DEFINE_string(author, "", "Author of a configuration change");
DEFINE_string(reason, "", "Reason for a configuration change; stored with it");
DEFINE_string(publish_id, "",
              "Id of an earlier publish to repeat; default: a new id");
DEFINE_double(objective, 0.999,
              "Target share of successful requests, for burn");
DEFINE_bool(json, false, "Print JSON instead of text");

namespace peridot {

namespace {

constexpr const char *Usage =
    "operates a peridotport fleet\n\n"
    "  peridotctl check DIR            check the service files of a folder\n"
    "  peridotctl publish DIR          publish a folder's service files\n"
    "  peridotctl keys digest          print the digest of the key on "
    "standard input\n"
    "  peridotctl keys add|revoke ACCOUNT DIGEST\n"
    "                                  add or revoke one key; safe to repeat\n"
    "  peridotctl status               show the state of all VMs\n"
    "  peridotctl explain target|account|vm|shard|service|configuration NAME\n"
    "                                  show what the VMs decided about it, and "
    "why\n"
    "  peridotctl explain request ID FILE...\n"
    "                                  show the VMs' log lines about a "
    "request\n"
    "  peridotctl burn                 show error-budget burn per service and "
    "account\n"
    "  peridotctl drain VM             shut a VM down after its running "
    "requests\n\n"
    "--platform=IP:PORT is the address of the platform's service. status,\n"
    "explain and burn query all VMs on its list, or only the one given by\n"
    "--node=IP:PORT. publish and keys need --author and --reason. --json\n"
    "prints JSON.\n\n"
    "Each flag can also be set by the environment variable PERIDOT_<FLAG>.\n"
    "Exit codes: 0 success, 1 negative result (unknown name, no entries),\n"
    "2 invalid usage or file, 3 conflict, 4 the platform or every queried VM\n"
    "is unreachable.";

} // namespace

result<command_line> readCommandLine(int Argc, char **Argv) {
  const std::vector<std::string> Errors =
      readEnvironmentFlags("peridotctl/command_line.cpp");
  if (!Errors.empty())
    return fail(error_kind::InvalidInput, Errors.front(),
                "then run the command again");
  gflags::SetUsageMessage(Usage);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  if (Argc < 2)
    return fail(error_kind::InvalidInput, "the command is missing",
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
  bool IsPortValid = false;
  if (Colon != std::string_view::npos) {
    Address = boost::asio::ip::make_address(std::string(Text.substr(0, Colon)),
                                            Error);
    const std::string_view Digits = Text.substr(Colon + 1);
    const auto Parsed =
        std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
    IsPortValid =
        Parsed.ec == std::errc() && Parsed.ptr == Digits.data() + Digits.size();
  }
  if (Error || !IsPortValid)
    return fail(error_kind::InvalidInput,
                "--" + std::string(Flag) + "='" + std::string(Text) +
                    "' is not IP:PORT",
                "use an address such as 127.0.0.1:8082");
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
