/// \file
/// State of a simulated database server: its log, terms, role, replication,
/// transactions and recorded requests. The class has no lock of its own, so
/// the server that owns it serialises all calls.

#ifndef EELGRASSLOOM_STANDIN_DATABASE_H
#define EELGRASSLOOM_STANDIN_DATABASE_H

#include "standin.pb.h"
#include "upstream.pb.h"
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrassloom::standin {

using types::v1::Position;
using upstream::v1::Code;
using upstream::v1::ServerFrame;

/// An open transaction, whose statements are applied at the commit. The commit
/// fails if another request has changed a key after the transaction first used
/// it.
struct Transaction {
  bool Write = false;
  std::uint64_t Term = 0;
  /// For each key used, the position of its last change at the first use.
  std::map<std::string, Position> ReadSet;
  /// Values as the transaction sees them, with its own changes.
  std::map<std::string, v1::Value> Values;
  /// Changes to apply at the commit, in their order.
  std::vector<v1::Statement> Statements;
};

/// Faults that the server commits on purpose, so that tests can show that the
/// history checkers report them.
enum class InjectedFault : std::uint8_t {
  None,
  /// Runs a request again although its id is recorded.
  ForgetRequests,
  /// Claims to have applied positions that have not arrived yet.
  OverstatePosition,
  /// Commits each statement of a transaction in an entry of its own.
  SplitTransactions,
  /// Reports a conflict to a transaction, but commits it.
  CommitFailed,
  /// Removes the last entries of its log when it is promoted.
  LoseSuffix,
  /// Answers a write with the result of the previous write.
  SwapResults,
};

/// An entry of a log; it is never changed, so it can be read without a lock.
using EntryRef = std::shared_ptr<const v1::LogEntry>;

/// An answer to a pull whose entries are not copied yet.
struct PullResult {
  /// The answer without its entries.
  v1::PullAnswer Header;
  std::vector<EntryRef> Entries;

  /// The complete answer, with copies of the entries.
  v1::PullAnswer message() const;
};

/// Log, terms and contents of one simulated server.
class Database {
public:
  /// \p Journal is called with every durable change before the request that
  /// caused it is answered.
  explicit Database(std::string Id,
                    std::function<void(const v1::JournalRecord &)> Journal = {})
      : Id(std::move(Id)), Journal(std::move(Journal)) {}

  /// Applies a change that was read from the journal, without journalling it
  /// again.
  void restore(const v1::JournalRecord &Record);

  /// Raises the term for \p Candidate; CODE_STALE_TERM if the same or a higher
  /// term is already raised, except for a repeated call of the same candidate.
  ServerFrame raiseTerm(std::uint64_t Term, const std::string &Candidate);
  /// Becomes the primary of \p Term, which must be raised for \p Candidate.
  ServerFrame promote(std::uint64_t Term, const std::string &Candidate);
  /// Becomes a replica of the primary of \p Term.
  ServerFrame follow(std::uint64_t Term, const std::string &PrimaryAddress);
  /// Confirms that no higher term than \p Term is raised and that the log holds
  /// \p P; CODE_BEHIND while the term or the position may still arrive.
  ServerFrame confirm(std::uint64_t Term, const Position &P) const;

  /// Whether the log holds \p P: CODE_BEHIND while the position may still
  /// arrive, CODE_POSITION_LOST if the term history excludes it.
  Code holds(const Position &P) const;
  ServerFrame read(const upstream::v1::Execute &Request) const;
  ServerFrame write(const upstream::v1::Execute &Request, std::int64_t NowMs);

  ServerFrame begin(const upstream::v1::Begin &Request, Transaction &T) const;
  ServerFrame run(Transaction &T, const upstream::v1::Execute &Request) const;
  ServerFrame commit(const Transaction &T, const upstream::v1::Commit &Request,
                     std::int64_t NowMs);

  /// Answers a pull of a replica. Entries committed after \p NewestUs, a time
  /// of monotonicUs(), are held back to simulate replication lag.
  v1::PullAnswer pull(const v1::PullRequest &Request,
                      std::int64_t NewestUs) const {
    return findEntries(Request, NewestUs).message();
  }
  /// Like pull, for a server that copies the entries after it has unlocked the
  /// database.
  PullResult findEntries(const v1::PullRequest &Request,
                         std::int64_t NewestUs) const;
  /// Fills in the next pull to send to the primary; false if this server is not
  /// a replica of the raised term.
  bool nextPull(v1::PullRequest &Request, std::string &PrimaryAddress) const;
  /// Applies the answer of the primary of \p Term to the log; false if the
  /// answer is rejected.
  bool replicate(std::uint64_t Term, v1::PullAnswer Answer);

  types::v1::UpstreamStatus status() const;
  const std::deque<EntryRef> &log() const { return Log; }

  /// Age in milliseconds at which a request id expires.
  std::int64_t RetentionMs = 24LL * 60 * 60 * 1000;
  bool Leaving = false;
  InjectedFault Fault = InjectedFault::None;

private:
  struct Cell {
    v1::Value Content;
    /// Position of the last change.
    Position Changed;
  };

  Position applied() const;
  /// Whether this server is the primary of \p Term and no higher term is
  /// raised; otherwise \p Rejection is the answer to send.
  bool mayWrite(std::uint64_t Term, ServerFrame &Rejection) const;
  /// Whether the request must not run, because its id is recorded or expired;
  /// \p Answer is then the recorded answer, CODE_ID_REUSED if the record is
  /// that of another request, or CODE_ID_EXPIRED. \p Statement is null for a
  /// commit.
  bool findRecordedRequest(const std::string &RequestId,
                           std::int64_t IssuedAtMs,
                           const std::string *Statement, std::int64_t NowMs,
                           ServerFrame &Answer) const;
  const Cell &cell(const std::string &Key) const;
  /// Gives the entry the next position in the term of this server and appends
  /// it.
  Position commitEntry(v1::LogEntry Entry);
  /// Journals an entry that has a position, then applies it.
  void append(v1::LogEntry Entry);
  /// Applies an entry to the contents and adds it to the log.
  void addToLog(EntryRef Entry);
  /// Removes the entries after \p Index and rebuilds the contents.
  void truncateLog(std::uint64_t Index);
  void storeTerms();

  std::string Id;
  /// Result of the previous write, for InjectedFault::SwapResults.
  std::string LastResult;
  std::function<void(const v1::JournalRecord &)> Journal;
  v1::TermState Terms;
  std::deque<EntryRef> Log;
  std::unordered_map<std::string, Cell> Cells;
  /// Log index of the entry that a request id committed.
  std::unordered_map<std::string, std::uint64_t> RecordedRequests;
};

/// Microseconds on the host's monotonic clock, which all simulated processes
/// share.
std::int64_t monotonicUs();

} // namespace eelgrassloom::standin

#endif // EELGRASSLOOM_STANDIN_DATABASE_H
