/// \file
/// Cost of the kernel's control plane (membership, gossip, ownership and
/// failover) with 8 to 800 proxies and 10 to 1,700 databases.
/// Runs the real kernel code over an in-memory network with virtual time, and
/// compares it with a baseline in which every proxy probes every other proxy
/// and every upstream, and watches the platform.

#include "kernel/failover.h"
#include "kernel/ownership.h"
#include "simulatedfleet.h"
#include <cstdio>
#include <malloc.h>
#include <popt.h>
#include <sstream>

using namespace eelgrassloom;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t Domains = 6;
/// Rate of 1,300 configuration changes a day.
constexpr double ChangesPerSecond = 1300.0 / 86400;
constexpr double NanosPerSecond = 1e9;
/// Encoded size of a database with three upstreams in the configuration.
constexpr std::size_t DatabaseBytes = 290;
/// Encoded size of a primary record.
constexpr std::size_t GroupBytes = 90;
constexpr unsigned ConnectionCap = 30;

/// Mean cost per node, and the highest sending rate of a single node in bytes
/// per second.
struct Cost {
  double SentPerSecond = 0;
  double MessagesPerSecond = 0;
  double CpuPercent = 0;
  double MaxSentPerSecond = 0;
};

struct Samples {
  std::vector<double> Values;
  /// 0 if there are no samples.
  double quantile(double Q) {
    if (Values.empty())
      return 0;
    std::sort(Values.begin(), Values.end());
    auto At =
        static_cast<std::size_t>(Q * static_cast<double>(Values.size() - 1));
    return Values[At];
  }
};

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

double toSeconds(Duration D) {
  return static_cast<double>(D.count()) / NanosPerSecond;
}

void resetCounters(SimulatedFleet &F) {
  for (FleetNode &N : F.Nodes)
    N.BytesSent = N.Messages = N.CpuNanos = 0;
}

/// Mean cost of the fleet over the next \p D of virtual time.
Cost measure(SimulatedFleet &F, Duration D) {
  resetCounters(F);
  F.Time.runFor(D);
  Cost C;
  double Seconds = toSeconds(D);
  for (const FleetNode &N : F.Nodes) {
    C.SentPerSecond += static_cast<double>(N.BytesSent);
    C.MessagesPerSecond += static_cast<double>(N.Messages);
    C.CpuPercent += static_cast<double>(N.CpuNanos);
    C.MaxSentPerSecond = std::max(C.MaxSentPerSecond,
                                  static_cast<double>(N.BytesSent) / Seconds);
  }
  double Nodes = static_cast<double>(F.Nodes.size()) * Seconds;
  C.SentPerSecond /= Nodes;
  C.MessagesPerSecond /= Nodes;
  C.CpuPercent *= 100 / (Nodes * NanosPerSecond);
  return C;
}

Database makeDatabase(std::size_t I) {
  Database D{"database-" + std::to_string(I), {}};
  for (std::size_t U = 0; U < 3; ++U) {
    Upstream New;
    New.Id = "upstream-" + std::to_string(3 * I + U);
    New.Address = "10.30.0.1:5432";
    New.FailureDomain = "domain-" + std::to_string((I + U) % Domains);
    New.ConnectionCap = ConnectionCap;
    D.Upstreams.push_back(New);
  }
  return D;
}

CompositeValue makeConfiguration(std::size_t Databases) {
  CompositeValue P{1, std::string(200, 'h'), {}};
  for (std::size_t I = 0; I < Databases; ++I)
    P.Parts.push_back({makeDatabase(I).Name, std::string(DatabaseBytes, 'd')});
  return P;
}

/// Encoded database that differs for each version.
std::string changedDatabase(std::uint64_t Version) {
  std::string Value = std::to_string(Version);
  Value.resize(DatabaseBytes, 'd');
  return Value;
}

