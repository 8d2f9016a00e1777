/// \file
/// Encodes refusals as problem+json and addresses as JSON.
#pragma once

#include <span>
#include <string>

#include "coordination/routing/types/refusal.h"
#include "coordination/routing/types/routing_snapshot.h"

namespace peridot {

/// Header field that carries a client account's key.
inline constexpr std::string_view KeyField = "Peridot-Key";
/// Header field that tells whether a refused request ran.
inline constexpr std::string_view OutcomeField = "Peridot-Outcome";
/// Path that callers ask for the addresses to use.
inline constexpr std::string_view AddressesPath = "/peridot/v1/addresses";

/// HTTP status that fits a refusal.
unsigned statusOf(const refusal &Refusal);

/// Body of type application/problem+json.
std::string encodeProblem(const refusal &Refusal);

/// Answer to a caller who asks which addresses to use, in preferred order.
/// \param TimeToLive how long the caller may keep it.
std::string encodeAddresses(std::span<const vm_address> Preferred,
                            std::chrono::seconds TimeToLive);

} // namespace peridot
