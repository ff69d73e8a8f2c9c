#include "src/metrics/prometheus_metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace chalkshed {
namespace {

using testing::HasSubstr;

TEST(PrometheusMetricsTest, ExposesAllInstrumentKinds) {
  PrometheusMetricsRegistry registry;
  registry.counter("chalkshed_requests_total", "Requests.", {{"service", "s"}}).add(2);
  registry.gauge("chalkshed_nodes", "Nodes.", {}).set(3);
  registry.histogram("chalkshed_wait_seconds", "Wait.", {}).observe(0.002);
  const std::string text = registry.exposition();
  EXPECT_THAT(text, HasSubstr("chalkshed_requests_total{service=\"s\"} 2"));
  EXPECT_THAT(text, HasSubstr("chalkshed_nodes 3"));
  EXPECT_THAT(text, HasSubstr("chalkshed_wait_seconds_bucket{le=\"0.0025\"} 1"));
}

TEST(PrometheusMetricsTest, SameNameAndLabelsGiveTheSameInstrument) {
  PrometheusMetricsRegistry registry;
  Counter& first = registry.counter("chalkshed_x_total", "X.", {{"a", "1"}});
  EXPECT_EQ(&first, &registry.counter("chalkshed_x_total", "X.", {{"a", "1"}}));
  EXPECT_NE(&first, &registry.counter("chalkshed_x_total", "X.", {{"a", "2"}}));
}

}  // namespace
}  // namespace chalkshed
