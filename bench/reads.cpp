/// \file
/// Share of reads served by replicas at several lags and write shares, and
/// read-your-writes violations, for the causal policy next to primary-only.

#include "client.h"
#include "driver.h"
#include "fleet.h"
#include <atomic>
#include <cstdio>
#include <thread>

using namespace eelgrassloom;

namespace {

constexpr unsigned Sessions = 16;
constexpr std::chrono::seconds Run{4};

struct Counts {
  std::atomic<unsigned> Reads{0};
  std::atomic<unsigned> ReplicaReads{0};
  std::atomic<unsigned> Violations{0};
  std::atomic<unsigned> Other{0};
};

/// One session: writes its own key and reads it back from changing proxies.
void runSession(fleet::Fleet &F, unsigned Id, unsigned WritePercent,
                bool ReadsOwnKey, Counts &C) {
  std::mt19937_64 Random(Id);
  const auto &Proxies = F.topology().Proxies;
  fleet::CallerSession Session(F.proxyAddress(Proxies[0].Id));
  std::string Key = "s" + std::to_string(Id);
  std::string Last;
  unsigned Count = 0;
  for (auto End = bench::BenchClock::now() + Run;
       bench::BenchClock::now() < End;) {
    Session.moveTo(F.proxyAddress(Proxies[Random() % Proxies.size()].Id));
    if (Random() % 100 < WritePercent) {
      std::string Value = std::to_string(++Count);
      auto A =
          Session.run(fleet::request("db1", "normal", fleet::put(Key, Value)));
      if (A.outcome() == caller::v1::OUTCOME_OK)
        Last = Value;
      else
        ++C.Other;
    } else {
      auto A = Session.run(fleet::request(
          "db1", "background",
          fleet::get(ReadsOwnKey ? Key
                                 : "s" + std::to_string(Random() % Sessions))));
      if (A.outcome() != caller::v1::OUTCOME_OK) {
        ++C.Other;
        continue;
      }
      ++C.Reads;
      if (A.role() == types::v1::UPSTREAM_ROLE_REPLICA)
        ++C.ReplicaReads;
      if (ReadsOwnKey && fleet::valueOf(A.result()).data() != Last)
        ++C.Violations;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
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
    throw std::runtime_error("the fleet does not serve");
  for (bool OwnKey : {true, false}) {
    Counts C;
    std::vector<std::thread> Threads;
    for (unsigned I = 0; I < Sessions; ++I)
      Threads.emplace_back(
          [&, I] { runSession(F, I, WritePercent, OwnKey, C); });
    for (std::thread &T : Threads)
      T.join();
    std::printf(
        "%-13s lag %3u ms  writes %2u%%  %-14s replica reads %5.1f%% of "
        "%5u  violations %u  not OK %u\n",
        Policy, LagMillis, WritePercent, OwnKey ? "own-key reads" : "catalogue",
        C.Reads ? 100.0 * C.ReplicaReads / C.Reads : 0.0, C.Reads.load(),
        C.Violations.load(), C.Other.load());
    std::fflush(stdout);
  }
}

} // namespace

int main() {
  for (const char *Policy : {"primary-only", "causal"})
    for (unsigned Lag : {5, 50, 500})
      for (unsigned Writes : {2, 10, 30})
        measure(Policy, Lag, Writes);
  return 0;
}
