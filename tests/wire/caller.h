/// \file
/// Callers of the wire test: they run sessions and check the answers.

#ifndef EELGRASSLOOM_WIRE_CALLER_H
#define EELGRASSLOOM_WIRE_CALLER_H

#include "script.h"
#include "timers.h"
#include <array>
#include <deque>
#include <functional>

namespace eelgrassloom::wiretest {

using platform::error_code;
using platform::tcp;
using platform::asio::io_context;
using soak::runAfter;

/// Ports of the proxies for callers, and the sessions that are left.
struct Work {
  Board &Checks;
  std::vector<std::uint16_t> Ports;
  std::deque<Script> Scripts;
};

/// Runs one session after the other until none is left.
class Caller : public std::enable_shared_from_this<Caller> {
public:
  Caller(io_context &Loop, Work &Todo, std::function<void()> Done)
      : Loop(Loop), Todo(Todo), Done(std::move(Done)), Socket(Loop),
        Timer(Loop) {}

  void run();

private:
  void connect();
  void read();
  void handleLine(const std::string &Line);
  void handleAnswer(const Answer &A);
  void sendNext();
  void send(const std::string &Line);
  /// Handles the end of the connection or a timeout.
  void handleLoss();
  /// Checks the error before the end of the connection.
  void checkRefusedStart();
  void waitFor(Duration D);

  io_context &Loop;
  Work &Todo;
  std::function<void()> Done;
  tcp::socket Socket;
  platform::asio::steady_timer Timer;
  std::array<char, 65536> Buffer{};
  LineReader Input;
  AnswerReader Reader;
  Script Current;
  std::size_t Next = 0;
  /// Number of connections that were opened.
  unsigned Connections = 0;
  StatementRef Pending;
  bool Started = false;
  bool Finishing = false;
};

} // namespace eelgrassloom::wiretest

#endif // EELGRASSLOOM_WIRE_CALLER_H
