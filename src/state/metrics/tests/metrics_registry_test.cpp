#include "state/metrics/metrics_registry.h"

#include <doctest/doctest.h>

#include "state/metrics/series_label.h"

using namespace peridot;
using namespace std::chrono_literals;

TEST_CASE("record_latenciesAtBounds_countedInDoublingBuckets") {
  latency_histogram Histogram;
  Histogram.record(15us);
  Histogram.record(16us);
  Histogram.record(10h);
  CHECK(Histogram.bucket(0) == 1);
  CHECK(Histogram.bucket(1) == 1);
  CHECK(Histogram.bucket(latency_histogram::BucketCount - 1) == 1);
  CHECK(Histogram.count() == 3);
}

TEST_CASE("getOrCreateCounter_sameSeries_sameCounter") {
  metrics_registry Registry;
  Registry.getOrCreateCounter("a", "x=\"1\"").add(2);
  Registry.getOrCreateCounter("a", "x=\"1\"").add();
  CHECK(Registry.readCounters().at(0).Value == 3);
}

// Guards against a gauge that shows only one traffic thread's value.
TEST_CASE("readGauges_changesOfTwoThreads_sumOfBoth") {
  metrics_registry Registry;
  Registry.getOrCreateGauge("a").add(5);
  Registry.getOrCreateGauge("a").add(-2);
  CHECK(Registry.readGauges().at(0).Value == 3);
}

// Guards against a name that ends the label or the line of the metrics page.
TEST_CASE("seriesLabel_charactersWithMeaning_escaped") {
  CHECK(seriesLabel("a", "x\"y\\z\n") == R"(a="x\"y\\z\n")");
  CHECK(seriesLabel("a", "hive-1") == R"(a="hive-1")");
}
