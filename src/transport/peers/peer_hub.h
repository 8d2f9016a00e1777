/// \file
/// Links to the other VMs of the fleet. A link carries frames in one direction
/// only, from the dialing VM to the accepting VM, so that a network failure in
/// one direction can be distinguished from one in both.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "protocol/peer_frames/frame_codec.h"
#include "state/metrics/metrics_registry.h"
#include "transport/runtime/asio_types.h"

namespace peridot {

class peer_link;

/// VM name and peer port of another VM.
struct peer_address {
  vm_name Vm;
  boost::asio::ip::tcp::endpoint Endpoint;
};

/// Settings of the peer links.
struct peer_options {
  boost::asio::ip::tcp::endpoint Listen;
  peer_hello Self; ///< Identity of this VM, sent on each new link.
  std::string FleetKey;
  /// Maximum number of messages queued for a peer; when the queue is full, the
  /// oldest is dropped.
  std::size_t MaxQueuedMessages = 256;
  std::chrono::milliseconds DialTimeout{1'000};
  /// An outgoing link without messages for this time is closed, an incoming
  /// link without data after twice this time.
  std::chrono::seconds IdleLimit{60};
};

/// Manages all links of this VM. Used on the control thread only.
class peer_hub {
public:
  /// Callback for received frames; \p Body is valid only during the call.
  using handler =
      std::function<void(const peer_hello &Sender, bytes_view Body)>;

  peer_hub(boost::asio::io_context &Loop, peer_options Options,
           metrics_registry &Metrics);
  ~peer_hub();

  /// Opens the peer port and returns its number.
  result<std::uint16_t> listen();
  /// Starts to accept links.
  void start();

  /// Replaces the peer list. Closes the outgoing links to peers that are not in
  /// \p Peers or have another endpoint; the entry of this VM itself is ignored.
  void setPeers(std::span<const peer_address> Peers);

  /// Sets the handler for frames of \p Subject; replaces an earlier one.
  void subscribe(frame_subject Subject, handler Handler);

  /// Queues a message without a delivery guarantee: as on a lossy network, it
  /// is lost without an error when the peer is unknown, when newer messages
  /// displace it from a full queue, or when the link breaks while it is being
  /// sent.
  void send(const vm_name &Peer, frame_subject Subject, bytes_view Body);

  const peer_options &options() const { return Options; }
  /// Replaces the fleet key for new links; open links keep their session key.
  void setFleetKey(std::string Key) { Options.FleetKey = std::move(Key); }

private:
  task<void> acceptLinks();
  task<void> receiveFrames(tcp_stream Stream);
  task<result<peer_hello>> receiveHello(tcp_stream &Stream,
                                        const link_challenge &Challenge);
  void deliver(const peer_hello &Sender, const peer_frame &Frame);
  /// Delivers a frame. \returns false if its handler failed unexpectedly; the
  /// link is closed then.
  bool tryDeliver(const peer_hello &Sender, const peer_frame &Frame);

  boost::asio::io_context &Loop;
  peer_options Options;
  metrics_registry &Metrics;
  tcp_acceptor Acceptor;
  std::unordered_map<vm_name, peer_address> Addresses;
  std::unordered_map<vm_name, std::shared_ptr<peer_link>> Links;
  std::map<frame_subject, handler> Handlers;
  /// Highest incarnation received from each VM; frames of older incarnations
  /// are dropped.
  std::unordered_map<vm_name, incarnation> NewestIncarnations;
};

} // namespace peridot
