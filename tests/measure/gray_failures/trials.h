/// \file
/// Repeated trials with fixed seeds and the rows of figures they give.
#pragma once

#include <ostream>
#include <span>

#include "measure/gray_failures/generated_fleet.h"

namespace peridot::measure {

/// A detector's settings under a name.
struct named_detection {
  std::string Name;
  detection_options Options;
};

/// One row for each illness: detection time and its spread.
void printDetection(std::ostream &Out, const fleet_size &Size,
                    const named_detection &Detection,
                    std::span<const illness> Illnesses);

/// One row: ejections of healthy targets per target and hour.
void printFalseEjections(std::ostream &Out, const fleet_size &Size,
                         const named_detection &Detection);

/// One row: ejections and bad requests while target 0 flaps.
void printFlapping(std::ostream &Out, const fleet_size &Size,
                   const named_detection &Detection);

} // namespace peridot::measure
