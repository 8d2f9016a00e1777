/// \file
/// Watches both ends of a relay for events that no pending operation sees.
#pragma once

#include <chrono>
#include <memory>

#include <boost/asio/steady_timer.hpp>

#include "transport/runtime/asio_types.h"

namespace peridot {

/// Made once for each caller's connection and armed for each request; the
/// streams must outlive the watch or its disarm().
class relay_watch : public std::enable_shared_from_this<relay_watch> {
public:
  relay_watch(boost::asio::io_context &Loop, tcp_stream &Caller)
      : Caller(Caller), Timer(Loop) {}

  /// Closes \p Target when the caller closes its connection. Used while
  /// nothing is read from the caller.
  void closeWhenCallerLeaves(tcp_stream &Target);
  /// Cancels the operations of both ends when \p Target answers or closes, or
  /// at \p Deadline. Used while the caller's body is read.
  void cancelWhenTargetAnswers(tcp_stream &Target);
  void cancelAt(std::chrono::steady_clock::time_point Deadline);
  /// Ends all watches.
  void disarm();

  /// Drops completions that are under way; used when the streams end.
  void abandon() { ++Generation; }

  /// Since the last disarm():
  bool callerLeft() const { return CallerLeft; }
  bool targetAnswered() const { return TargetAnswered; }
  bool deadlinePassed() const { return DeadlinePassed; }
  bool cancelled() const { return TargetAnswered || DeadlinePassed; }

private:
  template <typename Handler> auto guard(Handler Handle);

  tcp_stream &Caller;
  boost::asio::steady_timer Timer;
  tcp_stream *Target = nullptr;
  bool WaitsForCaller = false;
  bool WaitsForTarget = false;
  bool WaitsForDeadline = false;
  bool CallerLeft = false;
  bool TargetAnswered = false;
  bool DeadlinePassed = false;
  /// Completions of an earlier arming are told by an older number.
  std::uint64_t Generation = 0;
};

} // namespace peridot
