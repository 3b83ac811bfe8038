/// \file
/// Forwards statements to the proxy of the failure domain that owns their
/// service, and runs the statements that other proxies forward to this one.
/// Used when a service has too many proxies for the slots and connections of
/// its servers. The owner treats a forwarded statement like one of its own
/// sessions; which proxy owns a service is a matter of efficiency only, so
/// proxies may disagree about it. If the owner fails, the next one in order
/// runs the statements, or this proxy does. A statement that this proxy can't
/// run because it can't reach the server is sent to a fallback proxy that may
/// reach it.

#ifndef EELGRASSLOOM_ENGINE_FORWARD_H
#define EELGRASSLOOM_ENGINE_FORWARD_H

#include "engine/group.h"
#include "kernel/homedomain.h"
#include "kernel/ownership.h"
#include "kernel/result.h"
#include "kernel/shutdown.h"
#include <variant>

namespace eelgrassloom {

class Engine;

/// A registered proxy, from its registration in the store.
struct PeerInfo {
  ProxyId Id;
  /// IP:port of its datagrams and its streams; empty if unknown.
  std::string Address;
  std::string FailureDomain;
  /// See LiveProxy::MilliCores.
  unsigned MilliCores = 0;

  bool operator==(const PeerInfo &) const = default;
};

/// Maximum length of an encoded message. The longest one is an answer with
/// 16 MiB of rows, which needs up to as many bytes again for their lengths. A
/// statement and a prepared text of 1 MiB each, with a session state of 4 MiB,
/// are shorter.
inline constexpr std::size_t MaxForwardBytes = std::size_t{36} << 20;

/// Ordered connection to another proxy that carries whole messages.
class PeerStream {
public:
  virtual ~PeerStream() = default;
  /// Starts to receive. \p Received gets each message; \p Ended is called when
  /// the connection ends. The handlers are called until close(), and never from
  /// inside of a call of this object.
  virtual void start(std::function<void(std::string_view)> Received,
                     std::function<void()> Ended) = 0;
  /// \p Message is at most MaxForwardBytes long.
  virtual void send(std::string_view Message) = 0;
  virtual void close() = 0;
  /// Number of received bytes, including those of an incomplete message.
  virtual std::uint64_t receivedBytes() const { return 0; }
};

/// Opens a stream; the handler runs exactly once, with null after a failure.
using PeerDialer = std::function<void(
    const std::string &Address, Duration Timeout,
    std::function<void(std::shared_ptr<PeerStream>)> Opened)>;

/// A statement that the receiver should run.
struct ForwardRequest {
  /// Number that the sender chooses and the answer repeats.
  std::uint64_t Exchange = 0;
  JobKind Kind = JobKind::Autocommit;
  std::string Id;
  std::string Text;
  SessionId Session = 0;
  /// Customer of the caller, empty if it has none, the hash of its key, and the
  /// version of the configuration by which the sender has checked the key.
  CustomerId Customer;
  std::uint64_t KeyHash = 0;
  std::uint64_t ConfigVersion = 0;
  SessionState State;
  std::optional<PreparedStatement> Prepared;
  RouteConfig Route;
  bool Write = false;
  bool ReadOnly = false;
  bool Wrote = false;
  /// The owner's number of the open transaction; 0: none.
  std::uint64_t Transaction = 0;
  SessionCommit LastCommit;
  /// Time since the arrival of the statement, of the operation that it belongs
  /// to, and of the first try of that operation, at the sender.
  Duration Age{0};
  Duration OperationAge{0};
  Duration FirstTryAge{0};
};

/// Answer to a ForwardRequest.
struct ForwardAnswer {
  std::uint64_t Exchange = 0;
  ServerReply Reply;
  /// Number of the transaction that is still open; 0: none.
  std::uint64_t Transaction = 0;
  std::uint64_t Epoch = 0;
  /// The statement did not run, because the owner can't run it; another proxy
  /// may.
  bool Unservable = false;
  /// See Job::ReachedServer. Proxies of the previous version do not send it.
  bool ReachedServer = true;
};

/// Gives up a statement whose caller has disconnected. There is no answer.
struct ForwardCancel {
  std::uint64_t Exchange = 0;
};

/// Rolls back an open transaction. There is no answer.
struct ForwardRollBack {
  std::uint64_t Transaction = 0;
};

/// The owner is stopping: it finishes open transactions and runs no new
/// statements.
struct ForwardLeaving {};

/// Checks whether the other proxy still answers; it answers with Reply set.
struct ForwardPing {
  bool Reply = false;
};

/// Requests the configuration in force; answered with StoredConfig.
struct ConfigRequest {};

/// The configuration as it is stored.
struct StoredConfig {
  /// Revision in the store; 0: none.
  std::uint64_t Revision = 0;
  std::string Text;
};

/// Requests the registered servers; answered with ServersList.
struct ServersRequest {};

struct ServersList {
  /// Highest revision of an entry; a list with a higher one is newer.
  std::uint64_t Revision = 0;
  std::vector<ServerEntry> Servers;
};

using ForwardMessage =
    std::variant<ForwardRequest, ForwardAnswer, ForwardCancel, ForwardRollBack,
                 ForwardLeaving, ForwardPing, ConfigRequest, StoredConfig,
                 ServersRequest, ServersList>;

/// Encodes a message for a PeerStream (MessagePack).
std::string encode(const ForwardMessage &Message);
/// Decodes a message; fails with findings if it is malformed.
Result<ForwardMessage> decodeForward(std::string_view Bytes);

/// Connection to a proxy that runs statements for this one, an owner or a
/// fallback proxy. After it has failed it is not used again; a new object
/// replaces it.
struct PeerConnection {
  PeerInfo Peer;
  std::shared_ptr<PeerStream> Stream;
  bool Dialing = false;
  bool Failed = false;
  /// The other proxy is stopping and gets no new statements.
  bool Leaving = false;
  Instant NextDial;
  Instant LastContact;
  /// Time of the ping that has not been answered yet.
  std::optional<Instant> PingedAt;
  Instant LastPing;
  /// An idle connection to another failure domain is kept until then.
  Instant KeptUntil;
  /// PeerStream::receivedBytes() when it was last checked.
  std::uint64_t ReceivedBytes = 0;
  /// Statements sent to the other proxy that have no answer yet, by exchange.
  std::map<std::uint64_t, JobRef> Pending;
  /// Open transactions of this proxy at the other one.
  std::size_t OpenTransactions = 0;
  /// Another connection has replaced this one, which is kept for the answers
  /// and the transactions that are open on it.
  bool Replaced = false;
  /// Services whose statements it could not run; they are not sent to it before
  /// this time.
  std::map<std::string, Instant, std::less<>> AvoidUntil;
};

struct ForwarderOptions {
  Duration DialTimeout = std::chrono::milliseconds(300);
  /// Pause after a failed dial or a failed connection.
  Duration RedialDelay = std::chrono::milliseconds(400);
  /// A connection with statements in progress is pinged after this time without
  /// a message from the peer.
  Duration PingInterval = std::chrono::milliseconds(100);
  /// If a ping is not answered within this time, the other proxy is slow or the
  /// connection is lost. A new connection replaces it, and statements that may
  /// run a second time are taken back.
  Duration PingTimeout = std::chrono::milliseconds(200);
  /// The connection has failed if a ping is not answered within this time. A
  /// proxy without processor time is silent for some tenths of a second and
  /// then answers everything.
  Duration FailureTimeout = std::chrono::milliseconds(1000);
  /// Ping interval of a connection that only holds open transactions.
  Duration IdlePingInterval = std::chrono::milliseconds(1000);
  /// The owner cancels the statements and rolls back the transactions of a
  /// proxy that was unresponsive for this long.
  Duration PeerTimeout = std::chrono::milliseconds(3500);
  /// After a proxy could not run a statement of a service, no statement of that
  /// service is sent to it for this time.
  Duration AvoidTime = std::chrono::milliseconds(500);
  /// An unused connection to another failure domain is closed after this time.
  Duration FallbackIdleTimeout = std::chrono::seconds(5);
  /// An answer of the owner is accepted for this long after the timeout of its
  /// statement.
  Duration AnswerSlack = std::chrono::milliseconds(200);
};

/// A transaction without a statement in progress, and how to end it.
struct EndableTransaction {
  RestingTransaction Resting;
  std::function<void(const CustomerId &For)> End;
};

/// Both sides of forwarding: sends statements of this proxy to other proxies
/// and runs statements of other proxies. Not copyable: connections refer to it.
class StatementForwarder {
public:
  /// \p SessionEngine and the objects that \p Dial refers to outlive the
  /// forwarder.
  static std::unique_ptr<StatementForwarder> create(ProxyId Self,
                                                    std::string FailureDomain,
                                                    Engine &SessionEngine,
                                                    PeerDialer Dial);

