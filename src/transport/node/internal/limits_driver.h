/// \file
/// Connects the allocator and the holder of limit shares to peers,
/// configuration and traffic threads.
#pragma once

#include "coordination/limits/share_allocator.h"
#include "coordination/limits/share_holder.h"
#include "protocol/limits_messages/limits_codec.h"
#include "transport/node/control_context.h"

namespace peridot {

/// Runs on the control thread, except for takeRate().
class limits_driver {
public:
  explicit limits_driver(control_context &Context);

  void start();
  /// Takes one request from the account's shares. Thread-safe.
  rate_decision takeRate(const client_account &Account);

private:
  void poll(instant Now);
  /// Requests due shares from the owners of the accounts.
  void requestShares(instant Now);
  void applyConfiguration(instant Now);
  /// Chooses the accounts whose reserve this VM holds a share of, when VMs or
  /// configuration have changed.
  void updateReserveAccounts();
  void send(const vm_name &Peer, const limits_message &Message);
  void receive(const vm_incarnation &Sender, bytes_view Body);
  void handle(const vm_incarnation &Sender, const share_request_batch &Batch);
  void handle(const vm_incarnation &Sender, const share_grant_batch &Batch);

  control_context &Context;
  share_options Options;
  share_directory Directory;
  share_allocator Allocator;
  share_holder Holder;
  configuration_ptr AppliedConfiguration;
  std::vector<vm_name> ReserveCandidates; ///< VMs of this data centre.
  counter &RefusedRequests;
  timer_subscription PollTimer;
};

} // namespace peridot
