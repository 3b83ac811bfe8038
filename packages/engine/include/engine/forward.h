/// \file
/// Statements that are run by another proxy of the failure domain: the owner
/// of their service. The owner decides like any proxy for its own statements;
/// which proxy owns a service is a matter of efficiency only. If the owner
/// fails, the next one in order runs the statements, or this proxy does. What
/// this proxy can't run because it doesn't reach the server is sent to a proxy
/// that may reach it.

#ifndef EELGRASSLOOM_ENGINE_FORWARD_H
#define EELGRASSLOOM_ENGINE_FORWARD_H

#include "engine/group.h"
#include "kernel/ownership.h"
#include "kernel/result.h"
#include <variant>

namespace eelgrassloom {

class Engine;

/// A registered proxy.
struct PeerInfo {
  ProxyId Id;
  /// IP:port of its datagrams and its streams; empty if unknown.
  std::string Address;
  std::string FailureDomain;
};

/// Ordered connection to another proxy that carries whole messages.
class PeerStream {
public:
  virtual ~PeerStream() = default;
  /// Handlers are called until close(), and never from inside of a call.
  virtual void start(std::function<void(std::string_view)> Received,
                     std::function<void()> Ended) = 0;
  virtual void send(std::string_view Message) = 0;
  virtual void close() = 0;
};

/// Opens a stream; the handler runs exactly once, with null after a failure.
using PeerDialer = std::function<void(
    const std::string &Address, Duration Timeout,
    std::function<void(std::shared_ptr<PeerStream>)> Opened)>;

/// A statement for the owner.
struct ForwardRequest {
  std::uint64_t Exchange = 0;
  JobKind Kind = JobKind::Autocommit;
  std::string Id;
  std::string Text;
  SessionId Session = 0;
  SessionState State;
  std::optional<PreparedStatement> Prepared;
  RouteConfig Route;
  bool Write = false;
  bool ReadOnly = false;
  bool Wrote = false;
  /// The owner's number of the open transaction; 0: none.
  std::uint64_t Transaction = 0;
  SessionCommit LastCommit;
  /// Time since the arrival of the statement and of its operation.
  Duration Age{0};
  Duration OperationAge{0};
};

/// Answer to a ForwardRequest.
struct ForwardAnswer {
  std::uint64_t Exchange = 0;
  ServerReply Reply;
  /// The transaction that stays open; 0: none.
  std::uint64_t Transaction = 0;
  std::uint64_t Epoch = 0;
  /// It did not run; the owner can't run it, another proxy may.
  bool Unservable = false;
};

/// The caller of a statement has gone.
struct ForwardCancel {
  std::uint64_t Exchange = 0;
};

struct ForwardRollBack {
  std::uint64_t Transaction = 0;
};

/// The owner takes no new statements because it stops.
struct ForwardLeaving {};

/// Asks whether the other side is alive; answered with Reply set.
struct ForwardPing {
  bool Reply = false;
};

/// Asks for the rules in force; the answer is StoredConfig.
struct ConfigRequest {};

/// The rules as they are stored.
struct StoredConfig {
  /// Revision in the store; 0: none.
  std::uint64_t Revision = 0;
  std::string Text;
};

/// Asks for the registered servers; the answer is ServersList.
struct ServersRequest {};

struct ServersList {
  /// Newest revision of an entry: lists with a higher one are newer.
  std::uint64_t Revision = 0;
  std::vector<ServerEntry> Servers;
};

using ForwardMessage =
    std::variant<ForwardRequest, ForwardAnswer, ForwardCancel, ForwardRollBack,
                 ForwardLeaving, ForwardPing, ConfigRequest, StoredConfig,
                 ServersRequest, ServersList>;

std::string encode(const ForwardMessage &Message);
Result<ForwardMessage> decodeForward(std::string_view Bytes);

/// Connection to a proxy that runs statements for this one. A new object
/// replaces it after it has failed.
struct PeerConnection {
  PeerInfo Peer;
  std::shared_ptr<PeerStream> Stream;
  bool Dialing = false;
  bool Failed = false;
  bool Leaving = false;
  Instant NextDial;
  Instant LastContact;
  /// Start of the unanswered ping.
  std::optional<Instant> PingedAt;
  Instant LastPing;
  std::map<std::uint64_t, JobRef> Pending;
  /// Transactions that the other proxy holds for this one.
  std::size_t OpenTransactions = 0;
  /// Services that it could not run recently.
  std::map<std::string, Instant, std::less<>> AvoidUntil;
};

struct ForwarderOptions {
  Duration DialTimeout = std::chrono::milliseconds(300);
  Duration RedialDelay = std::chrono::milliseconds(400);
  /// A link with statements in progress that was silent for this long is
  /// pinged.
  Duration PingInterval = std::chrono::milliseconds(100);
  /// Without an answer to a ping the link has failed after this time.
  Duration PingTimeout = std::chrono::milliseconds(200);
  /// Interval of pings of a link that only holds transactions.
  Duration IdlePingInterval = std::chrono::milliseconds(1000);
  /// The owner gives up what it holds for a silent proxy after this time.
  Duration PeerTimeout = std::chrono::milliseconds(3500);
  /// A service that an owner could not run is not sent to it for this time.
  Duration AvoidTime = std::chrono::milliseconds(500);
  /// An unused link to another failure domain is closed after this time.
  Duration FallbackIdleTimeout = std::chrono::seconds(5);
  /// An answer may arrive this much after the timeout of its statement.
  Duration AnswerSlack = std::chrono::milliseconds(200);
};

/// Not copyable: links refer to it.
class StatementForwarder {
public:
  /// \p SessionEngine and what \p Dial uses outlive it.
  static std::unique_ptr<StatementForwarder> create(ProxyId Self,
                                                    std::string FailureDomain,
                                                    Engine &SessionEngine,
                                                    PeerDialer Dial);

