/// \file
/// The sending end of one link.
#pragma once

#include <deque>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "transport/peers/peer_hub.h"

namespace peridot {

/// A message that waits to be framed.
struct queued_message {
  frame_subject Subject = frame_subject::Membership;
  std::vector<std::byte> Body;
};

/// Dials a peer when there is something to send and keeps the link for more.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
  peer_link(boost::asio::io_context &Loop, const peer_options &Options,
            peer_address Address, metrics_registry &Metrics);

  void send(frame_subject Subject, bytes_view Body);
  /// Ends the link; queued messages are dropped.
  void close();

private:
  static task<void> run(std::shared_ptr<peer_link> Self);
  /// Connects and says hello; empty on failure.
  task<std::optional<frame_encoder>> dial();
  /// Sends queued messages until idle, closed or broken.
  task<void> drain(frame_encoder Encoder);
  task<void> backOff();

  boost::asio::io_context &Loop;
  const peer_options &Options;
  peer_address Address;
  metrics_registry &Metrics;
  std::optional<tcp_stream> Stream; ///< Made anew for each dial.
  boost::asio::steady_timer Wake;
  std::deque<queued_message> Queue;
  unsigned Failures = 0;
  bool Running = false;
  bool Closed = false;
};

} // namespace peridot
