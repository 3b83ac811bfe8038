#include "control/customerlimits.h"
#include <algorithm>
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

namespace {

constexpr double Rate = 100;
constexpr double Burst = 100;
constexpr double Excess = 0.1;
constexpr double Slack = 20;
constexpr Duration Window = 5s;

/// One proxy with its limits. Its operations reach a server as soon as they are
/// admitted.
struct LimitedProxy {
  ProxyId Id;
  std::string Domain;
  bool Running = true;
  std::unique_ptr<EventWriter> Events;
  std::unique_ptr<Metrics> Counters;
  RuntimeHooks Hooks;
  std::unique_ptr<Engine> SessionEngine;
  std::unique_ptr<CustomerLimits> Limits;
};

/// Proxies of three failure domains with a simulated clock and network.
class LimitedFleet {
public:
  LimitedFleet(unsigned PerDomain, std::uint64_t Seed) : Random(Seed) {
    for (const char *Domain : {"a", "b", "c"})
      for (unsigned I = 0; I < PerDomain; ++I)
        add(Domain, std::string(Domain) + std::to_string(I));
    for (auto &P : Proxies)
      restart(*P);
  }

  /// Runs timers and deliveries until the time has passed.
  void advance(Duration D) {
    Instant End = Now + D;
    while (!Events.empty() && Events.begin()->first <= End) {
      Now = std::max(Now, Events.begin()->first);
      auto Run = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Run();
    }
    Now = End;
  }

  /// A new process in the place of the proxy, which knows nothing.
  void restart(LimitedProxy &P, bool KnowsPeers = true) {
    ++Incarnations[P.Id];
    P.Running = true;
    P.Events = std::make_unique<EventWriter>(P.Id, [] { return 0; });
    P.Counters = Metrics::create();
    P.Hooks.Now = [this] { return Now; };
    P.Hooks.After = [this, &P, Of = Incarnations[P.Id]](Duration D, auto Run) {
      Events.emplace(Now + D, [this, &P, Of, Run = std::move(Run)] {
        if (P.Running && Incarnations[P.Id] == Of)
          Run();
      });
    };
    P.SessionEngine = Engine::create(
        P.Domain, P.Hooks, [](const DialRequest &, auto) {}, *P.Events,
        *P.Counters);
    P.SessionEngine->applyConfig(config(Version, CurrentRate));
    CustomerLimitOptions Options;
    Options.Domains = 3;
    Options.Tolerance.Slack = Slack;
    P.Limits = CustomerLimits::create(
        P.Id, P.Domain, Random(), *P.SessionEngine,
        [this, &P](const std::string &To, const std::string &Bytes) {
          deliver(P, To, Bytes);
        },
        Options);
    if (KnowsPeers)
      P.Limits->setPeers(registered());
  }

  void setRate(double NewRate) {
    CurrentRate = NewRate;
    ++Version;
    for (auto &P : Proxies)
      P->SessionEngine->applyConfig(config(Version, NewRate));
  }

  /// A version of the configuration in which the customer has no limit.
  void removeLimit() {
    ++Version;
    RoutingConfig Config;
    Config.Version = Version;
    Config.Customers = makeCustomerTable({{"customer", {"key"}, {}}}).value();
    for (auto &P : Proxies)
      P->SessionEngine->applyConfig(Config);
  }

  void begin(LimitedProxy &P) {
    if (!P.Running)
      return;
    ++Begun;
    P.Limits->limiter().Acquire("customer", [this, &P](OperationPermit Permit) {
      if (!Permit.Granted)
        ++Refused;
      else if (draw() < NotRun)
        P.Limits->limiter().GiveBack("customer");
      else
        Admitted.push_back(Now);
    });
  }

  /// Changes the list of proxies: those of \p Ids are not registered.
  void setUnregistered(std::set<ProxyId> Ids) {
    Unregistered = std::move(Ids);
    for (auto &P : Proxies)
      P->Limits->setPeers(registered());
  }
  /// The proxies of a failure domain that may hold the bucket, in order.
  std::vector<ProxyId> holders(const std::string &Domain) const {
    std::vector<LiveProxy> Live;
    for (const auto &P : Proxies)
      Live.push_back({P->Id, P->Domain, false, 100});
    return rankedOwners(makeOwnerTable(Live), Domain, "limit/customer");
  }

