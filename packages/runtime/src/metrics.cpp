#include "runtime/metrics.h"
#include <stdexcept>

namespace eelgrassloom {
namespace detail {

/// Bounds of the latency buckets in seconds. They span from one local network
/// hop to beyond the default deadline of 2 s.
const prometheus::Histogram::BucketBoundaries LatencyBuckets = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

} // namespace detail

ProxyMetrics::ProxyMetrics()
    : Registry(std::make_shared<prometheus::Registry>()) {
  Requests = &prometheus::BuildCounter()
                  .Name("eelgrassloom_requests_total")
                  .Help("Requests by priority and outcome")
                  .Register(*Registry);
  auto &LatencyFamily = prometheus::BuildHistogram()
                            .Name("eelgrassloom_request_seconds")
                            .Help("Time from request to answer")
                            .Register(*Registry);
  auto &ReadFamily = prometheus::BuildCounter()
                         .Name("eelgrassloom_reads_total")
                         .Help("Reads by the role of the upstream")
                         .Register(*Registry);
  for (std::size_t I = 0; I < PriorityCount; ++I)
    Latency[I] = &LatencyFamily.Add(
        {{"priority", std::string(PriorityNames[I])}}, detail::LatencyBuckets);
  for (std::size_t I = 0; I < Reads.size(); ++I)
    Reads[I] = &ReadFamily.Add({{"role", std::string(RoleNames[I])}});
}

std::shared_ptr<ProxyMetrics> ProxyMetrics::create(const std::string &Listen) {
  std::shared_ptr<ProxyMetrics> M(new ProxyMetrics);
  if (Listen.empty())
    return M;
  try {
    M->Exposer = std::make_unique<prometheus::Exposer>(Listen);
  } catch (const std::exception &E) {
    throw std::runtime_error("cannot serve metrics at " + Listen + ": " +
                             E.what());
  }
  M->Exposer->RegisterCollectable(M->Registry);
  return M;
}

prometheus::Counter &ProxyMetrics::requests(Priority P,
                                            const std::string &Outcome) {
  return Requests->Add(
      {{"priority", std::string(name(P))}, {"outcome", Outcome}});
}

prometheus::Counter &ProxyMetrics::counter(const std::string &Name,
                                           const std::string &Help) {
  return prometheus::BuildCounter()
      .Name("eelgrassloom_" + Name)
      .Help(Help)
      .Register(*Registry)
      .Add({});
}

prometheus::Gauge &ProxyMetrics::gauge(const std::string &Name,
                                       const std::string &Help) {
  return prometheus::BuildGauge()
      .Name("eelgrassloom_" + Name)
      .Help(Help)
      .Register(*Registry)
      .Add({});
}

} // namespace eelgrassloom
