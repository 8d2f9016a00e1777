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
  /// True for peer links, whose dialer is known by its hello.
  bool ReadsPeerLabels = false;
};

/// Forwards connections from a port of its own to the target.
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
  /// Waits as the faults demand; false when the bytes vanish.
  task<bool> passes(const link &Link, direction Direction, std::size_t Size);
  const direction_faults &faultsOf(const link &Link, direction Direction) const;
  /// The link whose caller gets what \p Link's target sends.
  link_ptr receiverOfAnswers(const link_ptr &Link);

  boost::asio::io_context &Loop;
  fault_proxy_options Options;
  tcp_acceptor Acceptor;
  fault_rules Rules;
  std::mt19937 Random;
  std::weak_ptr<link> Unpaired; ///< Waits for a partner to cross answers with.
};

} // namespace peridot::test
