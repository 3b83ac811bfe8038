// Updates about members, and the messages that carry them.

#include "memberview.h"
#include <cmath>
#include <xxhash.h>

namespace eelgrassloom::detail {

unsigned precedence(MemberState State) {
  switch (State) {
  case MemberState::Dead:
    return 2;
  case MemberState::Suspect:
    return 1;
  default:
    return 0;
  }
}

std::size_t liveCount(const MembershipState &S) { return 1 + S.Live; }

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

Duration suspicionTime(const MembershipState &S) {
  double Log = std::max(1.0, std::log10(static_cast<double>(liveCount(S))));
  return scaled(S.Options.ProbeInterval, S.Options.SuspicionMultiplier * Log *
                                             (1.0 + S.HealthMultiplier / 2.0));
}

unsigned transmissions(const MembershipState &S) {
  return 1 + static_cast<unsigned>(
                 S.Options.RetransmitMultiplier *
                 std::log2(static_cast<double>(liveCount(S)) + 1));
}

void raiseHealthMultiplier(MembershipState &S, unsigned By) {
  S.HealthMultiplier =
      std::min(S.Options.MaxHealthMultiplier, S.HealthMultiplier + By);
}

std::vector<const Member *> liveMembers(const MembershipState &S,
                                        const ProxyId &Except) {
  std::vector<const Member *> Live;
  for (const auto &[Id, M] : S.Members)
    if (isLive(M) && Id != Except)
      Live.push_back(&M);
  return Live;
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

std::vector<MemberUpdate> viewSegment(const MembershipState &S,
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

SendMemberMessage makeMessage(MembershipState &S, MemberMessageKind Kind,
                              const ProxyId &To, const std::string &Address,
                              std::uint64_t ExchangeId) {
  return {To, Address, {Kind, ExchangeId, {}, selectUpdates(S, To)}};
}

void startProbe(MembershipState &S, Probe P, const std::string &Address,
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

void announceSelf(MembershipState &S, Instant Now) {
  ++S.Self.Incarnation;
  S.NextGossip = Now;
  S.SelfTransmissionsLeft = transmissions(S);
}

void changeState(MembershipState &S, Member &M, MemberState State, Instant Now,
                 MembershipActions &Actions) {
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

bool apply(MembershipState &S, const MemberUpdate &U, Instant Now,
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

} // namespace eelgrassloom::detail
