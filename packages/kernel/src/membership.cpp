#include "kernel/membership.h"
#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace eelgrassloom {
namespace detail {

/// Precedence of a state among updates of the same incarnation: the higher one
/// overrides the lower one.
static unsigned precedence(MemberState State) {
  switch (State) {
  case MemberState::Dead:
    return 2;
  case MemberState::Suspect:
    return 1;
  default:
    return 0;
  }
}

/// Number of live proxies, including this one.
static std::size_t liveCount(const MembershipState &S) { return 1 + S.Live; }

/// Queues the current update about a member. A queued update about it is
/// replaced and its transmissions start again.
static void announce(MembershipState &S, const ProxyId &Id) {
  UpdateQueue::Key Key = {
      0, XXH3_64bits_withSeed(Id.data(), Id.size(), S.Self.Incarnation)};
  auto [It, New] = S.PendingUpdates.Keys.emplace(Id, Key);
  if (!New) {
    S.PendingUpdates.Queue.erase({It->second, Id});
    It->second = Key;
  }
  S.PendingUpdates.Queue.emplace(Key, Id);
}

static Duration scaled(Duration D, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(D.count()) * Factor));
}

static Duration uniform(Duration Below, std::mt19937_64 &Random) {
  if (Below <= Duration::zero())
    return Duration::zero();
  return Duration(std::uniform_int_distribution<Duration::rep>(
      0, Below.count() - 1)(Random));
}

/// Time from a suspicion to the declaration of death. It is longer while the
/// health multiplier is raised, because this proxy itself may then be at fault.
static Duration suspicionTime(const MembershipState &S) {
  double Log = std::max(1.0, std::log10(static_cast<double>(liveCount(S))));
  return scaled(S.Options.ProbeInterval, S.Options.SuspicionMultiplier * Log *
                                             (1.0 + S.HealthMultiplier / 2.0));
}

/// Number of messages in which one update is sent.
static unsigned transmissions(const MembershipState &S) {
  return 1 + static_cast<unsigned>(
                 S.Options.RetransmitMultiplier *
                 std::log2(static_cast<double>(liveCount(S)) + 1));
}

static void raiseHealthMultiplier(MembershipState &S, unsigned By) {
  S.HealthMultiplier =
      std::min(S.Options.MaxHealthMultiplier, S.HealthMultiplier + By);
}

static std::vector<const Member *>
liveMembers(const MembershipState &S, const ProxyId &Except = ProxyId()) {
  std::vector<const Member *> Live;
  for (const auto &[Id, M] : S.Members)
    if (isLive(M) && Id != Except)
      Live.push_back(&M);
  return Live;
}

/// Up to \p Count random elements.
template <class T>
static std::vector<T> sample(std::vector<T> From, std::size_t Count,
                             std::mt19937_64 &Random) {
  Count = std::min(Count, From.size());
  for (std::size_t I = 0; I < Count; ++I)
    std::swap(From[I], From[std::uniform_int_distribution<std::size_t>(
                           I, From.size() - 1)(Random)]);
  From.resize(Count);
  return From;
}

