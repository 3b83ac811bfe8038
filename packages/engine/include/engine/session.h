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
  static std::shared_ptr<Session> create(Engine &Owner, SessionId Id,
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
  Session(Engine &Owner, SessionId Id, std::string Database, ReplySink Reply)
      : Owner(Owner), Id(Id), Database(std::move(Database)),
        Reply(std::move(Reply)) {}

  void next();
  void handle(const Statement &S);
  void begin(const Statement &S);
  void commit(const Statement &S);
  void rollBack();
  void change(const Statement &S);
  void runData(const Statement &S);
  bool prepareCall(const Statement &S, Job &J);
  void run(const JobRef &J);
  void done(JobRef J, JobResult Result);
  void commitDone(JobResult Result);
  void answer(CallerReply R);
  /// Passes on what a server answered.
  void answerFrom(ServerReply From);
  void answerOk();
  void answerError(ReplyCode Code, std::string Text);
  void dropTransaction();
  bool resolveRoute();
  void refuseDatabase(const Statement &S);

  Engine &Owner;
  const SessionId Id;
  const std::string Database;
  ReplySink Reply;
  SessionState Values;
  TransactionState State = TransactionState::None;
  bool ReadOnly = false;
  bool Wrote = false;
  /// The transaction was ended by the proxy; its next statement is told so.
  bool EndedByProxy = false;
  std::optional<Pin> Held;
  RouteRule Route;
  std::shared_ptr<Group> Servers;
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
