/// \file
/// Connects the ownership machine to peers and to the shard map on the
/// platform.
#pragma once

#include "coordination/ownership/ownership_machine.h"
#include "transport/node/control_context.h"

namespace peridot {

/// Runs on the control thread. Updates the ownership view.
class ownership_driver {
public:
  explicit ownership_driver(control_context &Context);

  void start();

private:
  void tick();
  void receive(const peer_hello &Sender, bytes_view Body);
  void dispatch(const ownership_event &Event);

  void perform(const send_lease_message &Effect);
  void perform(const read_shard_map &Effect);
  void perform(const write_shard_map &Effect);
  void perform(const shard_claimed &Effect);
  void perform(const shard_released &Effect);
  void perform(const lease_lost &Effect);

  task<void> watchMap();
  task<void> readMap();
  task<void> writeMap(std::uint64_t ExpectedVersion, std::string Body);
  void handleMap(const std::optional<stored_object> &Stored);
  void refreshView();

  control_context &Context;
  ownership_machine Machine;
  timer_subscription TickTimer;
  std::uint64_t ViewVersion = 0;
  bool IsReadingMap = false;
  bool HasHandledLeave = false;
};

} // namespace peridot
