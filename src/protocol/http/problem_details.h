/// \file
/// Encodes refusals as problem+json and addresses as JSON.
#pragma once

#include <span>
#include <string>

#include "coordination/routing/types/refusal.h"
#include "coordination/routing/types/routing_snapshot.h"

namespace peridot {

/// Returns the HTTP status of a refusal. A status that implies that the request
/// did not run is used only if that is certain.
unsigned statusOf(const refusal &Refusal);

/// Encodes a response body of type application/problem+json.
std::string encodeProblem(const refusal &Refusal);

/// Encodes the response to a caller's request for the addresses to use.
/// \param Preferred addresses in order of preference.
/// \param TimeToLive how long the caller may cache the response.
std::string encodeAddresses(std::span<const vm_address> Preferred,
                            std::chrono::milliseconds TimeToLive);

} // namespace peridot