  void setPeers(const std::vector<PeerInfo> &Registered);
  /// This proxy is the first owner of the service in its failure domain.
  bool owns(std::string_view Service) const;

  /// Sends a statement to the owner. False: it must run here.
  bool forward(const JobRef &J);
  /// Sends a statement that can't run here to any other proxy. Failure pattern:
  /// a primary that only some proxies can reach. False: nobody is known that
  /// may run it.
  bool forwardToFallback(const JobRef &J);
  void cancel(const JobRef &J);
  void rollBack(const PinnedConnection &Pinned);

  /// Another proxy has connected to this one.
  void accept(std::shared_ptr<PeerStream> Stream);
  /// Other proxies that ask for rules or servers get these.
  void setStateProviders(std::function<StoredConfig()> Config,
                         std::function<ServersList()> Servers) {
    CurrentConfig = std::move(Config);
    CurrentServers = std::move(Servers);
  }
  /// Tells the other proxies to send no more statements.
  void leave();
  /// Statements or transactions of other proxies are in progress here.
  bool servesPeers() const;
  /// No statement of this proxy is in progress at another one.
  bool nothingPending() const;

  /// Runs timeouts; called every TickInterval.
  void tick();

private:
  /// What this proxy runs for another one.
  struct PeerClient {
    std::uint64_t Number = 0;
    std::shared_ptr<PeerStream> Stream;
    Instant LastContact;
    std::map<std::uint64_t, JobRef> Running;
    std::map<std::uint64_t, PinnedConnection> Transactions;
    /// Service of each transaction.
    std::map<std::uint64_t, std::string> Services;
  };
  using PeerConnectionRef = std::shared_ptr<PeerConnection>;
  using PeerClientRef = std::shared_ptr<PeerClient>;

  StatementForwarder(ProxyId Self, std::string FailureDomain,
                     Engine &SessionEngine, PeerDialer Dial)
      : Self(std::move(Self)), FailureDomain(std::move(FailureDomain)),
        SessionEngine(SessionEngine), Dial(std::move(Dial)) {}

  // Statements of this proxy.
  const std::vector<ProxyId> &ownerOrder(std::string_view Service) const;
  /// Proxies of all failure domains that may run what this one can't.
  const std::vector<ProxyId> &fallbackOrder(std::string_view Service);
  PeerConnectionRef choose(std::string_view Service);
  PeerConnectionRef chooseFrom(const std::vector<ProxyId> &Order,
                               std::string_view Service);
  void sendTo(const PeerConnectionRef &Connection, const JobRef &J);
  bool usable(const PeerConnectionRef &Connection, std::string_view Service);
  void dial(const PeerConnectionRef &Connection);
  void handleDialResult(const PeerConnectionRef &Connection,
                        std::shared_ptr<PeerStream> Stream);
  void handleOwnerMessage(const PeerConnectionRef &Connection,
                          std::string_view Bytes);
  void handleAnswer(const PeerConnectionRef &Connection, ForwardAnswer Answer);
  void finish(const JobRef &J, JobResult Result);
  void handleNoAnswer(const JobRef &J);
  void fail(const PeerConnectionRef &Connection, std::string_view Reason);
  void checkConnection(const PeerConnectionRef &Connection, Instant Now);
  void expire(const JobRef &J);

  // Statements of other proxies.
  void handleClientMessage(const PeerClientRef &Client, std::string_view Bytes);
  void runForwarded(const PeerClientRef &Client, ForwardRequest Message);
  void sendAnswer(const PeerClientRef &Client, std::uint64_t Exchange,
                  std::uint64_t Transaction, const std::string &Service,
                  JobResult Result);
  void cancelForwarded(const PeerClientRef &Client, std::uint64_t Exchange);
  void rollBackForwarded(const PeerClientRef &Client,
                         std::uint64_t Transaction);
  void drop(const PeerClientRef &Client);

  const ProxyId Self;
  const std::string FailureDomain;
  Engine &SessionEngine;
  PeerDialer Dial;
  ForwarderOptions Options;
  OwnerTable Table;
  std::map<ProxyId, PeerInfo> RegisteredPeers;
  mutable std::map<std::string, std::vector<ProxyId>, std::less<>> OwnerOrders;
  std::map<std::string, std::vector<ProxyId>, std::less<>> FallbackOrders;
  std::map<ProxyId, PeerConnectionRef> Connections;
  std::set<PeerClientRef> Clients;
  std::function<StoredConfig()> CurrentConfig;
  std::function<ServersList()> CurrentServers;
  std::uint64_t NextExchange = 1;
  std::uint64_t NextTransaction = 1;
  std::uint64_t NextPeer = 1;
  Instant NextPreconnect;
  Instant LastTick;
  bool Stopping = false;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_ENGINE_FORWARD_H
