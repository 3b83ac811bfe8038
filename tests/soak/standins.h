/// \file
/// Stand-ins of the platform for the fault soak: a store, the database servers
/// of one service, and callers that check the replies they get. All of them run
/// in the soak's process and share one oracle; the proxies are real processes.

#ifndef EELGRASSLOOM_SOAK_STANDINS_H
#define EELGRASSLOOM_SOAK_STANDINS_H

#include "codec.h"
#include "keyvaluestore.h"
#include "timers.h"
#include <deque>
#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace eelgrassloom::soak {

using platform::error_code;
using platform::tcp;
/// Unique in a run; 0 stands for no commit.
using CommitId = std::uint64_t;

inline constexpr const char *ServiceName = "svc";

/// One committed write or transaction.
struct Commit {
  CommitId Id = 0;
  std::uint64_t Term = 0;
  /// Value by item.
  std::map<std::string, std::string> Writes;
  Instant At;
};

/// A violation of a guarantee.
struct Violation {
  /// Guarantee that is violated:
  /// - ONE: a promotion call carries a lower fencing token than the request
  ///   before it.
  /// - STALE: a read lacks a commit that it must include.
  /// - PINNED: a read runs under another session setting than its caller's.
  /// - UNASKED: a server gets a read with a request id that no caller sent.
  /// - MIXED: a caller gets a malformed reply, or one to another request.
  /// - TWICE: a write is applied more than once.
  /// - REFUSED: a write that was reported as failed takes effect.
  /// - CONFIG: a proxy applies a change of the configuration too late.
  /// - LOST: a proxy that stops in order ends a connection without an answer
  ///   to a request that the caller has sent on it.
  /// - CRASH: a proxy is ended by a signal other than SIGKILL.
  /// - RECOVER: no request succeeds at the end, after all faults have ended.
  std::string Kind;
  std::string Text;
  /// For STALE: the commit that the server's log lacked when it answered.
  CommitId Missing = 0;
};

/// What a read must return at least, recorded when the caller sends it.
struct ReadContext {
  /// When the operation that the read belongs to began.
  Instant Start;
  /// Staleness bound of the database.
  Duration Bound{0};
  /// Commits of the same session that the read must include.
  std::vector<CommitId> OwnCommits;
  /// Session setting under which the read must run.
  std::string SessionValue;
};

/// What happened to one attempted write, found by its unique value.
struct WriteOutcome {
  unsigned TimesApplied = 0;
  /// The caller was told that the write did not take effect.
  bool DefinitelyFailed = false;
};

/// Knowledge of one run that servers and callers share, and the violations
/// found with it.
struct Oracle {
  /// Commits that were reported to a caller as successful, and when.
  std::vector<std::pair<Instant, CommitId>> Acknowledged;
  /// Commits that a promotion discarded.
  std::set<CommitId> RolledBack;
  /// By request id.
  std::unordered_map<std::string, ReadContext> Reads;
  /// Violations in answers of servers, by signature. Each counts only if its
  /// answer reaches the caller as a success.
  std::unordered_map<std::string, Violation> PotentialViolations;
  /// Each answer of a server to a read, a write or a commit has a unique
  /// signature, by which a caller finds what the server did for this answer.
  std::unordered_map<std::string, CommitId> CommitOfSignature;
  /// By value.
  std::unordered_map<std::string, WriteOutcome> Writes;
  /// Requests that a server has received, by id: the proxy that sent them.
  std::unordered_map<std::string, std::string> Received;
  /// Proxies that were told to stop and had no fault since, by the port for
  /// callers: the time of the signal.
  std::map<std::uint16_t, Instant> StopRequestedAt;
  /// Proxies that were told to stop, also after other faults, by the port for
  /// callers.
  std::set<std::uint16_t> ToldToStop;
  std::vector<Violation> Violations;
  std::uint64_t NextCommit = 1;
  std::uint64_t NextSignature = 1;
  /// Requests by their result. An unknown one may or may not have taken effect.
  std::uint64_t Succeeded = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Unknown = 0;

  /// All violations, including those found in Writes, but without those about
  /// missing commits that a promotion rolled back.
  std::vector<Violation> remainingViolations() const;
};

/// Fault of the network in front of a database server.
enum class NetworkMode : std::uint8_t {
  Normal,
  /// Requests arrive, replies are dropped.
  DropReplies,
  /// Requests and replies are dropped.
  DropAll,
};

class Connection;

/// A database server.
class Server : public std::enable_shared_from_this<Server> {
public:
  Server(io_context &Loop, Oracle &TestOracle, std::string Id);

  void crash();
  void start();
  void resetConnections();
  Position position() const { return {Term, Log.size()}; }
  /// The server's entry in the store, as JSON.
  std::string entry() const;