  LimitedProxy &any() { return *Proxies[Random() % Proxies.size()]; }
  double draw() { return std::uniform_real_distribution<double>(0, 1)(Random); }

  /// Begins operations at \p PerSecond for the time, at random proxies.
  void run(double PerSecond, Duration Time) {
    for (Instant End = Now + Time; Now < End;) {
      begin(any());
      advance(std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(2 * draw() / PerSecond)));
    }
  }

  /// The most operations that were admitted within a window.
  std::size_t mostInWindow() const {
    std::size_t Most = 0;
    for (std::size_t First = 0, Last = 0; Last < Admitted.size(); ++Last) {
      while (Admitted[Last] - Admitted[First] > Window)
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return Most;
  }

  std::vector<std::unique_ptr<LimitedProxy>> Proxies;
  Instant Now{100s};
  double Loss = 0;
  /// Share of the admitted operations that don't run.
  double NotRun = 0;
  /// Failure domain that is cut off from the others; empty: none.
  std::string CutOff;
  std::vector<Instant> Admitted;
  std::size_t Begun = 0;
  std::size_t Refused = 0;

private:
  void add(const std::string &Domain, const std::string &Id) {
    Proxies.push_back(std::make_unique<LimitedProxy>());
    Proxies.back()->Id = Id;
    Proxies.back()->Domain = Domain;
  }

  static RoutingConfig config(std::uint64_t Version, double NewRate) {
    RoutingConfig Config;
    Config.Version = Version;
    CustomerConfig Customer{"customer", {"key"}, OperationLimit{}};
    Customer.Limit->RatePerSecond = NewRate;
    Customer.Limit->Burst = NewRate / Rate * Burst;
    Config.Customers = makeCustomerTable({Customer}).value();
    return Config;
  }

  std::vector<PeerInfo> registered() const {
    std::vector<PeerInfo> Peers;
    for (const auto &P : Proxies)
      if (Unregistered.count(P->Id) == 0)
        Peers.push_back({P->Id, "to-" + P->Id, P->Domain, 100});
    return Peers;
  }

  void deliver(const LimitedProxy &From, const std::string &To,
               const std::string &Bytes) {
    auto It = std::find_if(Proxies.begin(), Proxies.end(),
                           [&](const auto &P) { return "to-" + P->Id == To; });
    LimitedProxy &Receiver = **It;
    bool Cut = From.Domain != Receiver.Domain &&
               (From.Domain == CutOff || Receiver.Domain == CutOff);
    if (Cut || draw() < Loss)
      return;
    auto Delay = std::chrono::microseconds(
        static_cast<int>(200 + 4000 * draw() * draw() * draw()));
    Events.emplace(Now + Delay, [&Receiver, Address = "to-" + From.Id, Bytes] {
      if (Receiver.Running)
        Receiver.Limits->received(Address, Bytes);
    });
  }

  std::mt19937_64 Random;
  std::multimap<Instant, std::function<void()>> Events;
  std::map<ProxyId, unsigned> Incarnations;
  std::set<ProxyId> Unregistered;
  double CurrentRate = Rate;
  std::uint64_t Version = 1;
};

std::size_t allowedInWindow(double OfRate) {
  double Seconds = std::chrono::duration<double>(Window).count();
  return static_cast<std::size_t>(
      (OfRate * Seconds + OfRate / Rate * Burst) * (1 + Excess) + Slack);
}

} // namespace

// Guards against callers that are refused although their customer stays below
// its limit. Target: at most 2%.
TEST_CASE("operations below the limit are admitted") {
  LimitedFleet F(10, 1);
  F.run(0.65 * Rate, 2s);
  std::size_t RefusedBefore = F.Refused;
  std::size_t BegunBefore = F.Begun;
  F.run(0.65 * Rate, 20s);
  CHECK((F.Refused - RefusedBefore) * 50 <= F.Begun - BegunBefore);
}

