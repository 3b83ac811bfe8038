/// \file
/// State of a simulated database server: log, terms, replication rules,
/// transactions and request records. The owner serialises all calls.

#ifndef EELGRASSLOOM_STANDIN_DATABASE_H
#define EELGRASSLOOM_STANDIN_DATABASE_H

#include "standin.pb.h"
#include "upstream.pb.h"
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrassloom::standin {

using types::v1::Position;
using upstream::v1::Code;
using upstream::v1::ServerFrame;

/// Statements of a transaction, kept until the commit. The commit fails if a
/// key was changed by others after the transaction first used it.
struct Transaction {
  bool Write = false;
  std::uint64_t Term = 0;
  std::map<std::string, Position> ReadSet;
  std::map<std::string, v1::Value> Values;
  std::vector<v1::Statement> Statements;
};

/// Broken behaviour that the history checkers must report.
enum class InjectedFault : std::uint8_t {
  None,
  /// Runs a request again although its id is recorded.
  ForgetRequests,
  /// Claims positions that are not applied yet.
  OverstatePosition,
  /// Commits each statement of a transaction in an entry of its own.
  SplitTransactions,
  /// Reports an error but commits.
  CommitFailed,
  /// Loses the last entries when it is promoted.
  LoseSuffix,
  /// Answers a write with the result of the one before.
  SwapResults,
};

class Database {
public:
  /// \p Journal receives every durable change before it is answered.
  explicit Database(std::string Id,
                    std::function<void(const v1::JournalRecord &)> Journal = {})
      : Id(std::move(Id)), Journal(std::move(Journal)) {}

  /// Repeats a journalled change.
  void restore(const v1::JournalRecord &Record);

  ServerFrame raiseTerm(std::uint64_t Term, const std::string &Candidate);
  ServerFrame promote(std::uint64_t Term, const std::string &Candidate);
  ServerFrame follow(std::uint64_t Term, const std::string &PrimaryAddress);
  /// CODE_BEHIND while the term or the position may still arrive.
  ServerFrame confirm(std::uint64_t Term, const Position &P) const;

  /// CODE_BEHIND while the position may still arrive.
  Code holds(const Position &P) const;
  ServerFrame read(const upstream::v1::Execute &Request) const;
  ServerFrame write(const upstream::v1::Execute &Request, std::int64_t NowMs);

  ServerFrame begin(const upstream::v1::Begin &Request, Transaction &T) const;
  ServerFrame run(Transaction &T, const upstream::v1::Execute &Request) const;
  ServerFrame commit(const Transaction &T, const upstream::v1::Commit &Request,
                     std::int64_t NowMs);

  /// Answers a follower; entries committed after \p NewestUs are held back.
  v1::PullAnswer pull(const v1::PullRequest &Request,
                      std::int64_t NewestUs) const;
  /// The next pull of a follower; false if this server follows nobody.
  bool nextPull(v1::PullRequest &Request, std::string &PrimaryAddress) const;
  /// Takes over what the primary of \p Term sent; false if it is rejected.
  bool replicate(std::uint64_t Term, const v1::PullAnswer &Answer);

  types::v1::UpstreamStatus status() const;
  const std::deque<v1::LogEntry> &log() const { return Log; }

  /// Age at which a request id expires.
  std::int64_t RetentionMs = 24LL * 60 * 60 * 1000;
  bool Leaving = false;
  InjectedFault Fault = InjectedFault::None;

private:
  struct Cell {
    v1::Value Content;
    Position Changed;
  };

  Position applied() const;
  bool mayWrite(std::uint64_t Term, ServerFrame &Rejection) const;
  bool findRecordedRequest(const std::string &RequestId,
                           std::int64_t IssuedAtMs, std::int64_t NowMs,
                           ServerFrame &Answer) const;
  const Cell &cell(const std::string &Key) const;
  Position commitEntry(v1::LogEntry Entry);
  void append(const v1::LogEntry &Entry);
  void cut(std::uint64_t Index);
  void storeTerms();

  std::string Id;
  std::string LastResult;
  std::function<void(const v1::JournalRecord &)> Journal;
  v1::TermState Terms;
  std::deque<v1::LogEntry> Log;
  std::unordered_map<std::string, Cell> Cells;
  /// Log index of the entry that holds the record.
  std::unordered_map<std::string, std::uint64_t> RecordedRequests;
};

/// Microseconds on the machine's monotonic clock.
std::int64_t monotonicUs();

} // namespace eelgrassloom::standin

#endif // EELGRASSLOOM_STANDIN_DATABASE_H
