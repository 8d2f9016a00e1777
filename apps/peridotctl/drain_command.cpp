#include <algorithm>
#include <iostream>

#include <boost/json.hpp>

#include "commands.h"
#include "fleet_session.h"

namespace peridot {

namespace {

/// Where the operators' port of \p Name is.
result<boost::asio::ip::tcp::endpoint>
findOperatorPort(const command_options &Options, const std::string &Name) {
  const auto Vms = listFleet(Options);
  if (!Vms)
    return tl::unexpected(Vms.error());
  const auto Found = std::ranges::find(*Vms, vm_name(Name), &listed_vm::Name);
  if (Found == Vms->end())
    return fail(error_kind::NotFound,
                "VM '" + Name + "' is not on the platform's list",
                "see peridotctl status");
  return parseEndpoint("node", Found->Address + ":" +
                                   std::to_string(Found->OperatorPort));
}

} // namespace

exit_code runDrain(const command_line &Line) {
  if (Line.Operands.size() != 1)
    return reportError({error_kind::InvalidInput, "drain needs one VM",
                        "write: peridotctl drain VM"});
  const std::string &Name = Line.Operands.front();
  const auto Endpoint = findOperatorPort(Line.Options, Name);
  if (!Endpoint)
    return reportError(Endpoint.error());
  const auto Answer =
      askOperatorPort(*Endpoint, {.Method = "POST", .Path = "/drain"});
  if (!Answer)
    return reportError(Answer.error());
  if (Line.Options.Json)
    std::cout << boost::json::serialize(
                     boost::json::value{{"vm", Name}, {"draining", true}})
              << '\n';
  else
    std::cout << "VM " << Name << " finishes what runs and exits\n";
  return exit_code::Success;
}

} // namespace peridot
