// The record of this proxy: registration, reachability, acknowledgements.

#include "control/coordinator.h"
#include <algorithm>

namespace eelgrassloom {

void Coordinator::acceptOwn(const StoreItem &Item) {
  if (Item.Revision == OwnRevision || OwnBusy)
    return; // The answer of a write in progress decides.
  OwnRevision = Item.Revision;
  OwnEvicted = false;
  Written = ProxyRecord();
  for (auto &Entry : Groups)
    Entry.second.CheckedEpoch.reset();
  if (Item.Revision == 0)
    return;
  auto Decoded = decodeProxy(Item);
  if (!Decoded)
    return; // Overwritten by the next registration.
  Written = std::move(Decoded).value();
  OwnEvicted = Written.Evicted;
  if (!OwnEvicted)
    return;
  // Permissions must have ended before the record was marked; drop them in
  // case this process stood still.
  for (const auto &Entry : Target.groups())
    Entry.second->dropGrant();
}

/// Refreshes what the own record should say.
void Coordinator::refreshWanted() {
  Wanted.Unreachable.clear();
  for (const auto &[Service, G] : Target.groups()) {
    for (const UpstreamId &Id : G->unreachable())
      Wanted.Unreachable.insert(Id);
    auto It = Groups.find(Service);
    if (It == Groups.end() || It->second.Record.Stage != GroupStage::Revoking)
      continue;
    const KnownGroup &Known = It->second;
    std::uint64_t &Acknowledged = Wanted.Acknowledged[Service];
    if (Acknowledged >= Known.Record.Epoch ||
        (!G->quiet() && now() - Known.RevokedSeen < Options.QuietTime))
      continue;
    Acknowledged = Known.Record.Epoch;
    accountForAnswers(Service);
    Target.events().write(EngineEvent::RevocationAcknowledged,
                          {{"service", Service},
                           {"epoch", Known.Record.Epoch},
                           {"after_ms", now() - Known.RevokedSeen}});
  }
}

void Coordinator::updateOwn() {
  if (!Leaving)
    refreshWanted();
  // A peer's question must not be answered with epochs from before an
  // acknowledgement.
  if (Others != nullptr)
    updateEpochs();
  if (Leaving || OwnBusy || (registered() && Wanted == Written))
    return;
  if (OwnKnown && now() >= NextOwnWrite)
    writeOwn();
}

void Coordinator::noteEarlierRun(const std::vector<StoreCondition> &Conditions,
                                 const StoreReply &Reply) {
  if (EarlierRunKnown)
    return;
  bool Asked = std::any_of(
      Conditions.begin(), Conditions.end(),
      [this](const StoreCondition &C) { return C.Key == checkMarkKey(Self); });
  if (!Asked)
    return; // Another part of the check.
  EarlierRunKnown = true;
  EarlierRunSilent = true;
  for (const StoreItem &Item : Reply.Items)
    if (Item.Key == proxyKey(Self) ||
        (Item.Key == checkMarkKey(Self) && Item.Value != LeftMark))
      EarlierRunSilent = false;
}

void Coordinator::accountForAnswers(const std::string &Service) {
  std::erase_if(Wanted.Answered, [this](const auto &Entry) {
    return Groups[Entry.first].Record.Stage != GroupStage::Revoking;
  });
  if (!EarlierRunSilent && now() - StartedAt < permissionTime(Options.Lease))
    Wanted.Answered.erase(Service); // An earlier run may have answered.
  else if (Others != nullptr)
    Wanted.Answered[Service] =
        Others->answeredSince(now() - permissionTime(Options.Lease));
  else
    Wanted.Answered[Service] = {};
}

void Coordinator::updateEpochs() {
  KnownEpochs Known;
  // A run that has not registered extends no permissions; so a record that is
  // absent proves that the earlier run has left in order.
  if (!registered()) {
    Others->setEpochs({});
    return;
  }
  Known.Acknowledged = Wanted.Acknowledged;
  Known.Answered = Wanted.Answered;
  for (const auto &[Service, G] : Groups)
    if (G.Record.Epoch != 0)
      Known.Records[Service] = G.Record.Epoch;
  Others->setEpochs(Known);
}

void Coordinator::writeOwn() {
  OwnBusy = true;
  ProxyRecord Record = Wanted;
  StoreChange Change;
  Change.Conditions = {{proxyKey(Self), OwnRevision}};
  Change.Sets = {{proxyKey(Self), encode(Record), 0, 0}};
  Platform.change(
      Change, Options.CallTimeout, [this, Record](StoreReply Reply) {
        OwnBusy = false;
        if (Reply.Code == StoreCode::Ok) {
          OwnRevision = Reply.Revision;
          OwnEvicted = false;
          bool First = Written.Incarnation != Incarnation;
          Written = Record;
          if (First || CheckAgain)
            checkSoon();
          return;
        }
        if (Reply.Code != StoreCode::Conflict)
          NextOwnWrite = now() + readPause(Options.LongestCheckRetry);
        if (Reply.Code == StoreCode::Conflict) {
          for (const StoreItem &Item : Reply.Items)
            if (Item.Key == proxyKey(Self))
              acceptOwn(Item);
          if (Reply.Items.empty())
            acceptOwn({proxyKey(Self), {}, 0, 0});
        }
      });
}

void Coordinator::leave(std::function<void()> Done) {
  Leaving = true;
  stopDuty();
  for (const auto &Entry : Target.groups())
    Entry.second->dropGrant();
  if (OwnRevision == 0) {
    Done();
    return;
  }
  StoreChange Change;
  Change.Conditions = {{proxyKey(Self), OwnRevision}};
  Change.Deletes = {proxyKey(Self)};
  if (StoppingAt && now() - *StoppingAt >= permissionTime(Options.Lease))
    Change.Sets = {{checkMarkKey(Self), std::string(LeftMark), 0, 0}};
  Platform.change(Change, Options.CallTimeout,
                  [Done = std::move(Done)](StoreReply) { Done(); });
}

} // namespace eelgrassloom
