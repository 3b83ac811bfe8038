/// \file
/// Fake servers of one service and an engine on a simulated clock, for tests of
/// the engine.

#ifndef EELGRASSLOOM_ENGINE_TEST_FAKES_H
#define EELGRASSLOOM_ENGINE_TEST_FAKES_H

#include "engine/engine.h"
#include <deque>

namespace eelgrassloom::test {

/// Text of a request as a server of the platform would receive it.
std::string textOf(const ServerCall &Call);

/// A server that runs requests in order and records them.
struct FakeServer {
  ServerEntry Entry;
  /// Answers to requests by textOf(); others are answered with success.
  std::map<std::string, ServerReply> Answers;
  /// Requests are recorded but never answered, and dials time out.
  bool Unresponsive = false;
  bool RefusesConnections = false;
  /// Time from a request to its answer.
  Duration AnswerTime{0};
  /// Connections have ended: requests are neither received nor answered.
  bool ConnectionsLost = false;
  Position Log{1, 10};
  std::vector<ServerCall> Received;
  std::size_t Handshakes = 0;
  /// Connections that were closed with an open transaction, which ends it.
  std::size_t ClosedInTransaction = 0;
  /// Customer of each dial.
  std::vector<CustomerId> Dialed;

  /// Number of received requests with this text.
  std::size_t count(const std::string &Text) const {
    std::size_t N = 0;
    for (const ServerCall &Call : Received)
      N += textOf(Call) == Text ? 1 : 0;
    return N;
  }
};

/// A simulated clock with timers, the servers p (primary), r1 and r2 of service
/// s, and an engine with one database for each read consistency: latest,
/// session and bounded. The engine holds the primary lease for 60 s.
class EngineFixture {
public:
  EngineFixture();

  FakeServer &server(const std::string &Id) { return Servers.at(Id); }
  /// Advances the clock in steps of 10 ms and runs what is due after each.
  void advance(Duration D);
  /// Runs what is due without advancing the clock.
  void run();
  /// Renews the primary lease of the current record.
  void renewLeaseFor(Duration D);

  /// Opens a session; all answers of all sessions are added to Replies.
  std::shared_ptr<Session> open(const std::string &Database);
  std::shared_ptr<Session> open(const std::string &Database,
                                const std::string &Key);
  std::vector<CallerReply> Replies;
  const CallerReply &last() const { return Replies.back(); }

  Instant Now{std::chrono::seconds(100)};
  RuntimeHooks Hooks;
  EventWriter Events;
  std::unique_ptr<Metrics> Counters;
  std::unique_ptr<Engine> SessionEngine;
  std::map<std::string, FakeServer> Servers;

private:
  friend class FakeConnection;
  struct Timer {
    Instant At;
    std::function<void()> Run;
  };
  std::deque<std::function<void()>> Ready;
  std::vector<Timer> Timers;
};

/// Statements with the texts "READ <id>" and "WRITE <id> x".
Statement read(const std::string &Id);
Statement write(const std::string &Id);
/// A statement with the id "i".
Statement simple(StatementKind Kind, const std::string &Text);

} // namespace eelgrassloom::test

#endif // EELGRASSLOOM_ENGINE_TEST_FAKES_H
