/// \file
/// Sends HTTP requests to the operator ports of nodes.
#pragma once

#include <span>
#include <vector>

#include "transport/operators/operator_server.h"

namespace peridot {

/// Sends one request and blocks until the response or an error arrives. Runs
/// its own event loop.
result<operator_response>
sendOperatorRequest(const boost::asio::ip::tcp::endpoint &Endpoint,
                    const operator_request &Request);

/// Sends the same request to many nodes concurrently. Returns the responses in
/// the order of \p Endpoints.
std::vector<result<operator_response>>
sendOperatorRequests(std::span<const boost::asio::ip::tcp::endpoint> Endpoints,
                     const operator_request &Request);

} // namespace peridot