  /// All registered proxies, including this one. Connections to proxies that
  /// are no longer registered, or have another address, are closed.
  void setPeers(const std::vector<PeerInfo> &Registered);
  /// True if this proxy is the first owner of the service in its failure
  /// domain, or no proxy is registered there.
  bool owns(std::string_view Service) const;

  /// Forwards a statement to the owner of its service, or to the proxy that
  /// holds its transaction. Returns false if no owner can be used now; the
  /// statement must run here then.
  bool forward(const JobRef &J);
  /// Sends a statement that can't run here to a fallback proxy of any failure
  /// domain. Returns false if none can be used. Failure pattern: a primary that
  /// only some proxies can reach.
  bool forwardToFallback(const JobRef &J);
  /// Gives up a forwarded statement whose caller has disconnected.
  void cancel(const JobRef &J);
  /// Rolls back a transaction that another proxy holds.
  void rollBack(const PinnedConnection &Pinned);

  /// Takes over a connection that another proxy has opened to this one.
  void accept(std::shared_ptr<PeerStream> Stream);
  /// Sets the functions that answer ConfigRequest and ServersRequest of other
  /// proxies.
  void setStateProviders(std::function<StoredConfig()> Config,
                         std::function<ServersList()> Servers) {
    CurrentConfig = std::move(Config);
    CurrentServers = std::move(Servers);
  }
  /// Tells the connected proxies, and those that connect later, to send no more
  /// statements, because this proxy stops.
  void leave();
  /// Applies a phase of an orderly stop to the statements and transactions that
  /// this proxy runs for others; called in each tick after leave().
  void applyStop(StopPhase Phase);
  /// True if statements or transactions of other proxies are in progress here.
  bool servesPeers() const;
  /// The transactions of other proxies that this one holds at servers of the
  /// service and that have no statement in progress.
  std::vector<EndableTransaction> restingTransactions(std::string_view Service);
  /// True if no statement of this proxy is in progress at another one.
  bool nothingPending() const;

