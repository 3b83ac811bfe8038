/// \file
/// State of the control thread and the functions over it. Everything here runs
/// on the control thread only.

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
/// A gap between ticks above this is a pause of this process. The limit of the
/// kernel's state machines has the same value.
inline constexpr Duration PauseLimit = std::chrono::milliseconds(600);

struct ControlState;

/// Result of a call to the outside, applied on the control thread.
using Completion = std::function<void(ControlState &)>;

/// What is in progress with the platform.
struct PlatformState {
  bool Reachable = false;
  /// Some call has ended since the start.
  bool ReachabilityKnown = false;
  /// Failed calls since the last success.
  unsigned Failures = 0;
  bool Reading = false;
  bool Listing = false;
  Instant NextRead;
  Instant NextList;
  Instant NextWatch;
  std::shared_ptr<PlatformWatch> ConfigWatch;
  std::shared_ptr<PlatformWatch> GroupWatch;
  /// Hosts of the last own poll, as an item value.
  std::string LastHosts;
  /// Faults of the stored configuration, for status.
  std::string ConfigFault;
  /// The key `config` was read and is absent.
  bool ConfigAbsent = false;
  /// Size of the value of `config`.
  std::size_t ConfigBytes = 0;
};

/// A database of which this proxy owns an upstream.
struct FailoverGroup {
  FailoverState Failover;
  /// A record, or its absence, was read from the platform.
  bool RecordRead = false;
  bool Reading = false;
  Instant NextRead;
};

/// The record of a primary; a learned one stems from an upstream's status.
struct KnownGroup {
  GroupRecord Record;
  bool Learned = false;
};

/// A status connection of this thread to an upstream.
struct UpstreamProbe {
  std::string Database;
  /// Already translated.
  std::string Address;
  std::shared_ptr<UpstreamConnection> Connection;
  bool Busy = false;
  Instant Started;
  Instant Next;
  /// Distinguishes the slot from an earlier one of the same upstream.
  std::uint64_t Id = 0;
};

struct UpstreamObservation {
  std::string Database;
  UpstreamStatus Status;
  Instant At;
  bool Suspected = false;
};

struct ControlState {
  ControlContext C;
  std::shared_ptr<DataPath> Path;
  /// Runs a completion on the control thread unless a pause or the end of the
  /// thread came first.
  std::function<void(Completion)> Post;
  std::mt19937_64 Random;
  Instant Started;
  Instant Now;
  bool Draining = false;

  Configuration Config;
  MembershipState Members;
  GossipState Gossip;
  /// Answers to direct and relayed probes, by requester and probe id.
  std::map<std::pair<ProxyId, std::uint64_t>, std::pair<Instant, PeerResponder>>
      Responders;
  bool DigestReceived = false;
  /// A configuration from the platform that is not yet split into items.
  std::optional<Configuration> PendingConfiguration;

  OwnerTable Owners;
  std::set<UpstreamId> Owned;
  bool HoldsWatches = false;
  std::map<std::string, KnownGroup, std::less<>> Groups;
  std::map<std::string, FailoverGroup, std::less<>> FailoverGroups;
  std::map<UpstreamId, UpstreamProbe> Probes;
  std::map<UpstreamId, UpstreamObservation> Observed;
  /// Upstreams that announced in their status that they are leaving.
  std::set<UpstreamId> LeavingByStatus;
  std::set<UpstreamId> LeavingByHost;
  /// Since when an upstream is known to be leaving.
  std::map<UpstreamId, Instant> LeavingSince;
  std::uint64_t NextProbeId = 1;

  PlatformState Platform;
  /// Ownership, watchers and probes have to be recomputed.
  bool OwnershipDirty = true;
  /// The snapshot has to be published again.
  bool SnapshotDirty = true;
};

// Calls to the outside; \p Then runs on the control thread.

/// Longest wait for the platform. Short, because a promotion waits for three
/// calls.
inline constexpr Duration PlatformTimeout = std::chrono::milliseconds(500);