/// Gives every node the same configuration and primary records.
void putConfiguration(SimulatedFleet &F, std::size_t Databases) {
  CompositeValue Config = makeConfiguration(Databases);
  std::vector<Item> Items = split(F.Nodes[0].Items, "config", Config);
  for (const Part &P : Config.Parts)
    Items.push_back({"group/" + P.Name, groupVersion(1, true),
                     std::string(GroupBytes, 'g')});
  for (FleetNode &N : F.Nodes)
    put(N.Items, Items, {}, N.Random);
}

/// Crashes a node and starts it again. Adds to \p All the seconds after which
/// each other node considered it dead, and to \p Last the longest of them.
void detectCrash(SimulatedFleet &F, std::size_t Victim, Samples &All,
                 Samples &Last) {
  Instant Start = F.Time.Now;
  Instant Latest = Start;
  F.OnMember = [&](std::size_t, const MemberChanged &C) {
    if (C.Current.State != MemberState::Dead || C.Current.Id != F.id(Victim))
      return;
    Latest = F.Time.Now;
    All.Values.push_back(toSeconds(Latest - Start));
  };
  F.crash(Victim);
  F.Time.runFor(seconds(15));
  Last.Values.push_back(toSeconds(Latest - Start));
  F.OnMember = nullptr;
  F.start(Victim);
  F.Time.runFor(seconds(15));
}

/// Changes the configuration on a random node, either one database of it or, if
/// \p Whole, as a single item. Adds to \p All the seconds after which each node
/// received the item with the new version (the configuration header, unless \p
/// Whole), and to \p BytesPerNode the mean bytes that a node sent in the 4 s
/// after the change.
void gossipChange(SimulatedFleet &F, std::uint64_t Version, bool Whole,
                  std::size_t Databases, Samples &All, double &BytesPerNode) {
  F.Time.runFor(between(F.Random, seconds(1), seconds(2)));
  resetCounters(F);
  Instant Start = F.Time.Now;
  std::size_t Origin = F.Random() % F.Nodes.size();
  std::string Key = Whole ? "whole" : "config";
  F.OnItem = [&](std::size_t, const ItemChanged &C) {
    if (C.Key == Key && C.Version == Version)
      All.Values.push_back(toSeconds(F.Time.Now - Start));
  };
  if (Whole) {
    F.put(Origin,
          {{Key, Version, std::string(Databases * DatabaseBytes, 'w')}});
  } else {
    CompositeValue P = *assemble(F.Nodes[Origin].Items, "config");
    P.Version = Version;
    P.Parts[F.Random() % P.Parts.size()].Value = changedDatabase(Version);
    F.put(Origin, split(F.Nodes[Origin].Items, "config", P));
  }
  F.Time.runFor(seconds(4));
  F.OnItem = nullptr;
  double Bytes = 0;
  for (const FleetNode &N : F.Nodes)
    Bytes += static_cast<double>(N.BytesSent);
  BytesPerNode += Bytes / static_cast<double>(F.Nodes.size());
}

/// Prints the cost per node if each node probes every other node and every
/// upstream once a second and holds platform watches and a lease. The CPU time
/// is that of building one message and updating one table entry per target.
void printBaseline(std::size_t Nodes, std::size_t Databases) {
  std::map<std::string, std::uint64_t> Seen;
  for (std::size_t I = 0; I < Nodes + 3 * Databases; ++I)
    Seen["target-" + std::to_string(I)] = 0;
  constexpr int Rounds = 20;
  std::uint64_t Start = threadCpuNanos();
  for (int R = 0; R < Rounds; ++R)
    for (auto &[Id, At] : Seen) {
      std::string Ping = Id + std::string(SimulatedFleet::MessageOverhead, 'p');
      auto Target = Seen.find(Ping.substr(0, Id.size()));
      Target->second += Ping.size();
    }
  double Cpu = static_cast<double>(threadCpuNanos() - Start) / Rounds;
  double Targets = static_cast<double>(Nodes - 1 + 3 * Databases);
  std::printf("baseline nodes=%zu databases=%zu sent_B/s=%.0f cpu%%=%.4f "
              "platform_watches=%zu lease_renewals/s=%zu "
              "change_B_from_platform=%zu\n",
              Nodes, Databases,
              2 * Targets *
                  static_cast<double>(SimulatedFleet::MessageOverhead),
              Cpu * 100 / NanosPerSecond, 2 * Nodes, Nodes,
              Nodes * Databases * DatabaseBytes);
}

