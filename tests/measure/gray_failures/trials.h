/// \file
/// Repeated trials with fixed seeds, and the CSV rows of their results.
#pragma once

#include <ostream>
#include <span>

#include "measure/gray_failures/generated_fleet.h"

namespace peridot::measure {

/// Named settings of a detector.
struct named_detection {
  std::string Name;
  detection_options Options;
};

/// Prints one row per fault: median and 95th percentile of the detection time,
/// and missed detections.
void printDetection(std::ostream &Out, const fleet_size &Size,
                    const named_detection &Detection,
                    std::span<const fault_profile> Profiles);

/// Prints one row: ejections and avoided links of healthy targets per target
/// and hour.
void printFalseEjections(std::ostream &Out, const fleet_size &Size,
                         const named_detection &Detection);

/// Prints one row: ejections and failed requests while target 0 flaps.
void printFlapping(std::ostream &Out, const fleet_size &Size,
                   const named_detection &Detection);

} // namespace peridot::measure
