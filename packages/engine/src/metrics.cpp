#include "engine/metrics.h"
#include <prometheus/text_serializer.h>
#include <sstream>

namespace eelgrassloom {
namespace detail {

/// Upper bounds of the histogram buckets in seconds.
const prometheus::Histogram::BucketBoundaries LatencyBuckets = {
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2};

template <class Family, std::size_t N>
void addCounters(Family &CounterFamily,
                 std::array<prometheus::Counter *, N> &Counters,
                 const std::string &Label,
                 const std::array<std::string_view, N> &Values) {
  for (std::size_t I = 0; I < N; ++I)
    Counters[I] = &CounterFamily.Add({{Label, std::string(Values[I])}});
}

} // namespace detail

std::unique_ptr<Metrics> Metrics::create() {
  return std::unique_ptr<Metrics>(new Metrics());
}

Metrics::Metrics() {
  auto &ByOutcome = prometheus::BuildCounter()
                        .Name("eelgrassloom_statements_total")
                        .Help("Statements by priority and outcome.")
                        .Register(Registry);
  auto &Seconds = prometheus::BuildHistogram()
                      .Name("eelgrassloom_statement_seconds")
                      .Help("Time from arrival to answer of a statement.")
                      .Register(Registry);
  for (std::size_t P = 0; P < PriorityCount; ++P) {
    for (std::size_t O = 0; O < StatementOutcomeNames.size(); ++O)
      Statements[P][O] =
          &ByOutcome.Add({{"priority", std::string(PriorityNames[P])},
                          {"outcome", std::string(StatementOutcomeNames[O])}});
    Latency[P] = &Seconds.Add({{"priority", std::string(PriorityNames[P])}},
                              detail::LatencyBuckets);
  }
  detail::addCounters(
      prometheus::BuildCounter()
          .Name("eelgrassloom_forwarded_total")
          .Help("Statements that another proxy ran, by outcome.")
          .Register(Registry),
      Forwarded, "outcome", StatementOutcomeNames);
  ForwardedLatency =
      &prometheus::BuildHistogram()
           .Name("eelgrassloom_forwarded_seconds")
           .Help("Time from arrival to answer of a forwarded statement.")
           .Register(Registry)
           .Add({}, detail::LatencyBuckets);
  Retries = &prometheus::BuildCounter()
                 .Name("eelgrassloom_retries_total")
                 .Help("Further attempts of statements.")
                 .Register(Registry)
                 .Add({});
  Handshakes = &prometheus::BuildCounter()
                    .Name("eelgrassloom_handshakes_total")
                    .Help("Connections opened to servers.")
                    .Register(Registry)
                    .Add({});
  RejectedAnswers =
      &prometheus::BuildCounter()
           .Name("eelgrassloom_rejected_answers_total")
           .Help("Answers of servers that fit no request in progress.")
           .Register(Registry)
           .Add({});
  constexpr std::array<std::string_view, 2> Answers = {"no", "yes"};
  detail::addCounters(
      prometheus::BuildCounter()
          .Name("eelgrassloom_store_calls_total")
          .Help("Calls to the store by whether they were answered.")
          .Register(Registry),
      StoreCalls, "answered", Answers);
  Operations = &prometheus::BuildCounter()
                    .Name("eelgrassloom_customer_operations_total")
                    .Help("Operations by customer and whether its limit has "
                          "admitted them.")
                    .Register(Registry);
  Connections = &prometheus::BuildGauge()
                     .Name("eelgrassloom_customer_connections")
                     .Help("Open connections to servers by customer.")
                     .Register(Registry);
  Evictions = &prometheus::BuildCounter()
                   .Name("eelgrassloom_connection_evictions_total")
                   .Help("Connections to servers closed for another customer.")
                   .Register(Registry)
                   .Add({});
  ServerLimits = &prometheus::BuildGauge()
                      .Name("eelgrassloom_server_limit")
                      .Help("Statements that this proxy may run at once on a "
                            "server.")
                      .Register(Registry);
  DegradedServers = &prometheus::BuildGauge()
                         .Name("eelgrassloom_server_degraded")
                         .Help("1 while a server gets trial statements only.")
                         .Register(Registry);
  auto Gauge = [this](const std::string &Name, const std::string &Help) {
    return &prometheus::BuildGauge()
                .Name(Name)
                .Help(Help)
                .Register(Registry)
                .Add({});
  };
  Sessions = Gauge("eelgrassloom_sessions", "Open sessions of callers.");
  ConfigVersion = Gauge("eelgrassloom_rules_version",
                        "Version of the operators' rules in force.");
  ConfigOutdated = Gauge("eelgrassloom_rules_behind",
                         "1 while another proxy knows newer rules.");
  ConfigPollAge = Gauge("eelgrassloom_rules_check_age_seconds",
                        "Time since the store was last checked for newer "
                        "rules, by this proxy or one that it asks.");
}

void Metrics::recordStatement(Priority P, StatementOutcome Outcome,
                              Duration Time) {
  Statements[index(P)][static_cast<std::size_t>(Outcome)]->Increment();
  Latency[index(P)]->Observe(std::chrono::duration<double>(Time).count());
}

void Metrics::recordOperation(const std::string &Customer, bool Admitted) {
  auto [It, New] = OperationCounters.try_emplace(Customer);
  if (New)
    for (bool Value : {false, true})
      It->second[Value] = &Operations->Add(
          {{"customer", Customer}, {"admitted", Value ? "yes" : "no"}});
  It->second[Admitted]->Increment();
}

void Metrics::setConnectionCounts(
    const std::map<std::string, unsigned> &Counts) {
  for (const auto &Entry : ConnectionGauges)
    Entry.second->Set(0);
  for (const auto &[Customer, Count] : Counts) {
    auto [It, New] = ConnectionGauges.try_emplace(Customer);
    if (New)
      It->second = &Connections->Add({{"customer", Customer}});
    It->second->Set(Count);
  }
}

void Metrics::setServerConditions(
    const std::map<UpstreamId, ServerCondition> &Conditions) {
  for (const auto &Entry : ServerGauges)
    for (prometheus::Gauge *Gauge : Entry.second)
      Gauge->Set(0);
  for (const auto &[Id, Condition] : Conditions) {
    auto [It, New] = ServerGauges.try_emplace(Id);
    if (New)
      It->second = {&ServerLimits->Add({{"server", Id}}),
                    &DegradedServers->Add({{"server", Id}})};
    It->second[0]->Set(Condition.Limit);
    It->second[1]->Set(Condition.Degraded ? 1 : 0);
  }
}

void Metrics::recordStoreCall(bool Answered) {
  StoreCalls[Answered ? 1 : 0]->Increment();
}

void Metrics::recordForwarded(StatementOutcome Outcome, Duration Time) {
  Forwarded[static_cast<std::size_t>(Outcome)]->Increment();
  ForwardedLatency->Observe(std::chrono::duration<double>(Time).count());
}

void Metrics::setConfigStatus(const ConfigStatus &State) {
  ConfigVersion->Set(static_cast<double>(State.Version));
  ConfigOutdated->Set(State.Outdated ? 1 : 0);
  ConfigPollAge->Set(std::chrono::duration<double>(State.PollAge).count());
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

} // namespace eelgrassloom
