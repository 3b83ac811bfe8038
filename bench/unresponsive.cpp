/// \file
/// Time back to full service after 25 of 30 connections of the primary stop
/// answering without closing.

#include "client.h"
#include "driver.h"
#include "fleet.h"
#include <cstdio>
#include <thread>

using namespace eelgrassloom;

namespace {

constexpr unsigned Hung = 25;
// The owner opens at most a third of the limit: 30 connections.
constexpr unsigned ConnectionLimit = 90;
constexpr std::chrono::milliseconds Before{2000};
constexpr std::chrono::milliseconds Run{6000};
constexpr std::chrono::milliseconds Window{100};

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
    throw std::runtime_error("the fleet does not serve");
  auto D = bench::Driver::create({F.proxyAddress("p1")}, 1);
  bench::BenchClock::time_point Injected;
  unsigned Connections = 0;
  std::thread Faults([&] {
    std::this_thread::sleep_for(Before);
    standin::v1::UpstreamSettings S;
    S.set_hang_connections(Hung);
    Injected = bench::BenchClock::now();
    Connections = F.configure("db1-1", S).connections();
  });
  auto Results =
      D->run({{"reads", 700, std::chrono::milliseconds(2000),
               [](std::mt19937_64 &) {
                 return fleet::request("db1", "normal", fleet::get("k"));
               }}},
             Run);
  Faults.join();
  const auto &Samples = Results[0].Samples;
  double Full = rate(Samples, Injected - std::chrono::milliseconds(1000),
                     std::chrono::milliseconds(1000));
  double Back = -1;
  for (int Step = 1; Step < 40; ++Step) {
    auto From = Injected + Step * Window;
    if (rate(Samples, From, std::chrono::milliseconds(300)) >= 0.95 * Full) {
      Back = static_cast<double>((Step * Window).count());
      break;
    }
  }
  std::printf("%u of %u connections hung: %.0f/s before, full service after "
              "%.0f ms (target 1000), not OK %zu of %zu\n",
              Hung, Connections, Full, Back,
              Samples.size() - Results[0].count(caller::v1::OUTCOME_OK),
              Samples.size());
  return 0;
}
