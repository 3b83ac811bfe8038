/// \file
/// Demonstration on real processes: sessions place print orders, reconcile
/// stock and read a catalogue through three proxies in two failure domains.
/// Fails if the proxies do not serve within 15 s, if no order is acknowledged,
/// if an acknowledged order is not exactly once in the log of the primary, if a
/// session does not read its own order, or if a proxy does not stop cleanly.

#include "client.h"
#include "fleet.h"
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <mutex>
#include <set>
#include <thread>

using namespace eelgrassloom;
using namespace eelgrassloom::fleet;
using namespace std::chrono_literals;
using std::chrono::steady_clock;

namespace {

/// Iterations of a session; placing an order and reading it back is one.
constexpr int RequestsPerSession = 100;
/// Iterations after which a session moves to the next proxy.
constexpr int RequestsPerProxy = 10;

const std::vector<ProxySpec> Proxies = {
    {"proxy-1", "muenchen"}, {"proxy-2", "muenchen"}, {"proxy-3", "rosenheim"}};

/// Answers that the sessions of one workload received, with their latencies.
struct WorkloadResult {
  std::mutex Mutex;
  std::map<caller::v1::Outcome, int> Outcomes;
  std::map<std::string, int> Reasons;
  std::vector<double> Millis;
  int ByReplica = 0;
  /// Reads that missed the session's own acknowledged order.
  int Violations = 0;
  /// Request ids of acknowledged writes.
  std::set<std::string> Acknowledged;
};

/// Runs a request and adds its answer and latency to \p Result.
caller::v1::RunAnswer timed(CallerSession &Session, WorkloadResult &Result,
                            const caller::v1::RunRequest &Request) {
  auto Start = steady_clock::now();
  caller::v1::RunAnswer Answer = Session.run(Request);
  std::chrono::duration<double, std::milli> Took = steady_clock::now() - Start;
  std::lock_guard Lock(Result.Mutex);
  ++Result.Outcomes[Answer.outcome()];
  if (Answer.outcome() != caller::v1::OUTCOME_OK)
    ++Result.Reasons[caller::v1::Reason_Name(Answer.reason()) + " " +
                     Answer.message()];
  else if (Request.access() == caller::v1::ACCESS_WRITE)
    Result.Acknowledged.insert(Request.request_id());
  Result.ByReplica += Answer.role() == types::v1::UPSTREAM_ROLE_REPLICA;
  Result.Millis.push_back(Took.count());
  return Answer;
}

/// Places an order and reads the list of orders back. An acknowledged order
/// must be in the list, also after the session moved to another proxy;
/// otherwise the read counts as a violation.
void placeOrders(CallerSession &Session, WorkloadResult &Orders,
                 WorkloadResult &Reads, int Shop, int I) {
  std::string Key = "workshop-" + std::to_string(Shop);
  std::string Order = "order-" + std::to_string(I);
  auto Write = request("auftraege", "print-order", append(Key, Order));
  Write.set_non_idempotent(true);
  bool Placed =
      timed(Session, Orders, Write).outcome() == caller::v1::OUTCOME_OK;
  auto Seen =
      timed(Session, Reads, request("auftraege", "catalogue-read", get(Key)));
  auto List = valueOf(Seen.result()).list();
  if (Placed && Seen.outcome() == caller::v1::OUTCOME_OK &&
      std::find(List.begin(), List.end(), Order) == List.end())
    ++Reads.Violations;
}

void print(const char *Name, WorkloadResult &Result) {
  std::sort(Result.Millis.begin(), Result.Millis.end());
  auto Quantile = [&](double Share) {
    auto Last = static_cast<double>(Result.Millis.size() - 1);
    return Result.Millis.empty() ? 0 : Result.Millis[std::size_t(Last * Share)];
  };
  std::printf("%-22s %5zu requests: %5d ok, %3d refused, %3d unknown, %3d "
              "failed; %5d by replicas; median %.1f ms, p99 %.1f ms\n",
              Name, Result.Millis.size(),
              Result.Outcomes[caller::v1::OUTCOME_OK],
              Result.Outcomes[caller::v1::OUTCOME_REFUSED_NOT_RUN],
              Result.Outcomes[caller::v1::OUTCOME_UNKNOWN],
              Result.Outcomes[caller::v1::OUTCOME_FAILED], Result.ByReplica,
              Quantile(0.5), Quantile(0.99));
  for (const auto &[Reason, Count] : Result.Reasons)
    std::printf("  %d x %s\n", Count, Reason.c_str());
}

/// Number of acknowledged orders that are not exactly once in the log of
/// \p Upstream.
int countWrongOrders(Fleet &F, const std::string &Upstream,
                     const WorkloadResult &Result) {
  std::multiset<std::string> Logged;
  for (const auto &Entry : F.log(Upstream))
    Logged.insert(Entry.request_id());
  return static_cast<int>(
      std::count_if(Result.Acknowledged.begin(), Result.Acknowledged.end(),
                    [&](const auto &Id) { return Logged.count(Id) != 1; }));
}

int runDemo() {
  Topology T;
  T.Config = exampleConfiguration("verband-kern");
  T.Proxies = Proxies;
  T.DomainDelayUs = 1500;
  T.CallerDelayUs = 3000;
  Fleet F(T);
  if (!F.awaitServing(15s)) {
    std::printf("proxies did not serve every database within 15 s\n");
    return 1;
  }
  std::printf("9 upstreams, 3 proxies in 2 failure domains are up\n");

  WorkloadResult Orders;
  WorkloadResult Stock;
  WorkloadResult Catalogue;
  std::vector<std::thread> Sessions;
  auto StartSessions = [&](int Count, auto Work) {
    for (int S = 0; S < Count; ++S)
      Sessions.emplace_back([&F, S, Work] {
        CallerSession Session(F.proxyAddress(Proxies[S % 3].Id));
        for (int I = 0; I < RequestsPerSession; ++I) {
          if (I % RequestsPerProxy == 0)
            Session.moveTo(
                F.proxyAddress(Proxies[(S + I / RequestsPerProxy) % 3].Id));
          Work(Session, S, I);
        }
      });
  };
  auto Begin = steady_clock::now();
  StartSessions(6, [&](CallerSession &Session, int S, int I) {
    placeOrders(Session, Orders, Catalogue, S, I);
  });
  StartSessions(4, [&](CallerSession &Session, int S, int) {
    timed(Session, Stock,
          request("bestand", "stock-reconciliation",
                  add("ink-" + std::to_string(S % 2), 1)));
  });
  StartSessions(8, [&](CallerSession &Session, int, int I) {
    timed(Session, Catalogue,
          request("katalog", "catalogue-read",
                  get("mat-" + std::to_string(I % 20))));
  });
  for (std::thread &S : Sessions)
    S.join();
  std::chrono::duration<double> Took = steady_clock::now() - Begin;
  std::printf("18 sessions that change the proxy every %d requests took "
              "%.1f s\n",
              RequestsPerProxy, Took.count());
  print("orders (urgent)", Orders);
  print("stock (normal)", Stock);
  print("catalogue (background)", Catalogue);

  int Wrong = countWrongOrders(F, "auftraege-1", Orders);
  std::printf("%zu acknowledged orders, %d not exactly once in the log; %d "
              "reads missed the session's own order\n",
              Orders.Acknowledged.size(), Wrong, Catalogue.Violations);
  int Status = 0;
  for (const ProxySpec &P : Proxies)
    F.signal(P.Id, SIGTERM);
  for (const ProxySpec &P : Proxies) {
    int Exit = F.wait(P.Id, 35s);
    std::printf("%s stopped with status %d\n", P.Id.c_str(), Exit);
    Status |= Exit != 0;
  }
  return Status | (Wrong + Catalogue.Violations > 0) |
         Orders.Acknowledged.empty();
}

} // namespace

int main() {
  try {
    return runDemo();
  } catch (const std::exception &E) {
    std::cerr << E.what() << '\n';
    return 1;
  }
}
