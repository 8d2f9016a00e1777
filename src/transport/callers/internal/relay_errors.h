/// \file
/// Classifies the errors of a connection by their cause.
#pragma once

#include <boost/system/error_code.hpp>

namespace peridot {

/// Whether the bytes received from the peer are not valid HTTP.
bool isParseError(const boost::system::error_code &Error);

/// Whether an operation timed out.
bool isTimeout(const boost::system::error_code &Error);

/// Whether the peer had closed or reset the connection before it sent anything.
bool isConnectionClosed(const boost::system::error_code &Error);

} // namespace peridot
