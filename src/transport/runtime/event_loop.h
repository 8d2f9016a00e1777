/// \file
/// Thread that runs one Asio event loop.
#pragma once

#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace peridot {

/// Starts its thread on construction; stops and joins it on destruction.
class event_loop {
public:
  /// \param Name thread name shown by the operating system; cut off after 15
  ///        characters.
  explicit event_loop(const std::string &Name);
  ~event_loop();
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  boost::asio::io_context &context() { return Context; }
  /// Discards pending work and joins the thread. Call from another thread.
  void stop();

private:
  boost::asio::io_context Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      WorkGuard{Context.get_executor()};
  std::thread Thread;
};

} // namespace peridot
