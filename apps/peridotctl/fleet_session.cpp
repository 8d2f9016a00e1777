#include "fleet_session.h"

#include <iostream>

#include "platform_session.h"

namespace peridot {

namespace {

using tcp_endpoint = boost::asio::ip::tcp::endpoint;

constexpr unsigned FirstFailureStatus = 300;

bool isReached(const vm_answer &Answer) {
  return Answer.Answer && Answer.Answer->Status < FirstFailureStatus;
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

result<std::vector<vm_answer>> askFleet(const command_options &Options,
                                        const operator_request &Request) {
  if (!Options.Node.empty()) {
    const auto Endpoint = parseEndpoint("node", Options.Node);
    if (!Endpoint)
      return tl::unexpected(Endpoint.error());
    std::vector<vm_answer> One;
    One.push_back({Options.Node, askOperatorPort(*Endpoint, Request)});
    return One;
  }
  const auto Vms = listFleet(Options);
  if (!Vms)
    return tl::unexpected(Vms.error());
  std::vector<tcp_endpoint> Endpoints;
  for (const listed_vm &Vm : *Vms)
    Endpoints.push_back(endpointOf(Vm));
  auto Received = askOperatorPorts(Endpoints, Request);
  std::vector<vm_answer> Answers;
  for (std::size_t Index = 0; Index < Vms->size(); ++Index)
    Answers.push_back({(*Vms)[Index].Name.str(), std::move(Received[Index])});
  return Answers;
}

std::vector<std::string> unreached(std::span<const vm_answer> Answers) {
  std::vector<std::string> Names;
  for (const vm_answer &Answer : Answers)
    if (!isReached(Answer))
      Names.push_back(Answer.Vm);
  return Names;
}

void warnUnreached(std::span<const vm_answer> Answers) {
  for (const std::string &Name : unreached(Answers))
    std::cerr << "peridotctl: VM " << Name << " was not reached\n";
}

exit_code exitCodeOf(std::span<const vm_answer> Answers) {
  return unreached(Answers).size() == Answers.size() ? exit_code::Unreachable
                                                     : exit_code::Success;
}

} // namespace peridot
