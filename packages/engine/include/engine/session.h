/// \file
/// One session of a caller: its values, its prepared statements and its
/// transaction.

#ifndef EELGRASSLOOM_ENGINE_SESSION_H
#define EELGRASSLOOM_ENGINE_SESSION_H

#include "engine/group.h"
#include <deque>

namespace eelgrassloom {

class Engine;

using ReplySink = std::function<void(CallerReply)>;

/// Statements are answered one after the other, in order.
class Session : public std::enable_shared_from_this<Session> {
public:
  static std::shared_ptr<Session> create(Engine &SessionEngine, SessionId Id,
                                         std::string Database, ReplySink Reply);

  void submit(Statement S);
  /// The caller has gone: rolls back and gives everything up.
  void close();

  SessionId id() const { return Id; }
  /// No statement is in progress and no transaction is open.
  bool idle() const {
    return !Current && Queue.empty() && State == TransactionState::None;
  }
  bool inTransaction() const { return State != TransactionState::None; }
  Instant idleSince() const { return IdleSince; }
  /// Ends a transaction that has been idle for too long.
  void endIdleTransaction();
  /// Ends an open transaction because the process stops.
  void endTransaction(std::string_view Reason);

private:
  Session(Engine &SessionEngine, SessionId Id, std::string Database,
          ReplySink Reply)
      : SessionEngine(SessionEngine), Id(Id), Database(std::move(Database)),
        Reply(std::move(Reply)) {}

  void processQueue();
  void handle(const Statement &S);
  void begin(const Statement &S);
  void commit(const Statement &S);
  void rollBack();
  void updateState(const Statement &S);
  void runDataStatement(const Statement &S);
  bool fillCall(const Statement &S, Job &J);
  void run(const JobRef &J);
  void handleResult(JobRef J, JobResult Result);
  void handleCommitResult(JobResult Result);
  void answer(CallerReply R);
  /// Passes on what a server answered.
  void answerFrom(ServerReply From);
  void answerOk();
  void answerError(ReplyCode Code, std::string Text);
  void dropTransaction();
  bool resolveRoute();
  void refuseDatabase(const Statement &S);

  Engine &SessionEngine;
  const SessionId Id;
  const std::string Database;
  ReplySink Reply;
  SessionState CallerState;
  TransactionState State = TransactionState::None;
  bool ReadOnly = false;
  bool Wrote = false;
  /// The transaction was ended by the proxy; its next statement is told so.
  bool EndedByProxy = false;
  std::optional<PinnedConnection> Pinned;
  RouteConfig Route;
  std::shared_ptr<Group> ServiceGroup;
  SessionCommit LastCommit;
  /// Arrival of the current operation.
  Instant OperationStart;
  Instant Arrived;
  Instant IdleSince;
  std::deque<Statement> Queue;
  JobRef Current;
  bool Handling = false;
  bool Closed = false;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_ENGINE_SESSION_H