// Guards against a customer whose callers are all in one failure domain and
// which may use only a third of its limit.
TEST_CASE("a failure domain uses the tokens of the others") {
  LimitedFleet F(10, 2);
  for (auto &P : F.Proxies)
    P->Running = P->Domain == "a" || P->Id.size() == 2;
  std::size_t InDomain = 0;
  Instant End = F.Now + 10s;
  while (F.Now < End) {
    LimitedProxy &P = F.any();
    if (P.Domain == "a") {
      F.begin(P);
      ++InDomain;
    }
    F.advance(5ms);
  }
  // The share of one domain alone would admit a third of the limit.
  CHECK(F.Admitted.size() > 10 * Rate * 0.45);
  CHECK(InDomain >= F.Admitted.size());
}

// Load: one customer at 7.5 times its usual load.
TEST_CASE("a customer far above its limit stays within it") {
  LimitedFleet F(10, 3);
  F.run(7.5 * 0.65 * Rate, 15s);
  CHECK(F.mostInWindow() <= allowedInWindow(Rate));
  CHECK(F.Admitted.size() >= 15 * Rate * 0.9);
}

// Guards against callers whose tries are refused for another reason, so that
// the next try finds the limit used up.
TEST_CASE("operations that did not run do not count") {
  LimitedFleet F(10, 5);
  F.NotRun = 0.8;
  F.run(3 * Rate, 15s);
  // A fifth of all operations runs, less than the limit.
  CHECK(F.Refused * 20 <= F.Begun);
}

// Guards against callers that are refused while a holder of their customer
// can't be reached from their proxy: half of the share is at the other holder,
// and the other failure domains lend theirs.
TEST_CASE("operations go on while a holder is lost") {
  LimitedFleet F(10, 7);
  F.run(0.5 * Rate, 2s);
  OwnerTable Table;
  std::vector<LiveProxy> Live;
  for (auto &P : F.Proxies)
    Live.push_back({P->Id, P->Domain, false, 100});
  Table = makeOwnerTable(Live);
  ProxyId Lost = rankedOwners(Table, "a", "limit/customer").front();
  for (auto &P : F.Proxies)
    if (P->Id == Lost)
      P->Running = false;
  F.run(0.5 * Rate, 1s); // The others find out that it is silent.
  std::size_t RefusedBefore = F.Refused;
  std::size_t BegunBefore = F.Begun;
  F.run(0.5 * Rate, 10s);
  CHECK((F.Refused - RefusedBefore) * 10 <= F.Begun - BegunBefore);
}

// Guards against callers that are refused because their proxy reaches neither
// the holder nor the deputy of its failure domain.
TEST_CASE("a proxy without holders uses those of other failure domains") {
  LimitedFleet F(10, 9);
  std::vector<ProxyId> Lost = F.holders("a");
  Lost.resize(2);
  for (auto &P : F.Proxies)
    P->Running = std::find(Lost.begin(), Lost.end(), P->Id) == Lost.end();
  F.run(0.5 * Rate, 2s); // The others find out that they are silent.
  std::size_t RefusedBefore = F.Refused;
  std::size_t BegunBefore = F.Begun;
  F.run(0.5 * Rate, 10s);
  CHECK((F.Refused - RefusedBefore) * 10 <= F.Begun - BegunBefore);
}

// Guards against proxies that each grant the whole share before they have read
// the list of proxies, after a restart of all of them.
TEST_CASE("proxies that don't know each other stay near the limit") {
  LimitedFleet F(30, 6);
  for (auto &P : F.Proxies)
    F.restart(*P, false);
  F.run(5 * Rate, 5s);
  CHECK(F.mostInWindow() <= allowedInWindow(Rate));
}

// Guards against a lower limit that is not kept.
TEST_CASE("a lower limit binds") {
  LimitedFleet F(5, 4);
  F.run(5 * Rate, 6s);
  F.setRate(Rate / 10);
  F.advance(1s);
  F.Admitted.clear();
  F.run(5 * Rate, 10s);
  CHECK(F.mostInWindow() <= allowedInWindow(Rate / 10));
  CHECK(F.Admitted.size() >= 10 * Rate / 10 / 2);
}

