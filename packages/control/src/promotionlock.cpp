// The promotion duty: who holds it.

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
    // The earlier the last checks are known, the earlier their permissions have
    // ended for this proxy.
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
  FencingToken Next{Self, PromotionLock.Token + 1};
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
                           // Earlier reads may be seconds old.
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
                         // The token is known now; the next attempt can succeed
                         // at once.
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
          losePromotionLock("the lease has ended");
        else
          PromotionLock.NextRenewal = now() + Options.PollRetry;
      });
}

void Coordinator::detectLockTakeover(const StoreReply &Reply) {
  for (const StoreItem &Item : Reply.Items)
    if (PromotionLock.Held && Item.Key == FencingTokenKey &&
        Item.Revision > PromotionLock.TokenRevision)
      losePromotionLock("another proxy has taken it");
}

/// Whoever stored a call before this proxy took the duty is found: later ones
/// fail on the token.
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
          return; // Without it nothing is known.
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
  bool Replacing =
      std::any_of(Groups.begin(), Groups.end(), [](const auto &Entry) {
        return Entry.second.Busy ||
               Entry.second.Record.Stage == GroupStage::Revoking;
      });
  return !Replacing || now() - *StoppingAt >= Options.PromotionFinishTime;
}

void Coordinator::releasePromotionLock() {
  if (!PromotionLock.Held)
    return;
  StoreChange Change;
  Change.Conditions = {
      {std::string(PromotionLockKey), PromotionLock.LockRevision}};
  Change.Deletes = {std::string(PromotionLockKey)};
  losePromotionLock("the process stops");
  // The lock lapses by itself if this call fails.
  KeyValueStore.change(Change, Options.CallTimeout, [](StoreReply) {});
}

} // namespace eelgrassloom
