#include "engine/pool.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// Upper bound of Suspicion. Each exchange that succeeds lowers it by one, so
/// that after a series of failures other servers are preferred for a while
/// only.
constexpr unsigned MaxSuspicion = 4;
/// From this Suspicion on all idle connections of customers count as lost.
constexpr unsigned MinSuspicionForAll = 2;
/// Idle connections are not closed below this number of open connections.
constexpr std::size_t MinPoolSize = 2;

} // namespace detail

std::shared_ptr<ServerPool> ServerPool::create(ServerEntry Server,
                                               const RuntimeHooks &Hooks,
                                               Dialer Dial,
                                               EventWriter &Events) {
  return std::shared_ptr<ServerPool>(
      new ServerPool(std::move(Server), Hooks, std::move(Dial), Events));
}

void ServerPool::update(const ServerEntry &Next) {
  bool Restarted =
      Next.StartedAt != Server.StartedAt || Next.Address != Server.Address;
  // An entry that has not told the start of the server before does not prove
  // that it has started again.
  bool StartKnown = Server.StartedAt != 0 || Next.Address != Server.Address;
  Server = Next;
  if (!Restarted)
    return;
  if (StartKnown)
    startPace();
  NextDial = Hooks.Now();
  Backoff = Duration::zero();
}

ConnectionRef ServerPool::acquire(SessionId Session,
                                  const CustomerId &Customer) {
  dropUnusable();
  LastAcquired = Hooks.Now();
  if (Limits.PerCustomer)
    recordUse(Use, Customer, LastAcquired);
  ConnectionRef Best;
  for (const ConnectionRef &C : Open) {
    if (C->Busy || C->Customer != Customer)
      continue;
    if (C->LastSession == Session) {
      Best = C;
      break;
    }
    // The connection that answered last is the least likely to be lost.
    if (!Best || C->LastAnswer > Best->LastAnswer)
      Best = C;
  }
  return take(std::move(Best), Session);
}

ConnectionRef ServerPool::acquireForProxy() {
  dropUnusable();
  ConnectionRef Newest;
  for (const ConnectionRef &C : Open)
    if (!C->Busy && (!Newest || C->LastAnswer > Newest->LastAnswer))
      Newest = C;
  return take(std::move(Newest), 0);
}

ConnectionRef ServerPool::take(ConnectionRef Connection, SessionId Session) {
  if (!Connection)
    return nullptr;
  Connection->Busy = true;
  Connection->LastSession = Session;
  Connection->LastUsed = Hooks.Now();
  return Connection;
}

void ServerPool::close(const ConnectionRef &Connection) {
  Connection->Connection->close();
  Open.erase(Connection);
}

void ServerPool::release(const ConnectionRef &Connection, bool Reuse) {
  if (Open.count(Connection) == 0)
    return;
  Connection->Busy = false;
  if (!Reuse || Closed || !Connection->Connection->usable()) {
    close(Connection);
  } else {
    Connection->LastAnswer = Hooks.Now();
  }
  if (Changed)
    Changed();
}

bool ServerPool::hasIdle(const CustomerId &Customer) const {
  return std::any_of(Open.begin(), Open.end(), [&](const ConnectionRef &C) {
    return idle(*C) && C->Customer == Customer;
  });
}

void ServerPool::countConnections(
    std::map<CustomerId, unsigned> &Counts) const {
  for (const ConnectionRef &C : Open)
    ++Counts[C->Customer];
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
  unsigned MaxDialing =
      Limits.PerCustomer ? Options.MaxDialingPerCustomer : Options.MaxDialing;
  return !Closed && Dialing < MaxDialing && Now >= NextDial &&
         Now >= ServerFullUntil;
}

bool ServerPool::hasRoom() const {
  auto InUse = static_cast<std::size_t>(
      std::count_if(Open.begin(), Open.end(), [](const ConnectionRef &C) {
        return C->Busy || C->Connection->usable();
      }));
  return InUse + Dialing < Limits.Connections;
}

