/// \file
/// Queue model of one database with a primary, two replicas and four proxies,
/// and of sessions that send each statement to a random proxy. Measures which
/// reads the routing policies send to replicas, and checks read-your-writes and
/// the staleness bounds.

#include "kernel/registry.h"
#include "kernel/routing.h"
#include "kernel/staleness.h"
#include "kernel/token.h"
#include "policies.h"
#include "simulation.h"
#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassloom {
namespace {

using namespace std::chrono_literals;

constexpr Duration RunTime = 30s;
constexpr Duration WarmUp = 2s;
constexpr std::uint64_t Seed = 20261204;
constexpr std::size_t Sessions = 1000;
/// Failure domains; each has one proxy, and the first three have an upstream.
constexpr std::size_t Domains = 4;
constexpr std::size_t Upstreams = 3;
constexpr unsigned Slots = 5;
constexpr Duration Service = 5ms;
constexpr Duration ProbeInterval = 100ms;
constexpr Duration Deadline = 1s;

/// A routing policy and the conditions under which it runs.
struct Case {
  const char *Policy;
  /// Mean replication lag.
  Duration Lag;
  double WriteShare;
  Duration ThinkTime;
  Duration StalenessBound;
  /// Whether reads advance the session token, as writes do.
  bool MonotonicReads = false;
  RoutingOptions Options = {};
};

/// Results of a case. Behind and TooStale count how often a statement was
/// routed again because the replica had not applied the session's position in
/// time, or because its answer was above the staleness bound.
struct Counts {
  unsigned Reads = 0, ByReplica = 0, Behind = 0, TooStale = 0, Refused = 0;
  /// Violations are reads that did not see the session's last acknowledged
  /// write; Understated counts staleness bounds below the true staleness.
  unsigned Violations = 0, Understated = 0;
  /// Reads that some replica could have served without waiting.
  unsigned Possible = 0;
  std::vector<Duration> Latencies;
};

/// Simulates the upstreams of a database, the proxies and the sessions.
class GroupModel {
public:
  explicit GroupModel(const Case &C)
      : Setup(C), Policy(*Registry<RoutingPolicy>::find(C.Policy)),
        Random(Seed) {
    for (std::size_t U = 0; U < Upstreams; ++U)
      SlotFreeAt[U].assign(Slots, Instant());
    for (auto &Proxy : Snapshots)
      for (std::size_t U = 0; U < Upstreams; ++U) {
        UpstreamSnapshot V;
        V.Id = std::to_string(U);
        V.FailureDomain = std::to_string(U);
        V.UpstreamRole = U == 0 ? Role::Primary : Role::Replica;
        V.History = History;
        Proxy.push_back(V);
      }
  }

  Counts run() {
    for (std::size_t U = 0; U < Upstreams; ++U)
      probe(U);
    for (std::size_t P = 0; P < Domains; ++P)
      refresh(P);
    for (std::size_t S = 0; S < Sessions; ++S) {
      Tokens.emplace_back();
      LastWrite.push_back(0);
      think(S);
    }
    Sim.runUntil(Instant() + RunTime);
    return std::move(Out);
  }

private:
  struct Statement {
    std::size_t Session = 0, Proxy = 0;
    RouteRequest Request;
    Instant Issued;
    bool Counted = false;
    std::vector<UpstreamId> Tried;
  };
  using StatementPtr = std::shared_ptr<Statement>;

  Duration delay(std::size_t From, std::size_t To) const {
    return From == To ? Duration(200us) : Duration(1500us);
  }

  Position applied(std::size_t U) const { return {1, Applied[U]}; }

  StatusObservation status(std::size_t U, Instant SentAt) const {
    return {std::to_string(U),
            U == 0 ? Role::Primary : Role::Replica,
            1,
            applied(U),
            History,
            SentAt};
  }

  /// The owner of an upstream sends status queries to it and to the primary.
  void probe(std::size_t U) {
    Instant SentAt = Sim.now();
    for (std::size_t Target : {U, std::size_t(0)})
      Sim.after(delay(U, Target), [=, this] {
        StatusObservation O = status(Target, SentAt);
        Sim.after(delay(U, Target), [=, this] { observe(Staleness[U], O); });
      });
    Sim.after(ProbeInterval, [=, this] { probe(U); });
  }

  Duration bound(std::size_t U) const {
    return U == 0
               ? Duration::zero()
               : stalenessBound(Staleness[U], History, applied(U), Sim.now());
  }

  /// A proxy requests reports on the upstreams from their owners.
  void refresh(std::size_t Proxy) {
    Instant SentAt = Sim.now();
    for (std::size_t U = 0; U < Upstreams; ++U)
      Sim.after(delay(Proxy, U), [=, this] { report(Proxy, U, SentAt); });
    Sim.after(ProbeInterval, [=, this] { refresh(Proxy); });
  }

