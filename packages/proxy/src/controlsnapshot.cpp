#include "controlstate.h"
#include "proxy/configwire.h"

namespace eelgrassloom::detail {
namespace {

/// Time during which a leaving primary still receives work, so that a planned
/// promotion can move its role to another upstream first.
constexpr Duration LeavingPrimaryGracePeriod = std::chrono::seconds(4);

/// Records when each upstream started to leave, and logs it.
void recordLeaving(ControlState &S) {
  for (const Database &D : S.Config.Databases)
    for (const Upstream &U : D.Upstreams) {
      bool Leaving = isLeaving(S, U);
      if (!Leaving)
        S.LeavingSince.erase(U.Id);
      else if (S.LeavingSince.try_emplace(U.Id, S.Now).second)
        S.C.Events->record(events::UpstreamLeaving, {D.Name, U.Id, "", "", ""},
                           U.Leaving ? "by configuration"
                                     : (S.LeavingByHost.contains(U.Id)
                                            ? "by host list"
                                            : "by its own status"));
    }
}

/// Stores the set of owned upstreams and logs the changes.
void recordOwnership(ControlState &S, const std::set<UpstreamId> &Owned) {
  for (const UpstreamId &Id : Owned)
    if (!S.Owned.contains(Id))
      S.C.Events->record(events::OwnershipChanged, {"", Id, "", "", ""},
                         "taken");
  for (const UpstreamId &Id : S.Owned)
    if (!Owned.contains(Id))
      S.C.Events->record(events::OwnershipChanged, {"", Id, "", "", ""},
                         "given up");
  S.Owned = Owned;
}

GroupSnapshot groupSnapshot(const ControlState &S, const GroupRecord &R) {
  GroupSnapshot G;
  G.Term = R.Term;
  if (R.Phase == GroupPhase::Stable)
    G.Primary = R.Primary;
  G.History = R.History;
  // The start of the current term becomes known with its first log entry. Once
  // the history in the primary's status contains that term, it takes precedence
  // over the history in the record.
  auto Observed = S.Observed.find(R.Primary);
  if (Observed != S.Observed.end() &&
      !Observed->second.Status.History.empty() &&
      Observed->second.Status.History.back().Term == R.Term)
    G.History = Observed->second.Status.History;
  return G;
}

bool isPrimary(const ControlState &S, const std::string &Database,
               const UpstreamId &Id) {
  auto It = S.Groups.find(Database);
  return It != S.Groups.end() && It->second.Record.Primary == Id;
}

void updateGauges(const ControlState &S, const Snapshot &Out) {
  S.C.Meters
      ->gauge("eelgrassloom_configuration_version",
              "Version of the configuration in force")
      .Set(static_cast<double>(Out.Config.Version));
  S.C.Meters->gauge("eelgrassloom_live_peers", "Other live proxies")
      .Set(static_cast<double>(Out.Peers.size()));
  S.C.Meters
      ->gauge("eelgrassloom_owned_upstreams", "Upstreams that this proxy owns")
      .Set(static_cast<double>(S.Owned.size()));
}

/// Adds remarks for operators on what keeps this proxy from serving requests or
/// from starting promotions.
void addNotes(const ControlState &S, operators::v1::StatusAnswer &A) {
  if (S.Config.Version == 0)
    A.add_notes("serves nothing: no configuration from the platform or peers");
  if (S.Config.Version == 0 && S.Platform.ConfigAbsent)
    A.add_notes("the platform holds no configuration yet; confirm a plan with "
                "databases and classes");
  if (!S.Platform.ConfigFault.empty())
    A.add_notes(S.Platform.ConfigFault);
  if (S.Platform.ReachabilityKnown && !S.Platform.Reachable)
    A.add_notes("platform unreachable: no plan is confirmed and no promotion "
                "starts");
  if (S.Draining)
    A.add_notes("draining: new requests are refused");
  for (const Database &D : S.Config.Databases) {
    auto It = S.Groups.find(D.Name);
    if (It == S.Groups.end())
      A.add_notes("database " + D.Name + ": no primary known, writes refused");
    else if (It->second.Record.Phase == GroupPhase::Electing)
      A.add_notes("database " + D.Name + ": promotion in progress, term " +
                  std::to_string(It->second.Record.Term));
    auto Group = S.FailoverGroups.find(D.Name);
    if (Group != S.FailoverGroups.end() &&
        Group->second.Failover.Current.Phase != AttemptPhase::None)
      A.add_notes("database " + D.Name + ": promotion attempt of this proxy, " +
                  std::string(name(Group->second.Failover.Current.Phase)));
  }
}

void addMember(operators::v1::StatusAnswer &A, const MemberUpdate &U,
               bool Leaving) {
  auto *M = A.add_members();
  M->set_id(U.Id);
  M->set_address(U.Address);
  M->set_failure_domain(U.FailureDomain);
  M->set_state(std::string(name(Leaving && U.State == MemberState::Alive
                                    ? MemberState::Leaving
                                    : U.State)));
  M->set_incarnation(U.Incarnation);
}

void addUpstream(const ControlState &S, operators::v1::StatusAnswer &A,
                 const Database &D, const Upstream &U) {
  auto *H = A.add_upstreams();
  H->set_id(U.Id);
  H->set_database(D.Name);
  H->set_failure_domain(U.FailureDomain);
  if (const ProxyId *Owner = ownerOf(S.Owners, U))
    H->set_owner(*Owner);
  H->set_leaving(isLeaving(S, U));
  auto Observed = S.Observed.find(U.Id);
  if (Observed == S.Observed.end())
    return;
  *H->mutable_status() = configwire::toWire(Observed->second.Status);
  H->set_suspected(Observed->second.Suspected);
}

/// Adds connections, queues and staleness of the owned upstreams.
void addLoad(const ControlState &S, operators::v1::StatusAnswer &A) {
  std::map<UpstreamId, OwnedUpstream> Load;
  for (OwnedUpstream &O : S.Path->owned())
    Load[O.Id] = std::move(O);
  std::map<UpstreamId, std::int64_t> Staleness;
  std::set<std::string> Reported;
  for (auto &H : *A.mutable_upstreams()) {
    auto It = Load.find(H.id());
    if (It == Load.end())
      continue;
    H.set_connections(It->second.Connections);
    H.set_in_flight(It->second.InFlight);
    H.set_queued(It->second.Queued);
    if (Reported.insert(H.database()).second) {
      peer::v1::StatusReport Report = S.Path->report(H.database());
      for (const auto &U : Report.upstreams())
        Staleness[U.upstream()] =
            static_cast<std::int64_t>(U.staleness_us() / 1000);
    }
    H.set_staleness_ms(Staleness[H.id()]);
  }
}

} // namespace

bool isLeaving(const ControlState &S, const Upstream &U) {
  return U.Leaving || S.LeavingByHost.contains(U.Id) ||
         S.LeavingByStatus.contains(U.Id);
}

void updateOwnership(ControlState &S) {
  // Configuring the state machines may set OwnershipDirty again.
  for (int Pass = 0; S.OwnershipDirty && Pass < 3; ++Pass) {
    S.OwnershipDirty = false;
    S.SnapshotDirty = true;
    S.Owners = makeOwnerTable(liveProxies(S.Members));
    std::set<UpstreamId> Owned;
    for (const Database &D : S.Config.Databases)
      for (const Upstream &U : D.Upstreams)
        if (const ProxyId *Owner = ownerOf(S.Owners, U);
            Owner && *Owner == S.C.Options.Id)
          Owned.insert(U.Id);
    recordOwnership(S, Owned);
    recordLeaving(S);
    auto Holders = watchHolders(S.Owners);
    S.HoldsWatches = std::find(Holders.begin(), Holders.end(),
                               S.C.Options.Id) != Holders.end();
    configureGroups(S);
    configureProbes(S);
  }
}

void publish(ControlState &S) {
  auto Out = std::make_shared<Snapshot>();
  Out->Config = S.Config;
  Out->Draining = S.Draining;
  for (const Database &D : S.Config.Databases) {
    if (auto It = S.Groups.find(D.Name); It != S.Groups.end())
      Out->Groups[D.Name] = groupSnapshot(S, It->second.Record);
    for (const Upstream &U : D.Upstreams) {
      if (const ProxyId *Owner = ownerOf(S.Owners, U))
        Out->Owners[U.Id] = {
            *Owner,
            *Owner == S.C.Options.Id
                ? std::string()
                : translateAddress(S.C.Options, peerAddress(S, *Owner))};
      auto Since = S.LeavingSince.find(U.Id);
      if (Since != S.LeavingSince.end() &&
          (!isPrimary(S, D.Name, U.Id) ||
           S.Now - Since->second >= LeavingPrimaryGracePeriod))
        Out->Leaving[U.Id] = true;
    }
  }
  for (const ProxyId &Id : livePeers(S.Members))
    Out->Peers[Id] = translateAddress(S.C.Options, peerAddress(S, Id));
  updateGauges(S, *Out);
  S.C.Snapshots->store(std::move(Out));
  S.SnapshotDirty = false;
  if (S.Path)
    S.Path->snapshotChanged();
}

operators::v1::StatusAnswer statusAnswer(const ControlState &S) {
  operators::v1::StatusAnswer A;
  A.set_proxy(S.C.Options.Id);
  A.set_failure_domain(S.C.Options.FailureDomain);
  A.set_configuration_version(S.Config.Version);
  A.set_platform_reachable(S.Platform.Reachable);
  A.set_draining(S.Draining);
  addMember(A, S.Members.Self, S.Draining);
  for (const auto &Entry : S.Members.Members)
    addMember(A, Entry.second.Update, Entry.second.Leaving);
  for (const Database &D : S.Config.Databases)
    for (const Upstream &U : D.Upstreams)
      addUpstream(S, A, D, U);
  if (S.Path)
    addLoad(S, A);
  for (const auto &Entry : S.Groups)
    *A.add_groups() = configwire::toWire(Entry.second.Record);
  addNotes(S, A);
  return A;
}

void discardAfterPause(ControlState &S) {
  S.Observed.clear();
  S.Responders.clear();
  for (auto &Entry : S.Probes)
    if (Entry.second.Connection)
      S.C.Upstreams->Close(*Entry.second.Connection);
  S.Probes.clear();
  applyMembership(S, pauseDetected(S.Members, S.Now));
  stepAllGroups(S, PauseDetected{});
  for (auto &Entry : S.FailoverGroups) {
    Entry.second.RecordRead = false;
    Entry.second.Reading = false;
    Entry.second.NextRead = S.Now;
  }
  S.Platform.ConfigWatch.reset();
  S.Platform.GroupWatch.reset();
  S.Platform.Reading = false;
  S.Platform.Listing = false;
  S.Platform.NextRead = S.Now;
  S.Platform.NextWatch = S.Now;
  S.OwnershipDirty = true;
}

} // namespace eelgrassloom::detail
