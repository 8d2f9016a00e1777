/// \file
/// Watches both connections of a relay for events that the pending operations
/// do not report.
#pragma once

#include <chrono>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "coordination/routing/caller_close_rule.h"
#include "transport/runtime/asio_types.h"

namespace peridot {

/// Maximum time for which a caller may send or take nothing while a request
/// needs it to. Until then a slot at a target may be held for it.
constexpr std::chrono::seconds MaxCallerIdleTime{5};

/// One watch exists per caller connection and is armed for each request. The
/// streams must stay valid until disarm() or abandon().
class relay_watch : public std::enable_shared_from_this<relay_watch> {
public:
  relay_watch(boost::asio::io_context &Loop, tcp_stream &Caller)
      : Caller(Caller), Timer(Loop) {}

  /// Closes \p Target when the caller closes its connection, as far as
  /// decideCallerClose() tells. Used while no read from the caller is pending.
  void closeWhenCallerDisconnects(tcp_stream &Target,
                                  const caller_close &Request);
  /// Called before the first byte of the response is sent to the caller.
  void noteResponseStarted() { CallerClose.HasResponseStarted = true; }
  /// Cancels the operations on both connections when \p Target responds or
  /// closes. Used while the caller's body is read.
  void cancelWhenTargetResponds(tcp_stream &Target);
  /// Cancels the operations on both connections at \p Time, or when the
  /// caller has sent nothing for MaxCallerIdleTime since awaitCaller().
  void cancelAt(std::chrono::steady_clock::time_point Time);
  /// Cancels the operations that cancelAt() would cancel, if it was called.
  void cancelNow();
  /// Called before and after a read from the caller.
  void awaitCaller() { AwaitedSince = std::chrono::steady_clock::now(); }
  void endAwaitCaller() { AwaitedSince.reset(); }
  /// Ends all watching and resets the state.
  void disarm();

  /// Ignores completions that are still pending; used when the streams are
  /// destroyed.
  void abandon() { ++Generation; }

  /// State since the last disarm().
  bool hasCallerDisconnected() const { return CallerDisconnected; }
  bool hasTargetResponded() const { return TargetResponded; }
  bool hasDeadlinePassed() const { return DeadlinePassed; }
  /// Whether the caller stopped sending, so that the operations ended before
  /// the deadline.
  bool hasCallerStalled() const { return CallerStalled; }
  bool isCancelled() const { return TargetResponded || DeadlinePassed; }

private:
  template <typename Handler> auto guard(Handler Handle);
  void handleCallerEvent();
  void awaitCallerReset();
  void closeTarget();
  /// Waits until the deadline or the time at which the caller has been silent
  /// for too long, whichever is earlier.
  void startTimer();
  void handleTimer();

  tcp_stream &Caller;
  boost::asio::steady_timer Timer;
  tcp_stream *Target = nullptr;
  caller_close CallerClose;
  bool WaitsForCaller = false;
  bool WaitsForTarget = false;
  bool WaitsForDeadline = false;
  bool CallerDisconnected = false;
  bool TargetResponded = false;
  bool DeadlinePassed = false;
  bool CallerStalled = false;
  std::chrono::steady_clock::time_point Deadline{};
  /// When the pending read from the caller began.
  std::optional<std::chrono::steady_clock::time_point> AwaitedSince;
  /// Increased by disarm(), so that completions of earlier waits are ignored.
  std::uint64_t Generation = 0;
};

} // namespace peridot
