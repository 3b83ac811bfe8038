// The record of this proxy: registration, reachability, acknowledgements.

#include "control/coordinator.h"
#include <algorithm>

namespace eelgrassloom {

void Coordinator::applyRegistration(const StoreItem &Item) {
  if (Item.Revision == RegistrationRevision || WritingRegistration)
    return; // The answer of a write in progress decides.
  RegistrationRevision = Item.Revision;
  Evicted = false;
  StoredRegistration = ProxyRecord();
  for (auto &Entry : Groups)
    Entry.second.VerifiedEpoch.reset();
  if (Item.Revision == 0)
    return;
  auto Decoded = decodeProxy(Item);
  if (!Decoded)
    return; // Overwritten by the next registration.
  StoredRegistration = std::move(Decoded).value();
  Evicted = StoredRegistration.Evicted;
  if (!Evicted)
    return;
  // Permissions must have ended before the record was marked; drop them in
  // case this process stood still.
  for (const auto &Entry : SessionEngine.groups())
    Entry.second->dropLease();
}

/// Refreshes what the own record should say.
void Coordinator::refreshRegistration() {
  DesiredRegistration.Unreachable.clear();
  for (const auto &[Service, G] : SessionEngine.groups()) {
    for (const UpstreamId &Id : G->unreachableServers())
      DesiredRegistration.Unreachable.insert(Id);
    auto It = Groups.find(Service);
    if (It == Groups.end() || It->second.Record.Stage != GroupStage::Revoking)
      continue;
    const KnownGroup &Known = It->second;
    std::uint64_t &Acknowledged = DesiredRegistration.Acknowledged[Service];
    if (Acknowledged >= Known.Record.Epoch ||
        (!G->quiesced() && now() - Known.RecordSeenAt < Options.QuiesceTime))
      continue;
    Acknowledged = Known.Record.Epoch;
    updateAnswered(Service);
    SessionEngine.events().write(EngineEvent::RevocationAcknowledged,
                                 {{"service", Service},
                                  {"epoch", Known.Record.Epoch},
                                  {"after_ms", now() - Known.RecordSeenAt}});
  }
}

void Coordinator::updateRegistration() {
  if (!Leaving)
    refreshRegistration();
  // A peer's question must not be answered with epochs from before an
  // acknowledgement.
  if (PeerProxies != nullptr)
    updateEpochs();
  if (Leaving || WritingRegistration ||
      (registered() && DesiredRegistration == StoredRegistration))
    return;
  if (RegistrationKnown && now() >= NextRegistrationWrite)
    writeRegistration();
}

void Coordinator::detectEarlierRun(
    const std::vector<StoreCondition> &Conditions, const StoreReply &Reply) {
  if (EarlierRunKnown)
    return;
  bool Polled = std::any_of(
      Conditions.begin(), Conditions.end(),
      [this](const StoreCondition &C) { return C.Key == heartbeatKey(Self); });
  if (!Polled)
    return; // Another part of the check.
  EarlierRunKnown = true;
  EarlierExtensionsEnded = true;
  for (const StoreItem &Item : Reply.Items)
    if (Item.Key == proxyKey(Self) ||
        (Item.Key == heartbeatKey(Self) && Item.Value != HeartbeatLeft))
      EarlierExtensionsEnded = false;
}

void Coordinator::updateAnswered(const std::string &Service) {
  std::erase_if(DesiredRegistration.Answered, [this](const auto &Entry) {
    return Groups[Entry.first].Record.Stage != GroupStage::Revoking;
  });
  if (!EarlierExtensionsEnded &&
      now() - StartedAt < leaseWithMargin(Options.LeaseDuration))
    DesiredRegistration.Answered.erase(
        Service); // An earlier run may have answered.
  else if (PeerProxies != nullptr)
    DesiredRegistration.Answered[Service] = PeerProxies->answeredSince(
        now() - leaseWithMargin(Options.LeaseDuration));
  else
    DesiredRegistration.Answered[Service] = {};
}

void Coordinator::updateEpochs() {
  KnownEpochs Known;
  // A run that has not registered extends no permissions; so a record that is
  // absent proves that the earlier run has left in order.
  if (!registered()) {
    PeerProxies->setEpochs({});
    return;
  }
  Known.Acknowledged = DesiredRegistration.Acknowledged;
  Known.Answered = DesiredRegistration.Answered;
  for (const auto &[Service, G] : Groups)
    if (G.Record.Epoch != 0)
      Known.RecordEpochs[Service] = G.Record.Epoch;
  PeerProxies->setEpochs(Known);
}

void Coordinator::writeRegistration() {
  WritingRegistration = true;
  ProxyRecord Record = DesiredRegistration;
  StoreChange Change;
  Change.Conditions = {{proxyKey(Self), RegistrationRevision}};
  Change.Sets = {{proxyKey(Self), encode(Record), 0, 0}};
  KeyValueStore.change(
      Change, Options.CallTimeout, [this, Record](StoreReply Reply) {
        WritingRegistration = false;
        if (Reply.Code == StoreCode::Ok) {
          RegistrationRevision = Reply.Revision;
          Evicted = false;
          bool First = StoredRegistration.Incarnation != Incarnation;
          StoredRegistration = Record;
          if (First || PollAgain)
            pollSoon();
          return;
        }
        if (Reply.Code != StoreCode::Conflict)
          NextRegistrationWrite = now() + readPause(Options.MaxPollRetry);
        if (Reply.Code == StoreCode::Conflict) {
          for (const StoreItem &Item : Reply.Items)
            if (Item.Key == proxyKey(Self))
              applyRegistration(Item);
          if (Reply.Items.empty())
            applyRegistration({proxyKey(Self), {}, 0, 0});
        }
      });
}

void Coordinator::leave(std::function<void()> Done) {
  Leaving = true;
  releasePromotionLock();
  for (const auto &Entry : SessionEngine.groups())
    Entry.second->dropLease();
  if (RegistrationRevision == 0) {
    Done();
    return;
  }
  StoreChange Change;
  Change.Conditions = {{proxyKey(Self), RegistrationRevision}};
  Change.Deletes = {proxyKey(Self)};
  if (StoppingAt &&
      now() - *StoppingAt >= leaseWithMargin(Options.LeaseDuration))
    Change.Sets = {{heartbeatKey(Self), std::string(HeartbeatLeft), 0, 0}};
  KeyValueStore.change(Change, Options.CallTimeout,
                       [Done = std::move(Done)](StoreReply) { Done(); });
}

} // namespace eelgrassloom
