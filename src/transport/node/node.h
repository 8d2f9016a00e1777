/// \file
/// One node of the fleet: the control thread, the traffic threads and the
/// drivers that connect decisions to sockets.
#pragma once

#include <functional>
#include <memory>

#include "state/base/types/error.h"
#include "transport/node/types/node_settings.h"

namespace peridot {

/// The proxy of one VM; runs from start() until it is destroyed.
class node {
public:
  explicit node(node_settings Settings);
  ~node();
  node(const node &) = delete;
  node &operator=(const node &) = delete;

  /// Opens the ports and starts all threads.
  result<node_ports> start();

  /// Applies those of \p Settings that may change while the node runs: time
  /// limits, retry budgets and rate tolerance. Thread-safe.
  void reload(node_settings Settings);

  /// Withdraws this VM from address responses, waits until running requests
  /// end or the shutdown limit is reached, then calls \p Done on the control
  /// thread. Thread-safe.
  void beginShutdown(std::function<void()> Done);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace peridot
