/// \file
/// Everything that differs from one platform to another.
#pragma once

#include <span>
#include <string>
#include <string_view>

#include "coordination/routing/types/routing_snapshot.h"
#include "protocol/http/types/http_dialect.h"
#include "transport/platform/types/fleet_store.h"

namespace peridot {

/// HTTP paths and encoding of the directory (addresses of VMs, requested by
/// callers) and of the readiness check (requested by the platform).
struct directory_dialect {
  std::string_view AddressesPath;
  std::string_view ReadinessPath;
  /// Name of the query parameter with the caller's data centre.
  std::string_view DataCenterParameter;
  std::string (*EncodeAddresses)(std::span<const vm_address> Addresses,
                                 std::chrono::milliseconds TimeToLive) =
      nullptr;
};

/// A platform adapter, selected once at startup.
struct platform_adapter {
  const http_dialect *Dialect = nullptr;
  directory_dialect Directory;
  fleet_store_factory MakeStore;
};

} // namespace peridot