  io_context &Loop;
  Oracle &TestOracle;
  const std::string Id;
  std::vector<Commit> Log;
  /// Ids of the commits in the log.
  std::unordered_set<CommitId> CommitIds;
  std::uint64_t Term = 1;
  bool IsPrimary = false;
  bool Up = false;
  bool Draining = false;
  NetworkMode Mode = NetworkMode::Normal;
  /// Number of requests that it can run at the same time, as its entry states.
  unsigned Slots = 4;
  /// Time that a request takes.
  Duration StatementTime = std::chrono::milliseconds(4);
  /// Age at which commits of the primary reach this replica.
  Duration Lag = std::chrono::milliseconds(20);
  /// When a former primary notices that a newer one was promoted and becomes a
  /// replica.
  Instant DemoteAt = Instant::max();
  std::uint16_t Port = 0;
  std::set<std::shared_ptr<Connection>> OpenConnections;

private:
  void accept();
  std::unique_ptr<tcp::acceptor> Acceptor;
};
using ServerRef = std::shared_ptr<Server>;

/// The three servers of the service, their replication and their promotion.
class ServerGroup {
public:
  ServerGroup(io_context &Loop, Oracle &TestOracle);

  /// Promotes the server after a delay; false if it is unknown or down.
  bool promote(const std::string &Id);
  /// Copies due commits to the replicas and demotes former primaries. Called
  /// periodically.
  void replicate();
  ServerRef find(const std::string &Id) const;

  std::vector<ServerRef> Members;

private:
  ServerRef primary() const;
  void follow(Server &Replica, const Server &Primary);
  io_context &Loop;
  Oracle &TestOracle;
};

/// A database that one version of the configuration adds and a later one
/// removes.
struct ProbeRoute {
  std::string Database;
  Instant AddedAt;
  /// Instant::max() until the database is removed.
  Instant RemovedAt = Instant::max();
};

/// The databases that changes of the configuration add and remove. Probes check
/// that proxies apply these changes in time.
class ProbeRoutes {
public:
  /// Adds a database, and removes the oldest one if there are then too many.
  void add(Instant At);
  /// Databases in the newest version of the configuration.
  std::vector<std::string> current() const;
  bool exists(const std::string &Database) const;
  /// Picks one of the latest databases, and whether a proxy that has applied
  /// all changes up to \p At must know it. None if either answer would be
  /// right.
  std::optional<std::pair<std::string, bool>> pick(Instant At,
                                                   std::mt19937_64 &Random);

private:
  std::vector<ProbeRoute> All;
};

/// A proxy's answer to the start of a session: it knows the database or not, or
/// there was another answer or none.
enum class StartResult : std::uint8_t { Known, Unknown, Other };
/// Starts a session for the database at the proxy with this port.
void probeDatabase(io_context &Loop, std::uint16_t Port,
                   const std::string &Database,
                   std::function<void(StartResult)> Done);

/// A caller that runs random operations in one session after the other. Each
/// session is opened at a random proxy.
class Caller : public std::enable_shared_from_this<Caller> {
public:
  Caller(io_context &Loop, Oracle &TestOracle, unsigned Number,
         std::vector<std::uint16_t> Ports, std::uint64_t Seed);
  void run();
  void stop() { Stopped = true; }

private:
  struct Request {
    std::string Id;
    /// Statement as it is sent.
    std::string Text;
    /// Value written or set; else empty.
    std::string Value;
    /// Its success means that a commit was acknowledged.
    bool Commits = false;
    bool Reads = false;
  };
  void connect();
  void nextOperation();
  void sendNext();
  void read();
  void handleReply(const ServerReply &Reply);
  /// Handles an error without a request, which announces the end of the
  /// session.
  void handleAnnouncedEnd(ReplyCode Code);
  void handleDisconnect();
  void recordSuccess(const Request &R, const ServerReply &Reply);
  void recordFailure(const Request &R, const ServerReply &Reply);
  /// Records that the proxy, which was told to stop at \p StopRequestedAt, has
  /// ended the connection without an answer to \p R.
  void recordLoss(const Request &R, Instant StopRequestedAt);
  std::string newRequestId();

  io_context &Loop;
  Oracle &TestOracle;
  const unsigned Number;
  std::vector<std::uint16_t> Ports;
  /// Port of the current proxy.
  std::uint16_t Port = 0;
  std::mt19937_64 Random;
  tcp::socket Socket;
  platform::asio::steady_timer Timer;
  platform::ReplyDecoder Decoder;
  std::array<char, 4096> Input{};
  std::string Output;
  std::string Database;
  std::string SessionValue;
  Instant OperationStart;
  /// When the request in progress was sent.
  Instant SentAt;
  std::deque<Request> Requests;
  std::optional<Request> Pending;
  /// Values that the operation in progress has written. If one of its requests
  /// definitely fails, none of them may take effect.
  std::vector<std::string> UncommittedValues;
  std::vector<CommitId> OwnCommits;
  /// Whether the proxy has answered the start of the session.
  bool Started = false;
  bool Stopped = false;
  std::uint64_t Count = 0;
};

} // namespace eelgrassloom::soak

#endif // EELGRASSLOOM_SOAK_STANDINS_H
