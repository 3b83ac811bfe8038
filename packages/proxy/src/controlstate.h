/// \file
/// State of the control thread and the functions that act on it. Everything
/// here runs on the control thread only.

#ifndef EELGRASSLOOM_PROXY_CONTROLSTATE_H
#define EELGRASSLOOM_PROXY_CONTROLSTATE_H

#include "kernel/failover.h"
#include "kernel/gossip.h"
#include "kernel/membership.h"
#include "kernel/ownership.h"
#include "proxy/control.h"
#include <map>
#include <random>
#include <set>

namespace eelgrassloom::detail {

/// Interval of control ticks.
inline constexpr Duration TickInterval = std::chrono::milliseconds(50);
/// A longer gap between two ticks means that this process was paused. The
/// kernel's state machines get the same limit.
inline constexpr Duration PauseLimit = std::chrono::milliseconds(600);

struct ControlState;

/// Applies the result of a call to the platform, a peer or an upstream. Runs on
/// the control thread.
using Completion = std::function<void(ControlState &)>;

/// Reachability of the platform, and the calls and watches in progress.
struct PlatformState {
  bool Reachable = false;
  /// At least one call has ended since the start, so that Reachable is valid.
  bool ReachabilityKnown = false;
  /// Failed calls since the last success.
  unsigned Failures = 0;
  /// A read of the key `config` is in progress.
  bool Reading = false;
  /// A read of the host list is in progress.
  bool Listing = false;
  Instant NextRead;
  Instant NextList;
  Instant NextWatch;
  std::shared_ptr<PlatformWatch> ConfigWatch;
  std::shared_ptr<PlatformWatch> GroupWatch;
  /// Host list of this proxy's last own read, encoded as an item value.
  std::string LastHosts;
  /// Why the stored configuration can't be used, for the status. Empty if it
  /// can.
  std::string ConfigFault;
  /// The last read of the key `config` found it absent.
  bool ConfigAbsent = false;
  /// Size of the value of `config` in bytes; limits how often it is read.
  std::size_t ConfigBytes = 0;
};

/// A database for which this proxy is a voter, because it owns one of the
/// upstreams.
struct FailoverGroup {
  FailoverState Failover;
  /// The platform or a peer has said whether there is a primary record.
  bool RecordRead = false;
  /// A read of the primary record is in progress.
  bool Reading = false;
  Instant NextRead;
};

/// The primary record of a database. A learned record was derived from the
/// status of an upstream and is not stored on the platform.
struct KnownGroup {
  GroupRecord Record;
  bool Learned = false;
};

/// A connection of the control thread to an upstream, for status queries.
struct UpstreamProbe {
  std::string Database;
  /// Address to dial, after the translation by the address map.
  std::string Address;
  std::shared_ptr<UpstreamConnection> Connection;
  bool Busy = false;
  Instant Started;
  Instant Next;
  /// Distinguishes this probe from an earlier one of the same upstream, whose
  /// answers are ignored.
  std::uint64_t Id = 0;
};

/// The latest status of an upstream that this proxy has received.
struct UpstreamObservation {
  std::string Database;
  UpstreamStatus Status;
  Instant At;
  /// The last attempt to open a connection failed, and no status has been
  /// received since.
  bool Suspected = false;
};

/// All state of the control thread.
struct ControlState {
  ControlContext C;
  std::shared_ptr<DataPath> Path;
  /// Queues a completion for the control thread. It is dropped if a pause is
  /// detected or the thread ends before it runs.
  std::function<void(Completion)> Post;
  std::mt19937_64 Random;
  Instant Started;
  Instant Now;
  bool Draining = false;

  Configuration Config;
  MembershipState Members;
  GossipState Gossip;
  /// Responders of received pings and indirect pings, with the time of receipt,
  /// by requester and probe id.
  std::map<std::pair<ProxyId, std::uint64_t>, std::pair<Instant, PeerResponder>>
      Responders;
  /// A peer has answered a digest or pushed items.
  bool DigestReceived = false;
  /// A configuration from the platform that has not been split into gossip
  /// items yet.
  std::optional<Configuration> PendingConfiguration;

  OwnerTable Owners;
  std::set<UpstreamId> Owned;
  /// This proxy is a watch holder: one of the few proxies of its failure domain
  /// that watch the platform and gossip what they read.
  bool HoldsWatches = false;
  std::map<std::string, KnownGroup, std::less<>> Groups;
  std::map<std::string, FailoverGroup, std::less<>> FailoverGroups;
  std::map<UpstreamId, UpstreamProbe> Probes;
  std::map<UpstreamId, UpstreamObservation> Observed;
  /// Upstreams that are leaving according to their own status.
  std::set<UpstreamId> LeavingByStatus;
  /// Upstreams whose host is leaving according to the host list.
  std::set<UpstreamId> LeavingByHost;
  /// When this proxy learned that an upstream is leaving.
  std::map<UpstreamId, Instant> LeavingSince;
  std::uint64_t NextProbeId = 1;

