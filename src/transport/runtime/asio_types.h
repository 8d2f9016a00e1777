/// \file
/// Asio and Beast types bound to the executor of one event loop.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/basic_stream.hpp>

namespace peridot {

using loop_executor = boost::asio::io_context::executor_type;

/// Coroutine that runs on one event loop.
template <typename T> using task = boost::asio::awaitable<T, loop_executor>;

/// Completion token that resumes a task with the results and throws on errors.
inline constexpr boost::asio::use_awaitable_t<loop_executor> UseTask;
/// Completion token that resumes a task with a tuple of the error code and the
/// results.
inline constexpr boost::asio::as_tuple_t<
    boost::asio::use_awaitable_t<loop_executor>>
    UseTaskTuple{UseTask};

using tcp_socket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, loop_executor>;
using tcp_acceptor =
    boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, loop_executor>;
/// TCP stream with a timeout for its operations.
using tcp_stream =
    boost::beast::basic_stream<boost::asio::ip::tcp, loop_executor>;

} // namespace peridot
