/// \file
/// Datagrams between proxies: recent positions of primaries, checks of the
/// store that one proxy makes for others, and epochs that extend permissions
/// while the store can't be reached. A lost datagram costs nothing; the next
/// round replaces it.

#ifndef EELGRASSLOOM_CONTROL_PEERS_H
#define EELGRASSLOOM_CONTROL_PEERS_H

#include "engine/engine.h"
#include "kernel/isolation.h"
#include "kernel/leaseextension.h"
#include "kernel/promotion.h"
#include "kernel/result.h"
#include <random>

namespace eelgrassloom {

/// A position of a primary and its age when the answer was sent.
struct PeerPosition {
  std::string Service;
  std::uint64_t Epoch = 0;
  Position Committed;
  Duration Age{0};
};

/// A permission that the answering proxy holds, and the time that is left.
struct PeerLease {
  std::string Service;
  std::uint64_t Epoch = 0;
  Duration Remaining{0};
};

/// A group record and its revision in the store.
struct StoredRecord {
  PrimaryRecord Record;
  std::uint64_t Revision = 0;
};

/// What a proxy knows from its last check of the store.
struct StoreSummary {
  std::uint64_t ConfigRevision = 0;
  /// Start of the check.
  Instant PolledAt;
  /// Digest of the registered servers, and the newest revision of an entry.
  std::uint64_t ServersDigest = 0;
  std::uint64_t ServersRevision = 0;
};

struct PeerMessage {
  bool IsRequest = true;
  /// Only whether the other side answers is asked; the answer holds nothing
  /// else.
  bool IsPing = false;
  ProxyId From;
  std::uint64_t Exchange = 0;
  KnownEpochs Epochs;
  std::vector<PeerPosition> Positions;
  std::uint64_t ConfigRevision = 0;
  /// Time since the start of the sender's last check of the store.
  Duration PollAge{0};
  /// Time since a proxy of another failure domain has answered the sender.
  Duration CrossDomainContactAge{0};
  std::vector<PeerLease> Leases;
  std::uint64_t ServersDigest = 0;
  std::uint64_t ServersRevision = 0;
  /// In a question: digest of the group records that the asking proxy has.
  std::uint64_t RecordsDigest = 0;
  /// In an answer, if the digests differ, and in announcements. In a question:
  /// revoked records whose acknowledgement is asked for.
  std::vector<StoredRecord> Records;
};
std::string encode(const PeerMessage &Message);
Result<PeerMessage> decodePeerMessage(const std::string &Bytes);

using DatagramSender =
    std::function<void(const std::string &Address, const std::string &Bytes)>;

/// Answer of a proxy with its view of the store.
struct RelayedPoll {
  const PeerMessage &Answer;
  /// When it was asked.
  Instant SentAt;
  /// It checks the store for this failure domain.
  bool FromPoller = false;
};
using RelayedPollHandler = std::function<void(const RelayedPoll &Poll)>;

struct PeerOptions {
  /// Interval at which a checker is asked for its view of the store.
  Duration PollerRequestInterval = std::chrono::milliseconds(250);
  /// Interval at which positions are asked of one peer.
  Duration PositionInterval = std::chrono::milliseconds(350);
  /// Services whose newest position is younger need no question.
  Duration PositionAge = std::chrono::milliseconds(250);
  /// Interval of vouch rounds while the store does not answer.
  Duration ExtensionInterval = std::chrono::milliseconds(400);
};

/// Not copyable: the transport refers to it.
class Peers {
public:
  static std::unique_ptr<Peers>
  create(ProxyId Self, std::string FailureDomain, std::uint64_t Seed,
         Engine &SessionEngine, DatagramSender Send, Duration LeaseDuration);

  /// Registered proxies as read from the store by a call that began at
  /// \p ReadAt.
  void setPeers(std::vector<PeerInfo> Registered, Instant ReadAt);
  /// Epochs of this proxy, see KnownEpochs.
  void setEpochs(const KnownEpochs &Known) { OwnEpochs = Known; }
  void setStoreSummary(const StoreSummary &Next) { Summary = Next; }
  /// A newer record of a group.
  void setRecord(const StoredRecord &Record);
  /// Sends new records to the proxies of this failure domain, for which this
  /// proxy checks the store.
  void announce(const StoredRecord &Record);
  /// Whether answers of peers may extend a permission of this proxy.
  void
  extendIf(std::function<bool(const std::string &Service, std::uint64_t Epoch)>
               Check) {
    MayExtend = std::move(Check);
  }
  /// Called with the answers of proxies that were asked for their view of the
  /// store.
  void onRelayedPoll(RelayedPollHandler Handler) {
    RelayedPollCallback = std::move(Handler);
  }
  /// Called with records that other proxies have sent.
  void onRecord(std::function<void(const StoredRecord &)> Handler) {
    RecordCallback = std::move(Handler);
  }

