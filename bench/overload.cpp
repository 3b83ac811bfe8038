/// \file
/// Service per priority while one priority is offered ten times its load, for
/// both deployments, with the shares policy next to the fifo baseline.

#include "client.h"
#include "driver.h"
#include "fleet.h"
#include <array>
#include <cstdio>

using namespace eelgrassloom;

namespace {

constexpr unsigned ServiceUs = 5000;
constexpr std::chrono::milliseconds Run{5000};
constexpr std::array<const char *, 3> Classes = {"urgent", "normal",
                                                 "background"};
constexpr std::array<double, 3> Shares = {0.60, 0.25, 0.15};
// Offered load of each class without overload, as a part of the primary's
// capacity.
constexpr std::array<double, 3> Normal = {0.30, 0.15, 0.10};
constexpr std::array<std::chrono::milliseconds, 3> Deadlines = {
    std::chrono::milliseconds(1000), std::chrono::milliseconds(1000),
    std::chrono::milliseconds(500)};

std::vector<double> measure(fleet::Fleet &F, unsigned Slots, int Overloaded,
                            double Factor, std::uint64_t Seed) {
  double Capacity = Slots * 1e6 / ServiceUs;
  std::vector<std::string> Proxies;
  for (const auto &P : F.topology().Proxies)
    Proxies.push_back(F.proxyAddress(P.Id));
  auto D = bench::Driver::create(Proxies, Seed);
  std::vector<bench::Load> Loads;
  for (std::size_t I = 0; I < Classes.size(); ++I) {
    double Rate =
        Normal[I] * Capacity * (static_cast<int>(I) == Overloaded ? Factor : 1);
    Loads.push_back({Classes[I], Rate, Deadlines[I], [I](std::mt19937_64 &R) {
                       return fleet::request(
                           "db1", Classes[I],
                           fleet::put("k" + std::to_string(R() % 1000), "v"));
                     }});
  }
  auto Results = D->run(Loads, Run);
  std::vector<double> Goodput;
  for (std::size_t I = 0; I < Results.size(); ++I)
    Goodput.push_back(Results[I].goodput(Deadlines[I], Run));
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
    throw std::runtime_error("the fleet does not serve");
  std::printf("%s: %u slots, capacity of the primary %.0f/s, writes only\n",
              Name, Slots, Capacity);
  auto Base = measure(F, Slots, -1, 1, 1);
  printRow(Policy, "no overload", Base, Capacity);
  for (int Level = 0; Level < 3; ++Level)
    for (double Factor : {10.0, 20.0}) {
      auto Goodput = measure(F, Slots, Level, Factor, 2);
      const auto At = static_cast<std::size_t>(Level);
      printRow(Policy,
               std::string(Classes[At]) + " x" +
                   std::to_string(static_cast<int>(Factor)),
               Goodput, Capacity);
      if (Level != 0)
        std::printf(
            "        urgent keeps %.0f%% of its service (target 95%%)\n",
            100 * Goodput[0] / Base[0]);
      for (std::size_t I = 0; I < Classes.size(); ++I) {
        double Due = std::min(Base[I], Shares[I] * Capacity);
        if (Goodput[I] < 0.95 * Due)
          std::printf("        %s is below its share: %.1f/s of %.1f/s\n",
                      Classes[I], Goodput[I], Due);
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
