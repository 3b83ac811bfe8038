/// \file
/// Metrics of the proxy, served over HTTP in the Prometheus text format.

#ifndef EELGRASSLOOM_RUNTIME_METRICS_H
#define EELGRASSLOOM_RUNTIME_METRICS_H

#include "kernel/model.h"
#include <array>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace eelgrassloom {

/// Handles of all metrics; updating them is thread-safe.
class ProxyMetrics {
public:
  /// Serves the metrics at \p Listen unless it is empty. Throws
  /// std::runtime_error if the address can't be bound.
  static std::shared_ptr<ProxyMetrics> create(const std::string &Listen);

  /// Number of requests by priority and name of the outcome.
  prometheus::Counter &requests(Priority P, const std::string &Outcome);
  /// Latency of requests in seconds, by priority.
  prometheus::Histogram &latency(Priority P) { return *Latency[index(P)]; }
  /// Number of reads by the role of the upstream that served them.
  prometheus::Counter &reads(Role R) {
    return *Reads[static_cast<std::size_t>(R)];
  }
  /// Counter without labels. \p Name is given without the prefix of all
  /// metrics, for example peer_messages_dropped_total.
  prometheus::Counter &counter(const std::string &Name,
                               const std::string &Help);
  /// Gauge without labels, named as counters are.
  prometheus::Gauge &gauge(const std::string &Name, const std::string &Help);

private:
  ProxyMetrics();

  std::shared_ptr<prometheus::Registry> Registry;
  std::unique_ptr<prometheus::Exposer> Exposer;
  prometheus::Family<prometheus::Counter> *Requests = nullptr;
  std::array<prometheus::Histogram *, PriorityCount> Latency{};
  std::array<prometheus::Counter *, 3> Reads{};
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_RUNTIME_METRICS_H