/// Prints the cost of gossip and membership in steady state, for configuration
/// changes, for crashes and with a message loss of 10%.
void printMembership(std::size_t Nodes, std::size_t Databases,
                     std::uint64_t Seed) {
  FleetOptions O;
  O.Nodes = Nodes;
  O.Domains = Domains;
  double Heap = heapBytes();
  SimulatedFleet F(O, Seed);
  F.startKnown();
  putConfiguration(F, Databases);
  F.Time.runFor(seconds(5));
  double Memory = (heapBytes() - Heap) / static_cast<double>(Nodes);
  Cost Steady = measure(F, seconds(30));
  std::printf("steady nodes=%zu databases=%zu sent_B/s=%.0f messages/s=%.1f "
              "cpu%%=%.4f memory_KB=%.0f\n",
              Nodes, Databases, Steady.SentPerSecond, Steady.MessagesPerSecond,
              Steady.CpuPercent, Memory / 1024);

  Samples Propagation;
  double Bytes = 0;
  constexpr int Changes = 10;
  for (int I = 0; I < Changes; ++I)
    gossipChange(F, static_cast<std::uint64_t>(I) + 2, false, Databases,
                 Propagation, Bytes);
  double PerChange = std::max(0.0, Bytes / Changes - 4 * Steady.SentPerSecond);
  std::printf("change nodes=%zu databases=%zu median_ms=%.0f worst_ms=%.0f "
              "reached=%zu of %zu B_per_node=%.0f at_1300_a_day_B/s=%.1f\n",
              Nodes, Databases, 1000 * Propagation.quantile(0.5),
              1000 * Propagation.quantile(1), Propagation.Values.size(),
              Nodes * Changes, PerChange, PerChange * ChangesPerSecond);

  Samples Views;
  Samples Last;
  constexpr int Crashes = 5;
  for (int I = 0; I < Crashes; ++I)
    detectCrash(F, F.Random() % Nodes, Views, Last);
  std::printf("crash nodes=%zu median_ms=%.0f worst_ms=%.0f views=%zu of %zu\n",
              Nodes, 1000 * Views.quantile(0.5), 1000 * Last.quantile(1),
              Views.Values.size(), (Nodes - 1) * Crashes);

  F.Time.runFor(seconds(20));
  F.Options.Loss = 0.1;
  std::size_t Suspected = 0;
  std::size_t Dead = 0;
  F.OnMember = [&](std::size_t, const MemberChanged &C) {
    Suspected += C.Current.State == MemberState::Suspect ? 1 : 0;
    Dead += C.Current.State == MemberState::Dead ? 1 : 0;
  };
  Cost Lossy = measure(F, seconds(60));
  F.OnMember = nullptr;
  std::printf("loss10%% nodes=%zu sent_B/s=%.0f cpu%%=%.4f "
              "suspicions_per_member_and_view_hour=%.1f false_dead=%zu\n",
              Nodes, Lossy.SentPerSecond, Lossy.CpuPercent,
              static_cast<double>(Suspected) * 60 /
                  static_cast<double>(Nodes * Nodes),
              Dead);
}

/// Prints the cost of a configuration change when the whole configuration is
/// one gossip item.
void printWholeConfiguration(std::size_t Nodes, std::size_t Databases,
                             std::uint64_t Seed) {
  FleetOptions O;
  O.Nodes = Nodes;
  O.Domains = Domains;
  SimulatedFleet F(O, Seed);
  F.startKnown();
  F.Time.runFor(seconds(5));
  Cost Steady = measure(F, seconds(4));
  Samples Propagation;
  double Bytes = 0;
  gossipChange(F, 1, true, Databases, Propagation, Bytes);
  double PerChange = std::max(0.0, Bytes - 4 * Steady.SentPerSecond);
  std::printf("whole_configuration nodes=%zu databases=%zu item_KB=%zu "
              "worst_ms=%.0f B_per_node=%.0f at_1300_a_day_B/s=%.0f\n",
              Nodes, Databases, Databases * DatabaseBytes / 1024,
              1000 * Propagation.quantile(1), PerChange,
              PerChange * ChangesPerSecond);
}

