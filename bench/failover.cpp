/// \file
/// Unavailability of urgent writes during a seeded series of failovers: the
/// primary is killed, paused or partitioned. A pause shorter than the failover
/// tolerance must not lead to a promotion.
///
/// Usage: bench-failover [SEED [ROUNDS]]

#include "client.h"
#include "driver.h"
#include "fleet.h"
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <thread>

using namespace eelgrassloom;

namespace {

constexpr double WritesPerSecond = 200;
constexpr std::chrono::milliseconds TimeBeforeFault{1500};
constexpr std::chrono::milliseconds TimeAfterFault{6000};
constexpr std::chrono::milliseconds ShortPause{400};

enum class Fault { Kill, Pause, Partition, ShortPause };
constexpr const char *FaultNames[] = {"kill", "pause", "partition",
                                      "short pause"};

void inject(fleet::Fleet &F, Fault Kind, const std::string &Upstream) {
  switch (Kind) {
  case Fault::Kill:
    F.kill(Upstream);
    break;
  case Fault::Pause:
    F.signal(Upstream, SIGSTOP);
    break;
  case Fault::Partition:
    F.setCutTo(Upstream, true);
    break;
  case Fault::ShortPause:
    F.signal(Upstream, SIGSTOP);
    std::this_thread::sleep_for(ShortPause);
    F.signal(Upstream, SIGCONT);
    break;
  }
}

void heal(fleet::Fleet &F, Fault Kind, const std::string &Upstream) {
  if (Kind == Fault::Kill)
    F.startUpstream(Upstream);
  else if (Kind == Fault::Pause)
    F.signal(Upstream, SIGCONT);
  else if (Kind == Fault::Partition)
    F.setCutTo(Upstream, false);
}

/// Longest time in milliseconds after the fault without a successful write;
/// 1e9 if no write succeeded after the fault.
double gapMillis(const std::vector<bench::Sample> &Samples,
                 bench::BenchClock::time_point Injected) {
  std::vector<bench::BenchClock::time_point> Successes = {Injected};
  for (const auto &S : Samples)
    if (S.Outcome == caller::v1::OUTCOME_OK && S.End > Injected)
      Successes.push_back(S.End);
  std::sort(Successes.begin(), Successes.end());
  double Max = 0;
  for (std::size_t I = 1; I < Successes.size(); ++I)
    Max = std::max(Max, std::chrono::duration<double, std::milli>(
                            Successes[I] - Successes[I - 1])
                            .count());
  return Successes.size() > 1 ? Max : 1e9;
}

} // namespace

int main(int Argc, char **Argv) {
  std::uint64_t Seed = Argc > 1 ? std::strtoull(Argv[1], nullptr, 10) : 1;
  int Rounds = Argc > 2 ? std::atoi(Argv[2]) : 28;
  std::mt19937_64 Random(Seed);
  fleet::Topology T;
  T.Config = fleet::makeConfiguration({"d1", "d2", "d3", "d4"}, 1, 5);
  for (int I = 0; I < 8; ++I)
    T.Proxies.push_back(
        {"p" + std::to_string(I + 1), "d" + std::to_string(1 + I % 4)});
  T.DomainDelayUs = 1500;
  fleet::Fleet F(T);
  if (!F.awaitServing(std::chrono::seconds(10)))
    throw std::runtime_error(
        "proxies did not serve every database within 10 s");

  std::vector<std::string> Proxies;
  for (const auto &P : T.Proxies)
    Proxies.push_back(F.proxyAddress(P.Id));
  std::vector<double> Gaps;
  unsigned NeedlessPromotions = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    auto Kind = static_cast<Fault>(Round % 4);
    const auto Group = F.newestGroup();
    const std::uint64_t Term = Group.term();
    const std::string &Primary = Group.primary();
    auto D = bench::Driver::create(Proxies, Random());
    bench::BenchClock::time_point Injected;
    std::thread FaultThread([&] {
      std::this_thread::sleep_for(TimeBeforeFault +
                                  std::chrono::milliseconds(Random() % 500));
      Injected = bench::BenchClock::now();
      inject(F, Kind, Primary);
    });
    auto Results =
        D->run({{"urgent", WritesPerSecond, std::chrono::milliseconds(1000),
                 [](std::mt19937_64 &R) {
                   return fleet::request(
                       "db1", "urgent",
                       fleet::put("k" + std::to_string(R() % 100), "v"));
                 }}},
               TimeBeforeFault + TimeAfterFault);
    FaultThread.join();
    const auto NewGroup = F.newestGroup();
    const std::uint64_t NewTerm = NewGroup.term();
    const std::string &NewPrimary = NewGroup.primary();
    double Gap = gapMillis(Results[0].Samples, Injected);
    if (Kind == Fault::ShortPause)
      NeedlessPromotions += NewTerm != Term;
    else
      Gaps.push_back(Gap);
    std::printf("round %2d %-11s %s -> %s, term %lu -> %lu, window %.0f ms, "
                "unknown %zu, refused %zu\n",
                Round, FaultNames[static_cast<int>(Kind)], Primary.c_str(),
                NewPrimary.c_str(), static_cast<unsigned long>(Term),
                static_cast<unsigned long>(NewTerm), Gap,
                Results[0].count(caller::v1::OUTCOME_UNKNOWN),
                Results[0].count(caller::v1::OUTCOME_REFUSED_NOT_RUN));
    std::fflush(stdout);
    heal(F, Kind, Primary);
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  }
  double Worst = Gaps.empty() ? 0 : *std::max_element(Gaps.begin(), Gaps.end());
  std::printf("seed %lu: %zu failovers, median %.0f ms (target 1500), worst "
              "%.0f ms (target 5000), promotions by short pauses %u (target "
              "0)\n",
              static_cast<unsigned long>(Seed), Gaps.size(),
              bench::quantile(Gaps, 0.5), Worst, NeedlessPromotions);
  return 0;
}
