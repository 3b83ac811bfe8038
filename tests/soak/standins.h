/// \file
/// Stand-ins of the platform for the fault soak: a store, database servers of
/// one group, and callers that check what they see. All of them run in the
/// soak's process and share its knowledge; the proxies are real processes.

#ifndef EELGRASSLOOM_SOAK_STANDINS_H
#define EELGRASSLOOM_SOAK_STANDINS_H

#include "codec.h"
#include "net.h"
#include <deque>
#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace eelgrassloom::soak {

using platform::error_code;
using platform::tcp;
using platform::asio::io_context;
using CommitId = std::uint64_t;

inline constexpr const char *ServiceName = "svc";

/// One committed write or transaction.
struct Commit {
  CommitId Id = 0;
  std::uint64_t Term = 0;
  std::map<std::string, std::string> Writes;
  Instant At;
};

/// A violation that counts if its reply reached the caller as a success.
struct Violation {
  std::string Kind;
  std::string Text;
  /// STALE: the commit that the log lacked.
  CommitId Missing = 0;
};

/// What a read must have seen, known when the caller sent it.
struct ReadContext {
  Instant Start;
  Duration Bound{0};
  std::vector<CommitId> OwnCommits;
  std::string SessionValue;
};

/// What happened to one attempted write, by its unique value.
struct WriteOutcome {
  unsigned TimesApplied = 0;
  bool DefinitelyFailed = false;
};

/// Shared truth of one run.
struct Oracle {
  std::vector<std::pair<Instant, CommitId>> Acknowledged;
  std::set<CommitId> RolledBack;
  std::unordered_map<std::string, ReadContext> Reads;
  std::unordered_map<std::string, Violation> PotentialViolations;
  std::unordered_map<std::string, CommitId> CommitOfSignature;
  std::unordered_map<std::string, WriteOutcome> Writes;
  std::vector<Violation> Violations;
  std::uint64_t NextCommit = 1;
  std::uint64_t NextSignature = 1;
  std::uint64_t Succeeded = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Unknown = 0;

  /// Violations that remain when commits that a promotion rolled back are
  /// left out.
  std::vector<Violation> remainingViolations() const;
};

enum class NetworkMode : std::uint8_t {
  Normal,
  /// Requests arrive, answers are lost.
  DropReplies,
  /// Nothing passes.
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
  std::string entry() const;

  io_context &Loop;
  Oracle &TestOracle;
  const std::string Id;
  std::vector<Commit> Log;
  std::unordered_set<CommitId> CommitIds;
  std::uint64_t Term = 1;
  bool IsPrimary = false;
  bool Up = false;
  bool Draining = false;
  NetworkMode Mode = NetworkMode::Normal;
  Duration Lag = std::chrono::milliseconds(20);
  /// The newer primary is noticed at this time.
  Instant DemoteAt = Instant::max();
  std::uint16_t Port = 0;
  std::set<std::shared_ptr<Connection>> OpenConnections;

private:
  void accept();
  std::unique_ptr<tcp::acceptor> Acceptor;
};
using ServerRef = std::shared_ptr<Server>;

/// Three servers, their replication and their promotion.
class ServerGroup {
public:
  ServerGroup(io_context &Loop, Oracle &TestOracle);

  bool promote(const std::string &Id);
  void replicate();
  ServerRef find(const std::string &Id) const;

  std::vector<ServerRef> Members;

private:
  ServerRef primary() const;
  void follow(Server &Replica, const Server &Primary);
  io_context &Loop;
  Oracle &TestOracle;
};

enum class StoreMode : std::uint8_t {
  Normal,
  Unresponsive,
  Busy,
  DropResponses,
  Slow
};

/// The store, with one port for each proxy so that single proxies can be cut
/// off, and the promotion call.
class KeyValueStore {
public:
  KeyValueStore(io_context &Loop, ServerGroup &Group);

  std::uint16_t port(std::size_t Proxy);
  void put(const std::string &Key, const std::string &Value);
  void erase(const std::string &Key);
  void expire();
  /// Status and body, or status 0 for no answer.
  void handle(std::size_t Proxy, const std::string &Method,
              const std::string &Target, const std::string &Body,
              std::function<void(unsigned, std::string)> Done);

