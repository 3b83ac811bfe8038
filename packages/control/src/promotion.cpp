// Replacement of primaries by the holder of the promotion duty.

#include "control/coordinator.h"
#include <algorithm>

namespace eelgrassloom {

bool Coordinator::calledBefore(const KnownGroup &G) const {
  if (!Duty.CallsKnown)
    return true;
  auto Call = Duty.Calls.find(G.Record.Service);
  return Call != Duty.Calls.end() && Call->second == G.Record.Epoch;
}

bool Coordinator::primaryReported() const {
  return std::any_of(
      Proxies.begin(), Proxies.end(), [this](const ProxyReport &Report) {
        // Most report nothing.
        return !Report.Unreachable.empty() &&
               std::any_of(Groups.begin(), Groups.end(),
                           [&](const auto &Entry) {
                             return Report.Unreachable.count(
                                        Entry.second.Record.Primary) != 0;
                           });
      });
}

std::optional<std::size_t> Coordinator::reachableProxies() const {
  if (Others == nullptr)
    return std::nullopt;
  // What was heard before the primary was lost proves nothing.
  Instant Since = std::max(*Duty.ReportedSince, now() - Options.ReachableTime);
  return static_cast<std::size_t>(std::count_if(
      Proxies.begin(), Proxies.end(), [&](const ProxyReport &Report) {
        auto Check = Checks.find(Report.Id);
        bool Checked = Check != Checks.end() && Check->second.Renewed &&
                       Check->second.SeenAt > Since;
        return Report.Id == Self || Checked ||
               Others->heardAt(Report.Id) > Since;
      }));
}

PromotionInput Coordinator::commonInput() const {
  PromotionInput In;
  In.DutySince = Duty.Since;
  In.CallOutstanding =
      std::any_of(Groups.begin(), Groups.end(), [this](const auto &Entry) {
        return Entry.second.Record.Stage == GroupStage::Revoking &&
               calledBefore(Entry.second);
      });
  In.Proxies = &Proxies;
  In.ProxiesReadAt = ProxiesReadAt;
  // This proxy has made a check, so a read of the marks finds one.
  In.Checks = Checks.empty() ? nullptr : &Checks;
  In.AllServers = Servers->entries().size();
  if (Duty.ReportedSince)
    In.Reachable = reachableProxies();
  return In;
}

PromotionInput Coordinator::inputOf(const KnownGroup &G,
                                    PromotionInput In) const {
  In.Record = G.Record;
  In.CalledBefore = calledBefore(G);
  In.Statuses = &G.Statuses;
  for (const ServerEntry &Server : Servers->entries())
    if (Server.Service == G.Record.Service)
      In.Servers.push_back(Server);
  auto Used = Target.group(G.Record.Service);
  In.OwnersRun = Used && Used->usesOwners();
  auto Rule = Target.rules().Services.find(G.Record.Service);
  if (Rule != Target.rules().Services.end())
    In.SyncReplicas = Rule->second.SyncReplicas;
  return In;
}

void Coordinator::promoteGroups() {
  if (!Servers->known() || ProxiesReadAt == Instant())
    return;
  bool Reported = primaryReported();
  if (!Reported)
    Duty.ReportedSince.reset();
  else if (!Duty.ReportedSince)
    Duty.ReportedSince = now();
  const PromotionInput Common = commonInput();
  bool Revoking = false;
  for (const auto &Entry : Target.rules().Services) {
    const std::string &Service = Entry.first;
    KnownGroup &G = Groups[Service];
    G.Record.Service = Service;
    Revoking = Revoking || G.Record.Stage == GroupStage::Revoking;
    G.Promotion.Options.Lease = Options.Lease;
    bool Begins = G.Record.Stage == GroupStage::Stable;
    if (G.Busy || (Begins && StoppingAt))
      continue;
    PromotionInput In = inputOf(G, Common);
    bool Waiting = !G.Promotion.Released;
    for (const PromotionAction &Action : step(G.Promotion, In, now()))
      perform(Service, Action);
    if (Waiting && G.Promotion.Released)
      Target.events().write(EngineEvent::PermissionsEnded,
                            {{"service", Service},
                             {"epoch", G.Record.Epoch},
                             {"after_ms", now() - G.Promotion.RevokedAt},
                             {"reason", name(G.Promotion.ReleasedBy)}});
    notePromotion(G, In);
  }
  if (Revoking && Others != nullptr && now() >= Duty.NextAsk)
    askAcknowledgements();
  if (!StoreUp)
    return; // Nothing can be stored now; the reads can wait.
  // What is reported must be confirmed soon.
  if (Reported && Others != nullptr && now() >= Duty.NextProbe) {
    Duty.NextProbe = now() + Options.AskInterval;
    Others->probeAll();
  }
  Instant Next = now() + (Revoking || Reported ? Options.RevokingProxiesInterval
                                               : Options.DutyProxiesInterval);
  NextProxies = std::min(NextProxies, Next);
}

void Coordinator::askAcknowledgements() {
  Duty.NextAsk = now() + Options.AskInterval;
  std::set<ProxyId, std::less<>> Silent;
  std::vector<PeerRecord> Revoked;
  for (const auto &Entry : Groups) {
    const KnownGroup &G = Entry.second;
    if (G.Record.Stage != GroupStage::Revoking || G.Promotion.Released)
      continue;
    Revoked.push_back({G.Record, G.Revision});
    for (const ProxyReport &Report : Proxies)
      if (!acknowledged(Report, G.Record))
        Silent.insert(Report.Id);
  }
  if (!Silent.empty())
    Others->askAcknowledgements(Silent, Revoked);
}

void Coordinator::toldByPeer(const PeerMessage &Answer) {
  if (!Duty.Held || Answer.Epochs.Answered.empty())
    return; // Only answers to the question above name them.
  Duty.Told[Answer.From] = Answer.Epochs;
  for (ProxyReport &Report : Proxies)
    if (Report.Id == Answer.From)
      mergeTold(Report);
}

void Coordinator::mergeTold(ProxyReport &Report) const {
  auto Told = Duty.Told.find(Report.Id);
  if (Told == Duty.Told.end())
    return;
  for (const auto &[Service, Epoch] : Told->second.Acknowledged) {
    std::uint64_t &Stored = Report.Acknowledged[Service];
    if (Epoch <= Stored)
      continue;
    Stored = Epoch;
    Report.Answered.erase(Service);
    auto Answered = Told->second.Answered.find(Service);
    if (Answered != Told->second.Answered.end())
      Report.Answered[Service] = Answered->second;
  }
}

void Coordinator::notePromotion(KnownGroup &G, const PromotionInput &In) {
  const PromotionState &S = G.Promotion;
  if (In.Record.Stage != GroupStage::Revoking || In.Record.Epoch != S.Epoch ||
      now() - std::max(S.RevokedAt, G.NotedAt) < Options.PromotionNotes)
    return;
  G.NotedAt = now();
  PermissionsLeft Left = permissionsLeft(S, In, now());
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
  Target.events().write(EngineEvent::PromotionWaiting,
                        {{"service", In.Record.Service},
                         {"epoch", In.Record.Epoch},
                         {"since_ms", now() - S.RevokedAt},
                         {"acknowledged", Acknowledged},
                         {"proxies", Proxies.size()},
                         {"checked_lately", Left.Checked},
                         {"answered_lately", Left.Answered},
                         {"permissions_ended", name(S.ReleasedBy)},
                         {"replicas_answering", Answering},
                         {"servers", In.Servers.size()}});
}

void Coordinator::perform(const std::string &Service,
                          const PromotionAction &Action) {
  if (const auto *Record = std::get_if<StoreRecord>(&Action))
    storeRecord(Service, *Record);
  else if (std::holds_alternative<AskStatuses>(Action))
    askStatuses(Service);
  else if (const auto *Evict = std::get_if<EvictProxy>(&Action))
    evict(*Evict);
  else if (const auto *Server = std::get_if<PromoteServer>(&Action))
    promote(Service, Server->Id);
}

void Coordinator::storeRecord(const std::string &Service,
                              const StoreRecord &Action) {
  KnownGroup &G = Groups[Service];
  G.Busy = true;
  StoreChange Change;
  Change.Conditions = {{groupKey(Service), G.Revision},
                       {std::string(DutyTokenKey), Duty.TokenRevision}};
  Change.Sets = {{groupKey(Service), encode(Action.Record), 0, 0}};
  Platform.change(
      Change, Options.CallTimeout,
      [this, Service, Record = Action.Record,
       Reason = Action.Reason](StoreReply Reply) {
        KnownGroup &Known = Groups[Service];
        Known.Busy = false;
        noteRecord(Record, Reason, Reply.Code);
        noticeTaken(Reply);
        if (Reply.Code == StoreCode::Ok)
          acceptGroup({groupKey(Service), encode(Record), Reply.Revision, 0});
        for (const StoreItem &Item : Reply.Items)
          if (Item.Key == groupKey(Service))
            acceptGroup(Item);
        // An unanswered change is found by the next check.
        if (ChecksRunning == 0)
          check();
      });
}

void Coordinator::noteRecord(const PrimaryRecord &Record, ReplaceReason Reason,
                             StoreCode Answer) {
  if (Record.Stage == GroupStage::Revoking)
    Target.events().write(EngineEvent::RevocationStarted,
                          {{"service", Record.Service},
                           {"epoch", Record.Epoch},
                           {"primary", Record.Primary},
                           {"reason", name(Reason)},
                           {"answer", name(Answer)}});
  else
    Target.events().write(EngineEvent::PrimaryPublished,
                          {{"service", Record.Service},
                           {"epoch", Record.Epoch},
                           {"primary", Record.Primary},
                           {"answer", name(Answer)}});
}

void Coordinator::askStatuses(const std::string &Service) {
  for (const ServerEntry &Server : Servers->entries()) {
    if (Server.Service != Service)
      continue;
    if (!Groups[Service].Asking.insert(Server.Id).second)
      continue;
    Probe(Server, [this, Service, Id = Server.Id](ServerStatus Status) {
      KnownGroup &G = Groups[Service];
      G.Asking.erase(Id);
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
  Target.events().write(EngineEvent::ProxyEvicted, {{"proxy", Action.Id}});
  StoreChange Change;
  Change.Conditions = {{proxyKey(Action.Id), Action.Revision}};
  Change.Sets = {{proxyKey(Action.Id), encode(Record), 0, 0}};
  Platform.change(Change, Options.CallTimeout, [](StoreReply) {});
}

void Coordinator::promote(const std::string &Service,
                          const UpstreamId &Server) {
  Groups[Service].Busy = true;
  // The duty must still be held when the call is sent, and later holders must
  // know that it may be on its way.
  StoreChange Verify;
  CallRecord Call{Service, Groups[Service].Record.Epoch};
  Verify.Sets = {{callKey(Service), encode(Call), 0, 0}};
  Verify.Conditions = {{groupKey(Service), Groups[Service].Revision},
                       {std::string(DutyTokenKey), Duty.TokenRevision},
                       {std::string(DutyLockKey), Duty.LockRevision}};
  Platform.change(
      Verify, Options.CallTimeout, [this, Service, Server](StoreReply Reply) {
        if (Reply.Code != StoreCode::Ok || !Duty.Held) {
          Groups[Service].Busy = false;
          Groups[Service].Promotion.CalledAt.reset();
          return;
        }
        Groups[Service].Promotion.CalledAt = now();
        Target.events().write(
            EngineEvent::PromotionCalled,
            {{"service", Service}, {"server", Server}, {"token", Duty.Token}});
        Promote(Service, Server, Duty.Token,
                [this, Service, Server](PromotionOutcome Outcome) {
                  KnownGroup &G = Groups[Service];
                  G.Busy = false;
                  Target.events().write(EngineEvent::PromotionAnswered,
                                        {{"service", Service},
                                         {"server", Server},
                                         {"outcome", name(Outcome)}});
                  if (Outcome == PromotionOutcome::Refused)
                    promotionRefused(G.Promotion, Server, now());
                });
      });
}

} // namespace eelgrassloom
