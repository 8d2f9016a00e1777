#include "fleet_session.h"

#include <iostream>

#include "platform_session.h"

namespace peridot {

namespace {

using tcp_endpoint = boost::asio::ip::tcp::endpoint;

/// HTTP statuses below this one are successes.
constexpr unsigned FirstNonSuccessStatus = 300;

bool isReached(const vm_response &Response) {
  return Response.Result && Response.Result->Status < FirstNonSuccessStatus;
}

tcp_endpoint endpointOf(const listed_vm &Vm) {
  boost::system::error_code Error;
  return {boost::asio::ip::make_address(Vm.Address, Error), Vm.OperatorPort};
}

} // namespace

result<std::vector<listed_vm>> listFleet(const command_options &Options) {
  return runWithPlatform<std::vector<listed_vm>>(
      Options, [](platform_client &Platform) { return Platform.listVms(); });
}

result<std::vector<vm_response>> queryFleet(const command_options &Options,
                                            const operator_request &Request) {
  if (!Options.Node.empty()) {
    const auto Endpoint = parseEndpoint("node", Options.Node);
    if (!Endpoint)
      return tl::unexpected(Endpoint.error());
    std::vector<vm_response> SingleResponse;
    SingleResponse.push_back(
        {Options.Node, sendOperatorRequest(*Endpoint, Request)});
    return SingleResponse;
  }
  const auto Vms = listFleet(Options);
  if (!Vms)
    return tl::unexpected(Vms.error());
  std::vector<tcp_endpoint> Endpoints;
  for (const listed_vm &Vm : *Vms)
    Endpoints.push_back(endpointOf(Vm));
  auto Outcomes = sendOperatorRequests(Endpoints, Request);
  std::vector<vm_response> Responses;
  for (std::size_t Index = 0; Index < Vms->size(); ++Index)
    Responses.push_back({(*Vms)[Index].Name.str(), std::move(Outcomes[Index])});
  return Responses;
}

std::vector<std::string> unreachedVms(std::span<const vm_response> Responses) {
  std::vector<std::string> Names;
  for (const vm_response &Response : Responses)
    if (!isReached(Response))
      Names.push_back(Response.Vm);
  return Names;
}

void warnUnreached(std::span<const vm_response> Responses) {
  for (const std::string &Name : unreachedVms(Responses))
    std::cerr << "peridotctl: VM " << Name
              << " did not respond successfully; check that it runs\n";
}

exit_code exitCodeOf(std::span<const vm_response> Responses) {
  return unreachedVms(Responses).size() == Responses.size()
             ? exit_code::Unreachable
             : exit_code::Success;
}

} // namespace peridot
