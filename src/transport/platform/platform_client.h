/// \file
/// Calls to the platform's object API.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/platform_documents/platform_documents.h"
#include "transport/runtime/asio_types.h"

namespace peridot {

/// An object stored at the platform.
struct stored_object {
  std::uint64_t Version = 0; ///< Starts at 1; 0: the object does not exist.
  std::string Body;
};

struct platform_options {
  boost::asio::ip::tcp::endpoint Endpoint;
  std::chrono::milliseconds CallTimeout{2'000};
};

/// Calls the platform's object API from one event loop.
class platform_client {
public:
  static constexpr std::chrono::milliseconds DefaultGrace{2'000};

  platform_client(boost::asio::io_context &Loop, platform_options Options)
      : Loop(Loop), Options(std::move(Options)) {}

  /// Reads an object; empty if it does not exist.
  task<result<std::optional<stored_object>>> read(std::string Name);

  /// Waits until the object's version is above \p After; empty if that did not
  /// happen within \p Wait.
  /// \param Grace time beyond \p Wait after which the call fails with Timeout.
  task<result<std::optional<stored_object>>>
  watch(std::string Name, std::uint64_t After, std::chrono::milliseconds Wait,
        std::chrono::milliseconds Grace = DefaultGrace);

  /// Writes an object if its version is still \p Expected and returns the new
  /// version. Conflict: another write came first. Timeout or Unavailable: the
  /// write may have taken effect; read the object to find out.
  task<result<std::uint64_t>> write(std::string Name, std::uint64_t Expected,
                                    std::string Body);

  /// Returns the live and leaving VMs; the list may lag behind.
  task<result<std::vector<listed_vm>>> listVms();

private:
  boost::asio::io_context &Loop;
  platform_options Options;
};

} // namespace peridot
