/// \file
/// What a request that a VM has read is waiting for.
#pragma once

#include <string_view>

namespace peridot {

/// Steps of a request from its head to its response, in their usual order.
enum class request_step {
  Confirmation, ///< A confirmation that its key is still valid.
  Rate,         ///< A share of its account's limit.
  Slot,         ///< A slot of its service.
  Body,         ///< The part of its body that is read before it is passed on.
  Target,       ///< A target: connecting, sending, and its response's head.
  Response,     ///< The caller, to take the response or refusal.
};

/// Returns the stable name of a step, as used in logs.
std::string_view nameOf(request_step Step);

} // namespace peridot