  /// Sends a snapshot of an upstream to a proxy. The proxy ignores it if it has
  /// a newer one.
  void report(std::size_t Proxy, std::size_t U, Instant SentAt) {
    UpstreamSnapshot New = Snapshots[Proxy][U];
    New.Applied = applied(U);
    New.ObservedAt = SentAt;
    New.Staleness = bound(U);
    New.Lag = estimatedLag(Staleness[U], History, applied(U));
    New.QueueWait.fill(
        std::max(Duration::zero(),
                 *std::min_element(SlotFreeAt[U].begin(), SlotFreeAt[U].end()) -
                     Sim.now()));
    Sim.after(delay(Proxy, U), [=, this] {
      if (Snapshots[Proxy][U].ObservedAt <= New.ObservedAt)
        Snapshots[Proxy][U] = New;
    });
  }

  void think(std::size_t Session) {
    Sim.after(exponential(Random, Setup.ThinkTime),
              [=, this] { issue(Session); });
  }

  void issue(std::size_t Session) {
    auto S = std::make_shared<Statement>();
    S->Session = Session;
    S->Proxy = static_cast<std::size_t>(uniform(Random) * Domains);
    S->Issued = Sim.now();
    S->Request.WorkPriority = Priority::Background;
    S->Request.Write = uniform(Random) < Setup.WriteShare;
    S->Request.SessionPosition = positionOf(Tokens[Session], "db");
    S->Request.StalenessBound = Setup.StalenessBound;
    S->Request.LocalFailureDomain = std::to_string(S->Proxy);
    S->Counted = Sim.now() > Instant() + WarmUp && !S->Request.Write;
    if (S->Counted) {
      ++Out.Reads;
      Out.Possible += replicaCouldServe(S->Request) ? 1 : 0;
    }
    route(S);
  }

  bool replicaCouldServe(const RouteRequest &Request) const {
    for (std::size_t U = 1; U < Upstreams; ++U)
      if (applied(U) >= Request.SessionPosition &&
          trueStaleness(U) <= Request.StalenessBound)
        return true;
    return false;
  }

  void route(const StatementPtr &S) {
    S->Request.Remaining = S->Issued + Deadline - Sim.now();
    Route R = Policy.Choose(S->Request, Snapshots[S->Proxy], S->Tried,
                            Sim.now(), Setup.Options);
    if (R.Kind != RouteKind::Send) {
      ++Out.Refused;
      think(S->Session);
      return;
    }
    std::size_t U = std::stoul(R.Target);
    Sim.after(delay(S->Proxy, U), [=, this] { enqueue(S, U, R.Wait); });
  }

  /// Runs a statement in the slot that becomes free first. It may wait up to \p
  /// Wait for the session's position.
  void enqueue(const StatementPtr &S, std::size_t U, Duration Wait) {
    auto Slot = std::min_element(SlotFreeAt[U].begin(), SlotFreeAt[U].end());
    Instant Start = std::max(*Slot, Sim.now());
    Duration Work = draw(Random, {Service, 0});
    *Slot = Start + Work;
    Sim.after(Start - Sim.now(),
              [=, this] { execute(S, U, Sim.now() + Wait, Work); });
  }

  void execute(const StatementPtr &S, std::size_t U, Instant WaitEnd,
               Duration Work) {
    if (!S->Request.Write && applied(U) < S->Request.SessionPosition) {
      if (Sim.now() < WaitEnd) {
        Sim.after(1ms, [=, this] { execute(S, U, WaitEnd, Work); });
        return;
      }
      ++Out.Behind;
      Sim.after(delay(S->Proxy, U), [=, this] { retry(S, U); });
      return;
    }
    if (S->Request.Write)
      commit();
    Position At = applied(U);
    Duration Bound = bound(U);
    if (!S->Request.Write && Bound < trueStaleness(U))
      ++Out.Understated;
    Sim.after(Work + delay(S->Proxy, U),
              [=, this] { answer(S, U, At, Bound); });
    Instant SentAt = Sim.now() - delay(S->Proxy, U);
    report(S->Proxy, U, SentAt);
  }

  /// Commits a write on the primary. The replicas apply it in commit order
  /// after 0.5 to 1.5 times the mean lag.
  void commit() {
    ++Applied[0];
    CommittedAt.push_back(Sim.now());
    for (std::size_t U = 1; U < Upstreams; ++U) {
      Duration Lag = Duration(static_cast<Duration::rep>(
          static_cast<double>(Setup.Lag.count()) * (0.5 + uniform(Random))));
      AppliesAt[U] = std::max(AppliesAt[U], Sim.now() + Lag);
      Sim.after(AppliesAt[U] - Sim.now(), [=, this] { ++Applied[U]; });
    }
  }

  /// Age of the oldest commit that the upstream has not applied.
  Duration trueStaleness(std::size_t U) const {
    return Applied[U] == Applied[0] ? Duration::zero()
                                    : Sim.now() - CommittedAt[Applied[U]];
  }

