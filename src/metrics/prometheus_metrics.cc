#include "src/metrics/prometheus_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <utility>

namespace chalkshed {
namespace {

const prometheus::Histogram::BucketBoundaries kSecondsBuckets = {
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};

class PrometheusCounter : public Counter {
 public:
  explicit PrometheusCounter(prometheus::Counter& counter) : counter_(counter) {}
  void add(double amount) override { counter_.Increment(amount); }

 private:
  prometheus::Counter& counter_;
};

class PrometheusGauge : public Gauge {
 public:
  explicit PrometheusGauge(prometheus::Gauge& gauge) : gauge_(gauge) {}
  void set(double value) override { gauge_.Set(value); }

 private:
  prometheus::Gauge& gauge_;
};

class PrometheusHistogram : public Histogram {
 public:
  explicit PrometheusHistogram(prometheus::Histogram& histogram) : histogram_(histogram) {}
  void observe(double value) override { histogram_.Observe(value); }

 private:
  prometheus::Histogram& histogram_;
};

using InstrumentKey = std::pair<std::string, MetricLabels>;

}  // namespace

class PrometheusMetricsRegistry::Implementation {
 public:
  prometheus::Registry registry;
  std::map<InstrumentKey, PrometheusCounter> counters;
  std::map<InstrumentKey, PrometheusGauge> gauges;
  std::map<InstrumentKey, PrometheusHistogram> histograms;
};

PrometheusMetricsRegistry::PrometheusMetricsRegistry()
    : implementation_(std::make_unique<Implementation>()) {}

PrometheusMetricsRegistry::~PrometheusMetricsRegistry() = default;

Counter& PrometheusMetricsRegistry::counter(const std::string& name, const std::string& help,
                                            const MetricLabels& labels) {
  const InstrumentKey key{name, labels};
  auto found = implementation_->counters.find(key);
  if (found == implementation_->counters.end()) {
    auto& family =
        prometheus::BuildCounter().Name(name).Help(help).Register(implementation_->registry);
    found = implementation_->counters.emplace(key, PrometheusCounter(family.Add(labels))).first;
  }
  return found->second;
}

Gauge& PrometheusMetricsRegistry::gauge(const std::string& name, const std::string& help,
                                        const MetricLabels& labels) {
  const InstrumentKey key{name, labels};
  auto found = implementation_->gauges.find(key);
  if (found == implementation_->gauges.end()) {
    auto& family =
        prometheus::BuildGauge().Name(name).Help(help).Register(implementation_->registry);
    found = implementation_->gauges.emplace(key, PrometheusGauge(family.Add(labels))).first;
  }
  return found->second;
}

Histogram& PrometheusMetricsRegistry::histogram(const std::string& name, const std::string& help,
                                                const MetricLabels& labels) {
  const InstrumentKey key{name, labels};
  auto found = implementation_->histograms.find(key);
  if (found == implementation_->histograms.end()) {
    auto& family =
        prometheus::BuildHistogram().Name(name).Help(help).Register(implementation_->registry);
    prometheus::Histogram& histogram = family.Add(labels, kSecondsBuckets);
    found = implementation_->histograms.emplace(key, PrometheusHistogram(histogram)).first;
  }
  return found->second;
}

std::string PrometheusMetricsRegistry::exposition() const {
  const prometheus::TextSerializer serializer;
  return serializer.Serialize(implementation_->registry.Collect());
}

}  // namespace chalkshed
