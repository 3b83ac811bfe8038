#include "control/peers.h"
#include <algorithm>
#include <xxhash.h>

namespace eelgrassloom {

namespace detail {

/// The poller of a failure domain, and the proxy that its peers ask if the
/// poller does not answer. A proxy whose poller has timed out polls the store
/// itself.
constexpr std::size_t PollersPerDomain = 2;
/// Number of proxies that are asked at once for their last poll, until one of
/// them answers with a newer poll than the one known here.
constexpr std::size_t FallbackFanout = 3;

std::uint64_t
digestOf(const std::map<std::string, StoredRecord, std::less<>> &Records) {
  std::string Text;
  for (const auto &[Service, R] : Records)
    Text += Service + "=" + std::to_string(R.Revision) + ";";
  return XXH3_64bits(Text.data(), Text.size());
}

/// Exchange number of messages that answer no request.
constexpr std::uint64_t Announcement = 0;

} // namespace detail

std::unique_ptr<Peers> Peers::create(ProxyId Self, std::string FailureDomain,
                                     std::uint64_t Seed, Engine &SessionEngine,
                                     DatagramSender Send,
                                     Duration LeaseDuration) {
  auto P = std::unique_ptr<Peers>(
      new Peers(std::move(Self), std::move(FailureDomain), Seed, SessionEngine,
                std::move(Send), LeaseDuration));
  // Not 0: a digest of 0 requests no records, and a proxy without records needs
  // those of its peers.
  P->RecordsDigest = detail::digestOf(P->Records);
  return P;
}

template <class Filter>
void Peers::sendIf(const std::string &Bytes, Filter Accepts) {
  for (const PeerInfo &P : RegisteredPeers)
    if (P.Id != Self && !P.Address.empty() && Accepts(P))
      Send(P.Address, Bytes);
}

void Peers::setPeers(std::vector<PeerInfo> Registered, Instant ReadAt) {
  RegisteredPeers = std::move(Registered);
  RegisteredPeersReadAt = ReadAt;
  std::vector<LiveProxy> Live;
  bool KnewCrossDomainPeers = CrossDomainPeersKnown;
  CrossDomainPeersKnown = false;
  for (const PeerInfo &P : RegisteredPeers) {
    Live.push_back({P.Id, P.FailureDomain, false, P.MilliCores});
    CrossDomainPeersKnown =
        CrossDomainPeersKnown || P.FailureDomain != FailureDomain;
  }
  if (!KnewCrossDomainPeers)
    CrossDomainContactAt = SessionEngine.runtime().Now();
  Pollers = rankedOwners(makeOwnerTable(Live), FailureDomain, "store checks");
  if (Pollers.size() > detail::PollersPerDomain)
    Pollers.resize(detail::PollersPerDomain);
  SessionEngine.setPeers(RegisteredPeers);
  if (PeersCallback)
    PeersCallback(RegisteredPeers);
  pruneContacts();
}

/// Removes entries that are no longer needed. Any datagram may add an entry,
/// also one from a proxy that is not registered.
void Peers::pruneContacts() {
  Instant Now = SessionEngine.runtime().Now();
  std::erase_if(AnsweredAt, [&](const auto &Entry) {
    return Now - Entry.second > leaseWithMargin(LeaseDuration);
  });
  std::erase_if(LastContact, [&](const auto &Entry) {
    return findPeer(Entry.first) == nullptr;
  });
}

void Peers::received(const std::string &FromAddress, const std::string &Bytes) {
  auto Message = decodePeerMessage(Bytes);
  if (!Message) {
    SessionEngine.events().write(
        EngineEvent::InputRejected,
        {{"from", FromAddress}, {"findings", toString(Message.findings())}});
    return;
  }
  const PeerMessage &M = Message.value();
  LastContact[M.From] = SessionEngine.runtime().Now();
  if (M.IsPing && M.IsRequest)
    Send(FromAddress, encodePing(false, M.Exchange));
  else if (M.IsPing)
    handlePingReply(M.From);
  else if (M.IsRequest)
    answer(FromAddress, M);
  else
    handleAnswer(M);
}

void Peers::setRecord(const StoredRecord &Record) {
  Records[Record.Record.Service] = Record;
  RecordsDigest = detail::digestOf(Records);
}

void Peers::announce(const StoredRecord &Record) {
  PeerMessage M;
  M.IsRequest = false;
  M.From = Self;
  M.Exchange = detail::Announcement;
  M.Records = {Record};
  sendIf(encode(M), [this](const PeerInfo &P) {
    return P.FailureDomain == FailureDomain;
  });
}

void Peers::answer(const std::string &Address, const PeerMessage &Request) {
  // Answers to requests for acknowledgements extend no primary leases, see
  // handleAnswer().
  bool RequestsAcknowledgement = !Request.Records.empty();
  if (Stopping && !RequestsAcknowledgement)
    return;
  PeerMessage M;
  M.IsRequest = false;
  M.From = Self;
  M.Exchange = Request.Exchange;
  M.Era = Summary.Era;
  M.ServersDigest = Summary.ServersDigest;
  M.ServersRevision = Summary.ServersRevision;
  if (Request.RecordsDigest != 0 && Request.RecordsDigest != RecordsDigest)
    for (const auto &Entry : Records)
      M.Records.push_back(Entry.second);
  // Before OwnEpochs is copied, because records may be acknowledged at once.
  handleRecords(Request);
  M.Epochs = OwnEpochs;
  Instant Now = SessionEngine.runtime().Now();
  if (!RequestsAcknowledgement) {
    // Only needed in answers to requests for acknowledgements.
    M.Epochs.Answered.clear();
    AnsweredAt[Request.From] = Now;
  }
  M.ConfigRevision = Summary.ConfigRevision;
  M.PollAge = Now - Summary.PolledAt;
  M.CrossDomainContactAge = Now - CrossDomainContactAt;
  for (const auto &[Service, G] : SessionEngine.groups()) {
    if (auto Newest = G->newestPosition())
      M.Positions.push_back(
          {Service, Newest->Epoch, Newest->Committed, Now - Newest->At});
    if (G->hasLease() && !RequestsAcknowledgement)
      M.Leases.push_back(
          {Service, G->primaryRecord().Epoch, G->remainingLease()});
  }
  Send(Address, encodeWithin(std::move(M), MaxDatagramBytes, Random));
}

std::set<ProxyId, std::less<>> Peers::answeredSince(Instant Since) const {
  std::set<ProxyId, std::less<>> Ids;
  for (const auto &[Id, At] : AnsweredAt)
    if (At >= Since)
      Ids.insert(Id);
  return Ids;
}

void Peers::handleRecords(const PeerMessage &M) {
  if (RecordCallback)
    for (const StoredRecord &Record : M.Records)
      RecordCallback(Record);
}

void Peers::requestAcknowledgements(const std::set<ProxyId, std::less<>> &Of,
                                    const std::vector<StoredRecord> &Revoked) {
  PeerMessage M;
  M.From = Self;
  M.Exchange = NextExchange++;
  M.Records = Revoked;
  sendIf(encode(M), [&](const PeerInfo &P) { return Of.count(P.Id) != 0; });
}

void Peers::handleAnswer(const PeerMessage &M) {
  handleRecords(M);
  if (AnswerCallback)
    AnswerCallback(M);
  if (M.Exchange == detail::Announcement)
    return;
  if (M.Exchange == PositionExchange)
    takePositions(M, PositionSentAt);
  if (M.Exchange == PollerExchange) {
    takePositions(M, PollerSentAt);
    PollerContactAt = SessionEngine.runtime().Now();
    CrossDomainContactAt =
        std::max(CrossDomainContactAt, PollerSentAt - M.CrossDomainContactAge);
    if (RelayedPollCallback)
      RelayedPollCallback({M, PollerSentAt, true});
  }
  if (M.Exchange == FallbackExchange) {
    takePositions(M, FallbackSentAt);
    if (FallbackSentAt - M.PollAge > Summary.PolledAt)
      FallbackPeer = M.From;
    if (RelayedPollCallback)
      RelayedPollCallback({M, FallbackSentAt, false});
  }
  if (M.Exchange != Round.Exchange)
    return;
  takePositions(M, Round.StartedAt);
  if (findPeer(M.From) == nullptr)
    return;
  for (const auto &[Service, G] : SessionEngine.groups()) {
    std::uint64_t Epoch = G->primaryRecord().Epoch;
    if (!MayExtend(Service, Epoch) ||
        !allowsExtension(OwnEpochs, Service, Epoch) ||
        !allowsExtension(M.Epochs, Service, Epoch))
      continue;
    auto &AllowedBy = Round.AllowedBy[Service];
    AllowedBy.insert(M.From);
    if (AllowedBy.size() + 1 >= extensionQuorum(RegisteredPeers.size()))
      G->renewLease(Epoch, Round.StartedAt + LeaseDuration);
  }
}

/// The peer computed the age after the request was sent, so the position is at
/// least as recent as the time of the request minus the age.
void Peers::takePositions(const PeerMessage &M, Instant SentAt) {
  for (const PeerPosition &P : M.Positions)
    if (auto G = SessionEngine.group(P.Service))
      G->addPeerPosition({SentAt - P.Age, P.Committed, P.Epoch});
}

const PeerInfo *Peers::randomPeer() {
  std::vector<const PeerInfo *> SameDomain;
  std::vector<const PeerInfo *> OtherDomains;
  for (const PeerInfo &P : RegisteredPeers)
    if (P.Id != Self && !P.Address.empty())
      (P.FailureDomain == FailureDomain ? SameDomain : OtherDomains)
          .push_back(&P);
  const auto &From = SameDomain.empty() ? OtherDomains : SameDomain;
  return From.empty() ? nullptr : From[Random() % From.size()];
}

void Peers::requestPositions(Instant Now) {
  NextPositions = Now + Options.PositionInterval;
  bool Needed =
      std::any_of(SessionEngine.groups().begin(), SessionEngine.groups().end(),
                  [&](const auto &Entry) {
                    auto Newest = Entry.second->newestPosition();
                    return Entry.second->inUse() &&
                           (!Newest || Now - Newest->At > Options.PositionAge);
                  });
  const PeerInfo *Peer = Needed ? randomPeer() : nullptr;
  if (Peer == nullptr)
    return;
  PositionExchange = NextExchange++;
  PositionSentAt = Now;
  sendRequest(*Peer, PositionExchange);
}

void Peers::sendRequest(const PeerInfo &Peer, std::uint64_t Exchange) {
  PeerMessage M;
  M.From = Self;
  M.Exchange = Exchange;
  M.RecordsDigest = RecordsDigest;
  Send(Peer.Address, encode(M));
}

bool Peers::isPoller() const {
  return Pollers.empty() || Pollers.front() == Self;
}

bool Peers::pollerAnswers() const {
  return isPoller() || !pollerTimedOut(SessionEngine.runtime().Now());
}

bool Peers::pollerTimedOut(Instant Now) const {
  return Now - PollerContactAt >= 2 * Options.PollerRequestInterval;
}

void Peers::requestFromPoller(Instant Now) {
  NextPollerRequest = Now + Options.PollerRequestInterval;
  // The second poller has no other proxy to ask.
  bool TimedOut = pollerTimedOut(Now) && Pollers.back() != Self;
  const ProxyId &Id =
      TimedOut ? Pollers[Random() % Pollers.size()] : Pollers.front();
  for (const PeerInfo &P : RegisteredPeers) {
    if (P.Id != Id || P.Address.empty())
      continue;
    PollerExchange = NextExchange++;
    PollerSentAt = Now;
    sendRequest(P, PollerExchange);
  }
}

void Peers::requestFromFallbacks(Instant Now) {
  NextFallbackRequest = Now + Options.PollerRequestInterval;
  std::vector<const PeerInfo *> Others;
  const PeerInfo *Peer = nullptr;
  for (const PeerInfo &P : RegisteredPeers) {
    if (P.Id == Self || P.Address.empty())
      continue;
    Others.push_back(&P);
    if (P.Id == FallbackPeer)
      Peer = &P;
  }
  if (Others.empty())
    return;
  // Set again by the next answer with a newer poll.
  FallbackPeer.clear();
  FallbackExchange = NextExchange++;
  FallbackSentAt = Now;
  if (Peer != nullptr) {
    sendRequest(*Peer, FallbackExchange);
    return;
  }
  std::shuffle(Others.begin(), Others.end(), Random);
  Others.resize(std::min(Others.size(), detail::FallbackFanout));
  for (const PeerInfo *P : Others)
    sendRequest(*P, FallbackExchange);
}

std::string Peers::encodePing(bool IsRequest, std::uint64_t Exchange) const {
  PeerMessage M;
  M.IsRequest = IsRequest;
  M.IsPing = true;
  M.From = Self;
  M.Exchange = Exchange;
  return encode(M);
}

void Peers::handlePingReply(const ProxyId &From) {
  const PeerInfo *P = findPeer(From);
  if (P != nullptr && P->FailureDomain != FailureDomain)
    CrossDomainContactAt = SessionEngine.runtime().Now();
}

void Peers::pingSilent(Instant Since) {
  sendIf(encodePing(true, NextExchange++),
         [&](const PeerInfo &P) { return lastContact(P.Id) < Since; });
}

void Peers::askPollerAgain() {
  // A new request would make an answer to the last one worthless.
  if (PollerContactAt >= PollerSentAt)
    NextPollerRequest = SessionEngine.runtime().Now();
}

const PeerInfo *Peers::findPeer(const ProxyId &Id) const {
  auto It = std::find_if(RegisteredPeers.begin(), RegisteredPeers.end(),
                         [&](const PeerInfo &P) { return P.Id == Id; });
  return It == RegisteredPeers.end() ? nullptr : &*It;
}

std::string Peers::addressOf(const ProxyId &Id) const {
  const PeerInfo *P = findPeer(Id);
  return P == nullptr ? std::string() : P->Address;
}

Instant Peers::lastContact(const ProxyId &Id) const {
  auto It = LastContact.find(Id);
  return It == LastContact.end() ? Instant() : It->second;
}

void Peers::pingOtherDomains(Instant Now) {
  NextPing = Now + CrossDomainPingInterval;
  std::map<std::string, std::vector<const PeerInfo *>> Domains;
  for (const PeerInfo &P : RegisteredPeers)
    if (P.FailureDomain != FailureDomain && !P.Address.empty())
      Domains[P.FailureDomain].push_back(&P);
  std::string Bytes = encodePing(true, NextExchange++);
  for (const auto &[Domain, Members] : Domains)
    Send(Members[Random() % Members.size()]->Address, Bytes);
}

void Peers::startRound(Instant Now) {
  NextRound = Now + Options.ExtensionInterval;
  if (findPeer(Self) == nullptr ||
      Now - RegisteredPeersReadAt > MaxProxyListAge)
    return;
  PeerMessage M;
  M.From = Self;
  M.Exchange = NextExchange++;
  Round = {M.Exchange, Now, {}};
  sendIf(encode(M), [](const PeerInfo &) { return true; });
}

void Peers::tick(bool PollOverdue, bool ExtendByQuorum) {
  Instant Now = SessionEngine.runtime().Now();
  if (!isPoller() && Now >= NextPollerRequest)
    requestFromPoller(Now);
  // Proxies with a poller learn of contacts with other failure domains from it.
  // Without one, each proxy must ping them itself.
  if ((isPoller() || pollerTimedOut(Now)) && Now >= NextPing)
    pingOtherDomains(Now);
  if (Now >= NextPositions)
    requestPositions(Now);
  if (PollOverdue && Now >= NextFallbackRequest)
    requestFromFallbacks(Now);
  if (ExtendByQuorum && Now >= NextRound)
    startRound(Now);
}

} // namespace eelgrassloom
