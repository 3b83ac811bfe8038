/// \file
/// Database servers of one service, as PROTOCOL.md describes them.

#ifndef REVIEW_DATABASE_H
#define REVIEW_DATABASE_H

#include "common.h"
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace review {

struct Commit {
  std::string Id; // Id of the request that committed.
  std::uint64_t Term = 0;
  std::map<std::string, std::string> Writes;
  Instant At;
};

/// What the servers of all services and the clients know together.
struct Oracle {
  struct Acknowledged {
    Instant At;
    std::string Service;
    std::string CommitId;
  };
  /// Commits whose success a client has got.
  std::vector<Acknowledged> Commits;
  /// Commits that a promotion rolled back.
  std::set<std::string> RolledBack;
  /// Requests of clients, by id: text and when the client sent the first byte.
  struct Sent {
    std::string Text;
    Instant At;
  };
  std::map<std::string, Sent> Requests;
  /// Reads that ran on a log without a commit that they must contain, by id.
  std::map<std::string, std::string> LackingReads;
  /// Commits that sessions have got acknowledged, by session, and the service
  /// that ran each commit.
  std::map<std::string, std::vector<std::string>> OwnCommits;
  std::map<std::string, std::string> ServiceOf;
  /// Reads that ran on a log without a commit of their session, by id.
  std::map<std::string, std::string> LackingOwn;
  /// Commits at a server whose successor led already, by request id.
  std::map<std::string, std::string> LateCommits;
  /// Broken rules, each with its rule in front.
  std::vector<std::string> Broken;
  std::uint64_t NextSignature = 1;
};

class Service;
class ServerConnection;

class Server : public std::enable_shared_from_this<Server> {
public:
  Server(asio::io_context &Loop, Service &Parent, std::string Id,
         std::string Zone);

  void start();
  void stop();
  /// The entry in the store.
  std::string entry() const;
  /// Position of what the server has applied.
  std::string position() const;
  bool primary() const { return IsPrimary; }

  asio::io_context &Loop;
  Service &Parent;
  const std::string Id;
  const std::string Zone;
  std::uint16_t Port = 0;
  std::vector<Commit> Log; // Received.
  std::size_t Applied = 0;
  std::uint64_t Term = 1;
  bool IsPrimary = false;
  bool Up = false;
  bool Draining = false;
  /// When the store has acknowledged that the server drains.
  Instant DrainingSince = Instant::max();
  Instant DemoteAt = Instant::max();
  std::int64_t Born = 0;
  std::set<std::shared_ptr<ServerConnection>> Connections;

private:
  void accept();
  tcp::acceptor Acceptor;
};
using ServerRef = std::shared_ptr<Server>;

/// The servers of one service and their replication.
class Service {
public:
  Service(asio::io_context &Loop, Oracle &Facts, std::string Name,
          Duration Lag);

  /// Time after which replicas apply what they have received.
  Duration Lag;

  ServerRef add(const std::string &Id, const std::string &Zone, bool Primary);
  ServerRef find(const std::string &Id) const;
  /// The server that leads the newest term.
  ServerRef leader() const;
  bool promote(const std::string &Id);
  void replicate();
  /// Time of the promotion to the newest term.
  Instant PromotedAt;

  asio::io_context &Loop;
  Oracle &Facts;
  const std::string Name;
  std::vector<ServerRef> Servers;
};

} // namespace review

#endif // REVIEW_DATABASE_H
