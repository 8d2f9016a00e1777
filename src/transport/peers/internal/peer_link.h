/// \file
/// Outgoing link to one peer.
#pragma once

#include <deque>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "transport/peers/peer_hub.h"

namespace peridot {

/// Message that waits to be sent.
struct queued_message {
  frame_subject Subject = frame_subject::Membership;
  std::vector<std::byte> Body;
};

/// Dials the peer when there is a message to send, keeps the link open until it
/// is idle, and retries with exponential back-off.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
  peer_link(boost::asio::io_context &Loop, const peer_options &Options,
            peer_address Address, metrics_registry &Metrics);

  /// Queues a message; drops the oldest one when the queue is full.
  void send(frame_subject Subject, bytes_view Body);
  /// Closes the link and drops the queued messages.
  void close();

private:
  static task<void> run(std::shared_ptr<peer_link> Self);
  /// Connects, reads the challenge and sends the hello; empty on failure.
  task<std::optional<frame_encoder>> dial();
  /// Sends queued messages until the link is idle, closed or broken.
  task<void> sendQueued(frame_encoder Encoder);
  /// Waits before the next dial. The wait doubles with each consecutive
  /// failure, up to a maximum.
  task<void> backOff();

  boost::asio::io_context &Loop;
  const peer_options &Options;
  peer_address Address;
  metrics_registry &Metrics;
  std::optional<tcp_stream> Stream;    ///< Recreated for each dial.
  boost::asio::steady_timer WakeTimer; ///< Cancelled by send() and close().
  std::deque<queued_message> Queue;
  unsigned DialFailures = 0; ///< Number of consecutive failed dials.
  bool IsRunning = false;
  bool IsClosed = false;
};

} // namespace peridot
