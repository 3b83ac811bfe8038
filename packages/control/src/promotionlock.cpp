// Promotion lock: acquiring, renewing and releasing it.

#include "control/coordinator.h"
#include <algorithm>

namespace eelgrassloom {

void Coordinator::tickPromotions() {
  Instant Now = now();
  if (Leaving || Config->revision() == 0 || !registered() ||
      Now < NextPromotionStep)
    return;
  NextPromotionStep = Now + Options.PromotionInterval;
  if (StoppingAt && (!PromotionLock.Held || promotionsFinished())) {
    releasePromotionLock();
    return;
  }
  if (PromotionLock.Held) {
    if (!PromotionLock.Renewing && Now >= PromotionLock.NextRenewal)
      renewPromotionLock();
    if (!PromotionLock.PromotionCallsKnown &&
        !PromotionLock.ReadingPromotionCalls)
      readPromotionCalls();
    if (promotionLockValid())
      promoteGroups();
    return;
  }
  if (PromotionLock.LockRevision != 0) {
    PromotionLock.AcquireAt.reset();
    return;
  }
  if (!PromotionLock.AcquireAt) {
    PromotionLock.AcquireAt = Now + jitter(Options.MaxPromotionLockDelay);
    if (smallHost())
      *PromotionLock.AcquireAt += Options.SmallHostLockDelay;
    // Read the heartbeats now: the earlier this proxy has seen the last polls,
    // the earlier it knows that the primary leases they gave have expired.
    NextProxies = Now;
  } else if (Now >= *PromotionLock.AcquireAt && !PromotionLock.Acquiring) {
    acquirePromotionLock();
  }
}

void Coordinator::acquirePromotionLock() {
  PromotionLock.Acquiring = true;
  PromotionLock.AcquireAt = now() + 2 * Options.MaxPromotionLockDelay;
  KeyValueStore.createLease(Options.PromotionLockLeaseDuration,
                            Options.CallTimeout, [this](StoreReply Reply) {
                              if (Reply.Code == StoreCode::Ok && !Leaving)
                                writePromotionLock(Reply.LeaseId);
                              else
                                PromotionLock.Acquiring = false;
                            });
}

void Coordinator::writePromotionLock(std::uint64_t LeaseId) {
  FencingToken Next{Self, nextNumber(PromotionLock.Token, Era)};
  StoreChange Change;
  Change.Conditions = {
      {std::string(PromotionLockKey), 0},
      {std::string(FencingTokenKey), PromotionLock.TokenRevision}};
  Change.Sets = {{std::string(PromotionLockKey), Self, 0, LeaseId},
                 {std::string(FencingTokenKey), encode(Next), 0, 0}};
  KeyValueStore.change(Change, Options.CallTimeout,
                       [this, LeaseId, Next, SentAt = now()](StoreReply Reply) {
                         PromotionLock.Acquiring = false;
                         if (Reply.Code == StoreCode::Ok && !Leaving) {
                           PromotionLock.Held = true;
                           PromotionLock.HeldSince = now();
                           PromotionLock.RenewedAt = SentAt;
                           PromotionLock.LeaseId = LeaseId;
                           PromotionLock.Token = Next.Token;
                           PromotionLock.TokenRevision = Reply.Revision;
                           PromotionLock.LockRevision = Reply.Revision;
                           PromotionLock.NextRenewal =
                               now() + Options.PromotionLockRenewInterval;
                           // Earlier reads of the registrations may be seconds
                           // old.
                           NextProxies = now();
                           SessionEngine.events().write(
                               EngineEvent::PromotionLockAcquired,
                               {{"token", PromotionLock.Token}});
                           return;
                         }
                         if (Reply.Code != StoreCode::Conflict)
                           return;
                         for (const StoreItem &Item : Reply.Items) {
                           if (Item.Key == PromotionLockKey)
                             PromotionLock.LockRevision = Item.Revision;
                           if (Item.Key != FencingTokenKey)
                             continue;
                           auto Token = decodeFencingToken(Item);
                           PromotionLock.TokenRevision = Item.Revision;
                           if (Token)
                             PromotionLock.Token = Token.value().Token;
                         }
                         // The fencing token is known now, so the next attempt
                         // can succeed at once.
                         if (PromotionLock.LockRevision == 0)
                           PromotionLock.AcquireAt = now();
                       });
}

void Coordinator::renewPromotionLock() {
  PromotionLock.Renewing = true;
  PromotionLock.NextRenewal = now() + Options.PromotionLockRenewInterval;
  KeyValueStore.renewLease(
      PromotionLock.LeaseId, Options.CallTimeout,
      [this, SentAt = now()](StoreReply Reply) {
        PromotionLock.Renewing = false;
        if (Reply.Code == StoreCode::Ok)
          PromotionLock.RenewedAt = SentAt;
        else if (Reply.Code == StoreCode::Gone && PromotionLock.Held)
          losePromotionLock("the store lease has expired");
        else
          PromotionLock.NextRenewal = now() + Options.PollRetry;
      });
}

void Coordinator::detectLockTakeover(const StoreReply &Reply) {
  for (const StoreItem &Item : Reply.Items)
    if (PromotionLock.Held && Item.Key == FencingTokenKey &&
        Item.Revision > PromotionLock.TokenRevision)
      losePromotionLock("another proxy has raised the fencing token");
}

/// Reads the promotion calls of earlier holders of the lock. Calls that were
/// stored before this proxy acquired the lock are found; later ones fail on the
/// condition on the fencing token.
void Coordinator::readPromotionCalls() {
  PromotionLock.ReadingPromotionCalls = true;
  KeyValueStore.range(
      std::string(PromotionCallPrefix), ReadMode::Current, Options.CallTimeout,
      [this, Token = PromotionLock.Token](StoreReply Reply) {
        PromotionLock.ReadingPromotionCalls = false;
        if (Reply.Code != StoreCode::Ok || !PromotionLock.Held ||
            PromotionLock.Token != Token)
          return;
        for (const StoreItem &Item : Reply.Items) {
          auto Call = decodePromotionCall(Item);
          if (Call) {
            PromotionLock.PromotionCalls[Call.value().Service] =
                Call.value().Epoch;
            continue;
          }
          SessionEngine.events().write(
              EngineEvent::InputRejected,
              {{"key", Item.Key}, {"findings", toString(Call.findings())}});
          // With one call unreadable, it is unknown which calls were made.
          return;
        }
        PromotionLock.PromotionCallsKnown = true;
      });
}

void Coordinator::losePromotionLock(std::string_view Reason) {
  PromotionLock.Held = false;
  PromotionLock.AcquireAt.reset();
  PromotionLock.PromotionCallsKnown = false;
  PromotionLock.PromotionCalls.clear();
  PromotionLock.PeerEpochs.clear();
  for (auto &Entry : Groups) {
    Entry.second.Promotion = PromotionState();
    Entry.second.Statuses.clear();
  }
  SessionEngine.events().write(
      EngineEvent::PromotionLockLost,
      {{"token", PromotionLock.Token}, {"reason", Reason}});
}

void Coordinator::prepareToLeave() {
  StoppingAt = now();
  if (promotionsFinished())
    releasePromotionLock();
  if (PeerProxies != nullptr)
    PeerProxies->stopExtending();
}

bool Coordinator::promotionsFinished() const {
  bool Promoting =
      std::any_of(Groups.begin(), Groups.end(), [](const auto &Entry) {
        return Entry.second.Busy ||
               Entry.second.Record.Stage == GroupStage::Revoking;
      });
  return !Promoting || now() - *StoppingAt >= Options.PromotionFinishTime;
}

void Coordinator::releasePromotionLock() {
  if (!PromotionLock.Held)
    return;
  StoreChange Change;
  Change.Conditions = {
      {std::string(PromotionLockKey), PromotionLock.LockRevision}};
  Change.Deletes = {std::string(PromotionLockKey)};
  losePromotionLock("the process is stopping");
  // If this call fails, the lock is released when its store lease expires.
  KeyValueStore.change(Change, Options.CallTimeout, [](StoreReply) {});
}

} // namespace eelgrassloom
