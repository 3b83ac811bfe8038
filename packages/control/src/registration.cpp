// Registration of this proxy: reachability reports and acknowledgements.

#include "control/coordinator.h"
#include <algorithm>

namespace eelgrassloom {

void Coordinator::applyRegistration(const StoreItem &Item) {
  // During a write, its answer tells the revision.
  if (Item.Revision == RegistrationRevision || WritingRegistration)
    return;
  // If the store has lost the registration, this proxy may still extend leases:
  // no revocation begins before it has registered again, see
  // RecordRestoreTime.
  bool LostByStore = eraOfRevision(RegistrationRevision) < Era;
  RegistrationRevision = Item.Revision;
  Evicted = false;
  StoredRegistration = ProxyRecord();
  if (!LostByStore)
    clearVerifiedEpochs();
  if (Item.Revision == 0)
    return;
  auto Decoded = decodeProxy(Item);
  if (!Decoded)
    return; // The next write of the registration replaces it.
  StoredRegistration = std::move(Decoded).value();
  Evicted = StoredRegistration.Evicted;
  if (!Evicted)
    return;
  clearVerifiedEpochs();
  // The primary leases must have expired before the registration was marked as
  // evicted. Drop them anyway, in case this process was suspended.
  for (const auto &Entry : SessionEngine.groups())
    Entry.second->dropLease();
}

void Coordinator::clearVerifiedEpochs() {
  for (auto &Entry : Groups)
    Entry.second.VerifiedEpoch.reset();
}

/// Updates what the registration should contain.
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
  // Requests of peers must not be answered with epochs from before an
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
    return; // Not the part of the poll with the heartbeat key.
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
    // Unknown, because an earlier run may have answered requests.
    DesiredRegistration.Answered.erase(Service);
  else if (PeerProxies != nullptr)
    DesiredRegistration.Answered[Service] = PeerProxies->answeredSince(
        now() - leaseWithMargin(Options.LeaseDuration));
  else
    DesiredRegistration.Answered[Service] = {};
}

void Coordinator::updateEpochs() {
  KnownEpochs Known;
  // A run that has not registered extends no primary leases. So a missing
  // registration proves that the earlier run left in order.
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
