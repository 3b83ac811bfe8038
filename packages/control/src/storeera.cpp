// Eras of the store. When the store comes back from an older copy, the records
// that it has lost are written back by the proxies that know them. Then the
// holder of the promotion lock confirms all records for the new era.
// Until a record is confirmed, polls give no lease on its primary, and leases
// are extended by a quorum of peers as in an outage.

#include "control/coordinator.h"
#include <algorithm>

namespace eelgrassloom {

void Coordinator::handleNewEra(StoreEra Next) {
  bool First = Era == 0;
  SessionEngine.events().write(EngineEvent::StoreEraChanged,
                               {{"era", Next}, {"known", Era}});
  Era = Next;
  EraSeenAt = now();
  if (First)
    return;
  EraChanged = true;
  if (PromotionLock.Held)
    losePromotionLock("the store has come back from a copy");
  // The store has older heartbeats now. Their other revisions show no polls.
  for (auto &Entry : Heartbeats)
    Entry.second.Revision = 0;
  Servers->handleStoreReturn();
  // The copy may lack proxies that have registered lately. They register again,
  // so the list is read several times, as after a start.
  NextProxies = now();
  ProxiesReads = 0;
  NextPoll = std::min(NextPoll, now() + jitter(Options.PollRetry));
}

bool Coordinator::confirmed(const PrimaryRecord &Record) const {
  // A record without an era is of a version that knew none, or of a store that
  // named none. It is confirmed unless the era has changed since.
  return Record.Era >= Era || (Record.Era == 0 && !EraChanged);
}

bool Coordinator::awaitsConfirmation() const {
  const auto &Services = SessionEngine.config().Services;
  return EraChanged &&
         std::any_of(Services.begin(), Services.end(), [&](const auto &Entry) {
           auto It = Groups.find(Entry.first);
           return It != Groups.end() && mayBeLost(It->second.Record);
         });
}

bool Coordinator::mayBeLost(const PrimaryRecord &Record) const {
  if (Record.Epoch != 0)
    return !confirmed(Record);
  return EraChanged && now() - EraSeenAt < Options.RecordRestoreTime;
}

bool Coordinator::mayConfirm(const PrimaryRecord &Record) const {
  return Record.Epoch != 0 && PromotionLock.PromotionCallsKnown &&
         now() - EraSeenAt >= Options.RecordRestoreTime;
}

void Coordinator::confirmRecord(KnownGroup &G) {
  PrimaryRecord Next = G.Record;
  Next.Era = Era;
  StoreChange Change;
  if (Next.Stage == GroupStage::Revoking) {
    // A promotion may have been called whose record the store has lost.
    PromotionCallRecord Call{Next.Service, Next.Epoch};
    Change.Sets = {{promotionCallKey(Next.Service), encode(Call), 0, 0}};
    PromotionLock.PromotionCalls[Next.Service] = Next.Epoch;
  }
  sendPrimaryRecord(Next.Service, {Next, PromotionReason::None},
                    std::move(Change));
}

void Coordinator::noteLostRecord(KnownGroup &G, const StoreItem &Older) {
  G.Revision = Older.Revision;
  if (G.RestoreAt)
    return;
  bool First = PeerProxies == nullptr || PeerProxies->isPoller();
  G.RestoreAt =
      now() + (First ? Duration::zero() : jitter(Options.MaxRestoreDelay));
  SessionEngine.events().write(EngineEvent::RecordLost,
                               {{"service", G.Record.Service},
                                {"epoch", G.Record.Epoch},
                                {"revision", Older.Revision}});
}

void Coordinator::restoreRecords() {
  if (Leaving)
    return;
  for (auto &[Service, G] : Groups)
    if (G.RestoreAt && !G.Busy && now() >= *G.RestoreAt)
      restoreRecord(Service, G);
}

void Coordinator::restoreRecord(const std::string &Service, KnownGroup &G) {
  G.Busy = true;
  StoreChange Change;
  Change.Conditions = {{groupKey(Service), G.Revision}};
  Change.Sets = {{groupKey(Service), encode(G.Record), 0, 0}};
  KeyValueStore.change(
      Change, Options.CallTimeout,
      [this, Record = G.Record](const StoreReply &Reply) {
        KnownGroup &Known = Groups[Record.Service];
        Known.Busy = false;
        SessionEngine.events().write(EngineEvent::RecordRestored,
                                     {{"service", Record.Service},
                                      {"epoch", Record.Epoch},
                                      {"answer", name(Reply.Code)}});
        std::string Key = groupKey(Record.Service);
        if (Reply.Code == StoreCode::Ok)
          applyGroup({Key, encode(Record), Reply.Revision, 0});
        for (const StoreItem &Item : Reply.Items)
          if (Item.Key == Key)
            applyGroup(Item);
        if (Known.RestoreAt)
          Known.RestoreAt = now() + readPause(Options.MaxPollRetry);
      });
}

} // namespace eelgrassloom
