/// \file
/// TCP proxy that injects faults between two processes, without privileges.
#pragma once

#include <memory>
#include <random>

#include "fault_proxy/fault_rules.h"
#include "transport/runtime/asio_types.h"

namespace peridot::test {

/// Settings of one proxied port.
struct fault_proxy_options {
  boost::asio::ip::tcp::endpoint Target;
  std::uint32_t Seed = 1;
  /// Whether connections are peer links, labelled with the VM name in the
  /// dialer's hello.
  bool ReadsPeerLabels = false;
};

/// Listens on a free port and forwards its connections to the target.
class fault_proxy {
public:
  fault_proxy(boost::asio::io_context &Loop, fault_proxy_options Options);

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  void start();
  fault_rules &rules() { return Rules; }

private:
  struct link;
  using link_ptr = std::shared_ptr<link>;
  enum class direction { Forward, Backward };

  task<void> acceptAll();
  task<void> connect(link_ptr Link);
  task<void> pump(link_ptr Link, direction Direction);
  /// Waits for the configured delays. Returns whether the bytes may be
  /// forwarded; otherwise they are dropped.
  task<bool> awaitForwarding(const link &Link, direction Direction,
                             std::size_t Size);
  const direction_faults &faultsOf(const link &Link, direction Direction) const;
  /// Returns the link whose caller receives the responses of \p Link's target.
  link_ptr responseReceiver(const link_ptr &Link);

  boost::asio::io_context &Loop;
  fault_proxy_options Options;
  tcp_acceptor Acceptor;
  fault_rules Rules;
  std::mt19937 Random;
  /// Latest link that has no partner yet to swap responses with.
  std::weak_ptr<link> UnpairedLink;
};

} // namespace peridot::test
