#include "control/peers.h"
#include <algorithm>
#include <xxhash.h>

namespace eelgrassloom {

namespace detail {

/// The checker of a failure domain and the proxy that is asked if it does not
/// answer. A proxy whose checker is silent checks the store itself.
constexpr std::size_t CheckersKnown = 2;
/// Proxies that are asked at once for a view of the store, until one has a
/// newer one.
constexpr std::size_t AnyAsked = 3;
std::uint64_t
digestOf(const std::map<std::string, PeerRecord, std::less<>> &Records) {
  std::string Text;
  for (const auto &[Service, R] : Records)
    Text += Service + "=" + std::to_string(R.Revision) + ";";
  return XXH3_64bits(Text.data(), Text.size());
}

/// Exchange of messages that answer no question.
constexpr std::uint64_t Announcement = 0;

} // namespace detail

std::unique_ptr<Peers> Peers::create(ProxyId Self, std::string FailureDomain,
                                     std::uint64_t Seed, Engine &Target,
                                     DatagramSender Send, Duration Lease) {
  auto P = std::unique_ptr<Peers>(new Peers(std::move(Self),
                                            std::move(FailureDomain), Seed,
                                            Target, std::move(Send), Lease));
  // Not 0: a proxy without records wants those of others.
  P->RecordsDigest = detail::digestOf(P->Records);
  return P;
}

template <class Filter>
void Peers::sendIf(const std::string &Bytes, Filter Wanted) {
  for (const PeerInfo &P : Known)
    if (P.Id != Self && !P.Address.empty() && Wanted(P))
      Send(P.Address, Bytes);
}

void Peers::setPeers(std::vector<PeerInfo> Registered, Instant ReadAt) {
  Known = std::move(Registered);
  KnownAt = ReadAt;
  std::vector<LiveProxy> Live;
  bool KnewOthers = OthersKnown;
  OthersKnown = false;
  for (const PeerInfo &P : Known) {
    Live.push_back({P.Id, P.FailureDomain});
    OthersKnown = OthersKnown || P.FailureDomain != FailureDomain;
  }
  if (!KnewOthers)
    OutsideHeardAt = Target.runtime().Now();
  Checkers = rankedOwners(makeOwnerTable(Live), FailureDomain, "store checks");
  if (Checkers.size() > detail::CheckersKnown)
    Checkers.resize(detail::CheckersKnown);
  Target.setPeers(Known);
  forgetOld();
}

/// Any datagram may add an entry.
void Peers::forgetOld() {
  Instant Now = Target.runtime().Now();
  std::erase_if(AnsweredAt, [&](const auto &Entry) {
    return Now - Entry.second > permissionTime(Lease);
  });
  std::erase_if(HeardAt, [&](const auto &Entry) {
    return registered(Entry.first) == nullptr;
  });
}

void Peers::received(const std::string &FromAddress, const std::string &Bytes) {
  auto Message = decodePeerMessage(Bytes);
  if (!Message) {
    Target.events().write(
        EngineEvent::InputRejected,
        {{"from", FromAddress}, {"findings", toString(Message.findings())}});
    return;
  }
  const PeerMessage &M = Message.value();
  HeardAt[M.From] = Target.runtime().Now();
  if (M.Probe && M.Question)
    Send(FromAddress, probe(false, M.Exchange));
  else if (M.Probe)
    probeAnswered(M.From);
  else if (M.Question)
    answer(FromAddress, M);
  else
    answered(M);
}

void Peers::setRecord(const PeerRecord &Record) {
  Records[Record.Record.Service] = Record;
  RecordsDigest = detail::digestOf(Records);
}

void Peers::announce(const PeerRecord &Record) {
  PeerMessage M;
  M.Question = false;
  M.From = Self;
  M.Exchange = detail::Announcement;
  M.Records = {Record};
  sendIf(encode(M), [this](const PeerInfo &P) {
    return P.FailureDomain == FailureDomain;
  });
}

void Peers::answer(const std::string &Address, const PeerMessage &Question) {
  // Answers to these extend no permissions, see answered().
  bool AsksToAcknowledge = !Question.Records.empty();
  if (Stopping && !AsksToAcknowledge)
    return;
  PeerMessage M;
  M.Question = false;
  M.From = Self;
  M.Exchange = Question.Exchange;
  M.ServersDigest = View.ServersDigest;
  M.ServersRevision = View.ServersRevision;
  if (Question.RecordsDigest != 0 && Question.RecordsDigest != RecordsDigest)
    for (const auto &Entry : Records)
      M.Records.push_back(Entry.second);
  hearRecords(Question); // Before the epochs: they may be acknowledged at once.
  M.Epochs = Own;
  Instant Now = Target.runtime().Now();
  if (!AsksToAcknowledge) {
    M.Epochs.Answered.clear(); // Nobody asked for it.
    AnsweredAt[Question.From] = Now;
  }
  M.RulesRevision = View.RulesRevision;
  M.CheckAge = Now - View.CheckedAt;
  M.OutsideAge = Now - OutsideHeardAt;
  for (const auto &[Service, G] : Target.groups()) {
    if (auto Newest = G->newestPosition())
      M.Positions.push_back(
          {Service, Newest->Epoch, Newest->Committed, Now - Newest->At});
    if (G->permitted() && !AsksToAcknowledge)
      M.Grants.push_back({Service, G->record().Epoch, G->permittedFor()});
  }
  Send(Address, encode(M));
}

std::set<ProxyId, std::less<>> Peers::answeredSince(Instant Since) const {
  std::set<ProxyId, std::less<>> Ids;
  for (const auto &[Id, At] : AnsweredAt)
    if (At >= Since)
      Ids.insert(Id);
  return Ids;
}

void Peers::hearRecords(const PeerMessage &M) {
  if (RecordHeard)
    for (const PeerRecord &Record : M.Records)
      RecordHeard(Record);
}

void Peers::askAcknowledgements(const std::set<ProxyId, std::less<>> &Of,
                                const std::vector<PeerRecord> &Revoked) {
  PeerMessage M;
  M.From = Self;
  M.Exchange = NextExchange++;
  M.Records = Revoked;
  sendIf(encode(M), [&](const PeerInfo &P) { return Of.count(P.Id) != 0; });
}

void Peers::answered(const PeerMessage &M) {
  hearRecords(M);
  if (AnswerHeard)
    AnswerHeard(M);
  if (M.Exchange == detail::Announcement)
    return;
  if (M.Exchange == PositionExchange)
    takePositions(M, PositionAskedAt);
  if (M.Exchange == RelayExchange) {
    takePositions(M, RelayAskedAt);
    RelayHeardAt = Target.runtime().Now();
    OutsideHeardAt = std::max(OutsideHeardAt, RelayAskedAt - M.OutsideAge);
    if (Relayed)
      Relayed({M, RelayAskedAt, true});
  }
  if (M.Exchange == AnyExchange) {
    takePositions(M, AnyAskedAt);
    if (AnyAskedAt - M.CheckAge > View.CheckedAt)
      AnyPeer = M.From;
    if (Relayed)
      Relayed({M, AnyAskedAt, false});
  }
  if (M.Exchange != Round.Exchange)
    return;
  takePositions(M, Round.StartedAt);
  if (registered(M.From) == nullptr)
    return;
  for (const auto &[Service, G] : Target.groups()) {
    std::uint64_t Epoch = G->record().Epoch;
    if (!MayExtend(Service, Epoch) || !vouches(Own, Service, Epoch) ||
        !vouches(M.Epochs, Service, Epoch))
      continue;
    auto &Vouched = Round.Vouched[Service];
    Vouched.insert(M.From);
    if (Vouched.size() + 1 >= vouchQuorum(Known.size()))
      G->grant(Epoch, Round.StartedAt + Lease);
  }
}

/// The age was taken after the question was sent, so that the position is at
/// least as recent as the question minus the age.
void Peers::takePositions(const PeerMessage &M, Instant AskedAt) {
  for (const PeerPosition &P : M.Positions)
    if (auto G = Target.group(P.Service))
      G->learnPosition({AskedAt - P.Age, P.At, P.Epoch});
}

const PeerInfo *Peers::somePeer() {
  std::vector<const PeerInfo *> Near;
  std::vector<const PeerInfo *> Far;
  for (const PeerInfo &P : Known)
    if (P.Id != Self && !P.Address.empty())
      (P.FailureDomain == FailureDomain ? Near : Far).push_back(&P);
  const auto &From = Near.empty() ? Far : Near;
  return From.empty() ? nullptr : From[Random() % From.size()];
}

void Peers::askPositions(Instant Now) {
  NextPositions = Now + Options.PositionInterval;
  bool Needed = std::any_of(
      Target.groups().begin(), Target.groups().end(), [&](const auto &Entry) {
        auto Newest = Entry.second->newestPosition();
        return Entry.second->inUse() &&
               (!Newest || Now - Newest->At > Options.PositionAge);
      });
  const PeerInfo *Peer = Needed ? somePeer() : nullptr;
  if (Peer == nullptr)
    return;
  PositionExchange = NextExchange++;
  PositionAskedAt = Now;
  ask(*Peer, PositionExchange);
}

void Peers::ask(const PeerInfo &Peer, std::uint64_t Exchange) {
  PeerMessage M;
  M.From = Self;
  M.Exchange = Exchange;
  M.RecordsDigest = RecordsDigest;
  Send(Peer.Address, encode(M));
}

bool Peers::checker() const {
  return Checkers.empty() || Checkers.front() == Self;
}

bool Peers::checkerSilent(Instant Now) const {
  return Now - RelayHeardAt >= 2 * Options.RelayInterval;
}

void Peers::askChecker(Instant Now) {
  NextRelay = Now + Options.RelayInterval;
  // The stand-in has nobody else to ask.
  bool Silent = checkerSilent(Now) && Checkers.back() != Self;
  const ProxyId &Id =
      Silent ? Checkers[Random() % Checkers.size()] : Checkers.front();
  for (const PeerInfo &P : Known) {
    if (P.Id != Id || P.Address.empty())
      continue;
    RelayExchange = NextExchange++;
    RelayAskedAt = Now;
    ask(P, RelayExchange);
  }
}

void Peers::askAny(Instant Now) {
  NextAny = Now + Options.RelayInterval;
  std::vector<const PeerInfo *> Others;
  const PeerInfo *Peer = nullptr;
  for (const PeerInfo &P : Known) {
    if (P.Id == Self || P.Address.empty())
      continue;
    Others.push_back(&P);
    if (P.Id == AnyPeer)
      Peer = &P;
  }
  if (Others.empty())
    return;
  AnyPeer.clear(); // Until it answers again.
  AnyExchange = NextExchange++;
  AnyAskedAt = Now;
  if (Peer != nullptr) {
    ask(*Peer, AnyExchange);
    return;
  }
  std::shuffle(Others.begin(), Others.end(), Random);
  Others.resize(std::min(Others.size(), detail::AnyAsked));
  for (const PeerInfo *P : Others)
    ask(*P, AnyExchange);
}

std::string Peers::probe(bool Question, std::uint64_t Exchange) const {
  PeerMessage M;
  M.Question = Question;
  M.Probe = true;
  M.From = Self;
  M.Exchange = Exchange;
  return encode(M);
}

void Peers::probeAnswered(const ProxyId &From) {
  const PeerInfo *P = registered(From);
  if (P != nullptr && P->FailureDomain != FailureDomain)
    OutsideHeardAt = Target.runtime().Now();
}

void Peers::probeAll() {
  sendIf(probe(true, NextExchange++), [](const PeerInfo &) { return true; });
}

const PeerInfo *Peers::registered(const ProxyId &Id) const {
  auto It = std::find_if(Known.begin(), Known.end(),
                         [&](const PeerInfo &P) { return P.Id == Id; });
  return It == Known.end() ? nullptr : &*It;
}

std::string Peers::addressOf(const ProxyId &Id) const {
  const PeerInfo *P = registered(Id);
  return P == nullptr ? std::string() : P->Address;
}

Instant Peers::heardAt(const ProxyId &Id) const {
  auto It = HeardAt.find(Id);
  return It == HeardAt.end() ? Instant() : It->second;
}

void Peers::probeOutside(Instant Now) {
  NextProbe = Now + OutsideProbeInterval;
  std::map<std::string, std::vector<const PeerInfo *>> Domains;
  for (const PeerInfo &P : Known)
    if (P.FailureDomain != FailureDomain && !P.Address.empty())
      Domains[P.FailureDomain].push_back(&P);
  std::string Bytes = probe(true, NextExchange++);
  for (const auto &[Domain, Members] : Domains)
    Send(Members[Random() % Members.size()]->Address, Bytes);
}

void Peers::startRound(Instant Now) {
  NextRound = Now + Options.VouchInterval;
  if (registered(Self) == nullptr || Now - KnownAt > ProxyListAge)
    return;
  PeerMessage M;
  M.From = Self;
  M.Exchange = NextExchange++;
  Round = {M.Exchange, Now, {}};
  sendIf(encode(M), [](const PeerInfo &) { return true; });
}

void Peers::tick(bool StoreSilent, bool Vouch) {
  Instant Now = Target.runtime().Now();
  if (!checker() && Now >= NextRelay)
    askChecker(Now);
  // Without a checker every proxy must find out by itself.
  if ((checker() || checkerSilent(Now)) && Now >= NextProbe)
    probeOutside(Now);
  if (Now >= NextPositions)
    askPositions(Now);
  if (StoreSilent && Now >= NextAny)
    askAny(Now);
  if (Vouch && Now >= NextRound)
    startRound(Now);
}

} // namespace eelgrassloom
