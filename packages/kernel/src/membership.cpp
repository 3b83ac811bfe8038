// Probes, joining and the messages of other proxies.

#include "memberview.h"
#include "randomtime.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// Suspects the target of a failed probe.
static void probeFailed(MembershipState &S, const Probe &P, Instant Now,
                        MembershipActions &Actions) {
  // If no message at all has arrived since the probe was sent, the fault is
  // probably at this proxy and not at the target.
  if (S.LastReceived < P.StartedAt)
    raiseHealthMultiplier(S, 1);
  auto It = S.Members.find(P.Target);
  if (It == S.Members.end() || precedence(It->second.Update.State) > 0)
    return;
  changeState(S, It->second, MemberState::Suspect, Now, Actions);
}

static void sendIndirect(MembershipState &S, std::uint64_t Exchange,
                         const ProxyId &Target, std::mt19937_64 &Random,
                         MembershipActions &Actions) {
  for (const Member *Relay :
       sample(liveMembers(S, Target), S.Options.IndirectProbes, Random)) {
    SendMemberMessage Send =
        makeMessage(S, MemberMessageKind::IndirectPing, Relay->Update.Id,
                    Relay->Update.Address, Exchange);
    Send.Message.Target = Target;
    Actions.emplace_back(std::move(Send));
  }
}

/// Ends probes that got no ack in time and sends the indirect probes that are
/// due.
static void runProbes(MembershipState &S, Instant Now, std::mt19937_64 &Random,
                      MembershipActions &Actions) {
  std::vector<Probe> Failed;
  for (auto It = S.Probes.begin(); It != S.Probes.end();) {
    Probe &P = It->second;
    if (Now >= P.FailAt) {
      if (!P.DeadRetry && !P.Join && !P.NotifiesSuspect)
        Failed.push_back(P);
      It = S.Probes.erase(It);
      continue;
    }
    if (!P.IndirectSent && !P.DeadRetry && !P.Join && Now >= P.IndirectAt) {
      P.IndirectSent = true;
      sendIndirect(S, It->first, P.Target, Random, Actions);
    }
    ++It;
  }
  for (const Probe &P : Failed)
    probeFailed(S, P, Now, Actions);
}

/// The next member to probe. Each round visits all live members of the own
/// failure domain, or of the others, once in random order.
static const Member *nextTarget(MembershipState &S, std::mt19937_64 &Random) {
  bool Remote = ++S.ProbeCount % S.Options.RemoteProbeEvery == 0;
  for (int Try = 0; Try < 2; ++Try, Remote = !Remote) {
    auto &Order = Remote ? S.RemoteOrder : S.LocalOrder;
    for (int Refill = 0; Refill < 2; ++Refill) {
      while (!Order.empty()) {
        auto It = S.Members.find(Order.back());
        Order.pop_back();
        if (It != S.Members.end() && isLive(It->second))
          return &It->second;
      }
      for (const auto &[Id, M] : S.Members)
        if (isLive(M) &&
            (M.Update.FailureDomain != S.Self.FailureDomain) == Remote)
          Order.push_back(Id);
      std::shuffle(Order.begin(), Order.end(), Random);
    }
  }
  return nullptr;
}

static void startNextProbe(MembershipState &S, Instant Now,
                           std::mt19937_64 &Random,
                           MembershipActions &Actions) {
  if (Now < S.NextProbe)
    return;
  S.NextProbe = Now + S.Options.ProbeInterval * (1 + S.HealthMultiplier / 2);
  if (const Member *Target = nextTarget(S, Random))
    startProbe(S,
               Probe{Target->Update.Id, {}, {}, {}, false, false, false, false},
               Target->Update.Address, Now, Actions);
}

/// Sends the final probes to suspects and declares them dead when their
/// suspicion time has passed.
static void expireSuspects(MembershipState &S, Instant Now,
                           MembershipActions &Actions) {
  if (S.Suspects == 0)
    return;
  for (auto &[Id, M] : S.Members) {
    if (M.Update.State != MemberState::Suspect)
      continue;
    if (Now >= M.SuspectUntil) {
      changeState(S, M, MemberState::Dead, Now, Actions);
      continue;
    }
    if (M.FinalProbesLeft > 0 &&
        Now >= M.SuspectUntil - M.FinalProbesLeft * S.Options.ProbeInterval) {
      --M.FinalProbesLeft;
      startProbe(S, Probe{Id, {}, {}, {}, true, false, false, true},
                 M.Update.Address, Now, Actions);
    }
  }
}

