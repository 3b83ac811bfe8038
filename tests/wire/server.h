/// \file
/// Database servers of the wire test: they record what they run, and answer as
/// the statement's plan says.

#ifndef EELGRASSLOOM_WIRE_SERVER_H
#define EELGRASSLOOM_WIRE_SERVER_H

#include "board.h"
#include "timers.h"
#include <deque>
#include <random>

namespace eelgrassloom::wiretest {

using platform::error_code;
using platform::tcp;
using platform::asio::io_context;
using soak::runAfter;

/// What the servers of a service have in common: the replicas hold each commit
/// of the primary at once.
struct Service {
  explicit Service(std::uint64_t Seed) : Random(Seed) {}

  /// Position of the log in term 1.
  std::uint64_t Commits = 1;
  std::mt19937_64 Random;
  /// Percentage of the answers to statements of the proxy itself that are sent
  /// twice.
  unsigned RepeatedOwnAnswers = 0;
  /// Names of the proxies that have sent statements of callers.
  std::set<std::string> Senders;
};

class Server {
public:
  Server(io_context &Loop, Board &Checks, Service &Shared, std::string Id,
         bool IsPrimary);

  /// The server's entry in the store, as JSON.
  std::string entry() const;

  io_context &Loop;
  Board &Checks;
  Service &Shared;
  const std::string Id;
  const bool IsPrimary;
  unsigned Slots = 8;

private:
  void accept();

  tcp::acceptor Acceptor;
};

} // namespace eelgrassloom::wiretest

#endif // EELGRASSLOOM_WIRE_SERVER_H