/// Updates for a message to \p To, within the limit of bytes: the update about
/// this proxy, the update about the receiver if it is suspected or declared
/// dead so that it can refute it, the queued updates with the fewest
/// transmissions, then some members of the round-robin refresh.
static std::vector<MemberUpdate> selectUpdates(MembershipState &S,
                                               const ProxyId &To) {
  std::vector<MemberUpdate> Updates = {S.Self};
  std::size_t Used = encodedSize(S.Self);
  const std::size_t Limit = S.Options.UpdateBytes;
  auto Receiver = S.Members.find(To);
  if (Receiver != S.Members.end() &&
      precedence(Receiver->second.Update.State) > 0) {
    Updates.push_back(Receiver->second.Update);
    Used += encodedSize(Receiver->second.Update);
  }

  const unsigned MaxSent = transmissions(S);
  std::vector<std::pair<UpdateQueue::Key, ProxyId>> Sent;
  auto It = S.PendingUpdates.Queue.begin();
  while (It != S.PendingUpdates.Queue.end()) {
    auto M = S.Members.find(It->second);
    if (M != S.Members.end()) {
      std::size_t Size = encodedSize(M->second.Update);
      if (Used + Size > Limit)
        break;
      if (It->second != To) {
        Updates.push_back(M->second.Update);
        Used += Size;
      }
    }
    bool Finished = M == S.Members.end() || It->first.first + 1 >= MaxSent;
    if (Finished)
      S.PendingUpdates.Keys.erase(It->second);
    else
      Sent.push_back(*It);
    It = S.PendingUpdates.Queue.erase(It);
  }
  for (auto &[Key, Id] : Sent) {
    ++Key.first;
    S.PendingUpdates.Keys[Id] = Key;
    S.PendingUpdates.Queue.emplace(Key, std::move(Id));
  }

  std::size_t RefreshLimit = std::min(Limit, Used + S.Options.RefreshBytes);
  for (std::size_t I = 0; I < S.Members.size(); ++I) {
    auto It = S.Members.upper_bound(S.RefreshCursor);
    if (It == S.Members.end())
      It = S.Members.begin();
    std::size_t Size = encodedSize(It->second.Update);
    if (Used + Size > RefreshLimit)
      break;
    S.RefreshCursor = It->first;
    Updates.push_back(It->second.Update);
    Used += Size;
  }
  return Updates;
}

/// A segment of the view that starts at a random member, for a joining proxy.
static std::vector<MemberUpdate> viewSegment(const MembershipState &S,
                                             const ProxyId &To,
                                             std::mt19937_64 &Random) {
  std::vector<MemberUpdate> Updates = {S.Self};
  std::size_t Used = encodedSize(S.Self);
  if (S.Members.empty())
    return Updates;
  auto It = std::next(
      S.Members.begin(),
      static_cast<std::ptrdiff_t>(std::uniform_int_distribution<std::size_t>(
          0, S.Members.size() - 1)(Random)));
  for (std::size_t I = 0; I < S.Members.size(); ++I) {
    const MemberUpdate &U = It->second.Update;
    if (++It == S.Members.end())
      It = S.Members.begin();
    if (U.Id == To || U.State == MemberState::Dead)
      continue;
    Used += encodedSize(U);
    if (Used > S.Options.JoinBytes)
      break;
    Updates.push_back(U);
  }
  return Updates;
}

/// A message with piggybacked updates.
static SendMemberMessage makeMessage(MembershipState &S, MemberMessageKind Kind,
                                     const ProxyId &To,
                                     const std::string &Address,
                                     std::uint64_t ExchangeId) {
  return {To, Address, {Kind, ExchangeId, {}, selectUpdates(S, To)}};
}

/// Sends a ping. The ack that answers it has the same exchange id.
static void startProbe(MembershipState &S, Probe P, const std::string &Address,
                       Instant Now, MembershipActions &Actions) {
  Duration Wait = S.Options.ProbeTimeout * (1 + S.HealthMultiplier);
  P.StartedAt = Now;
  P.IndirectAt = Now + Wait;
  P.FailAt = P.IndirectAt + 2 * Wait;
  std::uint64_t Exchange = S.NextExchange++;
  Actions.emplace_back(
      makeMessage(S, MemberMessageKind::Ping, P.Target, Address, Exchange));
  S.Probes.emplace(Exchange, std::move(P));
}

/// Raises the own incarnation and sends the own update by gossip.
static void announceSelf(MembershipState &S, Instant Now) {
  ++S.Self.Incarnation;
  S.NextGossip = Now;
  S.SelfTransmissionsLeft = transmissions(S);
}

