/// \file
/// Database servers of one service: the line protocol, replication with or
/// without a synchronous replica, and promotion.

#ifndef REVIEW_STANDIN_DATABASE_H
#define REVIEW_STANDIN_DATABASE_H

#include "common.h"
#include <map>
#include <set>
#include <vector>

namespace review {

struct Position {
  std::uint64_t Term = 0;
  std::uint64_t Number = 0;
};

class Service;
class ServerSession;

/// One server. Its log is a list of the request ids of committed writes.
class Server : public std::enable_shared_from_this<Server> {
public:
  Server(asio::io_context &Loop, Service &Parent, std::string Id,
         std::string Zone);

  /// Listens on the port that it had before, or on a free one.
  void start();
  /// Ends the process: connections are reset and new ones are refused.
  void crash();
  /// The server goes on, but nothing reaches it and nothing gets out.
  void goDark() { Dark = true; }
  /// It can be reached again; connections from before are gone.
  void returnFromDark();
  /// True if proxies and other servers reach it.
  bool reachable() const { return Up && !Dark; }
  Position position() const { return {Term, Log.size()}; }
  /// True if the log contains everything up to the position.
  bool contains(const Position &P) const;
  bool hasCommit(const std::string &Request) const {
    return Commits.count(Request) != 0;
  }
  /// The value of the server's entry in the store.
  std::string entry();

  asio::io_context &Loop;
  Service &Parent;
  const std::string Id;
  const std::string Zone;
  std::uint16_t Port = 0;
  bool Up = false;
  bool Dark = false;
  bool Primary = false;
  bool Draining = false;
  std::uint64_t Term = 1;
  /// Time that a commit takes from the primary to this replica.
  std::int64_t LagMs = 20;
  std::vector<std::string> Log;
  std::set<std::string> Commits;
  /// Size of the log at which each later term began.
  std::map<std::uint64_t, std::size_t> TermStart;
  std::set<std::shared_ptr<ServerSession>> Sessions;

private:
  void accept();
  std::unique_ptr<tcp::acceptor> Acceptor;
  std::uint64_t Seq = 0;
};
using ServerRef = std::shared_ptr<Server>;

/// The servers of one service.
class Service {
public:
  Service(asio::io_context &Loop, Record &Out, std::string Name)
      : Loop(Loop), Out(Out), Name(std::move(Name)) {}

  ServerRef add(const std::string &Id, const std::string &Zone,
                std::int64_t LagMs);
  ServerRef find(const std::string &Id) const;
  /// The up server that leads the newest term; null if there is none.
  ServerRef leader() const;
  /// Appends a commit to the primary's log. \p Done runs when it may be
  /// acknowledged; never if the server ends before.
  void commit(const ServerRef &Primary, const std::string &Request,
              std::function<void()> Done);
  /// The server leads the next term PromoteMs later with the log it then has.
  void promote(const ServerRef &Next);

  asio::io_context &Loop;
  Record &Out;
  const std::string Name;
  std::vector<ServerRef> Servers;
  unsigned SyncReplicas = 0;
  std::int64_t PromoteMs = 300;
  std::int64_t WorkMs = 10;
  /// Called when a server leads a new term.
  std::function<void(const ServerRef &)> Promoted;
  /// Called with the server and the request id when a read, a write or a commit
  /// reaches a server.
  std::function<void(const ServerRef &, const std::string &)> Reached;
  /// Called when a server runs a read.
  std::function<void(const ServerRef &, const std::string &)> ReadRuns;

private:
  void deliver(const ServerRef &Primary, std::uint64_t Term,
               const ServerRef &Replica, std::size_t Size);
  void demoteOthers(const ServerRef &Next);
};

} // namespace review

#endif // REVIEW_STANDIN_DATABASE_H
