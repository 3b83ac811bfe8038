/// \file
/// Datagrams between proxies. They carry recent positions of primaries, polls
/// of the store that one proxy relays to others, and the epochs that allow
/// lease extension while the store can't be reached. A lost datagram does no
/// harm, because the next round of requests replaces it.

#ifndef EELGRASSLOOM_CONTROL_PEERS_H
#define EELGRASSLOOM_CONTROL_PEERS_H

#include "engine/engine.h"
#include "kernel/isolation.h"
#include "kernel/leaseextension.h"
#include "kernel/promotion.h"
#include "kernel/result.h"
#include "kernel/storeera.h"
#include <random>

namespace eelgrassloom {

/// A position of a primary, and its age when the answer was sent.
struct PeerPosition {
  std::string Service;
  std::uint64_t Epoch = 0;
  Position Committed;
  Duration Age{0};
};

/// A primary lease that the answering proxy holds, and the time that remains of
/// it.
struct PeerLease {
  std::string Service;
  std::uint64_t Epoch = 0;
  Duration Remaining{0};
};

/// A primary record and its revision in the store.
struct StoredRecord {
  PrimaryRecord Record;
  std::uint64_t Revision = 0;
};

/// Result of the last poll of a proxy, as sent to its peers.
struct StoreSummary {
  /// Latest era of the store that the proxy has seen.
  StoreEra Era = 0;
  std::uint64_t ConfigRevision = 0;
  /// Start of the poll.
  Instant PolledAt;
  /// Digest of the list of registered servers, and the newest revision of an
  /// entry in it.
  std::uint64_t ServersDigest = 0;
  std::uint64_t ServersRevision = 0;
};

/// A datagram: a request, the answer to one, or an announcement of records.
struct PeerMessage {
  bool IsRequest = true;
  /// The message is a ping: it only asks whether the other proxy answers, and
  /// neither it nor its answer has further content.
  bool IsPing = false;
  ProxyId From;
  /// Chosen by the sender of a request and repeated in the answers to it; 0 in
  /// an announcement.
  std::uint64_t Exchange = 0;
  KnownEpochs Epochs;
  std::vector<PeerPosition> Positions;
  /// Latest era of the store that the sender has seen.
  StoreEra Era = 0;
  std::uint64_t ConfigRevision = 0;
  /// Time since the start of the sender's last poll.
  Duration PollAge{0};
  /// Time since a proxy of another failure domain last answered the sender.
  Duration CrossDomainContactAge{0};
  std::vector<PeerLease> Leases;
  std::uint64_t ServersDigest = 0;
  std::uint64_t ServersRevision = 0;
  /// In a request: digest of the primary records that the requesting proxy has.
  std::uint64_t RecordsDigest = 0;
  /// In an answer whose sender has other records than the requesting proxy, and
  /// in an announcement: records known to the sender. In a request: revoked
  /// records that the receiver is asked to acknowledge.
  std::vector<StoredRecord> Records;
};
std::string encode(const PeerMessage &Message);
/// Longest datagram that UDP carries over IPv4.
inline constexpr std::size_t MaxDatagramBytes = 65507;
/// Encodes a message into at most \p MaxBytes. If it is longer, records,
/// positions, leases and the answered proxies are left out from the end until
/// it fits: the receiver learns them from the store or another answer, and no
/// conclusion is drawn from a missing one. Each call keeps other positions.
std::string encodeWithin(PeerMessage Message, std::size_t MaxBytes,
                         std::mt19937_64 &Random);
Result<PeerMessage> decodePeerMessage(const std::string &Bytes);

using DatagramSender =
    std::function<void(const std::string &Address, const std::string &Bytes)>;

/// Answer of another proxy with the result of its last poll.
struct RelayedPoll {
  const PeerMessage &Answer;
  /// When the request was sent.
  Instant SentAt;
  /// The answering proxy is a poller of this failure domain.
  bool FromPoller = false;
};
using RelayedPollHandler = std::function<void(const RelayedPoll &Poll)>;

struct PeerOptions {
  /// Interval of requests to the poller.
  Duration PollerRequestInterval = std::chrono::milliseconds(250);
  /// Interval of position requests; each goes to one peer.
  Duration PositionInterval = std::chrono::milliseconds(350);
  /// No position is requested for services whose newest position is younger
  /// than this.
  Duration PositionAge = std::chrono::milliseconds(250);
  /// Interval of the rounds that request a lease extension from all peers while
  /// polls are overdue.
  Duration ExtensionInterval = std::chrono::milliseconds(400);
};

/// Exchanges datagrams with the registered proxies.
/// Not copyable: the transport refers to it.
class Peers {
public:
  static std::unique_ptr<Peers>
  create(ProxyId Self, std::string FailureDomain, std::uint64_t Seed,
         Engine &SessionEngine, DatagramSender Send, Duration LeaseDuration);

  /// Sets the registered proxies, as read from the store by a call that began
  /// at \p ReadAt.
  void setPeers(std::vector<PeerInfo> Registered, Instant ReadAt);
  /// Sets the epochs that this proxy reports to its peers, see KnownEpochs.
  void setEpochs(const KnownEpochs &Known) { OwnEpochs = Known; }
  void setStoreSummary(const StoreSummary &Next) { Summary = Next; }
  /// Sets a newer primary record, which answers send to peers that have other
  /// records.
  void setRecord(const StoredRecord &Record);
  /// Sends a new record to the proxies of this failure domain, for which this
  /// proxy is the poller.
  void announce(const StoredRecord &Record);
  /// Sets the check whether answers of peers may extend a primary lease of this
  /// proxy.
  void
  extendIf(std::function<bool(const std::string &Service, std::uint64_t Epoch)>
               Check) {
    MayExtend = std::move(Check);
  }
  /// Sets the handler of answers to requests for the last poll.
  void onRelayedPoll(RelayedPollHandler Handler) {
    RelayedPollCallback = std::move(Handler);
  }
  /// Sets the handler that is called with each list of registered proxies.
  void onPeers(std::function<void(const std::vector<PeerInfo> &)> Handler) {
    PeersCallback = std::move(Handler);
  }
  /// Sets the handler of records that other proxies have sent.
  void onRecord(std::function<void(const StoredRecord &)> Handler) {
    RecordCallback = std::move(Handler);
  }