using PlatformContinuation =
    std::function<void(ControlState &, const PlatformReply &)>;
void platformGet(ControlState &S, const std::string &Key,
                 PlatformContinuation Then);
void platformSwap(ControlState &S, const PlatformEntry &Entry,
                  std::uint64_t ExpectedRevision, PlatformContinuation Then);
/// Records that a platform call succeeded or failed.
void platformCallEnded(ControlState &S, bool Ok);

using PeerContinuation = std::function<void(ControlState &, PeerCode,
                                            const peer::v1::PeerMessage &)>;
void peerRequest(ControlState &S, const std::string &Address,
                 peer::v1::PeerMessage Message, Duration Timeout,
                 PeerContinuation Then);
/// Sends without an answer; the address is translated.
void peerSend(ControlState &S, const std::string &Address,
              peer::v1::PeerMessage Message);

using UpstreamContinuation =
    std::function<void(ControlState &, const UpstreamReply &)>;
/// One exchange over a new connection that is closed afterwards.
void upstreamExchange(ControlState &S, const std::string &Database,
                      const Upstream &Target, const UpstreamCall &Call,
                      Duration Timeout, UpstreamContinuation Then);

/// Peer address of a member; empty if it is unknown.
std::string peerAddress(const ControlState &S, const ProxyId &Id);

/// A random duration between 3/4 and 5/4 of \p D.
Duration jittered(ControlState &S, Duration D);

// Platform: configuration, group records and hosts.

void tickPlatform(ControlState &S);
void readConfiguration(ControlState &S);
/// Takes a value of the key `config`.
void configurationRead(ControlState &S, const PlatformEntry &Entry);
/// Takes a value of a key under `group/`.
void groupRead(ControlState &S, const PlatformEntry &Entry);
/// Makes a newer configuration the current one.
void acceptConfiguration(ControlState &S, const Configuration &C);
/// Splits a configuration from the platform into items once the items of the
/// peers are known.
void gossipConfiguration(ControlState &S);
void hostsChanged(ControlState &S, const std::string &ItemValue);

// Peers: membership and items.

void startMembership(ControlState &S);
void tickPeers(ControlState &S);
void peerReceived(ControlState &S, const peer::v1::PeerMessage &Message,
                  PeerResponder Respond);
void putItems(ControlState &S, std::vector<Item> Items);
void applyMembership(ControlState &S, const MembershipActions &Actions);

// Groups: primaries and promotions.

/// Adopts a record that is newer than the known one and spreads it.
void acceptGroup(ControlState &S, const GroupRecord &R, bool Learned);
/// A record from the platform or a peer.
void groupReceived(ControlState &S, const GroupRecord &R);
void tickGroups(ControlState &S);
/// Starts and ends the state machines after a change of the view.
void configureGroups(ControlState &S);
void stepGroup(ControlState &S, const std::string &Database,
               const FailoverEvent &Event);
/// The platform became reachable or unreachable.
void stepAllGroups(ControlState &S, const FailoverEvent &Event);
void voteRequested(ControlState &S, const peer::v1::VoteRequest &Request,
                   const PeerResponder &Respond);
std::string groupKey(const std::string &Database);
std::string groupItemValue(const GroupRecord &R, bool Learned);

// Upstreams: statuses and probes.

void tickProbes(ControlState &S);
void configureProbes(ControlState &S);
/// A status from a probe or the data path.
void statusObserved(ControlState &S, const std::string &Database,
                    const UpstreamStatus &Status);
/// A new connection was attempted.
void connectionAttempted(ControlState &S, const UpstreamId &Id, bool Opened);
void leavingReported(ControlState &S, const UpstreamId &Id, bool Leaving);

// View: ownership, snapshot and status.

void updateOwnership(ControlState &S);
void publish(ControlState &S);
operators::v1::StatusAnswer statusAnswer(const ControlState &S);
bool isLeaving(const ControlState &S, const Upstream &U);

/// Discards state that is older than a pause of this process.
void discardAfterPause(ControlState &S);

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_CONTROLSTATE_H
