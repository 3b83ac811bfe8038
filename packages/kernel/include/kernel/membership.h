/// \file
/// SWIM membership of the proxies: randomised probes, indirect probes,
/// suspicion and refutation. Updates about members are piggybacked on the probe
/// messages and sent by gossip between them.

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
  /// Running, but without a complete view of the members or without the
  /// configuration; owns nothing. Its pings are answered with a segment of the
  /// view.
  Joining,
  Alive,
  /// A probe failed; the member can refute the suspicion until it times out.
  Suspect,
  Dead,
  /// Running; finishes its work and takes no new work.
  Leaving,
};
inline constexpr std::array<std::string_view, 5> MemberStateNames = {
    "joining", "alive", "suspect", "dead", "leaving"};
constexpr std::string_view name(MemberState S) {
  return MemberStateNames[static_cast<std::size_t>(S)];
}

/// A statement about a member, as messages carry it. Of two updates about the
/// same member the one with the higher incarnation holds; at the same
/// incarnation Dead overrides Suspect, and Suspect overrides the other states.
struct MemberUpdate {
  ProxyId Id;
  /// IP:port of the peer socket.
  std::string Address;
  std::string FailureDomain;
  std::string OperatorAddress;
  MemberState State = MemberState::Alive;
  /// Raised only by the member itself: to refute a suspicion, to announce a new
  /// state or after a pause.
  std::uint64_t Incarnation = 0;

  bool operator==(const MemberUpdate &) const = default;
};

struct MembershipOptions {
  /// Interval between two probes of this proxy.
  Duration ProbeInterval = std::chrono::milliseconds(300);
  /// Time to wait for an ack before indirect probes are sent.
  Duration ProbeTimeout = std::chrono::milliseconds(150);
  /// Members that are asked to probe a target that did not answer. With 3
  /// members and 10% message loss, 0.8% of the probes failed: 800 members then
  /// raised 17 suspicions per second, more than the bounded messages can carry.
  unsigned IndirectProbes = 5;
  /// The suspicion time is this times log10(members) probe intervals.
  double SuspicionMultiplier = 3;
  /// Direct probes of a suspect in the last probe intervals before it is
  /// declared dead. Gossip alone missed 3 refutations when 64 members ran for
  /// 120 s at 10% message loss.
  unsigned FinalProbes = 3;
  /// One update is sent about this times log2(members) times.
  double RetransmitMultiplier = 1;
  /// Limit of the piggybacked updates in one message, in bytes.
  std::size_t UpdateBytes = 700;
  /// Part of UpdateBytes for a round-robin refresh of all members. It repairs
  /// views that an update did not reach within its limited transmissions.
  std::size_t RefreshBytes = 200;
  /// Pending updates are also sent to GossipFanout random members at this
  /// interval, because probe messages alone carry a refutation too slowly to
  /// 800 members.
  Duration GossipInterval = std::chrono::milliseconds(200);
  unsigned GossipFanout = 2;
  /// Limit of the updates in the answer to a join request, in bytes.
  std::size_t JoinBytes = std::size_t{12} * 1024;
  /// Minimum time between two answers with a segment of the view.
  Duration JoinAnswerInterval = std::chrono::seconds(1);
  /// Random delay before the first join request.
  Duration JoinJitter = std::chrono::milliseconds(200);
  /// Mean interval between join requests.
  Duration JoinInterval = std::chrono::milliseconds(100);
  /// The view counts as complete after at most this many requests, even if
  /// members are still unknown.
  unsigned JoinRequests = 40;
  /// The view counts as complete after this many consecutive join answers
  /// without a new member.
  unsigned UnchangedJoinAnswers = 3;
  /// Answers with a segment of the view that one member gives to the same
  /// joining proxy.
  unsigned JoinAnswersPerMember = 2;
  /// One in this many probes goes to another failure domain.
  unsigned RemoteProbeEvery = 4;
  /// Mean interval at which one dead member is contacted again. After a success
  /// the next one is contacted without delay.
  Duration DeadRetryInterval = std::chrono::seconds(5);
  /// Dead members are forgotten after this time.
  Duration DeadRetention = std::chrono::hours(1);
  /// Limit of MembershipState::HealthMultiplier.
  unsigned MaxHealthMultiplier = 8;
  /// A longer gap between two ticks means that this process was paused.
  Duration PauseLimit = std::chrono::milliseconds(600);
};

/// Another proxy in the view of this one.
struct Member {
  /// Latest update about the member.
  MemberUpdate Update;
  /// When the member entered its state.
  Instant Since;
  /// When a suspect is declared dead.
  Instant SuspectUntil;
  /// Direct probes that a suspect still gets before it is declared dead.
  unsigned FinalProbesLeft = 0;
  /// The member has announced that it is leaving. The mark stays while the
  /// member is suspected.
  bool Leaving = false;
  /// The member has left the Joining state. The mark stays while the member is
  /// suspected.
  bool Ready = false;
  /// Segments of the view that this proxy has sent to the joining member.
  unsigned JoinAnswers = 0;
};

