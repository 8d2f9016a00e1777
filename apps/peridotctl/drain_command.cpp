#include <algorithm>
#include <iostream>

#include <boost/json.hpp>

#include "commands.h"
#include "fleet_session.h"

namespace peridot {

namespace {

/// Looks up the operator port of VM \p Name in the platform's list.
result<boost::asio::ip::tcp::endpoint>
findOperatorPort(const command_options &Options, const std::string &Name) {
  const auto Vms = listFleet(Options);
  if (!Vms)
    return tl::unexpected(Vms.error());
  const auto Found = std::ranges::find(*Vms, vm_name(Name), &listed_vm::Name);
  if (Found == Vms->end())
    return fail(error_kind::NotFound,
                "VM '" + Name + "' is not on the platform's list",
                "use a name that peridotctl status shows");
  return parseEndpoint("node", Found->Address + ":" +
                                   std::to_string(Found->OperatorPort));
}

} // namespace

exit_code runDrain(const command_line &Line) {
  if (Line.Operands.size() != 1)
    return reportError({error_kind::InvalidInput, "drain needs exactly one VM",
                        "usage: peridotctl drain VM"});
  const std::string &Name = Line.Operands.front();
  const auto Endpoint = findOperatorPort(Line.Options, Name);
  if (!Endpoint)
    return reportError(Endpoint.error());
  const auto Response =
      sendOperatorRequest(*Endpoint, {.Method = "POST", .Path = "/drain"});
  if (!Response)
    return reportError(Response.error());
  if (Line.Options.Json)
    std::cout << boost::json::serialize(
                     boost::json::value{{"vm", Name}, {"draining", true}})
              << '\n';
  else
    std::cout << "VM " << Name << " completes its running requests and exits\n";
  return exit_code::Success;
}

} // namespace peridot