static void changeState(MembershipState &S, Member &M, MemberState State,
                        Instant Now, MembershipActions &Actions) {
  MemberState Before = M.Update.State;
  if (Before == MemberState::Suspect)
    --S.Suspects;
  if (State == MemberState::Suspect) {
    ++S.Suspects;
    M.SuspectUntil = Now + suspicionTime(S);
    M.FinalProbesLeft = S.Options.FinalProbes;
  }
  if (Before == MemberState::Dead)
    ++S.Live;
  if (State == MemberState::Dead)
    --S.Live;
  M.Update.State = State;
  M.Since = Now;
  if (precedence(State) == 0) {
    M.Leaving = State == MemberState::Leaving;
    M.Ready = State != MemberState::Joining;
  }
  announce(S, M.Update.Id);
  Actions.emplace_back(MemberChanged{M.Update, Before, false});
}

/// Handles an update about this proxy. If it says that this proxy is suspect or
/// dead, or if it stems from a run with a higher incarnation, the proxy
/// announces an incarnation above it.
static void refute(MembershipState &S, const MemberUpdate &U, Instant Now,
                   MembershipActions &Actions) {
  bool ReportedFailed =
      precedence(U.State) > 0 && U.Incarnation >= S.Self.Incarnation;
  bool EarlierRun = U.Incarnation > S.Self.Incarnation;
  if ((!ReportedFailed && !EarlierRun) || S.Self.State == MemberState::Dead)
    return;
  S.Self.Incarnation = U.Incarnation;
  raiseHealthMultiplier(S, 1);
  announceSelf(S, Now);
  Actions.emplace_back(SelfRefuted{S.Self.Incarnation});
}

/// Sends a ping to a member that another proxy suspects, so that it can refute
/// the suspicion at once. Each member that learns of the suspicion does so with
/// a probability that gives a few pings in the whole fleet.
static void notifySuspect(MembershipState &S, const Member &M, Instant Now,
                          std::mt19937_64 &Random, MembershipActions &Actions) {
  constexpr double ExpectedPings = 4;
  double Probability = ExpectedPings / static_cast<double>(liveCount(S));
  if (std::uniform_real_distribution<double>(0, 1)(Random) < Probability)
    startProbe(S, Probe{M.Update.Id, {}, {}, {}, true, false, false, true},
               M.Update.Address, Now, Actions);
}

/// Applies an update to the view. Returns true if it introduced a new member.
static bool apply(MembershipState &S, const MemberUpdate &U, Instant Now,
                  std::mt19937_64 &Random, MembershipActions &Actions) {
  if (U.Id == S.Self.Id) {
    refute(S, U, Now, Actions);
    return false;
  }
  auto It = S.Members.find(U.Id);
  if (It == S.Members.end()) {
    // A dead member that was already removed here must not be added again by
    // gossip.
    if (U.State == MemberState::Dead)
      return false;
    Member &M = S.Members[U.Id];
    ++S.Live;
    M.Update = U;
    M.Since = Now;
    M.Leaving = U.State == MemberState::Leaving;
    M.Ready = U.State != MemberState::Joining;
    if (U.State == MemberState::Suspect) {
      ++S.Suspects;
      M.SuspectUntil = Now + suspicionTime(S);
      M.FinalProbesLeft = S.Options.FinalProbes;
    }
    announce(S, U.Id);
    Actions.emplace_back(MemberChanged{U, MemberState::Joining, true});
    return true;
  }
  Member &M = It->second;
  bool Newer = U.Incarnation > M.Update.Incarnation ||
               (U.Incarnation == M.Update.Incarnation &&
                precedence(U.State) > precedence(M.Update.State));
  if (!Newer)
    return false;
  bool AddressChanged = U.Address != M.Update.Address ||
                        U.OperatorAddress != M.Update.OperatorAddress ||
                        U.FailureDomain != M.Update.FailureDomain;
  if (U.Incarnation > M.Update.Incarnation)
    M.JoinAnswers = 0;
  MemberState Before = M.Update.State;
  M.Update = U;
  M.Update.State = Before;
  if (Before != U.State || U.State == MemberState::Suspect) {
    changeState(S, M, U.State, Now, Actions);
    if (U.State == MemberState::Suspect)
      notifySuspect(S, M, Now, Random, Actions);
  } else {
    announce(S, U.Id);
    if (AddressChanged)
      Actions.emplace_back(MemberChanged{M.Update, Before, false});
  }
  return false;
}

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
