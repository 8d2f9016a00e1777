/// \file
/// One thread that runs one Asio event loop.
#pragma once

#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace peridot {

/// Starts its thread at once; stops and joins it when destroyed.
class event_loop {
public:
  /// \param Name shown by the operating system, at most 15 characters.
  explicit event_loop(const std::string &Name);
  ~event_loop();
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  boost::asio::io_context &context() { return Context; }
  /// Drops pending work and ends the thread; called from another thread.
  void stop();

private:
  boost::asio::io_context Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      KeepRunning{Context.get_executor()};
  std::thread Thread;
};

} // namespace peridot