// Guards against operations that are refused although their customer has no
// limit any more, because holders don't answer for it.
TEST_CASE("operations that wait are admitted when the limit is removed") {
  LimitedFleet F(3, 8);
  ProxyId LastHolder = F.holders("a").back();
  auto It = std::find_if(F.Proxies.begin(), F.Proxies.end(),
                         [&](const auto &P) { return P->Id == LastHolder; });
  LimitedProxy &P = **It;
  for (auto &Other : F.Proxies)
    Other->Running = Other.get() == &P;
  for (int I = 0; I < 5; ++I)
    F.begin(P);
  F.advance(10ms);
  REQUIRE(F.Admitted.empty());
  F.removeLimit();
  F.advance(100ms);
  CHECK(F.Admitted.size() == 5);
  CHECK(F.Refused == 0);
}

// Guards against tokens that are made by lost messages, restarts and
// partitions.
TEST_CASE("no schedule of failures exceeds the limit") {
  constexpr unsigned Schedules = 50;
  constexpr unsigned Steps = 24;
  for (unsigned Seed = 0; Seed < Schedules; ++Seed) {
    LimitedFleet F(4, 1000 + Seed);
    for (unsigned Step = 0; Step < Steps; ++Step) {
      double What = F.draw();
      F.NotRun = F.draw() * 0.5;
      if (What < 0.2)
        F.Loss = F.draw() * 0.4;
      else if (What < 0.4)
        F.CutOff = std::string(1, static_cast<char>('a' + F.draw() * 3));
      else if (What < 0.5)
        F.CutOff.clear();
      else if (What < 0.65)
        F.any().Running = false;
      else if (What < 0.9)
        F.restart(F.any());
      F.run(Rate * (0.5 + 7 * F.draw()), 700ms);
    }
    CHECK_MESSAGE(F.mostInWindow() <= allowedInWindow(Rate), "seed " << Seed);
  }
}

// Guards against tokens that are made twice: a proxy that became the holder
// again used the bucket that it had held before, filled meanwhile, although
// another holder had granted the same tokens.
TEST_CASE("a proxy that becomes the holder again begins with few tokens") {
  LimitedFleet F(3, 5);
  std::set<ProxyId> First;
  for (const char *Domain : {"a", "b", "c"})
    First.insert(F.holders(Domain).front());
  F.run(Rate, 2s);
  F.setUnregistered(First);
  F.advance(10s);
  auto Burst = [&F](unsigned Count) {
    for (unsigned I = 0; I < Count; ++I)
      F.begin(F.any());
    F.advance(200ms);
  };
  F.Admitted.clear();
  Burst(200);
  std::size_t Before = F.Admitted.size();
  REQUIRE(Before > 50);
  F.setUnregistered({});
  Burst(200);
  Burst(200);
  // A tenth of the capacity, and what the rate gives meanwhile.
  CHECK(F.Admitted.size() - Before <= 8 + 0.5 * Rate + 12);
}

// Guards against a proxy of another version that ends the process.
TEST_CASE("messages about limits are decoded strictly") {
  LimitMessage M{LimitMessageKind::Grant, "p1", 7, "customer", 3, 250ms};
  std::string Bytes = encode(M);
  REQUIRE(isLimitMessage(Bytes));
  auto Decoded = decodeLimitMessage(Bytes);
  REQUIRE(Decoded);
  CHECK(Decoded.value().Kind == LimitMessageKind::Grant);
  CHECK(Decoded.value().Exchange == 7);
  CHECK(Decoded.value().Customer == "customer");
  CHECK(Decoded.value().Tokens == 3);
  CHECK(Decoded.value().RetryAfter == 250ms);
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    CHECK_FALSE(decodeLimitMessage(Bytes.substr(0, Size)));
  CHECK_FALSE(isLimitMessage(""));
}
