#include "controlstate.h"
#include "proxy/configwire.h"

namespace eelgrassloom::detail {
namespace {

/// Longest timeout for opening a connection.
constexpr Duration MaxConnectTimeout = std::chrono::milliseconds(250);
/// Longest timeout of a status query on an open connection. A short timeout
/// costs at most a new connection, and the failover tolerance only counts from
/// the start of a new connection that fails.
constexpr Duration MaxProbeTimeout = std::chrono::milliseconds(100);

/// Timeout for opening a connection: at most a quarter of the failover
/// tolerance, so that whole attempts fit into the tolerance and it does not end
/// in the middle of one.
Duration connectTimeout(const ControlState &S) {
  return std::min(MaxConnectTimeout, S.C.Options.FailoverTolerance / 4);
}

Duration probeTimeout(const ControlState &S) {
  return std::min(MaxProbeTimeout, S.C.Options.FailoverTolerance / 4);
}

/// Null if the probe has been ended or replaced.
UpstreamProbe *findProbe(ControlState &S, const UpstreamId &Id,
                         std::uint64_t ProbeId) {
  auto It = S.Probes.find(Id);
  return It != S.Probes.end() && It->second.Id == ProbeId ? &It->second
                                                          : nullptr;
}

void closeProbe(ControlState &S, UpstreamProbe &P) {
  if (P.Connection)
    S.C.Upstreams->Close(*P.Connection);
  P.Connection.reset();
}

void setSuspected(ControlState &S, const UpstreamId &Id, bool Suspected) {
  auto It = S.Observed.find(Id);
  if (It == S.Observed.end() || It->second.Suspected == Suspected)
    return;
  It->second.Suspected = Suspected;
}

void probeFailed(ControlState &S, const UpstreamId &Id, UpstreamProbe &P,
                 bool NewConnection) {
  closeProbe(S, P);
  P.Busy = false;
  // A lost connection is replaced at once. Only the failure of a new connection
  // is evidence that the upstream is unreachable.
  P.Next = NewConnection
               ? std::max(S.Now, P.Started + S.C.Options.ProbeInterval)
               : S.Now;
  if (!NewConnection)
    return;
  UpstreamContact Contact;
  Contact.Upstream = Id;
  Contact.StartedAt = P.Started;
  std::string Database = P.Database;
  setSuspected(S, Id, true);
  stepGroup(S, Database, Contact);
}

void probeAnswered(ControlState &S, const UpstreamId &Id, std::uint64_t ProbeId,
                   const UpstreamReply &R, bool NewConnection) {
  UpstreamProbe *P = findProbe(S, Id, ProbeId);
  if (!P)
    return;
  if (R.Code != UpstreamCode::Ok) {
    probeFailed(S, Id, *P, NewConnection);
    return;
  }
  P->Busy = false;
  P->Next = P->Started + S.C.Options.ProbeInterval;
  std::string Database = P->Database;
  statusObserved(S, Database, R.Status);
}

/// Requests the status of an upstream. Without a connection it opens one, which
/// returns the status too.
void startProbe(ControlState &S, const UpstreamId &Id, UpstreamProbe &P) {
  P.Busy = true;
  P.Started = S.Now;
  auto Handler = [Post = S.Post, Id, ProbeId = P.Id,
                  New = !P.Connection](const UpstreamReply &R) {
    Post([=](ControlState &State) {
      probeAnswered(State, Id, ProbeId, R, New);
    });
  };
  if (!P.Connection)
    P.Connection = S.C.Upstreams->Connect(
        {P.Address, P.Database, S.C.Options.Id}, connectTimeout(S), Handler);
  else
    S.C.Upstreams->Call(*P.Connection, UpstreamCall(), probeTimeout(S),
                        Handler);
}

/// Upstreams that the control thread probes in a database for which this proxy
/// is a voter: the primary, or all of them while the primary is unknown. The
/// data path probes the owned upstreams.
std::vector<const Upstream *> targets(const ControlState &S,
                                      const Database &D) {
  std::vector<const Upstream *> Out;
  auto Known = S.Groups.find(D.Name);
  const Upstream *Primary = Known == S.Groups.end()
                                ? nullptr
                                : findUpstream(D, Known->second.Record.Primary);
  for (const Upstream &U : D.Upstreams)
    if (!Primary || Primary == &U)
      Out.push_back(&U);
  return Out;
}

/// Learns the primary from its status while no stored record is known.
void learnPrimary(ControlState &S, const std::string &Database,
                  const UpstreamStatus &Status) {
  if (Status.UpstreamRole != Role::Primary)
    return;
  auto Known = S.Groups.find(Database);
  if (Known != S.Groups.end() && !Known->second.Learned)
    return;
  GroupRecord R;
  R.Database = Database;
  R.Term =
      Status.History.empty() ? Status.RaisedTerm : Status.History.back().Term;
  // An upstream that has promised to a higher term is no longer the primary of
  // its own term.
  if (R.Term == 0 || Status.RaisedTerm > R.Term)
    return;
  R.Phase = GroupPhase::Stable;
  R.Primary = Status.Id;
  R.History = Status.History;
  acceptGroup(S, R, true);
}

} // namespace

void configureProbes(ControlState &S) {
  std::map<UpstreamId, std::pair<std::string, std::string>> Targets;
  for (const auto &Entry : S.FailoverGroups)
    if (const Database *D = findDatabase(S.Config, Entry.first))
      for (const Upstream *U : targets(S, *D))
        Targets[U->Id] = {D->Name, translateAddress(S.C.Options, U->Address)};
  for (auto It = S.Probes.begin(); It != S.Probes.end();) {
    auto Found = Targets.find(It->first);
    if (Found != Targets.end() && Found->second.first == It->second.Database &&
        Found->second.second == It->second.Address) {
      ++It;
      continue;
    }
    closeProbe(S, It->second);
    It = S.Probes.erase(It);
  }
  for (const auto &Entry : Targets) {
    auto [It, New] = S.Probes.try_emplace(Entry.first);
    if (!New)
      continue;
    It->second.Database = Entry.second.first;
    It->second.Address = Entry.second.second;
    It->second.Next = S.Now;
    It->second.Id = S.NextProbeId++;
  }
}

void tickProbes(ControlState &S) {
  for (auto &Entry : S.Probes)
    if (!Entry.second.Busy && S.Now >= Entry.second.Next)
      startProbe(S, Entry.first, Entry.second);
}

void statusObserved(ControlState &S, const std::string &Database,
                    const UpstreamStatus &Status) {
  if (Status.Id.empty())
    return;
  S.Observed[Status.Id] = {Database, Status, S.Now, false};
  learnPrimary(S, Database, Status);
  leavingReported(S, Status.Id, Status.Leaving);
  UpstreamContact Contact;
  Contact.Upstream = Status.Id;
  Contact.StartedAt = S.Now;
  Contact.Status = configwire::replicationStatus(Status);
  stepGroup(S, Database, Contact);
}

void connectionAttempted(ControlState &S, const UpstreamId &Id, bool Opened) {
  setSuspected(S, Id, !Opened);
}

void leavingReported(ControlState &S, const UpstreamId &Id, bool Leaving) {
  if (S.LeavingByStatus.contains(Id) == Leaving)
    return;
  if (Leaving)
    S.LeavingByStatus.insert(Id);
  else
    S.LeavingByStatus.erase(Id);
  S.OwnershipDirty = true;
  const Item *Known = find(S.Gossip, "leaving/" + Id);
  std::uint64_t Version = Known ? Known->Version + 1 : 1;
  putItems(S, {{"leaving/" + Id, Version, Leaving ? "1" : "0"}});
}

} // namespace eelgrassloom::detail
