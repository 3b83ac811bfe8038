/// \file
/// The callers of the soak, which check the replies that they get.

#ifndef EELGRASSLOOM_SOAK_CALLERS_H
#define EELGRASSLOOM_SOAK_CALLERS_H

#include "oracle.h"
#include "protocol.h"
#include <deque>

namespace eelgrassloom::soak {

/// A caller that runs random operations in one session after the other. Each
/// session is opened at a random proxy.
class Caller : public std::enable_shared_from_this<Caller> {
public:
  Caller(io_context &Loop, Oracle &TestOracle, unsigned Number,
         std::vector<std::uint16_t> Ports, std::uint64_t Seed);
  void run();
  void stop() { Stopped = true; }

private:
  enum class RequestKind : std::uint8_t {
    /// Begin and end of transactions.
    Control,
    Read,
    Write,
    Set,
    Prepare,
    Deallocate,
  };
  struct Request {
    std::string Id;
    /// Statement as it is sent.
    std::string Text;
    /// Value written or set; else empty.
    std::string Value;
    /// Its success means that a commit was acknowledged.
    bool Commits = false;
    bool Reads = false;
    RequestKind Kind = RequestKind::Control;
    /// Name of the value or of the prepared statement.
    std::string Name = {};
    /// What PREPARE prepares.
    PreparedStatement Prepared = {};
    /// EXEC: what follows the name.
    std::string Arguments = {};

    bool writes() const { return Kind == RequestKind::Write; }
    /// True if only a server may answer it with success.
    bool needsSignature() const { return Reads || Commits || writes(); }
  };
  void connect();
  void nextOperation();
  Request read(const std::string &Item);
  Request write(bool Commits);
  Request set();
  Request control(const std::string &Text, bool Commits = false);
  void addTransaction();
  void addPreparedOperation(bool MayWrite);
  std::string item();
  std::string newValue();
  /// Random bytes for the end of a field; often none.
  std::string fieldBytes();
  std::string lastFieldBytes();
  void recordSent(const Request &R);
  void handleBytes(std::string_view Bytes);
  /// Finds answers that no server has sent for \p R.
  void checkAnswer(const Request &R, const wiretest::Answer &Reply);
  void sendNext();
  /// Finds KEY violations in the answer to START.
  void checkStart(bool Accepted);
  void read();
  void handleReply(const wiretest::Answer &Reply);
  /// Handles an error without a request, which announces the end of the
  /// session.
  void handleAnnouncedEnd(const std::string &Code);
  void handleDisconnect();
  void recordSuccess(const Request &R, const wiretest::Answer &Reply);
  void recordFailure(const Request &R, const wiretest::Answer &Reply);
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
  /// Bytes of ids, names and values. Operations are drawn from Random.
  std::mt19937_64 Bytes;
  tcp::socket Socket;
  platform::asio::steady_timer Timer;
  wiretest::LineReader Lines;
  wiretest::AnswerReader Answers;
  std::array<char, 4096> Input{};
  std::string Output;
  std::string Database;
  std::string Key = "u";
  /// See SentStatement::Operation.
  std::uint64_t Operation = 0;
  std::map<std::string, std::string> SessionValues;
  /// Acknowledged prepared statements by name.
  std::map<std::string, PreparedStatement> Prepared;
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

#endif // EELGRASSLOOM_SOAK_CALLERS_H
