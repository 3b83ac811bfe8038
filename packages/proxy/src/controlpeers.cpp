#include "controlstate.h"
#include "peerwire.h"
#include "proxy/configwire.h"

namespace eelgrassloom::detail {
namespace {

/// Timeout of a ping, after which the socket is replaced. It is shorter than
/// the shortest suspicion time, so that a member is probed over a new socket
/// before it is declared dead.
constexpr Duration AckTimeout = std::chrono::milliseconds(400);
/// Age at which the responder of a ping that was never answered is dropped.
constexpr Duration MaxResponderAge = std::chrono::seconds(2);
const std::string LeavingPrefix = "leaving/";

template <class... Ts> struct Overloaded : Ts... { using Ts::operator()...; };
template <class... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

/// Hands a membership message to the membership state machine.
void memberReceived(ControlState &S, const peer::v1::PeerMessage &M) {
  if (auto Message = memberMessage(M))
    applyMembership(S, received(S.Members, M.from(), M.from_address(), *Message,
                                S.Now, S.Random));
}

/// Sends a membership message. An ack is the answer to its ping, so that it
/// returns on the requester's connection; if that ping has no responder, the
/// ack is sent as a message of its own.
void sendMember(ControlState &S, const SendMemberMessage &A) {
  peer::v1::PeerMessage M = toPeerMessage(A.Message);
  auto Key = std::make_pair(A.To, A.Message.ExchangeId);
  if (A.Message.Kind == MemberMessageKind::Ack) {
    auto It = S.Responders.find(Key);
    if (It == S.Responders.end()) {
      peerSend(S, A.Address, std::move(M));
      return;
    }
    PeerResponder Respond = std::move(It->second.second);
    S.Responders.erase(It);
    Respond(std::move(M));
    return;
  }
  peerRequest(S, A.Address, std::move(M), AckTimeout,
              [](ControlState &State, PeerCode Code,
                 const peer::v1::PeerMessage &Answer) {
                if (Code == PeerCode::Ok)
                  memberReceived(State, Answer);
              });
}

void memberChanged(ControlState &S, const MemberChanged &A) {
  const MemberUpdate &U = A.Current;
  std::string Text = U.Id + " at " + U.Address + " in " + U.FailureDomain;
  switch (U.State) {
  case MemberState::Suspect:
    S.C.Events->record(events::MemberSuspect, {}, Text);
    break;
  case MemberState::Dead:
    S.C.Events->record(events::MemberDead, {}, Text);
    break;
  case MemberState::Leaving:
    S.C.Events->record(events::MemberLeaving, {}, Text);
    break;
  case MemberState::Joining:
  case MemberState::Alive:
    S.C.Events->record(events::MemberAlive, {}, Text);
    break;
  }
  S.OwnershipDirty = true;
}

/// Assembles the configuration from the gossip items. Empty if parts are
/// missing or malformed, or if it is not newer than the one in force.
std::optional<Configuration> assembleConfiguration(const ControlState &S) {
  auto Composite = assemble(S.Gossip, "config");
  if (!Composite || Composite->Version <= S.Config.Version)
    return std::nullopt;
  config::v1::Configuration Wire;
  if (!Wire.ParseFromString(Composite->Header))
    return std::nullopt;
  for (const Part &P : Composite->Parts)
    if (!Wire.add_databases()->ParseFromString(P.Value))
      return std::nullopt;
  auto Parsed = configwire::configuration(Wire);
  if (!Parsed)
    return std::nullopt;
  return Parsed.value();
}

void groupItemChanged(ControlState &S, const Item &I) {
  config::v1::GroupRecord Wire;
  if (!Wire.ParseFromString(I.Value) || groupKey(Wire.database()) != I.Key)
    return;
  GroupRecord R = configwire::group(Wire);
  // A record without a candidate was learned from a status; records on the
  // platform always name one.
  if (R.Candidate.empty())
    acceptGroup(S, R, true);
  else
    groupReceived(S, R);
}

void leavingItemChanged(ControlState &S, const Item &I) {
  UpstreamId Id = I.Key.substr(LeavingPrefix.size());
  bool Changed = I.Value == "1" ? S.LeavingByStatus.insert(Id).second
                                : S.LeavingByStatus.erase(Id) > 0;
  if (Changed)
    S.OwnershipDirty = true;
}

void itemChanged(ControlState &S, const std::string &Key) {
  const Item *I = find(S.Gossip, Key);
  if (!I)
    return;
  Item Copy = *I;
  if (Key.rfind("group/", 0) == 0)
    groupItemChanged(S, Copy);
  else if (Key.rfind(LeavingPrefix, 0) == 0)
    leavingItemChanged(S, Copy);
  else if (Key == "hosts")
    hostsChanged(S, Copy.Value);
}

/// Carries out the actions of the gossip state machine.
void applyGossip(ControlState &S, const GossipActions &Actions) {
  bool ConfigChanged = false;
  for (const GossipAction &A : Actions)
    std::visit(
        Overloaded{[&](const SendDigest &D) {
                     peerSend(S, peerAddress(S, D.To), toPeerMessage(D.Digest));
                   },
                   [&](const SendItems &I) {
                     peerSend(S, peerAddress(S, I.To), toPeerMessage(I.Push));
                   },
                   [&](const ItemChanged &I) {
                     if (I.Key.rfind("config", 0) == 0)
                       ConfigChanged = true;
                     else
                       itemChanged(S, I.Key);
                   }},
        A);
  if (!ConfigChanged)
    return;
  if (auto C = assembleConfiguration(S))
    acceptConfiguration(S, *C);
}

void statusPulled(ControlState &S, const std::string &Database,
                  const PeerResponder &Respond) {
  peer::v1::PeerMessage Answer;
  *Answer.mutable_status_report() =
      S.Path ? S.Path->report(Database) : peer::v1::StatusReport();
  Respond(std::move(Answer));
}

/// Announces that this proxy takes part in ownership once it knows the other
/// members and the configuration.
void announceIfReady(ControlState &S) {
  if (S.Members.Self.State != MemberState::Joining || !S.Members.Joined ||
      S.Config.Version == 0)
    return;
  applyMembership(S, announceReady(S.Members, S.Now));
  S.OwnershipDirty = true;
}

MemberUpdate seedOf(const PeerAddress &P) {
  MemberUpdate U;
  U.Id = P.Id;
  U.Address = P.Address;
  U.FailureDomain = P.FailureDomain;
  return U;
}

} // namespace

void startMembership(ControlState &S) {
  MemberUpdate Self;
  Self.Id = S.C.Options.Id;
  Self.Address = S.C.Options.PeerListen;
  Self.FailureDomain = S.C.Options.FailureDomain;
  Self.OperatorAddress = S.C.Options.Listen;
  Self.Incarnation = S.C.Incarnation->load();
  std::vector<MemberUpdate> Seeds;
  for (const PeerAddress &P : S.C.Options.Peers)
    if (P.Id != Self.Id)
      Seeds.push_back(seedOf(P));
  MembershipOptions Options;
  Options.PauseLimit = PauseLimit;
  S.Members = makeMembership(Options, std::move(Self), std::move(Seeds), S.Now,
                             S.Random);
}

void applyMembership(ControlState &S, const MembershipActions &Actions) {
  for (const MembershipAction &A : Actions)
    std::visit(Overloaded{[&](const SendMemberMessage &M) { sendMember(S, M); },
                          [&](const MemberChanged &M) { memberChanged(S, M); },
                          [&](const SelfRefuted &R) {
                            S.C.Incarnation->store(R.Incarnation);
                          }},
               A);
}

void putItems(ControlState &S, std::vector<Item> Items) {
  applyGossip(S,
              put(S.Gossip, std::move(Items), livePeers(S.Members), S.Random));
}

void tickPeers(ControlState &S) {
  applyMembership(S, tick(S.Members, S.Now, S.Random));
  announceIfReady(S);
  applyGossip(S, tick(S.Gossip, livePeers(S.Members), S.Now, S.Random));
  std::erase_if(S.Responders, [&](const auto &Entry) {
    return S.Now - Entry.second.first > MaxResponderAge;
  });
}

void peerReceived(ControlState &S, const peer::v1::PeerMessage &M,
                  PeerResponder Respond) {
  switch (M.body_case()) {
  case peer::v1::PeerMessage::kPing:
    S.Responders[{M.from(), M.ping().probe_id()}] = {S.Now, Respond};
    memberReceived(S, M);
    break;
  case peer::v1::PeerMessage::kIndirectPing:
    S.Responders[{M.from(), M.indirect_ping().probe_id()}] = {S.Now, Respond};
    memberReceived(S, M);
    break;
  case peer::v1::PeerMessage::kAck:
    memberReceived(S, M);
    break;
  case peer::v1::PeerMessage::kDigest:
    S.DigestReceived = S.DigestReceived || M.digest().answer();
    applyGossip(S, received(S.Gossip, M.from(), itemDigest(M.digest())));
    break;
  case peer::v1::PeerMessage::kItems:
    S.DigestReceived = true;
    applyGossip(S, received(S.Gossip, M.from(), itemPush(M.items()),
                            livePeers(S.Members), S.Random));
    break;
  case peer::v1::PeerMessage::kVoteRequest:
    voteRequested(S, M.vote_request(), Respond);
    break;
  case peer::v1::PeerMessage::kStatusPull:
    statusPulled(S, M.status_pull().database(), Respond);
    break;
  default:
    break;
  }
}

} // namespace eelgrassloom::detail
