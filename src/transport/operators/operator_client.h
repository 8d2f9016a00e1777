/// \file
/// Asks a node's operators' port.
#pragma once

#include "transport/operators/operator_server.h"

namespace peridot {

/// Sends one request and waits for the answer; runs its own event loop.
result<operator_response>
askOperatorPort(const boost::asio::ip::tcp::endpoint &Endpoint,
                const operator_request &Request);

} // namespace peridot
