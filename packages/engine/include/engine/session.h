/// \file
/// One session of a caller: its variables, its prepared statements and its
/// transaction. Statements that need a server are run by the group of the
/// service that the database is routed to.

#ifndef EELGRASSLOOM_ENGINE_SESSION_H
#define EELGRASSLOOM_ENGINE_SESSION_H

#include "engine/group.h"
#include "kernel/resend.h"
#include <deque>

namespace eelgrassloom {

class Engine;

namespace detail {
/// Reason of refusals and rollbacks because of an orderly stop.
inline constexpr std::string_view StoppingReason = "the proxy stops";
/// Reason of the end of a transaction whose connection another customer needs.
inline constexpr std::string_view ConnectionNeededReason = "connection needed";
/// True for statements that a server runs.
bool isDataStatement(StatementKind K);
/// True for answers after which callers send the whole operation again.
bool keepsNothing(ReplyCode Code);
} // namespace detail

/// Why a session ends.
enum class SessionEnd : std::uint8_t {
  /// The caller has ended the session or closed its connection.
  CallerLeft,
  /// The connection has failed.
  ConnectionLost,
  /// The caller does not read its answers.
  UnreadAnswers,
  /// The caller was answered with an error after which the connection ends.
  Refused,
  /// The caller has not closed the connection after it was told that the
  /// session ends.
  CloseOverdue,
  /// The process ends.
  ProxyEnds,
};
inline constexpr std::array<std::string_view, 6> SessionEndNames = {
    "caller-left", "connection-lost", "unread-answers",
    "refused",     "close-overdue",   "proxy-ends"};
constexpr std::string_view name(SessionEnd E) {
  return SessionEndNames[static_cast<std::size_t>(E)];
}

/// What a caller wants to open.
struct SessionRequest {
  std::string Database;
  /// Identifies the customer of the caller. It is a secret, see CustomerConfig.
  std::string Key;
};

class Session;

/// The session that was opened, or why there is none.
struct SessionOpening {
  std::shared_ptr<Session> Opened;
  ReplyCode Refusal = ReplyCode::NoDatabase;
};

/// Receives the answers to the statements of a session.
using ReplySink = std::function<void(CallerReply)>;

/// Runs and answers the statements of one caller one after the other, in order.
class Session : public std::enable_shared_from_this<Session> {
public:
  static std::shared_ptr<Session> create(Engine &SessionEngine, SessionId Id,
                                         SessionRequest Request,
                                         ReplySink Reply);

  /// Queues a statement; its answer goes to the ReplySink.
  void submit(Statement S);
  /// Ends the session together with the connection of its caller: gives up the
  /// current statement, rolls the transaction back and discards waiting
  /// statements.
  void close(SessionEnd Reason);

  SessionId id() const { return Id; }
  /// No statement is in progress and no transaction is open.
  bool idle() const {
    return !Current && Queue.empty() && State == TransactionState::None;
  }
  /// Statements that were submitted and not answered.
  std::size_t unanswered() const { return Queue.size() + (Current ? 1 : 0); }
  /// An operation was refused because the proxy stops. The caller should send
  /// it again in a new session, which another proxy serves.
  bool refusedByStop() const { return RefusedByStop; }
  bool inTransaction() const { return State != TransactionState::None; }
  /// Time of the last answer.
  Instant idleSince() const { return IdleSince; }
  /// Logs and counts \p S, which is refused because the session has ended
  /// before it arrived. \p Reason is that of the end.
  void recordRefusal(const Statement &S, std::string_view Reason);
  /// Answers the statement in progress with what is known of it, because the
  /// process ends: not run if it was not sent, else an unknown outcome.
  void abandonStatement();
  /// Rolls back an open transaction because it was idle for too long.
  void endIdleTransaction();
  /// Rolls back an open transaction that has no statement in progress. The
  /// caller learns of it with the answer to its next statement. \p Reason is
  /// logged.
  void endTransaction(std::string_view Reason);
  /// The open transaction, if it has no statement in progress and this proxy
  /// holds its connection to a server of \p Service.
  std::optional<RestingTransaction>
  restingTransaction(std::string_view Service) const;
  /// Ends such a transaction and gives its place to the customer \p For. The
  /// caller learns of it as in endTransaction().
  void endRestingTransaction(const CustomerId &For);

private:
  Session(Engine &SessionEngine, SessionId Id, SessionRequest Request,
          ReplySink Reply)
      : SessionEngine(SessionEngine), Id(Id),
        Database(std::move(Request.Database)), Key(std::move(Request.Key)),
        Reply(std::move(Reply)) {}