/// Records the largest number of simultaneous owners of an upstream, and the
/// largest sum of their connection quotas, while the membership views differ.
struct QuotaSampler {
  /// Instant since which a node has owned an upstream without interruption.
  std::map<std::pair<std::size_t, UpstreamId>, Instant> Since;
  unsigned WorstOwners = 0;
  unsigned WorstSum = 0;
  /// Largest sum if every owner had a quota of a third of the cap.
  unsigned WorstThirds = 0;

  /// Determines for every running proxy which upstreams it owns by its own
  /// membership view.
  void sample(const SimulatedFleet &F, std::size_t Databases) {
    // Number of owners and sum of their quotas.
    std::map<UpstreamId, std::pair<unsigned, unsigned>> Claims;
    std::map<std::pair<std::size_t, UpstreamId>, Instant> Now;
    for (std::size_t I = 0; I < F.Nodes.size(); ++I) {
      if (!F.Nodes[I].Up)
        continue;
      OwnerTable T = makeOwnerTable(liveProxies(F.Nodes[I].Members));
      for (std::size_t D = 0; D < Databases; ++D)
        for (const Upstream &U : makeDatabase(D).Upstreams) {
          const ProxyId *Owner = ownerOf(T, U);
          if (!Owner || *Owner != F.id(I))
            continue;
          auto Old = Since.find({I, U.Id});
          Instant Start = Old == Since.end() ? F.Time.Now : Old->second;
          Now[{I, U.Id}] = Start;
          auto &[Owners, Sum] = Claims[U.Id];
          ++Owners;
          Sum += connectionQuota(U, F.Time.Now - Start);
        }
    }
    Since = std::move(Now);
    for (const auto &[Id, Claim] : Claims) {
      WorstOwners = std::max(WorstOwners, Claim.first);
      WorstSum = std::max(WorstSum, Claim.second);
      WorstThirds = std::max(WorstThirds, Claim.first * (ConnectionCap / 3));
    }
  }
};

/// Restarts all proxies of one failure domain at once, then partitions the
/// fleet and heals it, and prints the cost and the connection quotas of both.
void printMassRestart(std::size_t Nodes, std::uint64_t Seed) {
  constexpr std::size_t QuotaDatabases = 60;
  FleetOptions O;
  O.Nodes = Nodes;
  O.Domains = Domains;
  SimulatedFleet F(O, Seed);
  F.startKnown();
  F.Time.runFor(seconds(5));
  Cost Peak;
  QuotaSampler Quota;
  auto RunAndSample = [&](Duration Limit, bool UntilConverged) {
    Instant Start = F.Time.Now;
    while (F.Time.Now - Start < Limit && !(UntilConverged && F.converged())) {
      Cost C = measure(F, milliseconds(500));
      Peak.CpuPercent = std::max(Peak.CpuPercent, C.CpuPercent);
      Peak.SentPerSecond = std::max(Peak.SentPerSecond, C.SentPerSecond);
      Peak.MaxSentPerSecond =
          std::max(Peak.MaxSentPerSecond, C.MaxSentPerSecond);
      Quota.sample(F, QuotaDatabases);
    }
    return toSeconds(F.Time.Now - Start);
  };
  auto Print = [&](const char *Event, double DetectedSeconds,
                   double ConvergedSeconds) {
    std::printf("%s nodes=%zu detected_s=%.1f whole_s=%.1f peak_mean_B/s=%.0f "
                "peak_node_B/s=%.0f peak_cpu%%=%.3f\n",
                Event, Nodes, DetectedSeconds, ConvergedSeconds,
                Peak.SentPerSecond, Peak.MaxSentPerSecond, Peak.CpuPercent);
    std::printf("quota nodes=%zu event=%s cap=%u worst_owners=%u worst_sum=%u "
                "with_a_third_each=%u\n",
                Nodes, Event, ConnectionCap, Quota.WorstOwners, Quota.WorstSum,
                Quota.WorstThirds);
    Peak = Cost();
    Quota.WorstOwners = Quota.WorstSum = Quota.WorstThirds = 0;
  };
  // Runs for NewOwnerTime so that the first owners have their full quotas.
  Quota.sample(F, QuotaDatabases);
  F.Time.runFor(NewOwnerTime);
  for (std::size_t I = 0; I < Nodes; I += Domains)
    F.crash(I);
  double Down = RunAndSample(seconds(60), true);
  for (std::size_t I = 0; I < Nodes; I += Domains)
    F.start(I);
  double Up = RunAndSample(seconds(120), true);
  RunAndSample(NewOwnerTime + seconds(2), false);
  Print("mass_restart", Down, Up);

  // Partitions the fleet into two halves of the failure domains for 30 s, then
  // heals it. The time printed as detected_s is the length of the partition.
  F.Cut = [&](std::size_t A, std::size_t B) {
    return (F.domain(A) < Domains / 2) != (F.domain(B) < Domains / 2);
  };
  RunAndSample(seconds(30), false);
  F.Cut = nullptr;
  double Healed = RunAndSample(seconds(180), true);
  Print("partition", 30, Healed);
}

