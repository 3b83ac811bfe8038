/// \file
/// Time until full service is restored after 25 of the 30 connections to the
/// primary stop answering without being closed.

#include "client.h"
#include "driver.h"
#include "fleet.h"
#include <cstdio>
#include <thread>

using namespace eelgrassloom;

namespace {

constexpr unsigned HungConnections = 25;
/// The owner opens at most a third of this limit, which is 30 connections.
constexpr unsigned ConnectionLimit = 90;
constexpr std::chrono::milliseconds TimeBeforeFault{2000};
constexpr std::chrono::milliseconds RunTime{6000};
/// The time of recovery is searched in steps of this length.
constexpr std::chrono::milliseconds RecoveryStep{100};

/// OK answers per second in the time \p Length after \p From.
double rate(const std::vector<bench::Sample> &Samples,
            bench::BenchClock::time_point From,
            std::chrono::milliseconds Length) {
  unsigned Count = 0;
  for (const auto &S : Samples)
    if (S.Outcome == caller::v1::OUTCOME_OK && S.End >= From &&
        S.End < From + Length)
      ++Count;
  return Count * 1000.0 / static_cast<double>(Length.count());
}

} // namespace

int main() {
  fleet::Topology T;
  T.Config = fleet::makeConfiguration({"d1"}, 1, 30);
  for (auto &U : *T.Config.mutable_databases(0)->mutable_upstreams())
    U.set_connection_cap(ConnectionLimit);
  T.Proxies = {{"p1", "d1"}};
  T.Relay = false;
  T.ServiceUs = 20000;
  fleet::Fleet F(T);
  standin::v1::UpstreamSettings Limit;
  Limit.set_connection_limit(ConnectionLimit);
  F.configure("db1-1", Limit);
  if (!F.awaitServing(std::chrono::seconds(10)))
    throw std::runtime_error(
        "proxies did not serve every database within 10 s");
  auto D = bench::Driver::create({F.proxyAddress("p1")}, 1);
  bench::BenchClock::time_point Injected;
  unsigned Connections = 0;
  std::thread FaultThread([&] {
    std::this_thread::sleep_for(TimeBeforeFault);
    standin::v1::UpstreamSettings S;
    S.set_hang_connections(HungConnections);
    Injected = bench::BenchClock::now();
    Connections = F.configure("db1-1", S).connections();
  });
  auto Results =
      D->run({{"reads", 700, std::chrono::milliseconds(2000),
               [](std::mt19937_64 &) {
                 return fleet::request("db1", "normal", fleet::get("k"));
               }}},
             RunTime);
  FaultThread.join();
  const auto &Samples = Results[0].Samples;
  double FullRate = rate(Samples, Injected - std::chrono::milliseconds(1000),
                         std::chrono::milliseconds(1000));
  // Stays -1 if the rate does not recover within the searched time.
  double RecoveryMillis = -1;
  for (int Step = 1; Step < 40; ++Step) {
    auto From = Injected + Step * RecoveryStep;
    if (rate(Samples, From, std::chrono::milliseconds(300)) >=
        0.95 * FullRate) {
      RecoveryMillis = static_cast<double>((Step * RecoveryStep).count());
      break;
    }
  }
  std::printf("%u of %u connections hung: %.0f/s before, full service after "
              "%.0f ms (target 1000), not OK %zu of %zu\n",
              HungConnections, Connections, FullRate, RecoveryMillis,
              Samples.size() - Results[0].count(caller::v1::OUTCOME_OK),
              Samples.size());
  return 0;
}
