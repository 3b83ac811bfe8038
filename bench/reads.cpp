/// \file
/// Share of reads served by replicas at several replication lags and write
/// shares, and read-your-writes violations, for the causal routing policy and
/// for primary-only as the baseline. Sessions of kind "session" read what they
/// wrote; sessions of kind "catalogue" only read, while the others write.

#include "client.h"
#include "driver.h"
#include "fleet.h"
#include <atomic>
#include <cstdio>
#include <thread>

using namespace eelgrassloom;

namespace {

/// Sessions of each kind.
constexpr unsigned Sessions = 16;
constexpr std::chrono::seconds RunTime{5};
/// Mean pause between two requests of a session.
constexpr unsigned ThinkMillis = 100;

/// Results of all sessions of one kind. NotOk also counts writes; Violations
/// are reads that did not return the session's last acknowledged write.
struct Counts {
  std::atomic<unsigned> Reads{0};
  std::atomic<unsigned> ReplicaReads{0};
  std::atomic<unsigned> Violations{0};
  std::atomic<unsigned> NotOk{0};

  void add(const caller::v1::RunAnswer &A) {
    if (A.outcome() != caller::v1::OUTCOME_OK) {
      ++NotOk;
      return;
    }
    ++Reads;
    ReplicaReads += A.role() == types::v1::UPSTREAM_ROLE_REPLICA;
  }
};

/// Pause before the next request of a session.
std::chrono::milliseconds think(std::mt19937_64 &Random) {
  return std::chrono::milliseconds(Random() % (2UL * ThinkMillis));
}

/// Writes the session's own key and reads it back, through a random proxy each
/// time.
void runSession(fleet::Fleet &F, unsigned Id, unsigned WritePercent,
                Counts &Result) {
  std::mt19937_64 Random(Id);
  const auto &Proxies = F.topology().Proxies;
  fleet::CallerSession Session(F.proxyAddress(Proxies[0].Id));
  std::string Key = "s" + std::to_string(Id);
  std::string LastAcknowledged;
  unsigned Count = 0;
  for (auto End = bench::BenchClock::now() + RunTime;
       bench::BenchClock::now() < End;) {
    std::this_thread::sleep_for(think(Random));
    Session.moveTo(F.proxyAddress(Proxies[Random() % Proxies.size()].Id));
    if (Random() % 100 < WritePercent) {
      std::string Value = std::to_string(++Count);
      if (Session.run(fleet::request("db1", "normal", fleet::put(Key, Value)))
              .outcome() == caller::v1::OUTCOME_OK)
        LastAcknowledged = Value;
      else
        ++Result.NotOk;
      continue;
    }
    auto A = Session.run(fleet::request("db1", "background", fleet::get(Key)));
    Result.add(A);
    if (A.outcome() == caller::v1::OUTCOME_OK &&
        fleet::valueOf(A.result()).data() != LastAcknowledged)
      ++Result.Violations;
  }
}

/// Reads the keys that other sessions write, and never writes.
void runCatalogue(fleet::Fleet &F, unsigned Id, Counts &Result) {
  std::mt19937_64 Random(1000 + Id);
  const auto &Proxies = F.topology().Proxies;
  fleet::CallerSession Session(F.proxyAddress(Proxies[0].Id));
  for (auto End = bench::BenchClock::now() + RunTime;
       bench::BenchClock::now() < End;) {
    std::this_thread::sleep_for(think(Random));
    Session.moveTo(F.proxyAddress(Proxies[Random() % Proxies.size()].Id));
    Result.add(Session.run(
        fleet::request("db1", "background",
                       fleet::get("s" + std::to_string(Random() % Sessions)))));
  }
}

void print(const char *Policy, unsigned LagMillis, unsigned WritePercent,
           const char *Kind, const Counts &C) {
  std::printf("%-13s lag %3u ms  writes %2u%%  %-9s replica reads %5.1f%% of "
              "%5u  violations %u  not OK %u\n",
              Policy, LagMillis, WritePercent, Kind,
              C.Reads ? 100.0 * C.ReplicaReads / C.Reads : 0.0, C.Reads.load(),
              C.Violations.load(), C.NotOk.load());
  std::fflush(stdout);
}

void measure(const char *Policy, unsigned LagMillis, unsigned WritePercent) {
  fleet::Topology T;
  T.Config = fleet::makeConfiguration({"d1", "d2", "d3", "d4"}, 1, 5);
  T.Proxies = {{"p1", "d1"}, {"p2", "d2"}, {"p3", "d3"}, {"p4", "d4"}};
  T.ProxyFlags = {std::string("--routing-policy=") + Policy};
  T.DomainDelayUs = 1500;
  T.ServiceUs = 500;
  fleet::Fleet F(T);
  for (const auto &U : F.topology().Config.databases(0).upstreams()) {
    standin::v1::UpstreamSettings S;
    S.set_lag_ms(LagMillis);
    F.configure(U.id(), S);
  }
  if (!F.awaitServing(std::chrono::seconds(10)))
    throw std::runtime_error(
        "proxies did not serve every database within 10 s");
  Counts SessionCounts;
  Counts CatalogueCounts;
  std::vector<std::thread> Threads;
  for (unsigned I = 0; I < Sessions; ++I) {
    Threads.emplace_back(
        [&, I] { runSession(F, I, WritePercent, SessionCounts); });
    Threads.emplace_back([&, I] { runCatalogue(F, I, CatalogueCounts); });
  }
  for (std::thread &Thread : Threads)
    Thread.join();
  print(Policy, LagMillis, WritePercent, "session", SessionCounts);
  print(Policy, LagMillis, WritePercent, "catalogue", CatalogueCounts);
}

} // namespace

int main() {
  for (const char *Policy : {"primary-only", "causal"})
    for (unsigned Lag : {5, 50, 500})
      for (unsigned Writes : {2, 10, 30})
        measure(Policy, Lag, Writes);
  return 0;
}