/// Prints CPU time and memory of ownership and of the failover state machines
/// with the full number of databases.
void printOwners(std::size_t Nodes, std::size_t Databases, std::uint64_t Seed) {
  std::vector<LiveProxy> Live;
  for (std::size_t I = 0; I < Nodes; ++I)
    Live.push_back({"proxy-" + std::to_string(I),
                    "domain-" + std::to_string(I % Domains), false});
  std::vector<Database> All;
  for (std::size_t I = 0; I < Databases; ++I)
    All.push_back(makeDatabase(I));
  std::uint64_t Start = threadCpuNanos();
  OwnerTable T = makeOwnerTable(Live);
  std::map<ProxyId, unsigned> Owned;
  std::map<ProxyId, unsigned> FailoverGroups;
  for (const Database &D : All) {
    for (const Upstream &U : D.Upstreams)
      ++Owned[*ownerOf(T, U)];
    for (const ProxyId &Id : votersOf(T, D))
      ++FailoverGroups[Id];
  }
  double Rebuild = static_cast<double>(threadCpuNanos() - Start);
  unsigned MaxOwned = 0;
  unsigned MaxFailoverGroups = 0;
  for (const auto &[Id, Count] : Owned)
    MaxOwned = std::max(MaxOwned, Count);
  for (const auto &[Id, Count] : FailoverGroups)
    MaxFailoverGroups = std::max(MaxFailoverGroups, Count);

  // Each failover state machine gets ten ticks and twenty status replies a
  // second.
  std::mt19937_64 Random(Seed);
  constexpr int StateMachines = 200;
  Instant Now(seconds(1));
  double Heap = heapBytes();
  std::vector<FailoverState> States;
  for (int I = 0; I < StateMachines; ++I) {
    Database D = makeDatabase(static_cast<std::size_t>(I));
    GroupRecord R;
    R.Term = 1;
    R.Phase = GroupPhase::Stable;
    R.Primary = D.Upstreams[0].Id;
    States.push_back(makeFailover({}, "proxy-0", D, {"proxy-0"}, Now));
    step(States.back(), RecordSeen{R}, Now, Random);
    step(States.back(), PlatformReachable{true}, Now, Random);
  }
  ReplicationStatus Primary;
  Primary.UpstreamRole = Role::Primary;
  Primary.RaisedTerm = 1;
  Primary.History = {{1, 0}};
  ReplicationStatus Replica = Primary;
  Replica.UpstreamRole = Role::Replica;
  constexpr int Rounds = 100;
  Start = threadCpuNanos();
  for (int R = 0; R < Rounds; ++R) {
    Now += milliseconds(100);
    Primary.Applied = Replica.Applied = {1, static_cast<std::uint64_t>(R) + 1};
    for (FailoverState &S : States) {
      step(S, UpstreamContact{S.Group.Upstreams[0].Id, Now, Primary}, Now,
           Random);
      step(S, UpstreamContact{S.Group.Upstreams[1].Id, Now, Replica}, Now,
           Random);
      step(S, FailoverTick{}, Now, Random);
    }
  }
  double PerSecond = static_cast<double>(threadCpuNanos() - Start) /
                     (StateMachines * Rounds / 10.0);
  double Memory = (heapBytes() - Heap) / StateMachines;
  std::printf("owners nodes=%zu databases=%zu rebuild_ms=%.2f "
              "most_owned=%u most_watched=%u watch_holders=%zu\n",
              Nodes, Databases, Rebuild / 1e6, MaxOwned, MaxFailoverGroups,
              watchHolders(T, 2).size());
  std::printf("failover cpu%%_per_watched_database=%.5f "
              "memory_B_per_watched_database=%.0f\n",
              PerSecond * 100 / NanosPerSecond, Memory);
  std::printf("platform nodes=%zu pending_watches=%zu baseline_watches=%zu "
              "baseline_lease_renewals/s=%zu\n",
              Nodes, 2 * watchHolders(T, 2).size(), 2 * Nodes, Nodes);
}

