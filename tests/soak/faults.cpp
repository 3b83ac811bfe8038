// The faults that the soak injects.

#include "soak.h"
#include <csignal>

namespace eelgrassloom::soak {

using namespace std::chrono_literals;

namespace {

/// Time between two orderly stops.
constexpr Duration StopInterval = 1500ms;

/// Time that a store that does not name its era is away.
constexpr Duration UnnamedAwayTime = 500ms;
/// Time from its return to the end of the faults. The configuration changes in
/// this time, with revisions that were given out before, and never again.
constexpr Duration UnnamedReturnTime = 2500ms;

} // namespace

void Soak::injectProxyFault(Proxy &P) {
  switch (Random() % 4) {
  case 0:
    logEvent("kill " + P.Settings.substr(P.Settings.size() - 7));
    signalProxy(P, SIGKILL);
    return;
  case 1:
    logEvent("terminate " + P.Settings.substr(P.Settings.size() - 7));
    signalProxy(P, SIGTERM);
    P.HealthySince = Instant::max();
    return;
  case 2:
    logEvent("pause " + P.Settings.substr(P.Settings.size() - 7));
    signalProxy(P, SIGSTOP);
    P.HealthySince = Instant::max();
    runAfter(Loop, std::chrono::milliseconds(200 + Random() % 3500),
             [this, &P, Id = P.Pid] {
               signalProxy(P, SIGCONT);
               if (P.Pid == Id)
                 P.HealthySince = now();
             });
    return;
  default:
    logEvent("reload " + P.Settings.substr(P.Settings.size() - 7));
    signalProxy(P, SIGHUP);
  }
}

/// Stops the proxy \p Next, and the one after it a little later. More signals
/// may follow while it stops.
void Soak::stopProxies(std::size_t Next) {
  if (!FaultsEnabled)
    return;
  Proxy &P = Proxies[Next % Proxies.size()];
  logEvent("terminate " + P.Settings.substr(P.Settings.size() - 7));
  signalProxy(P, SIGTERM);
  P.HealthySince = Instant::max();
  if (Random() % 2 == 0)
    runAfter(Loop, std::chrono::milliseconds(Random() % 3000),
             [this, &P, Id = P.Pid] {
               if (P.Pid == Id)
                 signalProxy(P, Random() % 2 == 0 ? SIGTERM : SIGHUP);
             });
  runAfter(Loop, StopInterval, [this, Next] { stopProxies(Next + 1); });
}

void Soak::injectServerFault(Server &S) {
  auto RunLater = [this](std::function<void()> Run) {
    runAfter(Loop, std::chrono::milliseconds(300 + Random() % 4000),
             std::move(Run));
  };
  ServerRef Ref = S.shared_from_this();
  switch (Random() % 6) {
  case 0:
    logEvent("crash " + S.Id);
    S.crash();
    RunLater([Ref] { Ref->start(); });
    return;
  case 1:
  case 2:
    S.Mode =
        Random() % 2 == 0 ? NetworkMode::DropAll : NetworkMode::DropReplies;
    logEvent(
        (S.Mode == NetworkMode::DropAll ? "drop all at " : "drop replies of ") +
        S.Id);
    RunLater([Ref] {
      Ref->Mode = NetworkMode::Normal;
      Ref->resetConnections();
    });
    return;
  case 3:
    logEvent("reset " + S.Id);
    S.resetConnections();
    return;
  case 4:
    logEvent("drain " + S.Id);
    S.Draining = true;
    RunLater([Ref] { Ref->Draining = false; });
    return;
  default:
    logEvent("lag " + S.Id);
    S.Lag = 1500ms;
    RunLater([Ref] { Ref->Lag = 20ms; });
  }
}

void Soak::injectStoreFault() {
  std::size_t I = Random() % Proxies.size();
  std::string Name = "p" + std::to_string(I);
  Duration Length = std::chrono::milliseconds(500 + Random() % 8000);
  switch (Random() % 4) {
  case 0:
    logEvent("store partitioned from " + Name);
    Store.PartitionedProxies.insert(I);
    runAfter(Loop, Length, [this, I] { Store.PartitionedProxies.erase(I); });
    return;
  case 1:
    logEvent("store rejects " + Name);
    Store.RejectedProxies.insert(I);
    runAfter(Loop, Length, [this, I] { Store.RejectedProxies.erase(I); });
    return;
  case 2:
    logEvent("store connections of " + Name + " hang");
    Store.hangConnections(I);
    return;
  default:
    break;
  }
  Store.Mode = static_cast<StoreMode>(1 + Random() % 4);
  logEvent("store mode " + std::to_string(static_cast<int>(Store.Mode)));
  runAfter(Loop, std::chrono::milliseconds(500 + Random() % 4000),
           [this] { Store.Mode = StoreMode::Normal; });
}

void Soak::drill() {
  if (!FaultsEnabled)
    return;
  Duration CopyAge = std::chrono::milliseconds(500 + Random() % 4500);
  Duration AwayTime = std::chrono::milliseconds(200 + Random() % 1300);
  loseChanges(CopyAge, AwayTime, [this] {
    runAfter(Loop, std::chrono::milliseconds(1000 + Random() % 6000),
             [this] { drill(); });
  });
}

void Soak::loseChanges(Duration CopyAge, Duration AwayTime,
                       const std::function<void()> &Returned) {
  Store.takeCopy();
  logEvent("copy of the store");
  runAfter(Loop, CopyAge, [this, AwayTime, Returned] {
    if (!FaultsEnabled)
      return;
    logEvent("store away");
    Store.goAway();
    runAfter(Loop, AwayTime, [this, Returned] {
      returnFromCopy();
      Returned();
    });
  });
}

void Soak::returnFromCopy() {
  Store.returnFromCopy();
  logEvent("store back from the copy");
  ServersRewrittenAt = now() + std::chrono::milliseconds(Random() % 2000);
  ConfigRewrittenAt = now() + std::chrono::milliseconds(Random() % 500);
  runAfter(Loop, ConfigRewrittenAt - now(), [this] { publishConfig(); });
}

void Soak::plantUnnamedEra(Duration Length) {
  loseChanges(Length - UnnamedAwayTime - UnnamedReturnTime, UnnamedAwayTime,
              [] {});
}

void Soak::repeatAnswers() {
  if (!FaultsEnabled)
    return;
  std::mt19937_64 &Choice = TestOracle.Random;
  ServerRef S = Group.Members[Choice() % Group.Members.size()];
  logEvent("repeated answers of " + S->Id);
  S->RepeatsAnswers = true;
  runAfter(Loop, std::chrono::milliseconds(200 + Choice() % 1500),
           [S] { S->RepeatsAnswers = false; });
  runAfter(Loop, std::chrono::milliseconds(500 + Choice() % 2500),
           [this] { repeatAnswers(); });
}

void Soak::injectFault() {
  if (!FaultsEnabled)
    return;
  switch (Random() % 5) {
  case 0:
  case 1:
    injectProxyFault(Proxies[Random() % Proxies.size()]);
    break;
  case 2:
  case 3:
    injectServerFault(*Group.Members[Random() % Group.Members.size()]);
    break;
  default:
    injectStoreFault();
  }
  runAfter(Loop, std::chrono::milliseconds(150 + Random() % 900),
           [this] { injectFault(); });
}

} // namespace eelgrassloom::soak
