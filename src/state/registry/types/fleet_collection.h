/// \file
/// Collections of the platform's store that the fleet watches.
#pragma once

namespace peridot {

enum class fleet_collection { Configuration, Targets, Vms };

} // namespace peridot