/// Pings one member that is dead or known only by its address, so that the
/// views merge after a partition has healed. Removes members that have been
/// dead for the retention time.
static void retryDead(MembershipState &S, Instant Now, std::mt19937_64 &Random,
                      MembershipActions &Actions) {
  if (Now < S.NextDeadRetry)
    return;
  S.NextDeadRetry = Now + S.Options.DeadRetryInterval / 2 +
                    uniform(S.Options.DeadRetryInterval, Random);
  std::erase_if(S.Members, [&](const auto &Entry) {
    return Entry.second.Update.State == MemberState::Dead &&
           Now - Entry.second.Since > S.Options.DeadRetention;
  });
  std::vector<const MemberUpdate *> Candidates;
  for (const auto &[Id, M] : S.Members)
    if (M.Update.State == MemberState::Dead)
      Candidates.push_back(&M.Update);
  for (const MemberUpdate &Seed : S.Seeds)
    if (Seed.Id != S.Self.Id && !S.Members.contains(Seed.Id))
      Candidates.push_back(&Seed);
  for (const MemberUpdate *U : sample(Candidates, 1, Random))
    startProbe(S, Probe{U->Id, {}, {}, {}, true, true, false, false},
               U->Address, Now, Actions);
}

/// Sends a join request: a ping in the Joining state, which is answered with a
/// segment of the view.
static void requestView(MembershipState &S, Instant Now,
                        std::mt19937_64 &Random, MembershipActions &Actions) {
  if (S.Joined || Now < S.NextJoin)
    return;
  if (S.JoinRequestsLeft == 0) {
    S.Joined = true;
    return;
  }
  --S.JoinRequestsLeft;
  S.NextJoin = Now + S.Options.JoinInterval / 2 +
               uniform(S.Options.JoinInterval, Random);
  std::vector<const MemberUpdate *> Candidates;
  for (const Member *M : liveMembers(S))
    Candidates.push_back(&M->Update);
  for (const MemberUpdate &Seed : S.Seeds)
    if (Seed.Id != S.Self.Id && !S.Members.contains(Seed.Id))
      Candidates.push_back(&Seed);
  for (const MemberUpdate *U : sample(Candidates, 1, Random))
    startProbe(S, Probe{U->Id, {}, {}, {}, true, false, true, false},
               U->Address, Now, Actions);
}

/// Sends pending updates to a few random members between the probes.
static void gossip(MembershipState &S, Instant Now, std::mt19937_64 &Random,
                   MembershipActions &Actions) {
  if (Now < S.NextGossip)
    return;
  S.NextGossip = Now + S.Options.GossipInterval;
  if (S.PendingUpdates.Queue.empty() && S.SelfTransmissionsLeft == 0)
    return;
  S.SelfTransmissionsLeft -=
      std::min(S.SelfTransmissionsLeft, S.Options.GossipFanout);
  for (const Member *M : sample(liveMembers(S), S.Options.GossipFanout, Random))
    Actions.emplace_back(makeMessage(S, MemberMessageKind::Ack, M->Update.Id,
                                     M->Update.Address, 0));
}

/// Answers a ping, for a joining member with a segment of the view, within the
/// rate limits.
static void answerPing(MembershipState &S, const ProxyId &From,
                       const std::string &FromAddress, std::uint64_t ExchangeId,
                       Instant Now, std::mt19937_64 &Random,
                       MembershipActions &Actions) {
  SendMemberMessage Ack =
      makeMessage(S, MemberMessageKind::Ack, From, FromAddress, ExchangeId);
  auto It = S.Members.find(From);
  if (It != S.Members.end() &&
      It->second.Update.State == MemberState::Joining &&
      It->second.JoinAnswers < S.Options.JoinAnswersPerMember &&
      Now >= S.NextJoinAnswer) {
    ++It->second.JoinAnswers;
    S.NextJoinAnswer = Now + S.Options.JoinAnswerInterval;
    Ack.Message.Updates = viewSegment(S, From, Random);
  }
  Actions.emplace_back(std::move(Ack));
}