ConnectionRef ServerPool::evictionFor(const ConnectionRequest &Request) const {
  return connectionAt(chooseEviction(cached(), Use, Request, Hooks.Now()));
}

ConnectionRef ServerPool::connectionAt(std::optional<std::size_t> Index) const {
  if (!Index)
    return nullptr;
  return *std::next(Open.begin(), static_cast<std::ptrdiff_t>(*Index));
}

std::vector<CachedConnection> ServerPool::cached() const {
  std::vector<CachedConnection> Result;
  Result.reserve(Open.size());
  for (const ConnectionRef &C : Open)
    Result.push_back({C->Customer, C->Busy, C->LastUsed});
  return Result;
}

bool ServerPool::available(const CustomerId &Customer) const {
  if (Closed)
    return false;
  return hasIdle(Customer) || DialingFor.count(Customer) != 0 ||
         (mayDial() &&
          (hasRoom() || evictionFor({Customer, nullptr}) != nullptr));
}

bool ServerPool::exhausted() const {
  return Limits.PerCustomer && !Closed && !hasRoom() &&
         std::none_of(Open.begin(), Open.end(),
                      [](const ConnectionRef &C) { return idle(*C); });
}

void ServerPool::ensureConnection(const ConnectionRequest &Request) {
  if (!hasIdle(Request.Customer) && DialingFor.count(Request.Customer) == 0)
    openAnother(Request);
}

void ServerPool::openAnother(const ConnectionRequest &Request) {
  dropUnusable();
  if (!mayDial())
    return;
  // The limit may have been lowered, so that one connection is not enough.
  while (!hasRoom()) {
    ConnectionRef Evicted = evictionFor(Request);
    if (!Evicted || Dialing >= Limits.Connections)
      return;
    close(Evicted);
    ++EvictionCount;
  }
  ++Dialing;
  ++DialingFor[Request.Customer];
  Instant StartedAt = Hooks.Now();
  Dial({Server, Request.Customer, Options.DialTimeout},
       [Self = shared_from_this(), Customer = Request.Customer,
        StartedAt](const DialResult &Result) {
         Self->handleDialResult(Customer, Result, StartedAt);
       });
}

void ServerPool::handleDialResult(const CustomerId &Customer,
                                  const DialResult &Result, Instant StartedAt) {
  --Dialing;
  if (--DialingFor[Customer] == 0)
    DialingFor.erase(Customer);
  if (Result.Outcome != DialOutcome::Connected) {
    handleDialFailure(Result.Outcome, StartedAt);
  } else if (Closed) {
    Result.Connection->close();
    return;
  } else {
    auto Connection = std::make_shared<PooledConnection>();
    Connection->Connection = Result.Connection;
    Connection->Customer = Customer;
    Connection->LastAnswer = Hooks.Now();
    Connection->LastUsed = Connection->LastAnswer;
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
    // Other proxies need connections as well. This proxy keeps one less than it
    // had, so that the proxies come to a division that the server accepts.
    if (Limits.PerCustomer)
      closeOneIdle();
    markReachable(); // The server has answered.
    return;
  }
  if (!Failing) {
    Failing = true;
    FailingSince = StartedAt;
  }
  if (Outcome != DialOutcome::TimedOut)
    ++Refusals;
  if (PaceEnabled)
    recordHandshakeFailure(Pace, Now);
  Backoff = std::clamp(2 * Backoff, Options.InitialBackoff, Options.MaxBackoff);
  NextDial = Now + Backoff;
  reportReachability();
}

void ServerPool::closeOneIdle() {
  ConnectionRef Idle = connectionAt(chooseToClose(cached(), Use, Hooks.Now()));
  if (Idle)
    close(Idle);
}

void ServerPool::markReachable() {
  Failing = false;
  Refusals = 0;
  Backoff = Duration::zero();
  reportReachability();
}

