/// \file
/// Asks a node's operators' port.
#pragma once

#include <span>
#include <vector>

#include "transport/operators/operator_server.h"

namespace peridot {

/// Sends one request and waits for the answer; runs its own event loop.
result<operator_response>
askOperatorPort(const boost::asio::ip::tcp::endpoint &Endpoint,
                const operator_request &Request);

/// Sends the same request to many nodes at once; answers in their order.
std::vector<result<operator_response>>
askOperatorPorts(std::span<const boost::asio::ip::tcp::endpoint> Endpoints,
                 const operator_request &Request);

} // namespace peridot