  /// Handles timeouts and pings, and connects to owners in advance; called
  /// every TickInterval.
  void tick();

private:
  /// An open transaction of another proxy.
  struct HeldTransaction {
    PinnedConnection Pinned;
    std::string Service;
    /// Time of the last answer.
    Instant LastUsed;
  };
  /// A connected proxy and what this proxy runs for it.
  struct PeerClient {
    std::uint64_t Number = 0;
    std::shared_ptr<PeerStream> Stream;
    Instant LastContact;
    /// PeerStream::receivedBytes() when it was last checked.
    std::uint64_t ReceivedBytes = 0;
    std::map<std::uint64_t, JobRef> Running;
    std::map<std::uint64_t, HeldTransaction> Transactions;
  };
  using PeerConnectionRef = std::shared_ptr<PeerConnection>;
  using PeerClientRef = std::shared_ptr<PeerClient>;

  StatementForwarder(ProxyId Self, std::string FailureDomain,
                     Engine &SessionEngine, PeerDialer Dial)
      : Self(std::move(Self)), FailureDomain(std::move(FailureDomain)),
        SessionEngine(SessionEngine), Dial(std::move(Dial)) {}

  // Statements of this proxy that others run.
  const std::vector<ProxyId> &ownerOrder(std::string_view Service) const;
  /// Proxies of all failure domains that may run what this one can't, in order:
  /// first the owners of the service in each failure domain.
  const std::vector<ProxyId> &fallbackOrder(std::string_view Service);
  /// Connection to the first usable owner; null if the statement must run
  /// here. Dials owners that are not connected.
  PeerConnectionRef chooseOwner(std::string_view Service);
  /// The same for a statement, whose customer may have its connections in
  /// another failure domain, see homeDomain(). If the owner there can't be
  /// used, the one of this failure domain runs the statement.
  PeerConnectionRef chooseOwnerOf(const Job &J);
  /// The owner in another failure domain, once it is connected.
  PeerConnectionRef chooseOwnerIn(std::string_view Domain,
                                  std::string_view Service);
  /// Connections that each owner of the service may open to a server.
  OwnerConnections ownerConnections(std::string_view Service) const;
  /// Connects to the owners that statements may need, and keeps the connections
  /// to those of other failure domains.
  void preconnect();
  PeerConnectionRef chooseConnection(const std::vector<ProxyId> &Order,
                                     std::string_view Service);
  /// Returns false if the statement is too long to be sent.
  bool sendTo(const PeerConnectionRef &Connection, const JobRef &J);
  void abortTransaction(const JobRef &J);
  bool usable(const PeerConnectionRef &Connection, std::string_view Service);
  void dial(const PeerConnectionRef &Connection);
  void handleDialResult(const PeerConnectionRef &Connection,
                        std::shared_ptr<PeerStream> Stream);
  void handleOwnerMessage(const PeerConnectionRef &Connection,
                          std::string_view Bytes);
  void handleAnswer(const PeerConnectionRef &Connection, ForwardAnswer Answer);
  void handleUnservable(const JobRef &J);
  void finish(const JobRef &J, JobResult Result);
  void handleNoAnswer(const JobRef &J);
  void rerun(const JobRef &J);
  void takeBack(const PeerConnectionRef &Connection);
  /// Lets a new connection take the place of this one.
  void replace(const PeerConnectionRef &Connection);
  void failConnection(const PeerConnectionRef &Connection,
                      std::string_view Reason);
  void checkConnection(const PeerConnectionRef &Connection, Instant Now);
  void expire(const JobRef &J);

