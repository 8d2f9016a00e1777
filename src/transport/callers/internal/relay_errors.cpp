#include "transport/callers/internal/relay_errors.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

namespace peridot {

namespace http = boost::beast::http;

bool isParseError(const boost::system::error_code &Error) {
  return Error.category() ==
             http::make_error_code(http::error::bad_field).category() &&
         Error != http::error::end_of_stream &&
         Error != http::error::partial_message;
}

bool isTimeout(const boost::system::error_code &Error) {
  return Error == boost::beast::error::timeout ||
         Error == boost::asio::error::timed_out;
}

bool isConnectionClosed(const boost::system::error_code &Error) {
  return Error == http::error::end_of_stream ||
         Error == boost::asio::error::eof ||
         Error == boost::asio::error::connection_reset ||
         Error == boost::asio::error::connection_aborted ||
         Error == boost::asio::error::broken_pipe;
}

} // namespace peridot
