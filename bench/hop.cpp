/// \file
/// Cost of one proxy: the latency that it adds, statements per second, CPU
/// cores used, and memory of idle caller connections.

#include "client.h"
#include "driver.h"
#include "fleet.h"
#include <cstdio>
#include <grpcpp/grpcpp.h>
#include <thread>

using namespace eelgrassloom;
using bench::BenchClock;

namespace {

constexpr unsigned IdleConnections = 3250;
constexpr unsigned LatencyRequests = 3000;
/// Target throughput of one proxy. The benchmark offers half of this rate, the
/// rate itself and twice the rate.
constexpr double TargetPerSecond = 3400;

double millisSince(BenchClock::time_point Start) {
  return std::chrono::duration<double, std::milli>(BenchClock::now() - Start)
      .count();
}

/// Latencies in milliseconds of LatencyRequests sequential calls.
std::vector<double> measure(const std::function<void()> &Call) {
  std::vector<double> Millis;
  for (unsigned I = 0; I < LatencyRequests; ++I) {
    auto Start = BenchClock::now();
    Call();
    Millis.push_back(millisSince(Start));
  }
  return Millis;
}

void printLatency(const char *Name, const std::vector<double> &Millis) {
  std::printf("%-22s p50 %.3f ms  p99 %.3f ms\n", Name,
              bench::quantile(Millis, 0.5), bench::quantile(Millis, 0.99));
}

void latency(fleet::Fleet &F) {
  fleet::DirectConnection Direct(F.upstreamAddress("db1-1"));
  printLatency("direct read",
               measure([&] { Direct.execute(fleet::get("k"), 0); }));
  fleet::CallerSession Session(F.proxyAddress("p1"));
  printLatency("read by one proxy", measure([&] {
                 Session.run(
                     fleet::request("db1", "background", fleet::get("k")));
               }));
  printLatency("urgent write, one proxy", measure([&] {
                 Session.run(
                     fleet::request("db1", "urgent", fleet::put("k", "v")));
               }));
}

void throughput(fleet::Fleet &F, double PerSecond) {
  constexpr std::chrono::seconds RunTime{6};
  auto D = bench::Driver::create({F.proxyAddress("p1"), F.proxyAddress("p1"),
                                  F.proxyAddress("p1"), F.proxyAddress("p1")},
                                 1);
  double Cpu = bench::cpuSeconds(F.pid("p1"));
  auto Results =
      D->run({{"reads", PerSecond * 0.9, std::chrono::milliseconds(1000),
               [](std::mt19937_64 &R) {
                 return fleet::request("db" + std::to_string(1 + R() % 3),
                                       "background", fleet::get("k"));
               }},
              {"writes", PerSecond * 0.1, std::chrono::milliseconds(1000),
               [](std::mt19937_64 &R) {
                 return fleet::request("db" + std::to_string(1 + R() % 3),
                                       "normal", fleet::put("k", "v"));
               }}},
             RunTime);
  double Cores = (bench::cpuSeconds(F.pid("p1")) - Cpu) /
                 static_cast<double>(RunTime.count());
  double Good = 0;
  for (const auto &R : Results)
    Good += R.goodput(std::chrono::milliseconds(1000), RunTime);
  std::printf("offered %.0f/s: %.0f/s OK at %.2f cores, read p50 %.2f ms p99 "
              "%.2f ms\n",
              PerSecond, Good, Cores, Results[0].quantileMillis(0.5),
              Results[0].quantileMillis(0.99));
}

void idleMemory(fleet::Fleet &F) {
  long Before = bench::residentKb(F.pid("p1"));
  std::vector<std::shared_ptr<grpc::Channel>> Channels;
  for (unsigned I = 0; I < IdleConnections; ++I) {
    Channels.push_back(fleet::makeChannel(F.proxyAddress("p1")));
    Channels.back()->WaitForConnected(std::chrono::system_clock::now() +
                                      std::chrono::seconds(5));
  }
  long After = bench::residentKb(F.pid("p1"));
  std::printf("idle connections: %u, memory %ld MB before, %ld MB after, "
              "%.1f KB each\n",
              IdleConnections, Before / 1024, After / 1024,
              static_cast<double>(After - Before) / IdleConnections);
}

} // namespace

int main() {
  fleet::Topology T;
  T.Config = fleet::makeConfiguration({"north"}, 3, 30);
  T.Proxies = {{"p1", "north"}};
  T.Relay = false;
  T.ServiceUs = 100;
  fleet::Fleet F(T);
  if (!F.awaitServing(std::chrono::seconds(10))) {
    std::fprintf(stderr, "proxies did not serve every database within 10 s\n");
    return 1;
  }
  latency(F);
  for (double PerSecond :
       {TargetPerSecond / 2, TargetPerSecond, TargetPerSecond * 2})
    throughput(F, PerSecond);
  idleMemory(F);
  return 0;
}
