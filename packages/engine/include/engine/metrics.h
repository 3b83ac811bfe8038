/// \file
/// Counters, gauges and latency histograms of the session engine in the
/// Prometheus text format.

#ifndef EELGRASSLOOM_ENGINE_METRICS_H
#define EELGRASSLOOM_ENGINE_METRICS_H

#include "kernel/model.h"
#include <array>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace eelgrassloom {

/// Outcome of a statement, a label of the metrics.
enum class StatementOutcome : std::uint8_t {
  Served,
  ServedByReplica,
  Refused,
  Failed,
  Unknown,
};
inline constexpr std::array<std::string_view, 5> StatementOutcomeNames = {
    "served", "served_by_replica", "refused", "failed", "unknown"};

/// How current the configuration of this process is.
struct ConfigStatus {
  std::uint64_t Version = 0;
  /// Another proxy knows a newer configuration.
  bool Outdated = false;
  /// Time since the start of the last successful poll of the store, by this
  /// proxy or relayed by another.
  Duration PollAge{0};
};

/// Condition of a server as this proxy infers it from its answers.
struct ServerCondition {
  /// Statements of this proxy that may run there at once.
  unsigned Limit = 0;
  bool Degraded = false;
};

/// Metrics of one process.
class Metrics {
public:
  static std::unique_ptr<Metrics> create();

  /// Records a statement that ran, or was refused, at this proxy. \p Latency is
  /// the time from its arrival to its answer.
  void recordStatement(Priority P, StatementOutcome Outcome, Duration Latency);
  /// Records a statement that another proxy ran for this one. The other proxy
  /// counts it in recordStatement().
  void recordForwarded(StatementOutcome Outcome, Duration Latency);
  /// Records an operation of a customer that its limit has admitted or refused.
  void recordOperation(const std::string &Customer, bool Admitted);
  /// Sets the connections to servers that belong to each customer.
  void setConnectionCounts(const std::map<std::string, unsigned> &Counts);
  /// Sets the number of connections closed so far for another customer.
  void setEvictionCount(std::uint64_t Total) {
    Evictions->Increment(static_cast<double>(Total) - Evictions->Value());
  }
  /// Sets the limit and the condition of each server. Servers that are absent
  /// have a limit of zero.
  void
  setServerConditions(const std::map<UpstreamId, ServerCondition> &Conditions);
  void recordRetry() { Retries->Increment(); }
  void recordHandshake() { Handshakes->Increment(); }
  /// Records an answer of a server that answers no request in progress.
  void recordRejectedAnswer() { RejectedAnswers->Increment(); }
  /// Records a request to the store.
  void recordStoreCall(bool Answered);
  void setSessionCount(std::size_t Open) {
    Sessions->Set(static_cast<double>(Open));
  }

  void setConfigStatus(const ConfigStatus &State);

  /// All metrics in the Prometheus text format.
  std::string text() const;

private:
  Metrics();

  prometheus::Registry Registry;
  std::array<std::array<prometheus::Counter *, StatementOutcomeNames.size()>,
             PriorityCount>
      Statements{};
  std::array<prometheus::Histogram *, PriorityCount> Latency{};
  std::array<prometheus::Counter *, StatementOutcomeNames.size()> Forwarded{};
  prometheus::Histogram *ForwardedLatency = nullptr;
  prometheus::Counter *Retries = nullptr;
  prometheus::Counter *Handshakes = nullptr;
  prometheus::Counter *RejectedAnswers = nullptr;
  std::array<prometheus::Counter *, 2> StoreCalls{};
  prometheus::Family<prometheus::Counter> *Operations = nullptr;
  /// Counters of refused and admitted operations by customer.
  std::map<std::string, std::array<prometheus::Counter *, 2>> OperationCounters;
  prometheus::Family<prometheus::Gauge> *Connections = nullptr;
  prometheus::Counter *Evictions = nullptr;
  /// Gauges that have been set, by customer.
  std::map<std::string, prometheus::Gauge *> ConnectionGauges;
  prometheus::Family<prometheus::Gauge> *ServerLimits = nullptr;
  prometheus::Family<prometheus::Gauge> *DegradedServers = nullptr;
  /// Gauges of the limit and of the condition that have been set, by server.
  std::map<UpstreamId, std::array<prometheus::Gauge *, 2>> ServerGauges;
  prometheus::Gauge *Sessions = nullptr;
  prometheus::Gauge *ConfigVersion = nullptr;
  prometheus::Gauge *ConfigOutdated = nullptr;
  prometheus::Gauge *ConfigPollAge = nullptr;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_ENGINE_METRICS_H