  void processQueue();
  void handle(const Statement &S);
  /// Checks the key of the caller against the configuration in force. Answers
  /// \p S with an error and returns false if it may not run; an open
  /// transaction is rolled back then.
  bool authorize(const Statement &S);
  void begin(const Statement &S);
  void commit(const Statement &S);
  void rollBack();
  void updateState(const Statement &S);
  void runDataStatement(const Statement &S);
  bool fillCall(const Statement &S, Job &J);
  void run(const JobRef &J);
  /// True if the statement begins an operation whose number is limited.
  bool needsPermit(const Job &J) const;
  void requestPermit(const JobRef &J);
  /// Ends the statement that has no permission to begin its operation.
  void refuseOverLimit(const JobRef &J, Duration RetryAfter);
  /// Returns the permission of an operation that did not run.
  void giveBackPermit(const Job &J, const ServerReply &Reply);
  void handleResult(JobRef J, JobResult Result);
  void handleCommitResult(const std::string &Service, JobResult Result);
  void answer(CallerReply R);
  /// Remembers that the current operation was refused and nothing of it is
  /// kept, so that the caller will probably send it again.
  void noteRefusal(ReplyCode Code);
  /// Passes the answer of a server on to the caller.
  void passOn(ServerReply From);
  void answerOk();
  void answerError(ReplyCode Code, std::string Text);
  void dropTransaction();
  /// True if a transaction is open that has no statement in progress.
  bool rests() const {
    return State == TransactionState::Open && !Current && !EndedByProxy;
  }
  /// Logs the end of the transaction by the proxy and returns its connection.
  std::optional<PinnedConnection> takeTransaction(std::string_view Reason);
  bool resolveRoute();
  void refuseDatabase(const Statement &S);
  /// True if the stopping proxy begins no operation with such a statement.
  bool mustRefuse(StatementKind K) const;
  void refuseStopping(const Statement &S);
  /// Logs and counts a statement that was refused or cut short because the
  /// session ends.
  void logEnd(StatementOutcome Outcome, std::string_view Statement,
              std::string_view Reason, Duration Age);
  /// Logs that the current statement gets no answer.
  void logCut(SessionEnd Reason);

  Engine &SessionEngine;
  const SessionId Id;
  const std::string Database;
  const std::string Key;
  /// Customer of the current or the last operation; empty if it had none.
  CustomerId Customer;
  ReplySink Reply;
  SessionState CallerState;
  TransactionState State = TransactionState::None;
  bool ReadOnly = false;
  bool Wrote = false;
  /// The proxy has ended the transaction; the next statement of the session is
  /// answered with an error that says so, unless it is a rollback.
  bool EndedByProxy = false;
  std::optional<PinnedConnection> Pinned;
  RouteConfig Route;
  std::shared_ptr<Group> ServiceGroup;
  SessionCommits LastCommits;
  /// Arrival of the current operation: the transaction, or a single statement.
  Instant OperationStart;
  /// See Job::FirstTry.
  Instant FirstTry;
  std::optional<RefusedOperation> LastRefused;
  Instant Arrived;
  Instant IdleSince;
  std::deque<Statement> Queue;
  JobRef Current;
  bool Handling = false;
  bool Closed = false;
  bool RefusedByStop = false;
  /// Statements in the queue that were there when one was refused because the
  /// proxy stops.
  std::size_t QueuedAtRefusal = 0;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_ENGINE_SESSION_H
