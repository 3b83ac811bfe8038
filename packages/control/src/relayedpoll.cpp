// Polls of the store that another proxy has made and relayed, and isolation,
// which follows from missing answers of other failure domains.

#include "control/coordinator.h"
#include <algorithm>

namespace eelgrassloom {

void Coordinator::updateIsolation() {
  CrossDomainContact Contact{PeerProxies->crossDomainPeersKnown(),
                             PeerProxies->crossDomainContactAt(), PolledAt,
                             PeerProxies->pollerAnswers()};
  bool Next = eelgrassloom::isolated(Contact, now());
  if (Next == Isolated)
    return;
  Isolated = Next;
  SessionEngine.events().write(
      Next ? EngineEvent::Isolated : EngineEvent::Rejoined,
      {{"proxies_silent_ms", now() - Contact.ProxyContactAt},
       {"store_silent_ms", now() - Contact.StorePolledAt}});
}

bool Coordinator::mayExtend(const std::string &Service,
                            std::uint64_t Epoch) const {
  auto It = Groups.find(Service);
  return registered() && !Leaving && It != Groups.end() &&
         It->second.VerifiedEpoch && *It->second.VerifiedEpoch <= Epoch;
}

bool Coordinator::polledByOthers() const {
  return PeerProxies != nullptr && !PeerProxies->isPoller() &&
         now() - PollerExtendedAt < Options.PollInterval;
}

bool Coordinator::mustPollAgain() const {
  if (!polledByOthers() || !registered())
    return true;
  const auto &Services = SessionEngine.config().Services;
  return std::any_of(Services.begin(), Services.end(), [&](const auto &Entry) {
    auto It = Groups.find(Entry.first);
    return It == Groups.end() || !It->second.VerifiedEpoch;
  });
}

void Coordinator::handlePeerRecord(const StoredRecord &Record) {
  auto It = Groups.find(Record.Record.Service);
  if (It == Groups.end() || !It->second.ReadFromStore ||
      Record.Revision <= It->second.Revision ||
      isNewer(It->second.Record, Record.Record))
    return;
  setRecord(Record);
  updateRegistration();
}

bool Coordinator::newerThanKnown(const PeerMessage &Answer) const {
  return std::any_of(Answer.Epochs.RecordEpochs.begin(),
                     Answer.Epochs.RecordEpochs.end(), [&](const auto &Entry) {
                       auto It = Groups.find(Entry.first);
                       return It != Groups.end() &&
                              Entry.second > It->second.Record.Epoch;
                     });
}

/// Another proxy has answered with its last poll and its primary leases; those
/// also extend the leases of this proxy for the same epochs.
void Coordinator::handleRelayedPoll(const RelayedPoll &Poll) {
  const PeerMessage &Answer = Poll.Answer;
  // A poll in another era says nothing about what this proxy knows.
  bool SameEra = Answer.Era == 0 || Answer.Era == Era;
  if (Poll.FromPoller)
    RelayedPollAge = SameEra ? Answer.PollAge : Duration::max();
  // What the other proxy has read from the store may be lost.
  if (!SameEra && Answer.Era < Era)
    return;
  // The registration of this proxy, and records that it knows, may be lost.
  if (!SameEra && StoreReachable) {
    NextPoll = std::min(NextPoll, now() + jitter(Options.PollRetry));
    return;
  }
  bool NewConfig = Config->isNewer(Answer.ConfigRevision);
  std::string Address = PeerProxies->addressOf(Answer.From);
  if (NewConfig)
    Config->handlePeerRevision(Answer.From, Address, Answer.ConfigRevision,
                               !StoreReachable);
  Servers->handlePeerRevision(Answer.From, Address, Answer.ServersRevision,
                              Answer.ServersDigest);
  if (!registered() || Leaving || !SameEra)
    return;
  // The answering proxy computed the age after the request was sent, so its
  // poll began at this time or later.
  Instant Verified = Poll.SentAt - Answer.PollAge;
  bool Newer = newerThanKnown(Answer);
  if (Newer && PollsInFlight == 0 && (StoreReachable || now() >= NextPoll))
    poll();
  if (now() - OwnPolledAt >= Options.MaxRelayedTime)
    return;
  if (!Newer && !NewConfig)
    PolledAt = std::max(PolledAt, Verified);
  for (const PeerLease &Lease : Answer.Leases) {
    auto G = SessionEngine.group(Lease.Service);
    if (G && mayExtend(Lease.Service, Lease.Epoch))
      G->renewLease(Lease.Epoch, Poll.SentAt + Lease.Remaining);
  }
  if (Poll.FromPoller && !Answer.Leases.empty())
    PollerExtendedAt = now();
  if (Poll.FromPoller && !Newer)
    Servers->compare(Answer.ServersDigest);
  if (!StoreReachable || Newer)
    return; // Keep polling, to notice when the store can be reached.
  NextPoll = std::max(NextPoll, std::min(OwnPolledAt + Options.OwnPollInterval,
                                         Verified + Options.PollInterval +
                                             Options.RelayedPollSlack));
}

} // namespace eelgrassloom