/// Handles an indirect ping: pings the target for the requester.
static void relayPing(MembershipState &S, const ProxyId &From,
                      const std::string &FromAddress,
                      const MemberMessage &Message, Instant Now,
                      MembershipActions &Actions) {
  auto Target = S.Members.find(Message.Target);
  if (Target == S.Members.end())
    return;
  std::uint64_t Exchange = S.NextExchange++;
  S.Relays.emplace(Exchange, RelayedProbe{From, FromAddress, Message.ExchangeId,
                                          Now + 4 * S.Options.ProbeTimeout});
  Actions.emplace_back(makeMessage(S, MemberMessageKind::Ping, Message.Target,
                                   Target->second.Update.Address, Exchange));
}

/// Handles an ack: passes the ack of a relayed probe on to its requester, or
/// completes a probe of this proxy.
static void handleAck(MembershipState &S, const MemberMessage &Message,
                      bool BroughtMembers, Instant Now,
                      MembershipActions &Actions) {
  if (auto It = S.Relays.find(Message.ExchangeId); It != S.Relays.end()) {
    RelayedProbe R = std::move(It->second);
    S.Relays.erase(It);
    Actions.emplace_back(makeMessage(S, MemberMessageKind::Ack, R.Requester,
                                     R.RequesterAddress, R.ExchangeId));
    return;
  }
  auto It = S.Probes.find(Message.ExchangeId);
  if (It == S.Probes.end())
    return;
  Probe P = std::move(It->second);
  S.Probes.erase(It);
  S.HealthMultiplier -= std::min(S.HealthMultiplier, 1U);
  if (P.DeadRetry)
    S.NextDeadRetry = Now;
  if (!P.Join || S.Joined)
    return;
  if (BroughtMembers)
    S.UnchangedJoinAnswers = 0;
  // Because of the rate limits an answer may contain no segment of the view.
  // Such an answer doesn't show that the view is complete.
  else if (Message.Updates.size() >=
           std::min<std::size_t>(S.Members.size(), 16))
    ++S.UnchangedJoinAnswers;
  S.Joined = S.UnchangedJoinAnswers >= S.Options.UnchangedJoinAnswers;
}

} // namespace detail

std::size_t encodedSize(const MemberUpdate &U) {
  // Tags and lengths of four strings and two numbers, and the incarnation.
  constexpr std::size_t Overhead = 20;
  return U.Id.size() + U.Address.size() + U.FailureDomain.size() +
         U.OperatorAddress.size() + Overhead;
}

bool isLive(const Member &M) { return M.Update.State != MemberState::Dead; }

MembershipState makeMembership(MembershipOptions Options, MemberUpdate Self,
                               std::vector<MemberUpdate> Seeds, Instant Now,
                               std::mt19937_64 &Random) {
  MembershipState S;
  S.Options = Options;
  S.Self = std::move(Self);
  S.Self.State = MemberState::Joining;
  addSeeds(S, Seeds);
  S.Joined = S.Seeds.empty();
  S.JoinRequestsLeft = std::min(Options.JoinRequests,
                                static_cast<unsigned>(2 * S.Seeds.size() + 4));
  S.NextJoin = Now + detail::uniform(Options.JoinJitter, Random);
  S.NextProbe = Now + detail::uniform(Options.ProbeInterval, Random);
  S.NextDeadRetry = Now + detail::uniform(Options.DeadRetryInterval, Random);
  S.NextGossip = Now;
  S.NextJoinAnswer = Now;
  S.LastTick = Now;
  S.LastReceived = Now;
  return S;
}

void addSeeds(MembershipState &S, const std::vector<MemberUpdate> &Seeds) {
  for (const MemberUpdate &Seed : Seeds) {
    if (Seed.Id == S.Self.Id || S.Members.contains(Seed.Id))
      continue;
    auto It = std::find_if(S.Seeds.begin(), S.Seeds.end(),
                           [&](const auto &Old) { return Old.Id == Seed.Id; });
    if (It == S.Seeds.end())
      S.Seeds.push_back(Seed);
    else
      *It = Seed;
  }
}

