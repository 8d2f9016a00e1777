/// \file
/// State of a connection as the system knows it, without reading from it.
#pragma once

#include "transport/runtime/asio_types.h"

namespace peridot {

/// Whether the connection was reset or has failed. Unlike the error that a read
/// returns, this stays true after another operation has reported the failure.
bool isReset(tcp_stream &Stream);

/// Whether the peer's sending side has ended and no bytes are left to read.
bool hasSendingEnded(tcp_stream &Stream);

} // namespace peridot
