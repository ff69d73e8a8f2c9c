// Metrics based on the Prometheus client library, exposed as text.
#pragma once

#include <memory>
#include <string>

#include "src/metrics/metrics.h"

namespace chalkshed {

class PrometheusMetricsRegistry : public MetricsRegistry {
 public:
  PrometheusMetricsRegistry();
  ~PrometheusMetricsRegistry() override;
  PrometheusMetricsRegistry(const PrometheusMetricsRegistry&) = delete;
  PrometheusMetricsRegistry& operator=(const PrometheusMetricsRegistry&) = delete;

  Counter& counter(const std::string& name, const std::string& help,
                   const MetricLabels& labels) override;
  Gauge& gauge(const std::string& name, const std::string& help,
               const MetricLabels& labels) override;
  // The buckets are for seconds, from half a millisecond to a minute.
  Histogram& histogram(const std::string& name, const std::string& help,
                       const MetricLabels& labels) override;
  std::string exposition() const override;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace chalkshed
