#include "database.h"
#include <algorithm>
#include <chrono>

namespace eelgrassloom::standin {
namespace {

using namespace upstream::v1;
using namespace types::v1;
using TermHistory = google::protobuf::RepeatedPtrField<TermStart>;

constexpr std::size_t MaxPullEntries = 1000;

ServerFrame frame(Code C, std::string Message = "") {
  ServerFrame F;
  F.set_code(C);
  F.set_message(std::move(Message));
  return F;
}

bool samePosition(const Position &A, const Position &B) {
  return A.term() == B.term() && A.index() == B.index();
}

/// Last index that two logs with these term histories have in common.
std::uint64_t commonIndex(const TermHistory &A, std::uint64_t LastA,
                          const TermHistory &B, std::uint64_t LastB) {
  std::uint64_t Common = std::min(LastA, LastB);
  int I = 0;
  while (I < A.size() && I < B.size() && A[I].term() == B[I].term() &&
         A[I].start() == B[I].start())
    ++I;
  if (I < A.size())
    Common = std::min(Common, A[I].start());
  if (I < B.size())
    Common = std::min(Common, B[I].start());
  return Common;
}

/// Applies a statement to a value; false for a statement that fails on purpose
/// or has no operation.
bool apply(const v1::Statement &S, v1::Value &Content) {
  switch (S.operation_case()) {
  case v1::Statement::kGet:
    return true;
  case v1::Statement::kPut:
    Content.set_data(S.put());
    return true;
  case v1::Statement::kAppend:
    Content.add_list(S.append());
    return true;
  case v1::Statement::kAdd:
    Content.set_number(Content.number() + S.add());
    return true;
  default:
    return false;
  }
}

/// Parses a statement and applies it to a copy of the value under its key.
/// Returns false, with the answer to send in \p Failure, if either fails.
bool evaluate(const std::string &Bytes, v1::Statement &S,
              const std::function<v1::Value(const std::string &)> &ValueOf,
              v1::Value &Content, ServerFrame &Failure) {
  if (!S.ParseFromString(Bytes)) {
    Failure = frame(CODE_ERROR, "statement is not readable");
    return false;
  }
  Content = ValueOf(S.key());
  if (apply(S, Content))
    return true;
  Failure = frame(CODE_ERROR, S.has_fail() ? S.fail() : "no operation");
  return false;
}

/// Whether a request is the one that committed the entry. The statements of a
/// transaction that is tried again may differ, so those of a commit, for which
/// \p Statement is null, are not compared.
bool sameRequest(const v1::LogEntry &Entry, std::int64_t IssuedAtMs,
                 const std::string *Statement) {
  if (Entry.issued_at_ms() != IssuedAtMs)
    return false;
  if (!Statement)
    return true;
  v1::Statement S;
  return Entry.statements_size() == 1 && S.ParseFromString(*Statement) &&
         Entry.statements(0).SerializeAsString() == S.SerializeAsString();
}

} // namespace

std::int64_t monotonicUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void Database::restore(const v1::JournalRecord &Record) {
  auto SavedJournal = std::exchange(Journal, {});
  if (Record.has_entry())
    append(Record.entry());
  else if (Record.has_terms())
    Terms = Record.terms();
  else
    truncateLog(Record.cut());
  Journal = std::move(SavedJournal);
}

ServerFrame Database::raiseTerm(std::uint64_t Term,
                                const std::string &Candidate) {
  bool Repeated = Term == Terms.raised_term() && !Candidate.empty() &&
                  Candidate == Terms.candidate();
  if (Term <= Terms.raised_term() && !Repeated)
    return frame(CODE_STALE_TERM, "term is already raised");
  if (!Repeated) {
    Terms.set_raised_term(Term);
    Terms.set_candidate(Candidate);
    storeTerms();
  }
  return frame(CODE_OK);
}

ServerFrame Database::promote(std::uint64_t Term,
                              const std::string &Candidate) {
  if (Term < Terms.raised_term())
    return frame(CODE_STALE_TERM, "a higher term is raised");
  if (Term != Terms.raised_term() || Candidate != Terms.candidate())
    return frame(CODE_ERROR, "term is not raised for this candidate");
  if (Terms.role_term() == Term)
    return Terms.role() == UPSTREAM_ROLE_PRIMARY
               ? frame(CODE_OK)
               : frame(CODE_ERROR, "follows another primary of this term");
  constexpr std::uint64_t LostEntries = 50;
  if (Fault == InjectedFault::LoseSuffix && Log.size() > LostEntries)
    truncateLog(Log.size() - LostEntries);
  // Terms of which the log has no entry do not belong to the history of the new
  // term.
  auto *History = Terms.mutable_history();
  while (!History->empty() && History->rbegin()->start() >= Log.size())
    History->RemoveLast();
  auto *Start = History->Add();
  Start->set_term(Term);
  Start->set_start(Log.size());
  Terms.set_role(UPSTREAM_ROLE_PRIMARY);
  Terms.set_role_term(Term);
  Terms.clear_primary_address();
  storeTerms();
  // An entry of the new term makes this log compare as newer than every log
  // without an entry of that term.
  commitEntry({});
  return frame(CODE_OK);
}

ServerFrame Database::follow(std::uint64_t Term,
                             const std::string &PrimaryAddress) {
  if (Term < Terms.raised_term())
    return frame(CODE_STALE_TERM, "a higher term is raised");
  if (Terms.role_term() == Term && Terms.role() == UPSTREAM_ROLE_PRIMARY)
    return frame(CODE_ERROR, "is the primary of this term");
  if (Term > Terms.raised_term()) {
    Terms.set_raised_term(Term);
    Terms.clear_candidate();
  }
  Terms.set_role(UPSTREAM_ROLE_REPLICA);
  Terms.set_role_term(Term);
  Terms.set_primary_address(PrimaryAddress);
  storeTerms();
  return frame(CODE_OK);
}

ServerFrame Database::confirm(std::uint64_t Term, const Position &P) const {
  if (Terms.raised_term() > Term)
    return frame(CODE_STALE_TERM, "a higher term is raised");
  if (Terms.raised_term() < Term)
    return frame(CODE_BEHIND, "term is not raised");
  return frame(P.index() == 0 ? CODE_OK : holds(P));
}

Code Database::holds(const Position &P) const {
  if (P.index() == 0 || Fault == InjectedFault::OverstatePosition)
    return CODE_OK;
  bool OwnTerm = false;
  bool LaterTerm = false;
  for (const auto &T : Terms.history()) {
    // The entries of a term follow its start index, up to and including the
    // start index of the next term.
    bool Before = T.start() < P.index();
    if (T.term() == P.term() ? !Before : T.term() > P.term() && Before)
      return CODE_POSITION_LOST;
    OwnTerm |= T.term() == P.term();
    LaterTerm |= T.term() > P.term();
  }
  if (!OwnTerm)
    return LaterTerm ? CODE_POSITION_LOST : CODE_BEHIND;
  return P.index() <= Log.size() ? CODE_OK : CODE_BEHIND;
}

ServerFrame Database::read(const Execute &Request) const {
  if (Code C = holds(Request.min_position()); C != CODE_OK)
    return frame(C);
  v1::Statement S;
  v1::Value Content;
  ServerFrame F;
  auto ValueOf = [this](const std::string &Key) { return cell(Key).Content; };
  if (!evaluate(Request.statement(), S, ValueOf, Content, F))
    return F;
  if (!S.has_get())
    return frame(CODE_ERROR, "a read must not change anything");
  F = frame(CODE_OK);
  F.set_result(Content.SerializeAsString());
  *F.mutable_position() = applied();
  if (Fault == InjectedFault::OverstatePosition &&
      F.position().index() < Request.min_position().index())
    *F.mutable_position() = Request.min_position();
  return F;
}

ServerFrame Database::write(const Execute &Request, std::int64_t NowMs) {
  ServerFrame F;
  if (!mayWrite(Request.term(), F) ||
      findRecordedRequest(Request.request_id(), Request.issued_at_ms(),
                          &Request.statement(), NowMs, F))
    return F;
  // A recorded answer is given even if the session's position was lost.
  if (Code C = holds(Request.min_position()); C != CODE_OK)
    return frame(C);
  v1::LogEntry Entry;
  v1::Value Content;
  auto ValueOf = [this](const std::string &Key) { return cell(Key).Content; };
  if (!evaluate(Request.statement(), *Entry.add_statements(), ValueOf, Content,
                F))
    return F;
  F = frame(CODE_OK);
  F.set_result(Content.SerializeAsString());
  Entry.set_request_id(Request.request_id());
  Entry.set_issued_at_ms(Request.issued_at_ms());
  if (!Request.request_id().empty())
    Entry.set_result(F.result());
  *F.mutable_position() = commitEntry(std::move(Entry));
  if (Fault == InjectedFault::SwapResults)
    std::swap(LastResult, *F.mutable_result());
  return F;
}

ServerFrame Database::begin(const Begin &Request, Transaction &T) const {
  ServerFrame F;
  if (Request.write() && !mayWrite(Request.term(), F))
    return F;
  T = {};
  T.Write = Request.write();
  T.Term = Request.term();
  return frame(CODE_OK);
}

ServerFrame Database::run(Transaction &T, const Execute &Request) const {
  if (Code C = holds(Request.min_position()); C != CODE_OK)
    return frame(C);
  v1::Statement S;
  v1::Value Content;
  ServerFrame F;
  auto ValueOf = [&](const std::string &Key) {
    auto It = T.Values.find(Key);
    return It == T.Values.end() ? cell(Key).Content : It->second;
  };
  if (!evaluate(Request.statement(), S, ValueOf, Content, F))
    return F;
  if (!S.has_get() && !T.Write)
    return frame(CODE_ERROR, "the transaction is read-only");
  // The transaction keeps seeing this value even if other requests change the
  // key.
  T.ReadSet.try_emplace(S.key(), cell(S.key()).Changed);
  T.Values[S.key()] = Content;
  if (!S.has_get())
    T.Statements.push_back(S);
  F = frame(CODE_OK);
  F.set_result(Content.SerializeAsString());
  *F.mutable_position() = applied();
  return F;
}

ServerFrame Database::commit(const Transaction &T, const Commit &Request,
                             std::int64_t NowMs) {
  ServerFrame F;
  if (T.Write &&
      (!mayWrite(T.Term, F) ||
       findRecordedRequest(Request.request_id(), Request.issued_at_ms(),
                           nullptr, NowMs, F)))
    return F;
  for (const auto &[Key, Changed] : T.ReadSet)
    if (!samePosition(cell(Key).Changed, Changed)) {
      F = frame(CODE_ERROR, "conflict with another transaction on " + Key);
      if (Fault != InjectedFault::CommitFailed)
        return F;
    }
  const bool Conflict = F.code() == CODE_ERROR;
  if (!Conflict)
    F = frame(CODE_OK);
  if (!T.Write) {
    *F.mutable_position() = applied();
    return F;
  }
  if (Fault == InjectedFault::SplitTransactions)
    for (const auto &Statement : T.Statements) {
      v1::LogEntry Part;
      *Part.add_statements() = Statement;
      *F.mutable_position() = commitEntry(std::move(Part));
    }
  if (Fault == InjectedFault::SplitTransactions)
    return F;
  v1::LogEntry Entry;
  Entry.mutable_statements()->Add(T.Statements.begin(), T.Statements.end());
  Entry.set_request_id(Request.request_id());
  Entry.set_issued_at_ms(Request.issued_at_ms());
  *F.mutable_position() = commitEntry(std::move(Entry));
  return F;
}

v1::PullAnswer PullResult::message() const {
  v1::PullAnswer Answer = Header;
  for (const EntryRef &Entry : Entries)
    *Answer.add_entries() = *Entry;
  return Answer;
}

PullResult Database::findEntries(const v1::PullRequest &Request,
                                 std::int64_t NewestUs) const {
  PullResult Result;
  v1::PullAnswer &Answer = Result.Header;
  if (Terms.raised_term() > Request.term())
    Answer.set_code(CODE_STALE_TERM);
  else if (Terms.role() != UPSTREAM_ROLE_PRIMARY ||
           Terms.role_term() != Request.term())
    Answer.set_code(CODE_NOT_PRIMARY);
  else
    Answer.set_code(CODE_OK);
  if (Answer.code() != CODE_OK)
    return Result;
  *Answer.mutable_history() = Terms.history();
  std::uint64_t Common = commonIndex(Terms.history(), Log.size(),
                                     Request.history(), Request.last_index());
  Answer.set_common(Common);
  for (std::uint64_t I = Common;
       I < Log.size() && Log[I]->committed_us() <= NewestUs &&
       Result.Entries.size() < MaxPullEntries;
       ++I)
    Result.Entries.push_back(Log[I]);
  return Result;
}

bool Database::nextPull(v1::PullRequest &Request,
                        std::string &PrimaryAddress) const {
  if (Terms.role() != UPSTREAM_ROLE_REPLICA ||
      Terms.role_term() != Terms.raised_term() || Terms.role_term() == 0)
    return false;
  Request.set_term(Terms.role_term());
  *Request.mutable_history() = Terms.history();
  Request.set_last_index(Log.size());
  PrimaryAddress = Terms.primary_address();
  return true;
}

bool Database::replicate(std::uint64_t Term, v1::PullAnswer Answer) {
  if (Answer.code() != CODE_OK || Terms.role() != UPSTREAM_ROLE_REPLICA ||
      Terms.role_term() != Term || Terms.raised_term() != Term)
    return false;
  if (Log.size() > Answer.common())
    truncateLog(Answer.common());
  if (Terms.history_size() != Answer.history_size() ||
      (Answer.history_size() > 0 &&
       Terms.history().rbegin()->term() != Answer.history().rbegin()->term())) {
    *Terms.mutable_history() = Answer.history();
    storeTerms();
  }
  for (auto &Entry : *Answer.mutable_entries())
    if (Entry.position().index() == Log.size() + 1)
      append(std::move(Entry));
  return true;
}

UpstreamStatus Database::status() const {
  UpstreamStatus S;
  S.set_upstream(Id);
  S.set_role(Terms.role());
  S.set_raised_term(Terms.raised_term());
  *S.mutable_applied() = applied();
  *S.mutable_history() = Terms.history();
  S.set_leaving(Leaving);
  return S;
}

Position Database::applied() const {
  return Log.empty() ? Position() : Log.back()->position();
}

bool Database::mayWrite(std::uint64_t Term, ServerFrame &Rejection) const {
  if (Term < Terms.raised_term())
    Rejection = frame(CODE_STALE_TERM, "a higher term is raised");
  else if (Terms.role() != UPSTREAM_ROLE_PRIMARY || Term != Terms.role_term())
    Rejection = frame(CODE_NOT_PRIMARY, "is not the primary of this term");
  else
    return true;
  return false;
}

bool Database::findRecordedRequest(const std::string &RequestId,
                                   std::int64_t IssuedAtMs,
                                   const std::string *Statement,
                                   std::int64_t NowMs,
                                   ServerFrame &Answer) const {
  if (RequestId.empty())
    return false;
  if (IssuedAtMs < NowMs - RetentionMs) {
    Answer = frame(CODE_ID_EXPIRED, "issued before the retention horizon");
    return true;
  }
  auto It = RecordedRequests.find(RequestId);
  if (It == RecordedRequests.end() || Fault == InjectedFault::ForgetRequests)
    return false;
  const v1::LogEntry &Entry = *Log[It->second - 1];
  if (!sameRequest(Entry, IssuedAtMs, Statement)) {
    Answer = frame(CODE_ID_REUSED);
    return true;
  }
  Answer = frame(CODE_OK);
  Answer.set_result(Entry.result());
  *Answer.mutable_position() = Entry.position();
  Answer.set_recorded(true);
  return true;
}

const Database::Cell &Database::cell(const std::string &Key) const {
  static const Cell Absent;
  auto It = Cells.find(Key);
  return It == Cells.end() ? Absent : It->second;
}

Position Database::commitEntry(v1::LogEntry Entry) {
  Entry.mutable_position()->set_term(Terms.role_term());
  Entry.mutable_position()->set_index(Log.size() + 1);
  Entry.set_committed_us(monotonicUs());
  append(std::move(Entry));
  return applied();
}

void Database::append(v1::LogEntry Entry) {
  if (Journal) {
    // Swapped in and out, because a copy of a large entry takes long.
    v1::JournalRecord Record;
    Record.mutable_entry()->Swap(&Entry);
    Journal(Record);
    Record.mutable_entry()->Swap(&Entry);
  }
  addToLog(std::make_shared<const v1::LogEntry>(std::move(Entry)));
}

void Database::addToLog(EntryRef Entry) {
  for (const v1::Statement &S : Entry->statements()) {
    Cell &C = Cells[S.key()];
    apply(S, C.Content);
    C.Changed = Entry->position();
  }
  if (!Entry->request_id().empty())
    RecordedRequests[Entry->request_id()] = Entry->position().index();
  Log.push_back(std::move(Entry));
}

void Database::truncateLog(std::uint64_t Index) {
  if (Journal) {
    v1::JournalRecord Record;
    Record.set_cut(Index);
    Journal(Record);
  }
  std::deque<EntryRef> Kept;
  Kept.swap(Log);
  Kept.resize(std::min<std::size_t>(Index, Kept.size()));
  Cells.clear();
  RecordedRequests.clear();
  for (EntryRef &Entry : Kept)
    addToLog(std::move(Entry));
}

void Database::storeTerms() {
  if (!Journal)
    return;
  v1::JournalRecord Record;
  *Record.mutable_terms() = Terms;
  Journal(Record);
}

} // namespace eelgrassloom::standin
