// The promotion duty: who holds it.

#include "control/coordinator.h"
#include <algorithm>

namespace eelgrassloom {

void Coordinator::tickDuty() {
  Instant Now = now();
  if (Leaving || Rules->revision() == 0 || !registered() || Now < NextDuty)
    return;
  NextDuty = Now + Options.DutyInterval;
  if (StoppingAt && (!Duty.Held || dutyFinished())) {
    stopDuty();
    return;
  }
  if (Duty.Held) {
    if (!Duty.Keeping && Now >= Duty.NextKeep)
      keepDuty();
    if (!Duty.CallsKnown && !Duty.ReadingCalls)
      readCalls();
    if (dutyKept())
      promoteGroups();
    return;
  }
  if (Duty.LockRevision != 0) {
    Duty.TakeAt.reset();
    return;
  }
  if (!Duty.TakeAt) {
    Duty.TakeAt = Now + spread(Options.DutyDelay);
    // The earlier the last checks are known, the earlier their permissions have
    // ended for this proxy.
    NextProxies = Now;
  } else if (Now >= *Duty.TakeAt && !Duty.Trying) {
    takeDuty();
  }
}

void Coordinator::takeDuty() {
  Duty.Trying = true;
  Duty.TakeAt = now() + 2 * Options.DutyDelay;
  Platform.createLease(Options.DutyLease, Options.CallTimeout,
                       [this](StoreReply Reply) {
                         if (Reply.Code == StoreCode::Ok && !Leaving)
                           lockDuty(Reply.Lease);
                         else
                           Duty.Trying = false;
                       });
}

void Coordinator::lockDuty(std::uint64_t Lease) {
  DutyToken Next{Self, Duty.Token + 1};
  StoreChange Change;
  Change.Conditions = {{std::string(DutyLockKey), 0},
                       {std::string(DutyTokenKey), Duty.TokenRevision}};
  Change.Sets = {{std::string(DutyLockKey), Self, 0, Lease},
                 {std::string(DutyTokenKey), encode(Next), 0, 0}};
  Platform.change(Change, Options.CallTimeout,
                  [this, Lease, Next, SentAt = now()](StoreReply Reply) {
                    Duty.Trying = false;
                    if (Reply.Code == StoreCode::Ok && !Leaving) {
                      Duty.Held = true;
                      Duty.Since = now();
                      Duty.KeptAt = SentAt;
                      Duty.Lease = Lease;
                      Duty.Token = Next.Token;
                      Duty.TokenRevision = Reply.Revision;
                      Duty.LockRevision = Reply.Revision;
                      Duty.NextKeep = now() + Options.DutyKeepInterval;
                      // Earlier reads may be seconds old.
                      NextProxies = now();
                      Target.events().write(EngineEvent::DutyTaken,
                                            {{"token", Duty.Token}});
                      return;
                    }
                    if (Reply.Code != StoreCode::Conflict)
                      return;
                    for (const StoreItem &Item : Reply.Items) {
                      if (Item.Key == DutyLockKey)
                        Duty.LockRevision = Item.Revision;
                      if (Item.Key != DutyTokenKey)
                        continue;
                      auto Token = decodeDuty(Item);
                      Duty.TokenRevision = Item.Revision;
                      if (Token)
                        Duty.Token = Token.value().Token;
                    }
                    // The token is known now; the next attempt can succeed at
                    // once.
                    if (Duty.LockRevision == 0)
                      Duty.TakeAt = now();
                  });
}

void Coordinator::keepDuty() {
  Duty.Keeping = true;
  Duty.NextKeep = now() + Options.DutyKeepInterval;
  Platform.keepLease(Duty.Lease, Options.CallTimeout,
                     [this, SentAt = now()](StoreReply Reply) {
                       Duty.Keeping = false;
                       if (Reply.Code == StoreCode::Ok)
                         Duty.KeptAt = SentAt;
                       else if (Reply.Code == StoreCode::Gone && Duty.Held)
                         loseDuty("the lease has ended");
                       else
                         Duty.NextKeep = now() + Options.CheckRetry;
                     });
}

void Coordinator::noticeTaken(const StoreReply &Reply) {
  for (const StoreItem &Item : Reply.Items)
    if (Duty.Held && Item.Key == DutyTokenKey &&
        Item.Revision > Duty.TokenRevision)
      loseDuty("another proxy has taken it");
}

/// Whoever stored a call before this proxy took the duty is found: later ones
/// fail on the token.
void Coordinator::readCalls() {
  Duty.ReadingCalls = true;
  Platform.range(
      std::string(CallPrefix), ReadMode::Current, Options.CallTimeout,
      [this, Token = Duty.Token](StoreReply Reply) {
        Duty.ReadingCalls = false;
        if (Reply.Code != StoreCode::Ok || !Duty.Held || Duty.Token != Token)
          return;
        for (const StoreItem &Item : Reply.Items) {
          auto Call = decodeCall(Item);
          if (Call) {
            Duty.Calls[Call.value().Service] = Call.value().Epoch;
            continue;
          }
          Target.events().write(
              EngineEvent::InputRejected,
              {{"key", Item.Key}, {"findings", toString(Call.findings())}});
          return; // Without it nothing is known.
        }
        Duty.CallsKnown = true;
      });
}

void Coordinator::loseDuty(std::string_view Reason) {
  Duty.Held = false;
  Duty.TakeAt.reset();
  Duty.CallsKnown = false;
  Duty.Calls.clear();
  Duty.Told.clear();
  for (auto &Entry : Groups) {
    Entry.second.Promotion = PromotionState();
    Entry.second.Statuses.clear();
  }
  Target.events().write(EngineEvent::DutyLost,
                        {{"token", Duty.Token}, {"reason", Reason}});
}

void Coordinator::prepareToLeave() {
  StoppingAt = now();
  if (dutyFinished())
    stopDuty();
  if (Others != nullptr)
    Others->stopExtending();
}

bool Coordinator::dutyFinished() const {
  bool Replacing =
      std::any_of(Groups.begin(), Groups.end(), [](const auto &Entry) {
        return Entry.second.Busy ||
               Entry.second.Record.Stage == GroupStage::Revoking;
      });
  return !Replacing || now() - *StoppingAt >= Options.DutyFinishTime;
}

void Coordinator::stopDuty() {
  if (!Duty.Held)
    return;
  StoreChange Change;
  Change.Conditions = {{std::string(DutyLockKey), Duty.LockRevision}};
  Change.Deletes = {std::string(DutyLockKey)};
  loseDuty("the process stops");
  // The lock lapses by itself if this call fails.
  Platform.change(Change, Options.CallTimeout, [](StoreReply) {});
}

} // namespace eelgrassloom
