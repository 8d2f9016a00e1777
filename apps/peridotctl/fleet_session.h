/// \file
/// Sends requests to the operator ports of all VMs, or of the node given by
/// --node.
#pragma once

#include "command_line.h"
#include "protocol/platform_documents/platform_documents.h"
#include "transport/operators/operator_client.h"

namespace peridot {

/// Response of one VM, or the reason why there is none.
struct vm_response {
  std::string Vm;
  result<operator_response> Result;
};

/// Returns the VMs on the platform's list.
result<std::vector<listed_vm>> listFleet(const command_options &Options);

/// Sends \p Request to every VM on the platform's list or, with --node, to
/// that node only. Fails if the list cannot be read.
result<std::vector<vm_response>> queryFleet(const command_options &Options,
                                            const operator_request &Request);

/// Returns the VMs without a successful response.
std::vector<std::string> unreachedVms(std::span<const vm_response> Responses);

/// Prints a warning for each of unreachedVms() to standard error.
void warnUnreached(std::span<const vm_response> Responses);

/// Returns Unreachable if no VM responded with success, otherwise Success.
exit_code exitCodeOf(std::span<const vm_response> Responses);

} // namespace peridot
