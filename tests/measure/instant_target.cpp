/// \file
/// Target for measurements: responds to each request at once with a few bytes.

#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "stand_ins/http_server.h"

int main() {
  using namespace peridot::stand_in;
  boost::asio::io_context Loop(1);
  serveHttp(Loop, 0, [](const http_request &) -> peridot::task<handler_result> {
    co_return handler_result{textResponse(200, "queen seen\n")};
  });
  Loop.run();
}
