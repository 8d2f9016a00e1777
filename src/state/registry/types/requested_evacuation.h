/// \file
/// Evacuation of a data centre, as requested by the platform's operator.
#pragma once

#include "state/base/types/identifiers.h"

namespace peridot {

/// Entry in the platform's store. While it exists, no new requests are sent to
/// the targets of the data centre.
struct requested_evacuation {
  data_center_name DataCenter;

  bool operator==(const requested_evacuation &) const = default;
};

} // namespace peridot
