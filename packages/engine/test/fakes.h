/// \file
/// Servers of one service on a paused clock, for tests of the engine.

#ifndef EELGRASSLOOM_ENGINE_TEST_FAKES_H
#define EELGRASSLOOM_ENGINE_TEST_FAKES_H

#include "engine/engine.h"
#include <deque>

namespace eelgrassloom::test {

/// What a call asks for, in words.
std::string textOf(const ServerCall &Call);

/// A server that runs statements in order and records them.
struct FakeServer {
  ServerEntry Entry;
  /// Answers to statements by text; others are answered with success.
  std::map<std::string, ServerReply> Answers;
  /// Statements are received but never answered.
  bool Unresponsive = false;
  bool RefusesConnections = false;
  Position Log{1, 10};
  std::vector<ServerCall> Received;
  std::size_t Handshakes = 0;

  std::size_t count(const std::string &Text) const {
    std::size_t N = 0;
    for (const ServerCall &Call : Received)
      N += textOf(Call) == Text ? 1 : 0;
    return N;
  }
};

/// Time, timers, servers and an engine with one route for each consistency.
class EngineFixture {
public:
  EngineFixture();

  FakeServer &server(const std::string &Id) { return Servers.at(Id); }
  /// Runs everything that is due, then advances the clock in small steps.
  void advance(Duration D);
  void run();
  void renewLeaseFor(Duration D);

  /// Opens a session whose answers are collected.
  std::shared_ptr<Session> open(const std::string &Database);
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

Statement read(const std::string &Id);
Statement write(const std::string &Id);
Statement simple(StatementKind Kind, const std::string &Text);

} // namespace eelgrassloom::test

#endif // EELGRASSLOOM_ENGINE_TEST_FAKES_H
