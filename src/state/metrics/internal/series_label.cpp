#include "state/metrics/series_label.h"

namespace peridot {

std::string seriesLabel(std::string_view Name, std::string_view Value) {
  std::string Label = std::string(Name) + "=\"";
  for (const char Each : Value) {
    if (Each == '"' || Each == '\\')
      Label += '\\';
    if (Each == '\n')
      Label += "\\n";
    else
      Label += Each;
  }
  return Label + '"';
}

std::string labelValue(std::string_view Labels, std::string_view Name) {
  const std::string Prefix = std::string(Name) + "=\"";
  const std::size_t Start = Labels.find(Prefix);
  if (Start == Labels.npos)
    return {};
  std::string Value;
  for (std::size_t At = Start + Prefix.size();
       At < Labels.size() && Labels[At] != '"'; ++At) {
    const bool IsEscaped = Labels[At] == '\\' && At + 1 < Labels.size();
    At += IsEscaped ? 1 : 0;
    Value += IsEscaped && Labels[At] == 'n' ? '\n' : Labels[At];
  }
  return Value;
}

} // namespace peridot