namespace detail {

/// A ping whose ack is awaited.
struct Probe {
  ProxyId Target;
  Instant StartedAt;
  /// When indirect probes are sent unless an ack has arrived.
  Instant IndirectAt;
  Instant FailAt;
  /// Indirect probes have been sent, or the probe is to be direct only.
  bool IndirectSent = false;
  /// The target is dead or known only by its address. A failure is ignored; an
  /// ack lets the next dead member be contacted without delay.
  bool DeadRetry = false;
  /// A join request. A failure is ignored.
  bool Join = false;
  /// The ping tells a suspect that it is suspected. A failure is ignored.
  bool NotifiesSuspect = false;
};

/// A ping that was sent because another proxy asked for an indirect probe.
struct RelayedProbe {
  ProxyId Requester;
  std::string RequesterAddress;
  /// Exchange id of the requester's probe.
  std::uint64_t ExchangeId = 0;
  /// An ack that arrives later is not passed on.
  Instant Until;
};

/// Updates that are still to be sent, ordered by the number of transmissions so
/// far. Updates with the same number are ordered by a hash that differs between
/// proxies, so that the proxies don't all send the same updates first.
struct UpdateQueue {
  /// Number of transmissions, then hash.
  using Key = std::pair<unsigned, std::uint64_t>;
  std::map<ProxyId, Key, std::less<>> Keys;
  std::set<std::pair<Key, ProxyId>> Queue;
};

} // namespace detail

/// The view that this proxy has of the other proxies, and its pending probes.
struct MembershipState {
  MembershipOptions Options;
  MemberUpdate Self;
  /// Other proxies of every state.
  std::map<ProxyId, Member, std::less<>> Members;
  /// Addresses that are known without contact, from the settings and the host
  /// list.
  std::vector<MemberUpdate> Seeds;
  /// Join requests have ended: the view counts as complete.
  bool Joined = false;
  unsigned JoinRequestsLeft = 0;
  unsigned UnchangedJoinAnswers = 0;
  Instant NextJoin;
  Instant NextJoinAnswer;
  Instant LastTick;
  Instant NextProbe;
  Instant NextDeadRetry;
  Instant NextGossip;
  /// When the last message from another proxy arrived.
  Instant LastReceived;
  /// Number of suspected members.
  unsigned Suspects = 0;
  /// Number of members that are not dead, without this proxy.
  std::size_t Live = 0;
  /// Local health: 0 is healthy. It rises when probes of this proxy fail
  /// without any received message, when the proxy was suspected and after
  /// pauses, and falls by one with each ack. It lengthens probe timeouts, probe
  /// intervals and suspicion times.
  unsigned HealthMultiplier = 0;
  std::uint64_t NextExchange = 1;
  std::uint64_t ProbeCount = 0;
  /// Members that are still to be probed in the current round, in random order:
  /// those of the own failure domain, and those of all others.
  std::vector<ProxyId> LocalOrder;
  std::vector<ProxyId> RemoteOrder;
  std::map<std::uint64_t, detail::Probe> Probes;
  std::map<std::uint64_t, detail::RelayedProbe> Relays;
  detail::UpdateQueue PendingUpdates;
  /// Gossip messages in which the latest update about this proxy is still to be
  /// sent.
  unsigned SelfTransmissionsLeft = 0;
  /// Member that the round-robin refresh sent last.
  ProxyId RefreshCursor;
};

enum class MemberMessageKind : std::uint8_t { Ping, IndirectPing, Ack };

/// A received or sent membership message. The update about the sender is always
/// among Updates.
struct MemberMessage {
  MemberMessageKind Kind = MemberMessageKind::Ping;
  /// Pairs an ack with its ping; 0 in an ack that answers no ping.
  std::uint64_t ExchangeId = 0;
  /// In an indirect ping: the member to probe.
  ProxyId Target;
  std::vector<MemberUpdate> Updates;
};

struct SendMemberMessage {
  ProxyId To;
  std::string Address;
  MemberMessage Message;
};

/// A member is new, or its state, addresses or failure domain changed.
struct MemberChanged {
  MemberUpdate Current;
  /// The previous state; Joining if the member is new.
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

/// Starts in the Joining state. \p Self.Incarnation must be higher than in any
/// earlier run with the same id, for example the wall-clock time of the start
/// in milliseconds.
MembershipState makeMembership(MembershipOptions Options, MemberUpdate Self,
                               std::vector<MemberUpdate> Seeds, Instant Now,
                               std::mt19937_64 &Random);

/// Adds addresses from the host list. Seeds whose id is a known member are
/// ignored.
void addSeeds(MembershipState &S, const std::vector<MemberUpdate> &Seeds);

/// Runs timers; expected at least every 100 ms. A gap above Options.PauseLimit
/// is handled as a pause, see pauseDetected().
MembershipActions tick(MembershipState &S, Instant Now,
                       std::mt19937_64 &Random);

/// Handles a received message. \p From and \p FromAddress come from its header.
MembershipActions received(MembershipState &S, const ProxyId &From,
                           const std::string &FromAddress,
                           const MemberMessage &Message, Instant Now,
                           std::mt19937_64 &Random);

/// Ends the Joining state: this proxy knows the configuration and may own
/// upstreams. Until then no proxy counts it as an owner.
MembershipActions announceReady(MembershipState &S, Instant Now);

/// Handles a pause of this process: drops pending probes, restarts the
/// suspicion times and announces a higher incarnation.
MembershipActions pauseDetected(MembershipState &S, Instant Now);

/// Announces that this proxy is leaving.
MembershipActions announceLeaving(MembershipState &S, Instant Now);

/// Tells some members before an orderly exit that this proxy is dead, so that
/// the fleet does not have to wait for the suspicion time.
MembershipActions announceExit(MembershipState &S, Instant Now,
                               std::mt19937_64 &Random);

/// True if the member is not known to be dead.
bool isLive(const Member &M);

/// All live proxies that have left the Joining state, including this one; the
/// input of makeOwnerTable().
std::vector<LiveProxy> liveProxies(const MembershipState &S);

/// Ids of all live members, without this proxy.
std::vector<ProxyId> livePeers(const MembershipState &S);

/// Estimated size of an update in a message, in bytes.
std::size_t encodedSize(const MemberUpdate &U);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_MEMBERSHIP_H