  void retry(const StatementPtr &S, std::size_t U) {
    S->Tried.push_back(std::to_string(U));
    route(S);
  }

  void answer(const StatementPtr &S, std::size_t U, Position At,
              Duration Bound) {
    SessionToken &Token = Tokens[S->Session];
    if (S->Request.Write) {
      advance(Token, "db", At);
      LastWrite[S->Session] = At.Index;
    } else {
      if (!satisfies(S->Request, History, At, Bound)) {
        ++Out.TooStale;
        retry(S, U);
        return;
      }
      if (At.Index < LastWrite[S->Session])
        ++Out.Violations;
      if (Setup.MonotonicReads)
        advance(Token, "db", At);
      if (S->Counted) {
        Out.ByReplica += U == 0 ? 0 : 1;
        Out.Latencies.push_back(Sim.now() - S->Issued);
      }
    }
    think(S->Session);
  }

  const TermHistory History = {{1, 0}};
  Simulation Sim;
  Case Setup;
  const RoutingPolicy &Policy;
  Generator Random;
  std::array<std::vector<Instant>, Upstreams> SlotFreeAt;
  std::array<std::uint64_t, Upstreams> Applied{};
  std::array<Instant, Upstreams> AppliesAt{};
  /// Commit time of the write at index I + 1 of the log.
  std::vector<Instant> CommittedAt;
  std::array<StalenessState, Upstreams> Staleness;
  std::array<std::vector<UpstreamSnapshot>, Domains> Snapshots;
  std::vector<SessionToken> Tokens;
  /// Last acknowledged write of each session, recorded independently of the
  /// tokens so that violations of the tokens' guarantee are detected.
  std::vector<std::uint64_t> LastWrite;
  Counts Out;
};

void printCase(const Case &C) {
  Counts R = GroupModel(C).run();
  double Reads = std::max(1U, R.Reads);
  std::printf(
      "%-12s %4lld %4.0f%% %5.2f %5lld %-6s %4lld %5lld | %5.1f %5.1f "
      "%6u %5u %6u %4u %4u | %5.1f %6.1f\n",
      C.Policy, toMillis(C.Lag), 100 * C.WriteShare, seconds(C.ThinkTime),
      toMillis(C.StalenessBound), C.MonotonicReads ? "all" : "writes",
      toMillis(C.Options.MaxReplicaWait), toMillis(C.Options.PrimarySpillover),
      100 * R.ByReplica / Reads, 100 * R.Possible / Reads, R.Behind, R.TooStale,
      R.Refused, R.Violations, R.Understated,
      1e3 * seconds(quantile(R.Latencies, 0.5)),
      1e3 * seconds(quantile(R.Latencies, 0.99)));
}

void printHeader(const char *Title) {
  std::printf("\n%s\npolicy        lag write think bound token  wait spill | "
              "share  poss behind stale refuse viol undr |   p50    p99\n",
              Title);
}

const std::array<Duration, 3> Lags = {5ms, 50ms, 500ms};
const std::array<double, 3> WriteShares = {0.02, 0.1, 0.3};

} // namespace

void measureRouting() {
  std::printf("\nReads served by replicas and reads that a replica could have "
              "served without a wait,\nin percent; replies `behind` and "
              "answers above the bound, both routed again; refusals;\n"
              "read-your-writes violations; understated bounds; read latency "
              "in ms (median, p99)\n");
  printHeader("Policies; reads do not advance the token");
  for (const char *Policy : {"causal", "primary-only"})
    for (Duration Lag : Lags)
      for (double WriteShare : WriteShares)
        printCase({Policy, Lag, WriteShare, 2s, 1s});
  printHeader("Reads advance the token");
  for (Duration Lag : Lags)
    for (double WriteShare : WriteShares)
      printCase({"causal", Lag, WriteShare, 2s, 1s, true});
  printHeader("Shorter think time, shorter bound");
  for (Duration Lag : Lags) {
    printCase({"causal", Lag, 0.1, 500ms, 1s});
    printCase({"causal", Lag, 0.1, 2s, 200ms});
  }
  printHeader("Longest wait for a replica");
  for (Duration Lag : {Lags[1], Lags[2]})
    for (Duration Wait : {Duration(0ms), Duration(20ms), Duration(100ms)})
      printCase({"causal", Lag, 0.3, 500ms, 1s, false, {Wait, 50ms, 1500us}});
  printHeader("Spill to the primary near and above the capacity of the "
              "replicas");
  for (Duration Think : {Duration(500ms), Duration(420ms)})
    for (Duration Spill : {Duration(10ms), Duration(50ms), Duration(10s)})
      printCase({"causal", 5ms, 0.02, Think, 1s, false, {20ms, Spill, 1500us}});
}

} // namespace eelgrassloom