  /// This proxy checks the store for others of its failure domain. Load
  /// pattern: calls to the store that grow with the number of proxies.
  bool isPoller() const;
  /// Proxies of other failure domains are registered.
  bool crossDomainPeersKnown() const { return CrossDomainPeersKnown; }
  /// When one of them last answered this proxy or its checker.
  Instant crossDomainContactAt() const { return CrossDomainContactAt; }

  /// Asks proxies to acknowledge revocations. Failure pattern: they have lost
  /// the store and can't write it there.
  void requestAcknowledgements(const std::set<ProxyId, std::less<>> &Of,
                               const std::vector<StoredRecord> &Revoked);
  /// Called with each answer of another proxy, for what it acknowledged.
  void onAnswer(std::function<void(const PeerMessage &)> Handler) {
    AnswerCallback = std::move(Handler);
  }

  /// Asks all registered proxies whether they answer at all.
  void pingAll();
  /// Empty if the proxy is not registered.
  std::string addressOf(const ProxyId &Id) const;
  /// When anything was last heard from a proxy.
  Instant lastContact(const ProxyId &Id) const;
  /// This proxy will leave: from now on its answers extend no permissions.
  void stopExtending() { Stopping = true; }
  /// Proxies whose questions were answered after \p Since.
  std::set<ProxyId, std::less<>> answeredSince(Instant Since) const;

  void received(const std::string &FromAddress, const std::string &Bytes);
  /// \p PollOverdue: the last check of the store, by this proxy or another one,
  /// is overdue. \p ExtendByQuorum: peers must be asked to extend the
  /// permissions.
  void tick(bool PollOverdue, bool ExtendByQuorum);

private:
  Peers(ProxyId Self, std::string FailureDomain, std::uint64_t Seed,
        Engine &SessionEngine, DatagramSender Send, Duration LeaseDuration)
      : Self(std::move(Self)), FailureDomain(std::move(FailureDomain)),
        Random(Seed), SessionEngine(SessionEngine), Send(std::move(Send)),
        LeaseDuration(LeaseDuration) {}

  void requestPositions(Instant Now);
  void requestFromPoller(Instant Now);
  /// Asks any proxy for its view of the store. Failure pattern: this proxy and
  /// the checkers of its failure domain have lost the store, others have not.
  void requestFromFallbacks(Instant Now);
  void sendRequest(const PeerInfo &Peer, std::uint64_t Exchange);
  /// Two questions to the checker were not answered.
  bool pollerTimedOut(Instant Now) const;
  void pruneContacts();
  void pingOtherDomains(Instant Now);
  std::string encodePing(bool IsRequest, std::uint64_t Exchange) const;
  void handlePingReply(const ProxyId &From);
  /// Null if it is not registered.
  const PeerInfo *findPeer(const ProxyId &Id) const;
  /// Sends to the other registered proxies that \p Wanted accepts.
  template <class Filter> void sendIf(const std::string &Bytes, Filter Wanted);
  void startRound(Instant Now);
  void answer(const std::string &Address, const PeerMessage &Request);
  void handleAnswer(const PeerMessage &Message);
  void handleRecords(const PeerMessage &Message);
  void takePositions(const PeerMessage &Message, Instant SentAt);
  const PeerInfo *randomPeer();

  const ProxyId Self;
  const std::string FailureDomain;
  std::mt19937_64 Random;
  Engine &SessionEngine;
  DatagramSender Send;
  const Duration LeaseDuration;
  PeerOptions Options;
  std::vector<PeerInfo> RegisteredPeers;
  Instant RegisteredPeersReadAt;
  KnownEpochs OwnEpochs;
  StoreSummary Summary;
  /// By service.
  std::map<std::string, StoredRecord, std::less<>> Records;
  std::uint64_t RecordsDigest = 0;
  std::map<ProxyId, Instant, std::less<>> LastContact;
  /// When a question of the proxy was last answered.
  std::map<ProxyId, Instant, std::less<>> AnsweredAt;
  RelayedPollHandler RelayedPollCallback;
  std::function<void(const StoredRecord &)> RecordCallback;
  std::function<void(const PeerMessage &)> AnswerCallback;
  std::function<bool(const std::string &, std::uint64_t)> MayExtend;
  /// Proxies of this failure domain that check the store for the others.
  std::vector<ProxyId> Pollers;
  std::uint64_t PollerExchange = 0;
  Instant PollerSentAt;
  Instant NextPollerRequest;
  Instant PollerContactAt;
  std::uint64_t FallbackExchange = 0;
  /// Asked again as long as its view is newer than that of this proxy.
  ProxyId FallbackPeer;
  Instant FallbackSentAt;
  Instant NextFallbackRequest;
  bool CrossDomainPeersKnown = false;
  bool Stopping = false;
  Instant CrossDomainContactAt;
  Instant NextPing;
  std::uint64_t NextExchange = 1;
  std::uint64_t PositionExchange = 0;
  Instant PositionSentAt;
  Instant NextPositions;
  ExtensionRound Round;
  Instant NextRound;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_PEERS_H