  /// True if this proxy polls the store for the others of its failure domain.
  /// With one poller a domain, the calls to the store don't grow with the
  /// number of proxies.
  bool isPoller() const;
  /// True if this proxy is the poller or the poller has answered recently.
  bool pollerAnswers() const;
  /// True if proxies of other failure domains are registered.
  bool crossDomainPeersKnown() const { return CrossDomainPeersKnown; }
  /// When one of them last answered this proxy or its poller.
  Instant crossDomainContactAt() const { return CrossDomainContactAt; }

  /// Asks the proxies \p Of to acknowledge the revocations \p Revoked. Needed
  /// for proxies that can't reach the store and so can't write their
  /// acknowledgements there.
  void requestAcknowledgements(const std::set<ProxyId, std::less<>> &Of,
                               const std::vector<StoredRecord> &Revoked);
  /// Sets the handler that is called with each answer of another proxy, to take
  /// the epochs that the other proxy has acknowledged.
  void onAnswer(std::function<void(const PeerMessage &)> Handler) {
    AnswerCallback = std::move(Handler);
  }

  /// Pings the registered proxies that have sent nothing since \p Since.
  void pingSilent(Instant Since);
  /// Requests the last poll of the poller before the interval has passed, if
  /// the last request was answered.
  void askPollerAgain();
  /// Returns an empty string if the proxy is not registered.
  std::string addressOf(const ProxyId &Id) const;
  /// When the last message from the proxy was received; the zero time if none
  /// was.
  Instant lastContact(const ProxyId &Id) const;
  /// From now on the answers of this proxy extend no primary leases, because it
  /// is shutting down.
  void stopExtending() { Stopping = true; }
  /// Proxies whose requests this one has answered at \p Since or later.
  std::set<ProxyId, std::less<>> answeredSince(Instant Since) const;

  void received(const std::string &FromAddress, const std::string &Bytes);
  /// Runs the timers. \p PollOverdue: the last answered poll, by this proxy or
  /// relayed, is overdue. \p ExtendByQuorum: request a lease extension from all
  /// peers.
  void tick(bool PollOverdue, bool ExtendByQuorum);

private:
  Peers(ProxyId Self, std::string FailureDomain, std::uint64_t Seed,
        Engine &SessionEngine, DatagramSender Send, Duration LeaseDuration)
      : Self(std::move(Self)), FailureDomain(std::move(FailureDomain)),
        Random(Seed), SessionEngine(SessionEngine), Send(std::move(Send)),
        LeaseDuration(LeaseDuration) {}

  /// Requests positions from one peer if a service that is used here has no
  /// recent one.
  void requestPositions(Instant Now);
  void requestFromPoller(Instant Now);
  /// Requests the last poll of any other proxy. Needed when this proxy and the
  /// pollers of its failure domain can't reach the store but other proxies can.
  void requestFromFallbacks(Instant Now);
  void sendRequest(const PeerInfo &Peer, std::uint64_t Exchange);
  /// No answer to two requests to the poller.
  bool pollerTimedOut(Instant Now) const;
  void pruneContacts();
  void pingOtherDomains(Instant Now);
  std::string encodePing(bool IsRequest, std::uint64_t Exchange) const;
  void handlePingReply(const ProxyId &From);
  /// Returns null if the proxy is not registered.
  const PeerInfo *findPeer(const ProxyId &Id) const;
  /// Sends to the other registered proxies for which \p Accepts returns true.
  template <class Filter> void sendIf(const std::string &Bytes, Filter Accepts);
  /// Requests a lease extension from all peers. Does nothing if this proxy is
  /// not in the list of registered proxies, or if the list is too old for a
  /// quorum.
  void startRound(Instant Now);
  void answer(const std::string &Address, const PeerMessage &Request);
  void handleAnswer(const PeerMessage &Message);
  void handleRecords(const PeerMessage &Message);
  void takePositions(const PeerMessage &Message, Instant SentAt);
  /// Returns a random peer, of this failure domain if it has one; null if there
  /// are no peers.
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
  /// When this proxy last answered a request of the other one.
  std::map<ProxyId, Instant, std::less<>> AnsweredAt;
  RelayedPollHandler RelayedPollCallback;
  std::function<void(const StoredRecord &)> RecordCallback;
  std::function<void(const std::vector<PeerInfo> &)> PeersCallback;
  std::function<void(const PeerMessage &)> AnswerCallback;
  std::function<bool(const std::string &, std::uint64_t)> MayExtend;
  /// Pollers of this failure domain. The first one polls for the others; while
  /// it does not answer, requests also go to the second one.
  std::vector<ProxyId> Pollers;
  std::uint64_t PollerExchange = 0;
  Instant PollerSentAt;
  Instant NextPollerRequest;
  Instant PollerContactAt;
  std::uint64_t FallbackExchange = 0;
  /// The proxy that last answered a fallback request with a newer poll than the
  /// one known here; the next request goes to it alone.
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
