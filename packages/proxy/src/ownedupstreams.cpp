#include "ownedupstreams.h"
#include "wirestatus.h"

namespace eelgrassloom::detail {

void OwnedUpstreams::observe(const std::string &Database,
                             const UpstreamStatus &Status, Instant SentAt) {
  if (Status.Id.empty())
    return;
  auto S = P->snapshot();
  const auto *D = findDatabase(S->Config, Database);
  P->StalenessBounds.observe(Database, D ? D->Upstreams.size() : 1, Status,
                             SentAt);
  Instant Now = P->now();
  P->Observed.observe(
      Database, Status,
      P->StalenessBounds.bound(Database, Status.History, Status.Applied, Now),
      Now);
}

std::shared_ptr<UpstreamPool>
OwnedUpstreams::pool(const UpstreamId &Id, const std::string &Database) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto It = PooledUpstreams.find(Id);
  // The proxy that chose the upstream may have another configuration.
  if (It == PooledUpstreams.end() || It->second.Database != Database)
    return nullptr;
  return It->second.Pool;
}

OwnedUpstreams::PooledUpstream
OwnedUpstreams::startUpstream(const Upstream &U, const std::string &Database,
                              const Snapshot &S) {
  PooledUpstream E;
  E.Database = Database;
  E.Pool = UpstreamPool::create(P, U, Database, S.Config.Shares);
  E.Prober = StatusProber::create(
      P, U, Database,
      [Weak = weak_from_this(), Pool = E.Pool, Database](const UpstreamReply &R,
                                                         Instant SentAt) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        if (R.Code == UpstreamCode::Ok)
          Self->observe(Database, R.Status, SentAt);
        else if (R.Code == UpstreamCode::TimedOut)
          Pool->verifyIdle();
        Self->P->Observed.observeQueue(Pool->target().Id,
                                       {Pool->expectedWaits(), Self->P->now()});
      });
  E.Prober->start();
  return E;
}

void OwnedUpstreams::apply(const Snapshot &S) {
  const ProxyId &OwnId = P->Context.Options.Id;
  std::vector<PooledUpstream> Dropped;
  std::vector<std::pair<Upstream, std::string>> Started;
  std::vector<std::pair<std::shared_ptr<UpstreamPool>, Upstream>> Kept;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    std::map<UpstreamId, PooledUpstream, std::less<>> Old =
        std::move(PooledUpstreams);
    PooledUpstreams.clear();
    for (const Database &D : S.Config.Databases)
      for (const Upstream &U : D.Upstreams) {
        auto It = S.Owners.find(U.Id);
        if (It == S.Owners.end() || It->second.Owner != OwnId)
          continue;
        auto Node = Old.extract(U.Id);
        if (!Node.empty() && Node.mapped().Database == D.Name &&
            Node.mapped().Pool->target().Address == U.Address) {
          Kept.emplace_back(Node.mapped().Pool, U);
          PooledUpstreams.insert(std::move(Node));
          continue;
        }
        if (!Node.empty())
          Dropped.push_back(std::move(Node.mapped()));
        Started.emplace_back(U, D.Name);
      }
    for (auto &[Id, E] : Old)
      Dropped.push_back(std::move(E));
    std::erase_if(RetiredPools,
                  [](const auto &R) { return R->inProgress() == 0; });
    for (const PooledUpstream &E : Dropped)
      RetiredPools.push_back(E.Pool);
  }
  for (auto &[Pool, U] : Kept)
    Pool->configure(U, S.Config.Shares);
  for (PooledUpstream &E : Dropped) {
    E.Prober->stop();
    E.Pool->retire();
  }
  for (auto &[U, Name] : Started) {
    PooledUpstream E = startUpstream(U, Name, S);
    std::lock_guard<std::mutex> Lock(Mutex);
    PooledUpstreams[U.Id] = std::move(E);
  }
  updatePrimaryProbes(S);
}

