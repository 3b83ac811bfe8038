/// \file
/// One connection of a proxy to a database server of the soak.

#ifndef EELGRASSLOOM_SOAK_CONNECTION_H
#define EELGRASSLOOM_SOAK_CONNECTION_H

#include "protocol.h"
#include "standins.h"
#include <deque>

namespace eelgrassloom::soak {

class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(Server &Parent, tcp::socket Socket)
      : Parent(Parent.shared_from_this()), Socket(std::move(Socket)) {}

  void read();
  void close();

private:
  void processLines();
  void send(const std::string &Text);
  /// Sends an answer, completed with state and position. Sends it twice at
  /// times if the server repeats answers.
  void sendReply(wiretest::Answer A);
  void sendDone(std::vector<std::string> Rows = {});
  void sendError(const char *Code);
  /// Sends a success of a caller's statement with a new signature.
  void sendSigned(const std::string &Id, const std::string &Signature,
                  std::vector<std::string> Rows = {});
  std::string newSignature();

  void run(const std::string &Line);
  void start(std::string_view Rest);
  void runOwn(std::string_view Text);
  void begin(bool ReadOnly);
  void runStatement(const std::string &Id, std::string_view Text);
  /// Records a violation if the connection belongs to another customer than
  /// the arriving statement, and counts its operation.
  void checkCustomer(const std::string &Id);
  /// Records a violation if the statement differs from what its caller has
  /// sent. \p Name is the prepared statement that runs it, or empty.
  bool checkStatement(const std::string &Id, std::string_view Text,
                      const std::string &Name);
  /// Records what the answer violates if the caller receives it as a success.
  void checkSession(const std::string &Id, const std::string &Signature);
  void checkRead(const std::string &Id, const std::string &Signature);
  void readItem(const std::string &Id, const std::string &Item);
  void writeItem(const std::string &Id, std::string_view Arguments);
  void commit(const std::string &Id);

  ServerRef Parent;
  tcp::socket Socket;
  std::array<char, 4096> Buffer{};
  wiretest::LineReader Input;
  /// Customer, or name of the proxy, from START.
  std::string ClientName;
  /// Values that SET has stored.
  std::map<std::string, std::string> SessionValues;
  std::map<std::string, PreparedStatement> Prepared;
  /// Uncommitted writes.
  std::map<std::string, std::string> Pending;
  bool InTransaction = false;
};

} // namespace eelgrassloom::soak

#endif // EELGRASSLOOM_SOAK_CONNECTION_H