void ServerPool::checkFailure(bool InUse) {
  if (InUse)
    ensureConnection(requestOfProxy());
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
  if (!IsUnreachable)
    startPace();
  Events.write(IsUnreachable ? EngineEvent::ServerUnreachable
                             : EngineEvent::ServerReachable,
               {{"server", Server.Id},
                {"service", Server.Service},
                {"address", Server.Address},
                {"refusals", Refusals},
                {"failing_ms",
                 Failing ? Hooks.Now() - FailingSince : Duration::zero()}});
}

void ServerPool::startPace() {
  if (!PaceEnabled)
    return;
  bool WasDegraded = Pace.Degraded;
  beginPace(Pace, Hooks.Now());
  if (WasDegraded)
    reportPace(EngineEvent::ServerRecovered);
}

void ServerPool::reportPace(EngineEvent Event) {
  Events.write(
      Event,
      {{"server", Server.Id},
       {"service", Server.Service},
       {"slowness_percent", static_cast<std::int64_t>(Pace.Slowness * 100)},
       {"failures", Pace.Current.Failures + Pace.Previous.Failures},
       {"answers", Pace.Current.Total + Pace.Previous.Total},
       {"limit", limit()}});
}

void ServerPool::recordAnswer(const ServerAnswer &Answer,
                              const std::vector<const ServerPace *> &Siblings) {
  if (!PaceEnabled)
    return;
  switch (eelgrassloom::recordAnswer(Pace, Answer, Siblings, normalLimit())) {
  case PaceChange::None:
    return;
  case PaceChange::Degraded:
    reportPace(EngineEvent::ServerDegraded);
    return;
  case PaceChange::Recovered:
    reportPace(EngineEvent::ServerRecovered);
    return;
  case PaceChange::PaceEnded:
    reportPace(EngineEvent::ServerPaceEnded);
    return;
  }
}

void ServerPool::recordStart() {
  Instant Now = Hooks.Now();
  if (trialDue(Pace, Now))
    recordTrial(Pace, Now);
}

void ServerPool::prepareTrial(const CustomerId &Customer) {
  Instant Now = Hooks.Now();
  if (!trialDue(Pace, Now) || Now < NextTrialDial || hasIdle(Customer))
    return;
  NextTrialDial = Now + TrialInterval;
  ensureConnection({Customer, nullptr});
}

unsigned ServerPool::limit() const {
  unsigned Limit = pacedLimit(Pace, normalLimit());
  return Hooks.Now() < OverloadedUntil ? std::max(1U, Limit / 2) : Limit;
}

void ServerPool::exchangeTimedOut(Instant SentAt) {
  Suspicion = std::min(Suspicion + 1, detail::MaxSuspicion);
  // Connections of customers are used rarely, so that most have no recent
  // answer. If the server answers on others, one slow statement is no reason to
  // open them all again.
  if (Limits.PerCustomer && AppliedAt > SentAt &&
      Suspicion < detail::MinSuspicionForAll)
    return;
  std::vector<ConnectionRef> Suspect;
  for (const ConnectionRef &C : Open)
    if (!C->Busy && C->LastAnswer <= SentAt)
      Suspect.push_back(C);
  for (const ConnectionRef &C : Suspect)
    close(C);
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
      InUse ? Limits.AllProxies / std::max<std::size_t>(1, Limits.Sharers) : 0;
  // An owner that gets no statements is cut off from its callers, and another
  // proxy runs them.
  if (InUse && Limits.PerCustomer)
    Share = Now - LastAcquired < Options.UnusedTime ? Limits.Connections : 0;
  Duration IdleTimeout =
      Limits.PerCustomer ? Options.CustomerIdleTimeout : Options.IdleTimeout;
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
        (Excess ? Options.ExcessIdleTimeout : IdleTimeout))
      break;
    if (!Excess && Open.size() <= detail::MinPoolSize)
      break;
    close(C);
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