void OwnedUpstreams::updatePrimaryProbes(const Snapshot &S) {
  std::map<std::string, PrimaryProbe, std::less<>> Wanted;
  std::vector<std::shared_ptr<StatusProber>> Stopped;
  std::lock_guard<std::mutex> Lock(Mutex);
  for (const auto &[Id, E] : PooledUpstreams) {
    auto Group = S.Groups.find(E.Database);
    if (Group == S.Groups.end() || Group->second.Primary.empty() ||
        PooledUpstreams.contains(Group->second.Primary))
      continue;
    const auto *D = findDatabase(S.Config, E.Database);
    const auto *U = D ? findUpstream(*D, Group->second.Primary) : nullptr;
    if (U)
      Wanted[E.Database] = {U->Id, U->Address, nullptr};
  }
  for (auto &[Database, Probe] : PrimaryProbes) {
    auto It = Wanted.find(Database);
    if (It != Wanted.end() && It->second.Primary == Probe.Primary &&
        It->second.Address == Probe.Address)
      It->second.Prober = Probe.Prober;
    else
      Stopped.push_back(Probe.Prober);
  }
  PrimaryProbes = std::move(Wanted);
  for (auto &[Database, Probe] : PrimaryProbes) {
    if (Probe.Prober)
      continue;
    const auto *D = findDatabase(S.Config, Database);
    // Started from the timer, because the mutex is held here and a probe must
    // not start with it held.
    Upstream U = *findUpstream(*D, Probe.Primary);
    P->timers().after(Duration::zero(),
                      [Weak = weak_from_this(), U, Name = Database] {
                        if (auto Self = Weak.lock())
                          Self->startPrimaryProbe(U, Name);
                      });
  }
  for (auto &Prober : Stopped)
    if (Prober)
      P->timers().after(Duration::zero(), [Prober] { Prober->stop(); });
}

void OwnedUpstreams::startPrimaryProbe(const Upstream &U,
                                       const std::string &Database) {
  auto Prober =
      StatusProber::create(P, U, Database,
                           [Weak = weak_from_this(),
                            Database](const UpstreamReply &R, Instant SentAt) {
                             auto Self = Weak.lock();
                             if (Self && R.Code == UpstreamCode::Ok)
                               Self->observe(Database, R.Status, SentAt);
                           });
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto It = PrimaryProbes.find(Database);
    if (It == PrimaryProbes.end() || It->second.Primary != U.Id ||
        It->second.Address != U.Address || It->second.Prober || Closed)
      return;
    It->second.Prober = Prober;
  }
  Prober->start();
}

peer::v1::StatusReport
OwnedUpstreams::report(const std::string &Database) const {
  std::vector<std::shared_ptr<UpstreamPool>> Pools;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &[Id, E] : PooledUpstreams)
      if (E.Database == Database)
        Pools.push_back(E.Pool);
  }
  peer::v1::StatusReport Report;
  Instant Now = P->now();
  for (const auto &Pool : Pools) {
    auto O = P->Observed.find(Pool->target().Id);
    if (!O)
      continue;
    auto &U = *Report.add_upstreams();
    U.set_upstream(Pool->target().Id);
    toWire(O->Status, *U.mutable_status());
    U.set_staleness_us(toMicros(P->StalenessBounds.bound(
        Database, O->Status.History, O->Status.Applied, Now)));
    U.set_suspected(P->Observed.suspected(Pool->target().Id));
    for (Duration D : Pool->expectedWaits())
      U.add_queue_wait_us(toMicros(D));
  }
  return Report;
}

std::vector<OwnedUpstream> OwnedUpstreams::owned() const {
  std::vector<std::shared_ptr<UpstreamPool>> Pools;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &[Id, E] : PooledUpstreams)
      Pools.push_back(E.Pool);
  }
  std::vector<OwnedUpstream> Out;
  Out.reserve(Pools.size());
  for (const auto &Pool : Pools)
    Out.push_back(Pool->summary());
  return Out;
}

void OwnedUpstreams::close() {
  Closed = true;
  std::vector<std::shared_ptr<StatusProber>> Probers;
  std::vector<std::shared_ptr<UpstreamPool>> Pools;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (auto &[Id, E] : PooledUpstreams) {
      Probers.push_back(E.Prober);
      Pools.push_back(E.Pool);
    }
    for (auto &[Name, Probe] : PrimaryProbes)
      if (Probe.Prober)
        Probers.push_back(Probe.Prober);
    PooledUpstreams.clear();
    PrimaryProbes.clear();
  }
  for (auto &Prober : Probers)
    Prober->stop();
  for (auto &Pool : Pools)
    Pool->retire();
}

} // namespace eelgrassloom::detail
