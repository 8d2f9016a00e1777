#include "protocol/http/metrics_text.h"

#include <concepts>

namespace peridot {

namespace {

void appendLine(std::string &Out, std::string_view Metric,
                std::string_view Labels, std::integral auto Value) {
  Out.append(Metric);
  if (!Labels.empty())
    Out.append("{").append(Labels).append("}");
  Out.append(" ").append(std::to_string(Value)).append("\n");
}

void appendHistogram(std::string &Out, const series_name &Name,
                     const latency_histogram &Histogram) {
  const std::string Separator = Name.Labels.empty() ? "" : ",";
  std::uint64_t Cumulative = 0;
  for (std::size_t Index = 0; Index < latency_histogram::BucketCount; ++Index) {
    Cumulative += Histogram.bucket(Index);
    const bool Last = Index + 1 == latency_histogram::BucketCount;
    const std::string Bound =
        Last ? "+Inf"
             : std::to_string(latency_histogram::upperBound(Index).count());
    appendLine(Out, Name.Metric + "_bucket",
               std::string(Name.Labels)
                   .append(Separator)
                   .append("le_us=\"")
                   .append(Bound)
                   .append("\""),
               Cumulative);
  }
  appendLine(Out, Name.Metric + "_sum_us", Name.Labels,
             static_cast<std::uint64_t>(Histogram.sum().count()));
  appendLine(Out, Name.Metric + "_count", Name.Labels, Cumulative);
}

} // namespace

std::string encodeMetrics(const metrics_registry &Registry) {
  std::string Out;
  for (const counter_reading &Reading : Registry.readCounters())
    appendLine(Out, Reading.Name.Metric, Reading.Name.Labels, Reading.Value);
  for (const gauge_reading &Reading : Registry.readGauges())
    appendLine(Out, Reading.Name.Metric, Reading.Name.Labels, Reading.Value);
  for (const auto &[Name, Histogram] : Registry.histograms())
    appendHistogram(Out, Name, *Histogram);
  return Out;
}

} // namespace peridot