MembershipActions tick(MembershipState &S, Instant Now,
                       std::mt19937_64 &Random) {
  MembershipActions Actions;
  if (Now - S.LastTick > S.Options.PauseLimit)
    Actions = pauseDetected(S, Now);
  S.LastTick = Now;
  std::erase_if(S.Relays, [&](const auto &R) { return Now >= R.second.Until; });
  detail::requestView(S, Now, Random, Actions);
  detail::runProbes(S, Now, Random, Actions);
  detail::expireSuspects(S, Now, Actions);
  detail::startNextProbe(S, Now, Random, Actions);
  detail::retryDead(S, Now, Random, Actions);
  detail::gossip(S, Now, Random, Actions);
  return Actions;
}

MembershipActions received(MembershipState &S, const ProxyId &From,
                           const std::string &FromAddress,
                           const MemberMessage &Message, Instant Now,
                           std::mt19937_64 &Random) {
  MembershipActions Actions;
  if (From == S.Self.Id)
    return Actions;
  S.LastReceived = Now;
  bool BroughtMembers = false;
  for (const MemberUpdate &U : Message.Updates)
    BroughtMembers |= detail::apply(S, U, Now, Random, Actions);
  switch (Message.Kind) {
  case MemberMessageKind::Ping:
    detail::answerPing(S, From, FromAddress, Message.ExchangeId, Now, Random,
                       Actions);
    break;
  case MemberMessageKind::IndirectPing:
    detail::relayPing(S, From, FromAddress, Message, Now, Actions);
    break;
  case MemberMessageKind::Ack:
    detail::handleAck(S, Message, BroughtMembers, Now, Actions);
    break;
  }
  return Actions;
}

MembershipActions announceReady(MembershipState &S, Instant Now) {
  if (S.Self.State != MemberState::Joining)
    return {};
  S.Self.State = MemberState::Alive;
  detail::announceSelf(S, Now);
  return {};
}

MembershipActions pauseDetected(MembershipState &S, Instant Now) {
  MembershipActions Actions;
  S.Probes.clear();
  S.Relays.clear();
  detail::raiseHealthMultiplier(S, S.Options.MaxHealthMultiplier / 2);
  for (auto &[Id, M] : S.Members)
    if (M.Update.State == MemberState::Suspect)
      M.SuspectUntil = Now + detail::suspicionTime(S);
  if (S.Self.State != MemberState::Dead) {
    detail::announceSelf(S, Now);
    Actions.emplace_back(SelfRefuted{S.Self.Incarnation});
  }
  S.NextProbe = Now;
  S.LastTick = Now;
  S.LastReceived = Now;
  return Actions;
}

MembershipActions announceLeaving(MembershipState &S, Instant Now) {
  if (S.Self.State == MemberState::Dead)
    return {};
  S.Self.State = MemberState::Leaving;
  detail::announceSelf(S, Now);
  return {};
}

MembershipActions announceExit(MembershipState &S, Instant Now,
                               std::mt19937_64 &Random) {
  MembershipActions Actions;
  S.Self.State = MemberState::Dead;
  S.LastTick = Now;
  for (const Member *M :
       detail::sample(detail::liveMembers(S), detail::transmissions(S), Random))
    Actions.emplace_back(detail::makeMessage(
        S, MemberMessageKind::Ack, M->Update.Id, M->Update.Address, 0));
  return Actions;
}

std::vector<LiveProxy> liveProxies(const MembershipState &S) {
  std::vector<LiveProxy> Live;
  if (S.Self.State == MemberState::Alive ||
      S.Self.State == MemberState::Leaving)
    Live.push_back({S.Self.Id, S.Self.FailureDomain,
                    S.Self.State == MemberState::Leaving});
  for (const auto &[Id, M] : S.Members)
    if (isLive(M) && M.Ready)
      Live.push_back({Id, M.Update.FailureDomain, M.Leaving});
  return Live;
}

std::vector<ProxyId> livePeers(const MembershipState &S) {
  std::vector<ProxyId> Peers;
  for (const Member *M : detail::liveMembers(S))
    Peers.push_back(M->Update.Id);
  return Peers;
}

} // namespace eelgrassloom