  // Statements of other proxies that run here.
  void handleClientMessage(const PeerClientRef &Client, std::string_view Bytes);
  void runForwarded(const PeerClientRef &Client, ForwardRequest Message);
  bool lacksCustomer(const ForwardRequest &Message) const;
  void sendAnswer(const PeerClientRef &Client, std::uint64_t Exchange,
                  std::uint64_t Transaction, const std::string &Service,
                  JobResult Result);
  void cancelForwarded(const PeerClientRef &Client, std::uint64_t Exchange);
  void rollBackForwarded(const PeerClientRef &Client,
                         std::uint64_t Transaction);
  void dropClient(const PeerClientRef &Client);
  /// Numbers of the transactions of a proxy that have no statement in progress.
  static std::vector<std::uint64_t> unused(const PeerClient &Client);
  /// Ends a transaction and gives its place to the customer \p For.
  void endResting(const PeerClientRef &Client, std::uint64_t Transaction,
                  const CustomerId &For);
  /// Rolls back the transactions of a proxy that have no statement in progress.
  void endTransactions(const PeerClientRef &Client);
  /// Returns the statements that were not sent to a server yet, so that other
  /// proxies run them.
  void returnUnsent(const PeerClientRef &Client);

  const ProxyId Self;
  const std::string FailureDomain;
  Engine &SessionEngine;
  PeerDialer Dial;
  ForwarderOptions Options;
  OwnerTable Table;
  std::map<ProxyId, PeerInfo> RegisteredPeers;
  std::set<std::string> FailureDomains;
  mutable std::map<std::string, std::vector<ProxyId>, std::less<>> OwnerOrders;
  /// The first owner of each service in other failure domains, by failure
  /// domain and service.
  std::map<std::pair<std::string, std::string>, std::vector<ProxyId>,
           std::less<>>
      OtherOwners;
  std::map<std::string, std::vector<ProxyId>, std::less<>> FallbackOrders;
  std::map<ProxyId, PeerConnectionRef> Connections;
  std::set<PeerConnectionRef> ReplacedConnections;
  std::set<PeerClientRef> Clients;
  std::function<StoredConfig()> CurrentConfig;
  std::function<ServersList()> CurrentServers;
  std::uint64_t NextExchange = 1;
  std::uint64_t NextTransaction = 1;
  std::uint64_t NextClient = 1;
  Instant NextPreconnect;
  Instant LastTick;
  bool Stopping = false;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_ENGINE_FORWARD_H
