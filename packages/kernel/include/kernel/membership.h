/// \file
/// SWIM membership: randomised probes, indirect probes, suspicion and
/// refutation, updates piggybacked on probe messages.

#ifndef EELGRASSLOOM_KERNEL_MEMBERSHIP_H
#define EELGRASSLOOM_KERNEL_MEMBERSHIP_H

#include "kernel/model.h"
#include "kernel/ownership.h"
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace eelgrassloom {

enum class MemberState : std::uint8_t {
  /// Runs, but does not know the fleet or the configuration yet: owns nothing.
  /// Its pings ask for the view.
  Joining,
  Alive,
  Suspect,
  Dead,
  /// Alive, finishes its work, takes no new work.
  Leaving,
};
inline constexpr std::array<std::string_view, 5> MemberStateNames = {
    "joining", "alive", "suspect", "dead", "leaving"};
constexpr std::string_view name(MemberState S) {
  return MemberStateNames[static_cast<std::size_t>(S)];
}

/// What messages say about a member.
struct MemberUpdate {
  ProxyId Id;
  /// IP:port of the peer socket.
  std::string Address;
  std::string FailureDomain;
  std::string OperatorAddress;
  MemberState State = MemberState::Alive;
  std::uint64_t Incarnation = 0;

  bool operator==(const MemberUpdate &) const = default;
};

struct MembershipOptions {
  Duration ProbeInterval = std::chrono::milliseconds(300);
  /// Wait for an ack before indirect probes start.
  Duration ProbeTimeout = std::chrono::milliseconds(150);
  /// With 3, loss of 10% let 0.8% of the probes fail, and 800 members had 17
  /// suspicions a second, more than the bounded messages carry.
  unsigned IndirectProbes = 5;
  /// The suspicion time is this times log10(members) probe intervals.
  double SuspicionMultiplier = 3;
  /// Direct probes of a suspect in the last probe intervals before it is
  /// declared dead. Without them, gossip alone missed 3 refutations in 64 x
  /// 120 s at 10% loss.
  unsigned FinalProbes = 3;
  /// Transmissions of one update are this times log2(members).
  double RetransmitMultiplier = 1;
  /// Bytes of piggybacked updates in one message.
  std::size_t UpdateBytes = 700;
  /// Part of UpdateBytes for members without news, in turn. It repairs what
  /// the limited retransmissions of an update missed.
  std::size_t RefreshBytes = 200;
  /// Fresh updates are also sent to GossipFanout random members at this
  /// interval, because probes alone carry a refutation too slowly to 800
  /// members.
  Duration GossipInterval = std::chrono::milliseconds(200);
  unsigned GossipFanout = 2;
  /// Bytes of updates in the answer to a join request.
  std::size_t JoinBytes = std::size_t{12} * 1024;
  /// Least time between two full answers to join requests.
  Duration JoinAnswerInterval = std::chrono::seconds(1);
  /// Random delay before the first join request.
  Duration JoinJitter = std::chrono::milliseconds(200);
  Duration JoinInterval = std::chrono::milliseconds(100);
  /// Joining ends after this many requests even if members stay unknown.
  unsigned JoinRequests = 40;
  /// Join answers in a row without a new member that end the joining.
  unsigned UnchangedJoinAnswers = 3;
  /// Full answers that one member gives to the same joining proxy.
  unsigned JoinAnswersPerMember = 2;
  /// One in this many probes goes to another failure domain.
  unsigned RemoteProbeEvery = 4;
  /// Interval at which one dead member is contacted again; while that
  /// succeeds, the next one follows without delay.
  Duration DeadRetryInterval = std::chrono::seconds(5);
  /// Dead members are forgotten after this time.
  Duration DeadRetention = std::chrono::hours(1);
  unsigned MaxHealthMultiplier = 8;
  /// A gap between ticks above this is a pause of this process.
  Duration PauseLimit = std::chrono::milliseconds(600);
};

struct Member {
  MemberUpdate Update;
  Instant Since;
  /// When a suspect becomes dead.
  Instant SuspectUntil;
  /// Direct probes of a suspect shortly before that.
  unsigned FinalProbesLeft = 0;
  /// Announced that it is leaving; survives a suspicion.
  bool Leaving = false;
  /// Has left the Joining state; survives a suspicion.
  bool Ready = false;
  unsigned JoinAnswers = 0;
};

namespace detail {

struct Probe {
  ProxyId Target;
  Instant StartedAt;
  Instant IndirectAt;
  Instant FailAt;
  bool IndirectSent = false;
  /// Contact with a member that is dead or known only by its address.
  bool Retry = false;
  bool Join = false;
  /// Tells a suspect that it is suspected; its failure means nothing.
  bool NotifiesSuspect = false;
};

/// A probe sent for another proxy.
struct RelayedProbe {
  ProxyId Requester;
  std::string RequesterAddress;
  std::uint64_t ExchangeId = 0;
  Instant Until;
};

/// Updates that are still being sent, by transmissions made. Updates sent
/// equally often are ordered by a hash that differs between proxies, so that
/// they don't all pass on the same ones first.
struct UpdateQueue {
  using Key = std::pair<unsigned, std::uint64_t>;
  std::map<ProxyId, Key, std::less<>> Keys;
  std::set<std::pair<Key, ProxyId>> Queue;
};

} // namespace detail

struct MembershipState {
  MembershipOptions Options;
  MemberUpdate Self;
  /// Other proxies of every state.
  std::map<ProxyId, Member, std::less<>> Members;
  /// Addresses known before any contact: settings and host list.
  std::vector<MemberUpdate> Seeds;
  /// The view is complete enough to act on it.
  bool Joined = false;
  unsigned JoinRequestsLeft = 0;
  unsigned UnchangedJoinAnswers = 0;
  Instant NextJoin;
  Instant NextJoinAnswer;
  Instant LastTick;
  Instant NextProbe;
  Instant NextDeadRetry;
  Instant NextGossip;
  Instant LastReceived;
  unsigned Suspects = 0;
  /// Members that are not dead, without this proxy.
  std::size_t Live = 0;
  /// 0 is healthy; probe timeouts grow with it.
  unsigned HealthMultiplier = 0;
  std::uint64_t NextExchange = 1;
  std::uint64_t ProbeCount = 0;
  std::vector<ProxyId> LocalOrder;
  std::vector<ProxyId> RemoteOrder;
  std::map<std::uint64_t, detail::Probe> Probes;
  std::map<std::uint64_t, detail::RelayedProbe> Relays;
  detail::UpdateQueue PendingUpdates;
  /// Transmissions by gossip that the own latest update still gets.
  unsigned SelfTransmissionsLeft = 0;
  /// Next member of the background refresh.
  ProxyId RefreshCursor;
};

enum class MemberMessageKind : std::uint8_t { Ping, IndirectPing, Ack };

/// A received or sent membership message. The sender's own update is always
/// among Updates.
struct MemberMessage {
  MemberMessageKind Kind = MemberMessageKind::Ping;
  std::uint64_t ExchangeId = 0;
  /// Indirect ping: the member to probe.
  ProxyId Target;
  std::vector<MemberUpdate> Updates;
};

struct SendMemberMessage {
  ProxyId To;
  std::string Address;
  MemberMessage Message;
};

/// A member is new or its state, address or leaving mark changed.
struct MemberChanged {
  MemberUpdate Current;
  MemberState Before = MemberState::Joining;
  bool New = false;
};

/// This process was suspected or paused and announced a higher incarnation.
struct SelfRefuted {
  std::uint64_t Incarnation = 0;
};

using MembershipAction =
    std::variant<SendMemberMessage, MemberChanged, SelfRefuted>;
using MembershipActions = std::vector<MembershipAction>;

/// \p Self.Incarnation must be higher than in any earlier run with the same
/// id, for example the wall-clock time of the start in milliseconds.
MembershipState makeMembership(MembershipOptions Options, MemberUpdate Self,
                               std::vector<MemberUpdate> Seeds, Instant Now,
                               std::mt19937_64 &Random);

/// Adds addresses from the host list. Known ids are ignored.
void addSeeds(MembershipState &S, const std::vector<MemberUpdate> &Seeds);

/// Runs timers; expected every 100 ms or more often. A gap above
/// Options.PauseLimit counts as a detected pause.
MembershipActions tick(MembershipState &S, Instant Now,
                       std::mt19937_64 &Random);

/// \p From and \p FromAddress come from the message header.
MembershipActions received(MembershipState &S, const ProxyId &From,
                           const std::string &FromAddress,
                           const MemberMessage &Message, Instant Now,
                           std::mt19937_64 &Random);

/// Ends the Joining state: this proxy knows the configuration and may own
/// upstreams. Until then it owns nothing in any view.
MembershipActions announceReady(MembershipState &S, Instant Now);

/// This process was paused: drops pending probes, restarts suspicions and
/// announces a higher incarnation.
MembershipActions pauseDetected(MembershipState &S, Instant Now);

/// Announces that this proxy is leaving.
MembershipActions announceLeaving(MembershipState &S, Instant Now);

/// Farewell before exit: tells some members that this proxy is dead, so that
/// no suspicion time passes.
MembershipActions announceExit(MembershipState &S, Instant Now,
                               std::mt19937_64 &Random);

/// True if the member is believed to be running: alive, suspect or leaving.
bool isLive(const Member &M);

/// This proxy and all live members that have announced to be ready; input of
/// makeOwnerTable.
std::vector<LiveProxy> liveProxies(const MembershipState &S);

/// Live members, without this proxy.
std::vector<ProxyId> livePeers(const MembershipState &S);

/// Bytes that an update takes in a message.
std::size_t encodedSize(const MemberUpdate &U);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_MEMBERSHIP_H