  /// Open connections of the proxy get no answer any more; new ones do.
  void hangConnections(std::size_t Proxy) { ++HangCounts[Proxy]; }
  unsigned hangCount(std::size_t Proxy) { return HangCounts[Proxy]; }

  StoreMode Mode = StoreMode::Normal;
  /// Proxies without answers from the store.
  std::set<std::size_t> PartitionedProxies;
  /// Proxies that the store turns away at once.
  std::set<std::size_t> RejectedProxies;
  std::vector<std::uint64_t> Tokens;
  std::vector<std::string> Problems;

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t LeaseId = 0;
  };
  void accept(std::size_t Proxy);
  std::string itemText(const std::string &Key, const Item &I) const;
  std::pair<unsigned, std::string> transact(const std::string &Body);
  std::pair<unsigned, std::string> run(const std::string &Method,
                                       const std::string &Target,
                                       const std::string &Body);
  void watch(const std::string &Prefix, std::uint64_t After, Instant Until,
             std::function<void(unsigned, std::string)> Done);

  io_context &Loop;
  ServerGroup &Group;
  std::vector<std::unique_ptr<tcp::acceptor>> Acceptors;
  std::map<std::string, Item> Items;
  std::uint64_t Revision = 10;
  std::uint64_t NextLease = 1;
  std::map<std::size_t, unsigned> HangCounts;
  std::map<std::uint64_t, std::pair<Instant, Duration>> Leases;
};

/// A database that exists from one version of the rules to another one.
struct ProbeRoute {
  std::string Database;
  Instant AddedAt;
  /// Not yet removed: the largest instant.
  Instant RemovedAt = Instant::max();
};

/// Databases that are added and removed, and whether a proxy must know them.
class ProbeRoutes {
public:
  void add(Instant At);
  /// Databases of the newest version.
  std::vector<std::string> current() const;
  bool exists(const std::string &Database) const;
  /// A database to ask for, and whether it must be known; none if no change is
  /// old enough.
  std::optional<std::pair<std::string, bool>> pick(Instant At,
                                                   std::mt19937_64 &Random);

private:
  std::vector<ProbeRoute> All;
};

/// What a proxy answers to the start of a session.
enum class StartResult : std::uint8_t { Known, Unknown, Other };
void probeDatabase(io_context &Loop, std::uint16_t Port,
                   const std::string &Database,
                   std::function<void(StartResult)> Done);

/// One caller: a session that is opened again, at any proxy, when it ends.
class Caller : public std::enable_shared_from_this<Caller> {
public:
  Caller(io_context &Loop, Oracle &TestOracle, unsigned Number,
         std::vector<std::uint16_t> Ports, std::uint64_t Seed);
  void run();
  void stop() { Stopped = true; }

private:
  struct Request {
    std::string Id;
    std::string Text;
    std::string Value;
    bool Commits = false;
    bool Reads = false;
  };
  void connect();
  void nextOperation();
  void sendNext();
  void read();
  void replied(const ServerReply &Reply);
  void ended();
  void recordSuccess(const Request &R, const ServerReply &Reply);
  void recordFailure(const Request &R, const ServerReply &Reply);
  std::string newId();

  io_context &Loop;
  Oracle &TestOracle;
  const unsigned Number;
  std::vector<std::uint16_t> Ports;
  std::mt19937_64 Random;
  tcp::socket Socket;
  platform::asio::steady_timer Timer;
  platform::ReplyDecoder Decoder;
  std::array<char, 4096> Input{};
  std::string Output;
  std::string Database;
  std::string SessionValue;
  Instant OperationStart;
  std::deque<Request> Requests;
  std::optional<Request> Pending;
  /// Values of the transaction in progress.
  std::vector<std::string> UncommittedValues;
  std::vector<CommitId> OwnCommits;
  bool Started = false;
  bool Stopped = false;
  std::uint64_t Count = 0;
};

Instant now();
/// Runs a function after a time.
void runAfter(io_context &Loop, Duration D, std::function<void()> Run);

} // namespace eelgrassloom::soak

#endif // EELGRASSLOOM_SOAK_STANDINS_H
