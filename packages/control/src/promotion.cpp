// Promotions, run by the holder of the promotion lock.

#include "control/coordinator.h"
#include "kernel/candidate.h"
#include <algorithm>

namespace eelgrassloom {

bool Coordinator::earlierCallPossible(const KnownGroup &G) const {
  if (!PromotionLock.PromotionCallsKnown)
    return true;
  auto Call = PromotionLock.PromotionCalls.find(G.Record.Service);
  return Call != PromotionLock.PromotionCalls.end() &&
         Call->second == G.Record.Epoch;
}

bool Coordinator::primaryReportedUnreachable() const {
  return std::any_of(
      Proxies.begin(), Proxies.end(), [this](const ProxyReport &Report) {
        // Most proxies report no unreachable servers.
        return !Report.Unreachable.empty() &&
               std::any_of(Groups.begin(), Groups.end(),
                           [&](const auto &Entry) {
                             return Report.Unreachable.count(
                                        Entry.second.Record.Primary) != 0;
                           });
      });
}

std::optional<std::size_t> Coordinator::reachableProxies() const {
  if (PeerProxies == nullptr)
    return std::nullopt;
  // Contact before the primary became unreachable does not show that the proxy
  // is reachable now.
  Instant Since =
      std::max(*PromotionLock.ReportedSince, now() - Options.ReachableTime);
  return static_cast<std::size_t>(std::count_if(
      Proxies.begin(), Proxies.end(), [&](const ProxyReport &Report) {
        auto Heartbeat = Heartbeats.find(Report.Id);
        bool Polled = Heartbeat != Heartbeats.end() &&
                      Heartbeat->second.Renewed &&
                      Heartbeat->second.SeenAt > Since;
        return Report.Id == Self || Polled ||
               PeerProxies->lastContact(Report.Id) > Since;
      }));
}

PromotionInput Coordinator::commonInput() const {
  PromotionInput In;
  In.Era = Era;
  In.LockHeldSince = PromotionLock.HeldSince;
  In.CallOutstanding =
      std::any_of(Groups.begin(), Groups.end(), [this](const auto &Entry) {
        return Entry.second.Record.Stage == GroupStage::Revoking &&
               earlierCallPossible(Entry.second);
      });
  In.Proxies = &Proxies;
  In.ProxiesReadAt = ProxiesReadAt;
  // This proxy has polled, so a read of the heartbeats finds at least one.
  In.Heartbeats = Heartbeats.empty() ? nullptr : &Heartbeats;
  In.TotalServers = Servers->entries().size();
  if (PromotionLock.ReportedSince)
    In.ReachableProxies = reachableProxies();
  return In;
}

PromotionInput Coordinator::inputOf(const KnownGroup &G,
                                    PromotionInput In) const {
  In.Record = G.Record;
  In.EarlierCallPossible = earlierCallPossible(G);
  In.Statuses = &G.Statuses;
  for (const ServerEntry &Server : Servers->entries())
    if (Server.Service == G.Record.Service)
      In.Servers.push_back(Server);
  auto Used = SessionEngine.group(G.Record.Service);
  In.UsesOwners = Used && Used->usesOwners();
  auto Service = SessionEngine.config().Services.find(G.Record.Service);
  if (Service != SessionEngine.config().Services.end())
    In.SyncReplicas = Service->second.SyncReplicas;
  return In;
}

void Coordinator::promoteGroups() {
  if (!Servers->known() || ProxiesReadAt == Instant())
    return;
  bool Reported = primaryReportedUnreachable();
  if (!Reported)
    PromotionLock.ReportedSince.reset();
  else if (!PromotionLock.ReportedSince)
    PromotionLock.ReportedSince = now();
  const PromotionInput Common = commonInput();
  bool Revoking = false;
  unsigned Confirmations = 0;
  for (const auto &Entry : SessionEngine.config().Services) {
    const std::string &Service = Entry.first;
    KnownGroup &G = Groups[Service];
    G.Record.Service = Service;
    Revoking = Revoking || G.Record.Stage == GroupStage::Revoking;
    G.Promotion.Options.LeaseDuration = Options.LeaseDuration;
    bool Begins = G.Record.Stage == GroupStage::Stable;
    if (G.Busy || G.RestoreAt || (Begins && StoppingAt))
      continue;
    if (mayBeLost(G.Record)) {
      if (mayConfirm(G.Record) &&
          Confirmations++ < Options.ConfirmationsPerStep)
        confirmRecord(G);
      continue;
    }
    PromotionInput In = inputOf(G, Common);
    bool Waiting = !G.Promotion.LeasesEndedAt;
    for (const PromotionAction &Action : step(G.Promotion, In, now())) {
      if (std::holds_alternative<PromoteServer>(Action))
        logCandidates(G.Promotion, In);
      perform(Service, Action);
    }
    if (Waiting && G.Promotion.LeasesEndedAt)
      SessionEngine.events().write(
          EngineEvent::LeasesEnded,
          {{"service", Service},
           {"epoch", G.Record.Epoch},
           {"after_ms", now() - G.Promotion.RevokedAt},
           {"reason", name(G.Promotion.LeasesEndedBy)}});
    logPromotionWait(G, In);
  }
  if (Revoking && PeerProxies != nullptr &&
      now() >= PromotionLock.NextAcknowledgementRequest)
    requestAcknowledgements();
  if (!StoreReachable)
    return; // Nothing can be written now, so the reads can wait.
  // The answers soon show which proxies are reachable. A lock holder that
  // reaches only a minority does not revoke an unreachable primary at once, see
  // PromotionOptions::MinorityTolerance.
  if (Reported && PeerProxies != nullptr && now() >= PromotionLock.NextPing) {
    PromotionLock.NextPing = now() + Options.AcknowledgementInterval;
    PeerProxies->pingSilent(now() - Options.ReachableTime / 2);
  }
  Instant Next = now() + (Revoking || Reported ? Options.RevokingProxiesInterval
                                               : Options.HolderProxiesInterval);
  NextProxies = std::min(NextProxies, Next);
}

void Coordinator::requestAcknowledgements() {
  PromotionLock.NextAcknowledgementRequest =
      now() + Options.AcknowledgementInterval;
  std::set<ProxyId, std::less<>> Unacknowledged;
  std::vector<StoredRecord> Revoked;
  for (const auto &Entry : Groups) {
    const KnownGroup &G = Entry.second;
    if (G.Record.Stage != GroupStage::Revoking || G.Promotion.LeasesEndedAt)
      continue;
    Revoked.push_back({G.Record, G.Revision});
    for (const ProxyReport &Report : Proxies)
      if (!acknowledged(Report, G.Record))
        Unacknowledged.insert(Report.Id);
  }
  if (!Unacknowledged.empty())
    PeerProxies->requestAcknowledgements(Unacknowledged, Revoked);
}

void Coordinator::handlePeerAnswer(const PeerMessage &Answer) {
  if (!PromotionLock.Held || Answer.Epochs.Answered.empty())
    return; // Only answers to requestAcknowledgements() contain them.
  PromotionLock.PeerEpochs[Answer.From] = Answer.Epochs;
  for (ProxyReport &Report : Proxies)
    if (Report.Id == Answer.From)
      mergePeerEpochs(Report);
}

void Coordinator::mergePeerEpochs(ProxyReport &Report) const {
  auto Found = PromotionLock.PeerEpochs.find(Report.Id);
  if (Found == PromotionLock.PeerEpochs.end())
    return;
  for (const auto &[Service, Epoch] : Found->second.Acknowledged) {
    std::uint64_t &Stored = Report.Acknowledged[Service];
    if (Epoch <= Stored)
      continue;
    Stored = Epoch;
    Report.Answered.erase(Service);
    auto Answered = Found->second.Answered.find(Service);
    if (Answered != Found->second.Answered.end())
      Report.Answered[Service] = Answered->second;
  }
}

void Coordinator::logPromotionWait(KnownGroup &G, const PromotionInput &In) {
  const PromotionState &S = G.Promotion;
  if (In.Record.Stage != GroupStage::Revoking || In.Record.Epoch != S.Epoch ||
      now() - std::max(S.RevokedAt, G.WaitLoggedAt) <
          Options.PromotionWaitLogInterval)
    return;
  G.WaitLoggedAt = now();
  RemainingLeases Left = remainingLeases(S, In, now());
  auto Acknowledged =
      std::count_if(Proxies.begin(), Proxies.end(), [&](const ProxyReport &P) {
        return acknowledged(P, In.Record);
      });
  auto Answering = std::count_if(
      In.Servers.begin(), In.Servers.end(), [&](const ServerEntry &Server) {
        auto Status = G.Statuses.find(Server.Id);
        return Server.Id != In.Record.Primary && Status != G.Statuses.end() &&
               Status->second.Reachable;
      });
  SessionEngine.events().write(EngineEvent::PromotionWaiting,
                               {{"service", In.Record.Service},
                                {"epoch", In.Record.Epoch},
                                {"since_ms", now() - S.RevokedAt},
                                {"acknowledged", Acknowledged},
                                {"proxies", Proxies.size()},
                                {"checked_lately", Left.Polled},
                                {"answered_lately", Left.RecentlyAnswered},
                                {"permissions_ended", name(S.LeasesEndedBy)},
                                {"replicas_answering", Answering},
                                {"servers", In.Servers.size()}});
  if (S.LeasesEndedAt)
    logCandidates(S, In);
}

void Coordinator::logCandidates(const PromotionState &S,
                                const PromotionInput &In) {
  for (const ServerEntry &Server : In.Servers) {
    auto Found = In.Statuses->find(Server.Id);
    ServerStatus Status;
    if (Found != In.Statuses->end())
      Status = Found->second;
    SessionEngine.events().write(
        EngineEvent::PromotionCandidate,
        {{"service", In.Record.Service},
         {"epoch", In.Record.Epoch},
         {"server", Server.Id},
         {"state", name(candidateState(S, In, Server, now()))},
         {"reachable", Status.Reachable ? 1 : 0},
         {"role", name(Status.ServerRole)},
         {"term", Status.Term},
         {"received", formatPosition(Status.Received)},
         {"primary_term", In.Record.Term}});
  }
}

void Coordinator::perform(const std::string &Service,
                          const PromotionAction &Action) {
  if (const auto *Record = std::get_if<WritePrimaryRecord>(&Action))
    writePrimaryRecord(Service, *Record);
  else if (std::holds_alternative<QueryStatuses>(Action))
    queryStatuses(Service);
  else if (const auto *Evict = std::get_if<EvictProxy>(&Action))
    evict(*Evict);
  else if (const auto *Server = std::get_if<PromoteServer>(&Action))
    promote(Service, Server->Id);
}

void Coordinator::writePrimaryRecord(const std::string &Service,
                                     const WritePrimaryRecord &Action) {
  sendPrimaryRecord(Service, Action, {});
}

void Coordinator::sendPrimaryRecord(const std::string &Service,
                                    const WritePrimaryRecord &Action,
                                    StoreChange Change) {
  KnownGroup &G = Groups[Service];
  G.Busy = true;
  Change.Conditions.push_back({groupKey(Service), G.Revision});
  Change.Conditions.push_back(
      {std::string(FencingTokenKey), PromotionLock.TokenRevision});
  Change.Sets.push_back({groupKey(Service), encode(Action.Record), 0, 0});
  KeyValueStore.change(
      Change, Options.CallTimeout,
      [this, Service, Record = Action.Record,
       Reason = Action.Reason](StoreReply Reply) {
        KnownGroup &Known = Groups[Service];
        Known.Busy = false;
        logRecordWrite(Record, Reason, Reply.Code);
        detectLockTakeover(Reply);
        if (Reply.Code == StoreCode::Ok)
          applyGroup({groupKey(Service), encode(Record), Reply.Revision, 0});
        for (const StoreItem &Item : Reply.Items)
          if (Item.Key == groupKey(Service))
            applyGroup(Item);
        // If the write got no answer, the poll shows whether it took effect.
        if (PollsInFlight == 0)
          poll();
      });
}

void Coordinator::logRecordWrite(const PrimaryRecord &Record,
                                 PromotionReason Reason, StoreCode Answer) {
  if (Record.Stage == GroupStage::Revoking)
    SessionEngine.events().write(EngineEvent::RevocationStarted,
                                 {{"service", Record.Service},
                                  {"epoch", Record.Epoch},
                                  {"primary", Record.Primary},
                                  {"reason", name(Reason)},
                                  {"answer", name(Answer)}});
  else
    SessionEngine.events().write(EngineEvent::PrimaryPublished,
                                 {{"service", Record.Service},
                                  {"epoch", Record.Epoch},
                                  {"primary", Record.Primary},
                                  {"answer", name(Answer)}});
}

void Coordinator::queryStatuses(const std::string &Service) {
  for (const ServerEntry &Server : Servers->entries()) {
    if (Server.Service != Service)
      continue;
    if (!Groups[Service].PendingStatuses.insert(Server.Id).second)
      continue;
    Probe(Server, [this, Service, Id = Server.Id](ServerStatus Status) {
      KnownGroup &G = Groups[Service];
      G.PendingStatuses.erase(Id);
      G.Statuses[Id] = Status;
    });
  }
}

void Coordinator::evict(const EvictProxy &Action) {
  for (ProxyReport &Report : Proxies)
    if (Report.Id == Action.Id) {
      Report.Evicted = true;
      Report.SeenAt = now();
    }
  ProxyRecord Record;
  Record.Id = Action.Id;
  Record.Evicted = true;
  SessionEngine.events().write(EngineEvent::ProxyEvicted,
                               {{"proxy", Action.Id}});
  StoreChange Change;
  Change.Conditions = {{proxyKey(Action.Id), Action.Revision}};
  Change.Sets = {{proxyKey(Action.Id), encode(Record), 0, 0}};
  KeyValueStore.change(Change, Options.CallTimeout, [](StoreReply) {});
}

void Coordinator::promote(const std::string &Service,
                          const UpstreamId &Server) {
  Groups[Service].Busy = true;
  // The lock must still be held when the promotion is called, and later holders
  // must learn that the call may be in flight.
  StoreChange Verify;
  PromotionCallRecord Call{Service, Groups[Service].Record.Epoch};
  Verify.Sets = {{promotionCallKey(Service), encode(Call), 0, 0}};
  Verify.Conditions = {
      {groupKey(Service), Groups[Service].Revision},
      {std::string(FencingTokenKey), PromotionLock.TokenRevision},
      {std::string(PromotionLockKey), PromotionLock.LockRevision}};
  KeyValueStore.change(
      Verify, Options.CallTimeout, [this, Service, Server](StoreReply Reply) {
        if (Reply.Code != StoreCode::Ok || !PromotionLock.Held) {
          Groups[Service].Busy = false;
          Groups[Service].Promotion.CalledAt.reset();
          return;
        }
        Groups[Service].Promotion.CalledAt = now();
        SessionEngine.events().write(EngineEvent::PromotionCalled,
                                     {{"service", Service},
                                      {"server", Server},
                                      {"token", PromotionLock.Token}});
        Promote(Service, Server, PromotionLock.Token,
                [this, Service, Server](PromotionOutcome Outcome) {
                  KnownGroup &G = Groups[Service];
                  G.Busy = false;
                  SessionEngine.events().write(EngineEvent::PromotionAnswered,
                                               {{"service", Service},
                                                {"server", Server},
                                                {"outcome", name(Outcome)}});
                  if (Outcome == PromotionOutcome::Refused)
                    promotionRefused(G.Promotion, Server, now());
                  else if (Outcome == PromotionOutcome::TurnedAway)
                    promotionTurnedAway(G.Promotion, now());
                });
      });
}

} // namespace eelgrassloom
