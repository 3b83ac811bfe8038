// Servers, primary lease and periodic maintenance of a group.

#include "engine/group.h"
#include "attempt.h"
#include "engine/forward.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// Time for which a draining primary is still used while its successor is
/// promoted. A draining replica gets no statements at all.
constexpr Duration DrainingPrimaryUse = std::chrono::milliseconds(4500);
/// The primary is queried for its position when the newest known one is older
/// than this. Statements on the primary and peers report positions as well, so
/// this happens only without traffic.
constexpr Duration MaxPositionAge = std::chrono::milliseconds(450);
/// If no connection is idle for the status query, one is opened when the newest
/// known position is older than this.
constexpr Duration DialForPositionAge = std::chrono::milliseconds(700);
/// A primary that has answered nothing for this long, although a statement was
/// sent to it, is dialed: only a new connection tells whether it can be
/// reached. Failure pattern: a partition that drops all packets.
constexpr Duration SilentPrimaryTime = std::chrono::milliseconds(250);
/// A proxy that has run a statement of a service that another proxy owns,
/// because the owner failed, counts as a user of the service for this time. It
/// goes on querying the primary for its position until then.
constexpr Duration RecentUse = std::chrono::seconds(3);
/// One proxy may open this multiple of its equal share of the connections of a
/// server, because proxies differ in load.
constexpr unsigned ConnectionShareFactor = 2;
/// Lower bound of the connections that one proxy may open to a server.
constexpr unsigned MinConnections = 3;

unsigned connectionLimit(unsigned Cap, std::size_t Proxies) {
  auto Count = static_cast<unsigned>(std::max<std::size_t>(1, Proxies));
  return std::min(
      Cap, std::max(MinConnections, ConnectionShareFactor * Cap / Count));
}

} // namespace detail

std::shared_ptr<Group> Group::create(std::string Service,
                                     std::string FailureDomain,
                                     const RuntimeHooks &Hooks, Dialer Dial,
                                     EventWriter &Events, Metrics &Counters) {
  return std::shared_ptr<Group>(new Group(std::move(Service),
                                          std::move(FailureDomain), Hooks,
                                          std::move(Dial), Events, Counters));
}

void Group::setServers(const std::vector<ServerEntry> &Servers, unsigned Cap,
                       std::size_t Domains, std::size_t AllProxies) {
  ConnectionCap = Cap;
  FailureDomainCount = Domains;
  ProxyCount = AllProxies;
  std::set<UpstreamId> Known;
  for (const ServerEntry &Server : Servers) {
    Known.insert(Server.Id);
    auto &Pool = Pools[Server.Id];
    if (!Pool) {
      Pool = ServerPool::create(Server, Hooks, Dial, Events);
      if (PaceEnabled) {
        Pool->enablePace();
        if (ServersKnown)
          Pool->startPace();
      }
      Pool->onChange([Weak = weak_from_this()] {
        if (auto Self = Weak.lock())
          Self->schedule();
      });
    }
    Pool->update(Server);
    if (!Server.Draining) {
      DrainingSince.erase(Server.Id);
    } else if (DrainingSince.emplace(Server.Id, Hooks.Now()).second) {
      Events.write(EngineEvent::ServerDraining,
                   {{"server", Server.Id}, {"service", Service}});
    }
  }
  ServersKnown = ServersKnown || !Servers.empty();
  std::vector<std::shared_ptr<ServerPool>> Removed;
  std::erase_if(Pools, [&](const auto &Entry) {
    if (Known.count(Entry.first) != 0)
      return false;
    Removed.push_back(Entry.second);
    return true;
  });
  for (const auto &Pool : Removed) {
    Events.write(EngineEvent::ServerRemoved,
                 {{"server", Pool->server().Id}, {"service", Service}});
    DrainingSince.erase(Pool->server().Id);
    EvictionsOfRemovedPools += Pool->evictions();
    Pool->closeAll();
  }
  updateLimits();
  schedule();
}

bool Group::actsAsOwner() const {
  return OwnersNeeded && (Forwarder->owns(Service) ||
                          Hooks.Now() - LastRunForPeers < detail::RecentUse);
}

