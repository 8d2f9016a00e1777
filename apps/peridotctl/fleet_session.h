/// \file
/// Asks the operators' ports of all VMs, or of the one given by --node.
#pragma once

#include "command_line.h"
#include "protocol/platform_documents/platform_documents.h"
#include "transport/operators/operator_client.h"

namespace peridot {

/// What one VM answered.
struct vm_answer {
  std::string Vm;
  result<operator_response> Answer;
};

/// The VMs on the platform's list.
result<std::vector<listed_vm>> listFleet(const command_options &Options);

/// Sends \p Request to every VM on the platform's list or, with --node, to
/// that node only. Fails when the list cannot be read.
result<std::vector<vm_answer>> askFleet(const command_options &Options,
                                        const operator_request &Request);

/// VMs that did not answer with success.
std::vector<std::string> unreached(std::span<const vm_answer> Answers);

/// Prints the VMs that were not reached to standard error.
void warnUnreached(std::span<const vm_answer> Answers);

/// Unreachable when no VM answered, otherwise Success.
exit_code exitCodeOf(std::span<const vm_answer> Answers);

} // namespace peridot
