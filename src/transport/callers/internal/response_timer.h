/// \file
/// Ends an attempt whose response does not begin in time.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "transport/runtime/asio_types.h"

namespace peridot {

/// Closes the connection of an attempt at a set time, so that the request can
/// go to another target. Whether it may still go there is decided at that time,
/// as the VM may have begun to shut down meanwhile; a timeout of the stream
/// itself could not be withdrawn while an operation is pending.
class response_timer {
public:
  explicit response_timer(boost::asio::io_context &Loop) : Loop(Loop) {}
  ~response_timer() { stop(); }
  response_timer(const response_timer &) = delete;
  response_timer &operator=(const response_timer &) = delete;

  /// Closes \p Target at \p Time if \p MayClose returns true then. \p Target
  /// must stay valid until stop().
  void start(tcp_stream &Target,
             std::optional<std::chrono::steady_clock::time_point> Time,
             std::function<bool()> MayClose);
  /// Ends the wait.
  void stop();
  /// Whether the connection was closed since the last start().
  bool hasFired() const { return State && State->HasFired; }

private:
  /// Outlives this object if the wait has already ended but not been handled.
  struct wait_state {
    explicit wait_state(boost::asio::io_context &Loop) : Timer(Loop) {}

    boost::asio::steady_timer Timer;
    tcp_stream *Target = nullptr; ///< Null after stop().
    std::function<bool()> MayClose;
    bool HasFired = false;
  };

  boost::asio::io_context &Loop;
  std::shared_ptr<wait_state> State;
};

} // namespace peridot