unsigned Group::customerConnectionLimit() const {
  if (!OwnersNeeded)
    return customerConnectionShare(ConnectionCap, ProxyCount);
  // A proxy that runs statements in place of an owner takes the whole share at
  // once: the customers of a failure domain need it, and the former owner,
  // which gets no statements any more, closes its connections.
  if (actsAsOwner())
    return customerConnectionShare(ConnectionCap, FailureDomainCount);
  return std::max(
      1U, connectionReserve(ConnectionCap) /
              static_cast<unsigned>(std::max<std::size_t>(1, ProxyCount)));
}

void Group::updateLimits() {
  std::size_t Sharers =
      sharingProxies(actsAsOwner(), FailureDomainCount, ProxyCount);
  PoolLimits Limits;
  Limits.Connections = PerCustomer
                           ? customerConnectionLimit()
                           : detail::connectionLimit(ConnectionCap, Sharers);
  Limits.AllProxies = ConnectionCap;
  Limits.Sharers = Sharers;
  Limits.PerCustomer = PerCustomer;
  for (const auto &Entry : Pools)
    Entry.second->setLimits(Limits);
}

void Group::setForwarder(StatementForwarder *NewForwarder, bool Needed) {
  Forwarder = NewForwarder;
  OwnersNeeded = Needed && NewForwarder != nullptr;
}

void Group::enablePace() {
  PaceEnabled = true;
  for (const auto &Entry : Pools)
    Entry.second->enablePace();
}

void Group::addServerConditions(
    std::map<UpstreamId, ServerCondition> &Conditions) const {
  if (!PaceEnabled)
    return;
  for (const auto &[Id, Pool] : Pools)
    Conditions[Id] = {Pool->limit(), Pool->degraded()};
}

bool Group::inUse() const {
  return !OwnersNeeded || Forwarder->owns(Service) ||
         Hooks.Now() - LastLocalRun < detail::RecentUse;
}

void Group::setPrimaryRecord(const PrimaryRecord &Next) {
  if (!isNewer(Next, Record))
    return;
  if (Next.Epoch == Record.Epoch) {
    // Only confirmed, after the store has come back from a copy.
    Record = Next;
    return;
  }
  if (Next.Epoch < Record.Epoch)
    Positions = {}; // They are of an epoch that the store has lost.
  RecordSeenAt = Hooks.Now();
  Record = Next;
  Events.write(EngineEvent::PrimaryChanged, {{"service", Service},
                                             {"epoch", Record.Epoch},
                                             {"stage", name(Record.Stage)},
                                             {"primary", Record.Primary}});
  dropLease();
}

void Group::renewLease(std::uint64_t Epoch, Instant Until) {
  if (Epoch != Record.Epoch || Record.Stage != GroupStage::Stable)
    return;
  bool Gained = !valid(Lease, Hooks.Now());
  if (Lease.Epoch == Epoch && Lease.Until >= Until)
    return;
  Lease = {Epoch, Record.Primary, Until};
  if (!Gained)
    return;
  NotPrimaryUntil = Instant{};
  Events.write(
      EngineEvent::LeaseGained,
      {{"service", Service}, {"epoch", Epoch}, {"primary", Record.Primary}});
  forwardWaiting();
  schedule();
}

void Group::dropLease() {
  if (!Lease.Primary.empty())
    Events.write(EngineEvent::LeaseLost,
                 {{"service", Service},
                  {"epoch", Lease.Epoch},
                  {"left_ms", Lease.Until - Hooks.Now()}});
  Lease = PrimaryLease();
}

bool Group::quiesced() const {
  for (const auto &[Epoch, Count] : WritesInProgress)
    if (Count != 0 && (Epoch != Lease.Epoch || !valid(Lease, Hooks.Now())))
      return false;
  return true;
}

std::vector<UpstreamId> Group::unreachableServers() const {
  std::vector<UpstreamId> Ids;
  for (const auto &[Id, Pool] : Pools)
    if (Pool->unreachable())
      Ids.push_back(Id);
  return Ids;
}

