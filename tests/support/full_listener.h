/// \file
/// A listener on which every connection attempt hangs.
#pragma once

#include <cstdint>
#include <vector>

namespace peridot::test {

/// Listens on 127.0.0.1 with a full accept queue and never accepts, so that the
/// SYN packets of further connections are dropped.
class full_listener {
public:
  full_listener();
  ~full_listener();
  full_listener(const full_listener &) = delete;
  full_listener &operator=(const full_listener &) = delete;

  std::uint16_t port() const { return Port; }

private:
  std::uint16_t Port = 0;
  std::vector<int> Sockets;
};

} // namespace peridot::test
