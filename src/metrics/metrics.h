// Metrics interface, implemented by PrometheusMetricsRegistry.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace chalkshed {

using MetricLabels = std::map<std::string, std::string>;

class Counter {
 public:
  virtual ~Counter() = default;
  virtual void add(double amount) = 0;
};

class Gauge {
 public:
  virtual ~Gauge() = default;
  virtual void set(double value) = 0;
};

class Histogram {
 public:
  virtual ~Histogram() = default;
  virtual void observe(double value) = 0;
};

// Instruments live as long as the registry; requests with the same name and labels return the same
// instrument. Names follow the Prometheus convention: chalkshed_<what>_<unit>[_total].
class MetricsRegistry {
 public:
  virtual ~MetricsRegistry() = default;
  virtual Counter& counter(const std::string& name, const std::string& help,
                           const MetricLabels& labels) = 0;
  virtual Gauge& gauge(const std::string& name, const std::string& help,
                       const MetricLabels& labels) = 0;
  virtual Histogram& histogram(const std::string& name, const std::string& help,
                               const MetricLabels& labels) = 0;
  // @return all instruments in the Prometheus text format; empty if the registry stores none.
  virtual std::string exposition() const { return {}; }
};

// Instruments that discard all values; for tests and the simulator.
class NullMetricsRegistry : public MetricsRegistry {
 public:
  Counter& counter(const std::string&, const std::string&, const MetricLabels&) override {
    return counter_;
  }
  Gauge& gauge(const std::string&, const std::string&, const MetricLabels&) override {
    return gauge_;
  }
  Histogram& histogram(const std::string&, const std::string&, const MetricLabels&) override {
    return histogram_;
  }

 private:
  class NullCounter : public Counter {
    void add(double) override {}
  };
  class NullGauge : public Gauge {
    void set(double) override {}
  };
  class NullHistogram : public Histogram {
    void observe(double) override {}
  };
  NullCounter counter_;
  NullGauge gauge_;
  NullHistogram histogram_;
};

}  // namespace chalkshed
