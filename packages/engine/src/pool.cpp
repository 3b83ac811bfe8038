#include "engine/pool.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// Upper bound of Suspicion. Each exchange that succeeds lowers it by one, so
/// that after a series of failures other servers are preferred for a while
/// only.
constexpr unsigned MaxSuspicion = 4;
/// Idle connections are not closed below this number of open connections.
constexpr std::size_t MinPoolSize = 2;

} // namespace detail

std::shared_ptr<ServerPool> ServerPool::create(ServerEntry Server,
                                               unsigned MaxPoolSize,
                                               const RuntimeHooks &Hooks,
                                               Dialer Dial,
                                               EventWriter &Events) {
  return std::shared_ptr<ServerPool>(new ServerPool(
      std::move(Server), MaxPoolSize, Hooks, std::move(Dial), Events));
}

void ServerPool::update(const ServerEntry &Next) {
  bool Restarted =
      Next.StartedAt != Server.StartedAt || Next.Address != Server.Address;
  Server = Next;
  if (!Restarted)
    return;
  NextDial = Hooks.Now();
  Backoff = Duration::zero();
}

void ServerPool::setLimits(unsigned ConnectionLimit, unsigned AllProxiesLimit,
                           std::size_t Sharers) {
  MaxPoolSize = ConnectionLimit;
  ServerConnectionCap = AllProxiesLimit;
  ProxyCount = Sharers;
}

ConnectionRef ServerPool::acquire(SessionId Session) {
  dropUnusable();
  ConnectionRef Best;
  for (const ConnectionRef &C : Open) {
    if (C->Busy)
      continue;
    if (C->LastSession == Session) {
      Best = C;
      break;
    }
    // The connection that answered last is the least likely to be lost.
    if (!Best || C->LastAnswer > Best->LastAnswer)
      Best = C;
  }
  if (!Best)
    return nullptr;
  Best->Busy = true;
  Best->LastSession = Session;
  Best->LastUsed = Hooks.Now();
  return Best;
}

void ServerPool::release(const ConnectionRef &Connection, bool Reuse) {
  if (Open.count(Connection) == 0)
    return;
  Connection->Busy = false;
  if (!Reuse || Closed || !Connection->Connection->usable()) {
    Connection->Connection->close();
    Open.erase(Connection);
  } else {
    Connection->LastAnswer = Hooks.Now();
  }
  if (Changed)
    Changed();
}

bool ServerPool::hasIdle() const {
  return std::any_of(Open.begin(), Open.end(),
                     [](const ConnectionRef &C) { return idle(*C); });
}

void ServerPool::dropUnusable() {
  std::erase_if(Open, [](const ConnectionRef &C) {
    if (C->Busy || C->Connection->usable())
      return false;
    C->Connection->close();
    return true;
  });
}

bool ServerPool::mayDial() const {
  Instant Now = Hooks.Now();
  auto InUse = static_cast<std::size_t>(
      std::count_if(Open.begin(), Open.end(), [](const ConnectionRef &C) {
        return C->Busy || C->Connection->usable();
      }));
  return !Closed && Dialing < Options.MaxDialing && Now >= NextDial &&
         Now >= ServerFullUntil && InUse + Dialing < MaxPoolSize;
}

bool ServerPool::available() const {
  return !Closed && (hasIdle() || mayDial() || Dialing > 0);
}

void ServerPool::ensureConnection() {
  if (!hasIdle())
    openAnother();
}

void ServerPool::openAnother() {
  dropUnusable();
  if (!mayDial())
    return;
  ++Dialing;
  Instant StartedAt = Hooks.Now();
  Dial({Server, {}, Options.DialTimeout},
       [Self = shared_from_this(), StartedAt](const DialResult &Result) {
         Self->handleDialResult(Result, StartedAt);
       });
}

void ServerPool::handleDialResult(const DialResult &Result, Instant StartedAt) {
  --Dialing;
  if (Result.Outcome != DialOutcome::Connected) {
    handleDialFailure(Result.Outcome, StartedAt);
  } else if (Closed) {
    Result.Connection->close();
    return;
  } else {
    auto Connection = std::make_shared<PooledConnection>();
    Connection->Connection = Result.Connection;
    Connection->LastAnswer = Hooks.Now();
    Open.insert(Connection);
    Suspicion = 0;
    ServerFullBackoff = Duration::zero();
    if (Result.LogPosition) {
      Applied = *Result.LogPosition;
      AppliedAt = Hooks.Now();
    }
    markReachable();
  }
  if (Changed)
    Changed();
}

