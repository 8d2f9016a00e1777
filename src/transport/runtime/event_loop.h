/// \file
/// Thread that runs one Asio event loop.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace peridot {

/// Starts its thread on construction; stops and joins it on destruction. An
/// exception that leaves a handler ends that handler only.
class event_loop {
public:
  /// Called on the loop's thread with the text of an exception.
  using error_callback = std::function<void(std::string_view Cause)>;

  /// \param Name thread name shown by the operating system; cut off after 15
  ///        characters.
  event_loop(const std::string &Name, error_callback OnError);
  ~event_loop();
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  boost::asio::io_context &context() { return Context; }
  /// Discards pending work and joins the thread. Call from another thread.
  void stop();

private:
  void run();

  error_callback OnError;
  boost::asio::io_context Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      WorkGuard{Context.get_executor()};
  std::thread Thread;
};

} // namespace peridot
