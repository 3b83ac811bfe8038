/// \file
/// What callers have sent and servers have run and answered, by the id of the
/// statement, and the checks that compare both sides.

#ifndef EELGRASSLOOM_WIRE_BOARD_H
#define EELGRASSLOOM_WIRE_BOARD_H

#include "customerledger.h"
#include "protocol.h"
#include <chrono>
#include <map>
#include <memory>
#include <set>

namespace eelgrassloom::wiretest {

enum class TextKind : std::uint8_t {
  Read,
  Write,
  Execute,
  Begin,
  Commit,
  Rollback,
  Set,
  Prepare,
  Deallocate,
};

/// What a server answers to a statement.
struct AnswerPlan {
  /// If there are none, the server sends one row that contains the id.
  std::vector<std::string> Rows;
  bool NoRows = false;
  /// Appended to the unique signature.
  std::string SignatureEnd;
  /// Answer with this error instead of a success, if it is not empty.
  std::string Code;
  std::string ErrorText;
  /// Number of runs that are answered with success, but without a signature.
  unsigned UnsignedRuns = 0;
  /// The whole answer is sent again after this time.
  std::optional<std::chrono::milliseconds> RepeatAfter;
  /// Each byte is written on its own.
  bool SingleBytes = false;
};

/// Which results the caller accepts besides those that are always wrong.
enum class Demand : std::uint8_t {
  Success,
  /// The error that the server sends, with its text.
  PlannedError,
  /// TOOBIG, or the end of the connection. No server gets the statement.
  TooBig,
  /// Success or TOOBIG: the statement does not fit into one message together
  /// with what the proxy may add.
  SuccessOrTooBig,
  /// NOAUTH: the key of the caller was removed long enough ago.
  NotAuthorized,
  /// ABORTED: the key passed to another customer during the transaction.
  Aborted,
  /// Any error that promises that nothing is kept.
  Refused,
  Any,
};

/// A statement of a caller.
struct Statement {
  TextKind Kind = TextKind::Read;
  std::string Id;
  /// As the caller sends it.
  std::string Text;
  /// Execute: what the server has to run.
  bool Writes = false;
  std::string Shape;
  std::string Arguments;
  /// Values of the session, which must be set where it runs.
  std::map<std::string, std::string> Values;
  /// Unique for each transaction; 0 outside of transactions.
  unsigned Transaction = 0;
  /// Key of the session.
  std::string Key;
  /// The caller waits until then before it sends the statement.
  std::optional<Instant> NotBefore;
  AnswerPlan Plan;
  Demand Wanted = Demand::Success;

  /// Successes and errors that servers have sent for it.
  std::vector<Answer> Sent;
  /// How often its change was committed.
  unsigned Applied = 0;
  /// The caller was told that nothing of it is kept.
  bool Refused = false;
  bool Succeeded = false;
  /// The route is public: the server is told no customer.
  bool Public = false;
};
using StatementRef = std::shared_ptr<Statement>;

class Board {
public:
  void add(const StatementRef &S) { ById[S->Id] = S; }
  StatementRef find(const std::string &Id) const;
  /// Records a failed check, and prints it if it is the first one of this rule
  /// for the key. Failures with the same key count as one wrong statement.
  void fail(const std::string &Key, std::string_view Rule,
            const std::string &Text);
  /// Checks the caller's answer to \p S.
  void checkAnswer(Statement &S, const Answer &A);
  /// The connection has ended, or no answer came in time.
  void checkNoAnswer(const Statement &S);
  /// Checks at the end of a run that writes ran at most once, and that refused
  /// ones were not committed.
  void checkWrites();
  /// Marks all statements of the transaction as refused.
  void refuseTransaction(unsigned Transaction);
  std::string nextSignature();

  /// Starts to report failed checks, and forgets what was counted before.
  void enable() {
    Asked = Succeeded = 0;
    Enabled = true;
  }
  /// Customers of the run; none if no keys are checked.
  soak::CustomerLedger Customers;

  std::size_t asked() const { return Asked; }
  std::size_t succeeded() const { return Succeeded; }
  std::size_t wrong() const { return Wrong.size(); }

private:
  void checkSuccess(const Statement &S, const Answer &A);
  void checkError(const Statement &S, const Answer &A);
  void checkState(const Statement &S, const Answer &A);

  std::map<std::string, StatementRef> ById;
  std::set<std::string> Wrong;
  /// Keys and rules of the failed checks that were printed.
  std::set<std::pair<std::string, std::string>> Printed;
  bool Enabled = false;
  std::size_t Asked = 0;
  std::size_t Succeeded = 0;
  std::uint64_t Signatures = 0;
};

/// True if a server has to sign a success of the statement.
bool isData(TextKind K);
/// True for codes that promise that nothing of the statement is kept.
bool keepsNothing(std::string_view Code);

} // namespace eelgrassloom::wiretest

#endif // EELGRASSLOOM_WIRE_BOARD_H
