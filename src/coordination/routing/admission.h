/// \file
/// Decides from the request head alone whether a request may be forwarded.
#pragma once

#include <optional>
#include <string_view>
#include <variant>

#include "coordination/routing/types/refusal.h"
#include "coordination/routing/types/routing_snapshot.h"

namespace peridot {

/// The parts of a request head that admission reads, as views into the caller's
/// buffer.
struct request_head {
  std::string_view Host; ///< Without the port.
  std::string_view Method;
  std::string_view Path;
  std::optional<std::string_view> Key; ///< As received; never logged.
};

/// An admitted request. The pointers are valid as long as the snapshot.
struct admitted_request {
  const service *Service = nullptr;
  const route *Route = nullptr;
  const client_account *Account = nullptr; ///< Null on open routes.
};

using admission = std::variant<admitted_request, refusal>;

/// Finds the route and, unless the route is open, authenticates the account by
/// its key.
admission decideAdmission(const routing_snapshot &Snapshot,
                          const request_head &Head);

} // namespace peridot