/// Parses a comma-separated list.
std::vector<std::size_t> parseNumbers(const std::string &Text) {
  std::vector<std::size_t> All;
  std::istringstream In(Text);
  for (std::string Number; std::getline(In, Number, ',');)
    All.push_back(std::stoul(Number));
  return All;
}

} // namespace

int main(int Argc, const char **Argv) {
  const char *Nodes = "8,16,32,64,128,400,800";
  const char *Databases = "10,100,1700";
  int Seed = 1;
  int RestartUpTo = 800;
  const poptOption Options[] = {
      {"nodes", 0, POPT_ARG_STRING, &Nodes, 0, "numbers of proxies", "N,..."},
      {"databases", 0, POPT_ARG_STRING, &Databases, 0, "numbers of databases",
       "N,..."},
      {"seed", 0, POPT_ARG_INT, &Seed, 0, "seed of the run", "N"},
      {"restart-up-to", 0, POPT_ARG_INT, &RestartUpTo, 0,
       "largest fleet for the mass restart", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Context =
      poptGetContext("scale", Argc, Argv, Options, POPT_CONTEXT_NO_EXEC);
  int Parsed = poptGetNextOpt(Context);
  if (Parsed != -1) {
    std::fprintf(stderr, "%s: %s\n",
                 poptBadOption(Context, POPT_BADOPTION_NOALIAS),
                 poptStrerror(Parsed));
    poptFreeContext(Context);
    return 2;
  }
  poptFreeContext(Context);
  auto SeedValue = static_cast<std::uint64_t>(Seed);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::vector<std::size_t> AllDatabases = parseNumbers(Databases);
  std::printf("run seed=%d nodes=%s databases=%s domains=%zu\n", Seed, Nodes,
              Databases, Domains);
  for (std::size_t N : parseNumbers(Nodes)) {
    for (std::size_t D : AllDatabases) {
      // Smaller configurations run only with 128 proxies: combinations of small
      // fleets and small configurations give no further information.
      if (D != AllDatabases.back() && N != 128)
        continue;
      printMembership(N, D, SeedValue);
      printBaseline(N, D);
    }
    if (N <= 128)
      printWholeConfiguration(N, AllDatabases.back(), SeedValue);
    if (N <= static_cast<std::size_t>(RestartUpTo))
      printMassRestart(N, SeedValue);
    printOwners(N, AllDatabases.back(), SeedValue);
  }
  return 0;
}
