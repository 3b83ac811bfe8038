/// \file
/// Goodput of each priority while one priority has 10 or 20 times its usual
/// load, with the slots per upstream of both deployments (verband and unidad),
/// for the shares policy and for the fifo policy as the baseline.

#include "client.h"
#include "driver.h"
#include "fleet.h"
#include <array>
#include <cstdio>

using namespace eelgrassloom;

namespace {

constexpr unsigned ServiceUs = 5000;
constexpr std::chrono::milliseconds RunTime{5000};
constexpr std::array<const char *, 3> Classes = {"urgent", "normal",
                                                 "background"};
/// Guaranteed share of each class, as fleet::makeConfiguration sets it.
constexpr std::array<double, 3> Shares = {0.60, 0.25, 0.15};
/// Offered load of each class without overload, as a fraction of the primary's
/// capacity.
constexpr std::array<double, 3> UsualLoad = {0.30, 0.15, 0.10};
constexpr std::array<std::chrono::milliseconds, 3> Deadlines = {
    std::chrono::milliseconds(1000), std::chrono::milliseconds(1000),
    std::chrono::milliseconds(500)};

/// Goodput of each class per second while class \p Overloaded (none if it is
/// negative) has \p Factor times its usual load.
std::vector<double> measure(fleet::Fleet &F, unsigned Slots, int Overloaded,
                            double Factor, std::uint64_t Seed) {
  double Capacity = Slots * 1e6 / ServiceUs;
  std::vector<std::string> Proxies;
  for (const auto &P : F.topology().Proxies)
    Proxies.push_back(F.proxyAddress(P.Id));
  auto D = bench::Driver::create(Proxies, Seed);
  std::vector<bench::Load> Loads;
  for (std::size_t I = 0; I < Classes.size(); ++I) {
    double Rate = UsualLoad[I] * Capacity *
                  (static_cast<int>(I) == Overloaded ? Factor : 1);
    Loads.push_back({Classes[I], Rate, Deadlines[I], [I](std::mt19937_64 &R) {
                       return fleet::request(
                           "db1", Classes[I],
                           fleet::put("k" + std::to_string(R() % 1000), "v"));
                     }});
  }
  auto Results = D->run(Loads, RunTime);
  std::vector<double> Goodput;
  for (std::size_t I = 0; I < Results.size(); ++I)
    Goodput.push_back(Results[I].goodput(Deadlines[I], RunTime));
  return Goodput;
}

void printRow(const char *Policy, const std::string &Case,
              const std::vector<double> &Goodput, double Capacity) {
  double Sum = Goodput[0] + Goodput[1] + Goodput[2];
  std::printf("%-7s %-16s urgent %6.1f/s  normal %6.1f/s  background %6.1f/s  "
              "total %3.0f%% of capacity\n",
              Policy, Case.c_str(), Goodput[0], Goodput[1], Goodput[2],
              100 * Sum / Capacity);
}

void runDeployment(const char *Name, unsigned Slots, const char *Policy) {
  double Capacity = Slots * 1e6 / ServiceUs;
  fleet::Topology T;
  T.Config = fleet::makeConfiguration({"d1", "d2", "d3", "d4"}, 1, Slots);
  T.Proxies = {{"p1", "d1"}, {"p2", "d2"}, {"p3", "d3"}, {"p4", "d4"}};
  T.ProxyFlags = {std::string("--priority-policy=") + Policy};
  T.Relay = false;
  T.ServiceUs = ServiceUs;
  fleet::Fleet F(T);
  if (!F.awaitServing(std::chrono::seconds(10)))
    throw std::runtime_error(
        "proxies did not serve every database within 10 s");
  std::printf("%s: %u slots, capacity of the primary %.0f/s, writes only\n",
              Name, Slots, Capacity);
  auto Baseline = measure(F, Slots, -1, 1, 1);
  printRow(Policy, "no overload", Baseline, Capacity);
  for (int Overloaded = 0; Overloaded < 3; ++Overloaded)
    for (double Factor : {10.0, 20.0}) {
      auto Goodput = measure(F, Slots, Overloaded, Factor, 2);
      const auto At = static_cast<std::size_t>(Overloaded);
      printRow(Policy,
               std::string(Classes[At]) + " x" +
                   std::to_string(static_cast<int>(Factor)),
               Goodput, Capacity);
      if (Overloaded != 0)
        std::printf(
            "        urgent keeps %.0f%% of its service (target 95%%)\n",
            100 * Goodput[0] / Baseline[0]);
      for (std::size_t I = 0; I < Classes.size(); ++I) {
        double Guaranteed = std::min(Baseline[I], Shares[I] * Capacity);
        if (Goodput[I] < 0.95 * Guaranteed)
          std::printf("        %s is below its share: %.1f/s of %.1f/s\n",
                      Classes[I], Goodput[I], Guaranteed);
      }
    }
}

} // namespace

int main() {
  for (const char *Policy : {"fifo", "shares"}) {
    runDeployment("verband", 5, Policy);
    runDeployment("unidad", 2, Policy);
  }
  return 0;
}