void ServerPool::handleDialFailure(DialOutcome Outcome, Instant StartedAt) {
  Instant Now = Hooks.Now();
  if (Outcome == DialOutcome::TooManyConnections) {
    ServerFullBackoff =
        std::clamp(2 * ServerFullBackoff, Options.InitialServerFullBackoff,
                   Options.MaxServerFullBackoff);
    ServerFullUntil = Now + ServerFullBackoff;
    markReachable(); // The server has answered.
    return;
  }
  if (!Failing) {
    Failing = true;
    FailingSince = StartedAt;
  }
  if (Outcome != DialOutcome::TimedOut)
    ++Refusals;
  Backoff = std::clamp(2 * Backoff, Options.InitialBackoff, Options.MaxBackoff);
  NextDial = Now + Backoff;
  reportReachability();
}

void ServerPool::markReachable() {
  Failing = false;
  Refusals = 0;
  Backoff = Duration::zero();
  reportReachability();
}

void ServerPool::checkFailure(bool InUse) {
  if (InUse)
    ensureConnection();
  else if (Hooks.Now() - FailingSince >= Options.FailureRetention)
    markReachable();
}

bool ServerPool::unreachable() const {
  return Failing && (Refusals >= Options.MinRefusals ||
                     Hooks.Now() - FailingSince >= Options.UnreachableAfter);
}

void ServerPool::reportReachability() {
  bool IsUnreachable = unreachable();
  if (IsUnreachable == ReportedUnreachable)
    return;
  ReportedUnreachable = IsUnreachable;
  Events.write(IsUnreachable ? EngineEvent::ServerUnreachable
                             : EngineEvent::ServerReachable,
               {{"server", Server.Id},
                {"service", Server.Service},
                {"address", Server.Address},
                {"refusals", Refusals},
                {"failing_ms",
                 Failing ? Hooks.Now() - FailingSince : Duration::zero()}});
}

unsigned ServerPool::limit() const {
  unsigned Limit = proxyLimit(Server.Slots, ProxyCount);
  return Hooks.Now() < OverloadedUntil ? std::max(1U, Limit / 2) : Limit;
}

void ServerPool::exchangeTimedOut(Instant SentAt) {
  Suspicion = std::min(Suspicion + 1, detail::MaxSuspicion);
  std::vector<ConnectionRef> Suspect;
  for (const ConnectionRef &C : Open)
    if (!C->Busy && C->LastAnswer <= SentAt)
      Suspect.push_back(C);
  for (const ConnectionRef &C : Suspect) {
    C->Connection->close();
    Open.erase(C);
  }
}

void ServerPool::exchangeDone(bool Failed) {
  if (Failed)
    Suspicion = std::min(Suspicion + 1, detail::MaxSuspicion);
  else if (Suspicion > 0)
    --Suspicion;
}

void ServerPool::recordOverload() {
  OverloadedUntil = Hooks.Now() + Options.OverloadTime;
}

void ServerPool::closeIdle(bool InUse) {
  dropUnusable();
  Instant Now = Hooks.Now();
  std::size_t Share =
      InUse ? ServerConnectionCap / std::max<std::size_t>(1, ProxyCount) : 0;
  std::vector<ConnectionRef> Idle;
  for (const ConnectionRef &C : Open)
    if (!C->Busy)
      Idle.push_back(C);
  std::sort(Idle.begin(), Idle.end(),
            [](const ConnectionRef &A, const ConnectionRef &B) {
              return A->LastAnswer < B->LastAnswer;
            });
  for (const ConnectionRef &C : Idle) {
    bool Excess = Open.size() > Share;
    if (Now - C->LastAnswer <
        (Excess ? Options.ExcessIdleTimeout : Options.IdleTimeout))
      break;
    if (!Excess && Open.size() <= detail::MinPoolSize)
      break;
    C->Connection->close();
    Open.erase(C);
  }
}

void ServerPool::closeAll() {
  Closed = true;
  for (const ConnectionRef &C : Open)
    if (!C->Busy)
      C->Connection->close();
  std::erase_if(Open, [](const ConnectionRef &C) { return !C->Busy; });
}

} // namespace eelgrassloom
