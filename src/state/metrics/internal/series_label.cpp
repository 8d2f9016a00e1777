#include "state/metrics/series_label.h"

namespace peridot {

std::string seriesLabel(std::string_view Name, std::string_view Value) {
  return std::string(Name).append("=\"").append(Value).append("\"");
}

} // namespace peridot
