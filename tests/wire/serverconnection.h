/// \file
/// One connection of a proxy to a server of the wire test.

#ifndef EELGRASSLOOM_WIRE_SERVERCONNECTION_H
#define EELGRASSLOOM_WIRE_SERVERCONNECTION_H

#include "server.h"

namespace eelgrassloom::wiretest {

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(Server &Parent, tcp::socket Socket)
      : Parent(Parent), Socket(std::move(Socket)) {}

  void read();

private:
  struct PreparedStatement {
    bool Writes = false;
    std::string Shape;
  };

  void close();
  void processNext();
  void run(const std::string &Line);
  void start(std::string_view Rest);
  void runOwn(std::string_view Text);
  void runSetup(std::string_view Word, std::string_view Rest);
  void runData(Statement &S, std::string_view Text);
  /// Fails a check if the statement differs from what the caller has sent.
  void checkText(const Statement &S, std::string_view Text);
  /// Fails a check if the statement runs in the wrong transaction or with wrong
  /// values of the session.
  void checkSession(const Statement &S);
  /// Fails a check if the connection belongs to another customer than the one
  /// that holds the key of the caller.
  void checkCustomer(const Statement &S);
  void answerData(Statement &S);
  void applyWrites(const StatementRef &S);
  void commit();
  void finishTransaction();
  /// Completes \p A with state and position.
  Answer completed(Answer A) const;
  void answer(Answer A, std::optional<std::chrono::milliseconds> RepeatAfter,
              bool SingleBytes = false);
  void answerOwn(Answer A);
  void answerError(std::string_view Code);
  void send(const std::string &Bytes, bool SingleBytes);

  Server &Parent;
  tcp::socket Socket;
  std::array<char, 65536> Buffer{};
  LineReader Input;
  std::deque<std::string> Lines;
  bool Busy = false;
  /// Customer, or name of the proxy, from START.
  std::string ClientName;
  std::map<std::string, std::string> Values;
  std::map<std::string, PreparedStatement> Prepared;
  bool InTransaction = false;
  bool ReadOnly = false;
  bool Failed = false;
  /// Transaction of the caller that has run a statement in the open one.
  unsigned Transaction = 0;
  std::vector<StatementRef> Pending;
};

} // namespace eelgrassloom::wiretest

#endif // EELGRASSLOOM_WIRE_SERVERCONNECTION_H