  PlatformState Platform;
  /// Ownership, voters, watch holders and probes have to be recomputed.
  bool OwnershipDirty = true;
  /// The snapshot has to be published again.
  bool SnapshotDirty = true;
};

// Calls to the platform, peers and upstreams. They return at once; \p Then runs
// on the control thread.

/// Timeout of a call to the platform. Short, because a promotion waits for
/// three calls.
inline constexpr Duration PlatformTimeout = std::chrono::milliseconds(500);

using PlatformContinuation =
    std::function<void(ControlState &, const PlatformReply &)>;
void platformGet(ControlState &S, const std::string &Key,
                 PlatformContinuation Then);
void platformSwap(ControlState &S, const PlatformEntry &Entry,
                  std::uint64_t ExpectedRevision, PlatformContinuation Then);
/// Updates the reachability of the platform after a call succeeded or failed.
void platformCallEnded(ControlState &S, bool Ok);

using PeerContinuation = std::function<void(ControlState &, PeerCode,
                                            const peer::v1::PeerMessage &)>;
void peerRequest(ControlState &S, const std::string &Address,
                 peer::v1::PeerMessage Message, Duration Timeout,
                 PeerContinuation Then);
/// Sends a message that expects no answer. Translates the address.
void peerSend(ControlState &S, const std::string &Address,
              peer::v1::PeerMessage Message);

using UpstreamContinuation =
    std::function<void(ControlState &, const UpstreamReply &)>;
/// Runs one call over a new connection and closes it afterwards.
void upstreamExchange(ControlState &S, const std::string &Database,
                      const Upstream &Target, const UpstreamCall &Call,
                      Duration Timeout, UpstreamContinuation Then);

/// Returns the peer address of a member, empty if the member is unknown.
std::string peerAddress(const ControlState &S, const ProxyId &Id);

/// Returns a random duration between 3/4 and 5/4 of \p D.
Duration jittered(ControlState &S, Duration D);

// Platform: configuration, primary records and hosts.

/// Starts the reads and watches of the platform that are due.
void tickPlatform(ControlState &S);
/// Reads the key `config` unless a read is in progress.
void readConfiguration(ControlState &S);
/// Handles a value of the key `config` from a read or a watch.
void configurationRead(ControlState &S, const PlatformEntry &Entry);
/// Handles a primary record, a value of a key under `group/`, from a read or a
/// watch.
void groupRead(ControlState &S, const PlatformEntry &Entry);
/// Makes \p C the configuration in force if its version is higher.
void acceptConfiguration(ControlState &S, const Configuration &C);
/// Splits a configuration from the platform into gossip items once the items of
/// the peers are known, so that unchanged parts keep their version.
void gossipConfiguration(ControlState &S);
/// Handles a host list from gossip: finds leaving upstreams and adds unknown
/// hosts as seeds of the membership.
void hostsChanged(ControlState &S, const std::string &ItemValue);

// Peers: membership and gossip items.

/// Creates the membership state with the peers of the settings as seeds.
void startMembership(ControlState &S);
/// Runs the timers of the membership and of the gossip.
void tickPeers(ControlState &S);
/// Handles a peer message that concerns the control thread.
void peerReceived(ControlState &S, const peer::v1::PeerMessage &Message,
                  PeerResponder Respond);
/// Stores newer items and gossips them.
void putItems(ControlState &S, std::vector<Item> Items);
/// Carries out the actions of the membership state machine.
void applyMembership(ControlState &S, const MembershipActions &Actions);

// Groups: primary records and promotions.

/// Stores and gossips a primary record that is newer than the known one.
void acceptGroup(ControlState &S, const GroupRecord &R, bool Learned);
/// Handles a primary record that the platform or a peer has sent.
void groupReceived(ControlState &S, const GroupRecord &R);
/// Reads missing primary records and runs the timers of the state machines.
void tickGroups(ControlState &S);
/// Starts, updates or ends the failover state machine of each database after a
/// change of the configuration or of the ownership.
void configureGroups(ControlState &S);
/// Hands an event to the state machine of one database, if this proxy is a
/// voter for it, and carries out the resulting actions.
void stepGroup(ControlState &S, const std::string &Database,
               const FailoverEvent &Event);
/// Hands an event to the state machines of all databases.
void stepAllGroups(ControlState &S, const FailoverEvent &Event);
/// Answers another voter's request for a vote on a promotion.
void voteRequested(ControlState &S, const peer::v1::VoteRequest &Request,
                   const PeerResponder &Respond);
/// Key of a database's primary record, on the platform and in gossip.
std::string groupKey(const std::string &Database);
/// Value of a primary record as a gossip item. A learned record names no
/// candidate; that tells the receivers that it was learned.
std::string groupItemValue(const GroupRecord &R, bool Learned);

// Upstreams: statuses and probes.

/// Starts the probes that are due.
void tickProbes(ControlState &S);
/// Starts and ends probes after a change of the targets.
void configureProbes(ControlState &S);
/// Handles a status from a probe, a promotion call or the data path.
void statusObserved(ControlState &S, const std::string &Database,
                    const UpstreamStatus &Status);
/// Handles the data path's report that it opened, or failed to open, a new
/// connection.
void connectionAttempted(ControlState &S, const UpstreamId &Id, bool Opened);
/// Handles a status that says whether its upstream is leaving. Gossips a
/// change.
void leavingReported(ControlState &S, const UpstreamId &Id, bool Leaving);

// Ownership, snapshot and status.

/// Recomputes ownership, watch holders, state machines and probes if
/// OwnershipDirty is set.
void updateOwnership(ControlState &S);
/// Publishes a snapshot to the data path.
void publish(ControlState &S);
/// Returns the status of this proxy for operators.
operators::v1::StatusAnswer statusAnswer(const ControlState &S);
/// True if the configuration, the host list or the status of an upstream says
/// that it is leaving.
bool isLeaving(const ControlState &S, const Upstream &U);

/// Discards observations, probes, responders and watches from before a pause of
/// this process, because they say nothing about the present, and makes the
/// reads of the platform due again.
void discardAfterPause(ControlState &S);

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_CONTROLSTATE_H