std::shared_ptr<ServerPool> Group::primaryPool() const {
  Instant Now = Hooks.Now();
  if (!valid(Lease, Now) || Now < NotPrimaryUntil)
    return nullptr;
  auto It = Pools.find(Lease.Primary);
  return It == Pools.end() ? nullptr : It->second;
}

bool Group::usable(const ServerPool &Pool, Instant Now) const {
  if (!Pool.server().Draining)
    return true;
  auto It = DrainingSince.find(Pool.server().Id);
  return Pool.server().Id == Lease.Primary && It != DrainingSince.end() &&
         Now - It->second < detail::DrainingPrimaryUse;
}

std::optional<PrimaryPosition> Group::newestPosition() const {
  if (Positions.Recent.empty())
    return std::nullopt;
  return Positions.Recent.back();
}

void Group::maintain() {
  Instant Now = Hooks.Now();
  expireStatus(Now);
  updateLimits();
  for (const auto &Entry : Pools) {
    Entry.second->closeIdle(inUse());
    // A server must not be reported as unreachable after it can be reached
    // again.
    if (Entry.second->failing())
      Entry.second->checkFailure(inUse());
  }
  auto Pool = primaryPool();
  if (Pool && silent(*Pool, Now))
    Pool->openAnother(requestOfProxy());
  if (!Pool || StatusPending || !inUse() || !usable(*Pool, Now))
    return;
  Duration Age = Positions.Recent.empty() ? Duration::max()
                                          : Now - Positions.Recent.back().At;
  if (Age < detail::MaxPositionAge)
    return;
  // Peers usually know a recent position. A connection is opened for the query
  // only if none of them does; dialing also proves whether the primary can be
  // reached.
  ConnectionRef Connection = Pool->acquireForProxy();
  if (!Connection) {
    if (Age >= detail::DialForPositionAge)
      Pool->ensureConnection(requestOfProxy());
    return;
  }
  queryStatus(Pool, Connection);
}

bool Group::silent(const ServerPool &Pool, Instant Now) const {
  return std::any_of(
      Attempts.begin(), Attempts.end(), [&](const AttemptRef &A) {
        return A->Pool.get() == &Pool && Pool.AppliedAt < A->SentAt &&
               Now - A->SentAt >= detail::SilentPrimaryTime;
      });
}

void Group::queryStatus(const std::shared_ptr<ServerPool> &Pool,
                        const ConnectionRef &Connection) {
  StatusPending = true;
  StatusSentAt = Hooks.Now();
  std::uint64_t Epoch = Lease.Epoch;
  Instant SentAt = StatusSentAt;
  StatusPool = Pool;
  StatusConnection = Connection;
  Connection->Connection->exchange(
      {makeCall(ServerCommand::Status)},
      [Self = shared_from_this(), Pool, Connection, Epoch,
       SentAt](std::vector<ServerReply> Replies) {
        if (Self->StatusConnection != Connection)
          return;
        Self->StatusPending = false;
        Self->StatusConnection.reset();
        const ServerReply &Reply = Replies.back();
        if (!Reply.NoAnswer && Reply.LogPosition) {
          Pool->Applied = *Reply.LogPosition;
          Pool->AppliedAt = Self->Hooks.Now();
          addPosition(Self->Positions, {SentAt, *Reply.LogPosition, Epoch});
        }
        Pool->release(Connection, !Reply.NoAnswer);
      });
}

void Group::expireStatus(Instant Now) {
  if (!StatusPending || Now - StatusSentAt < detail::StatusTimeout)
    return;
  StatusPending = false;
  StatusPool->exchangeTimedOut(StatusSentAt);
  StatusPool->release(StatusConnection, false);
  StatusPool->ensureConnection(requestOfProxy());
  StatusConnection.reset();
}

std::uint64_t
Group::countConnections(std::map<CustomerId, unsigned> &Counts) const {
  std::uint64_t Evictions = EvictionsOfRemovedPools;
  for (const auto &Entry : Pools) {
    Entry.second->countConnections(Counts);
    Evictions += Entry.second->evictions();
  }
  return Evictions;
}

void Group::close() {
  for (const auto &Entry : Pools)
    Entry.second->closeAll();
}

} // namespace eelgrassloom
