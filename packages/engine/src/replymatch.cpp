#include "engine/replymatch.h"
#include <functional>
#include <utility>

namespace eelgrassloom {
namespace detail {

void combine(std::uint64_t &Hash, std::uint64_t Value) {
  constexpr std::uint64_t GoldenRatio = 0x9e3779b97f4a7c15;
  Hash ^= Value + GoldenRatio + (Hash << 6) + (Hash >> 2);
}

/// Equal for an answer and its repetition. A signature alone identifies an
/// answer.
std::uint64_t fingerprint(const ServerReply &R) {
  std::hash<std::string> HashText;
  if (!R.Signature.empty())
    return HashText(R.Signature);
  std::uint64_t Hash = R.Result ? 1 : 0;
  for (const std::string &Row : R.Rows)
    combine(Hash, HashText(Row));
  combine(Hash, static_cast<std::uint64_t>(R.State));
  if (R.LogPosition) {
    combine(Hash, R.LogPosition->Term);
    combine(Hash, R.LogPosition->Index);
  }
  return Hash;
}

bool seen(const ReplyHistory &H, std::uint64_t Fingerprint) {
  return H.Recent.count(Fingerprint) != 0 || H.Older.count(Fingerprint) != 0;
}

void remember(ReplyHistory &H, std::uint64_t Fingerprint, Instant Now) {
  if (Now - H.RecentSince >= ReplyMemory) {
    H.Older = std::exchange(H.Recent, {});
    H.RecentSince = Now;
  }
  H.Recent.insert(Fingerprint);
}

bool isCallerStatement(const ServerCall &Request) {
  return Request.Command == ServerCommand::Statement ||
         Request.Command == ServerCommand::Execute;
}

/// State of the transaction after the success of a request of the proxy.
TransactionState stateAfter(const ServerCall &Request,
                            TransactionState Before) {
  switch (Request.Command) {
  case ServerCommand::Begin:
  case ServerCommand::BeginReadOnly:
    return TransactionState::Open;
  case ServerCommand::RollBack:
    return TransactionState::None;
  default:
    return Before;
  }
}

/// True if the success can be that of a request of the proxy.
bool fits(const ReplyHistory &H, const ServerCall &Request,
          const ServerReply &Reply) {
  bool HasRows = Request.Command == ServerCommand::Status;
  bool HoldsPosition =
      !Request.MinPosition ||
      (Reply.LogPosition && *Reply.LogPosition >= *Request.MinPosition);
  return Reply.Signature.empty() && Reply.Rows.empty() != HasRows &&
         Reply.State == stateAfter(Request, H.State) && HoldsPosition;
}

ReplyMatch matchOwn(const ReplyHistory &H, const ServerCall &Request,
                    const ServerReply &Reply, bool Seen) {
  if (!fits(H, Request, Reply))
    return Seen ? ReplyMatch::Repeated : ReplyMatch::Impossible;
  return Seen && Request.Command == ServerCommand::Status
             ? ReplyMatch::Ambiguous
             : ReplyMatch::Answer;
}

ReplyMatch matchStatement(ReplyHistory &H, const ServerCall &Request,
                          const ServerReply &Reply, bool Seen) {
  if (Seen)
    return ReplyMatch::Repeated;
  bool Commits =
      Request.Command == ServerCommand::Statement && Request.Text == "COMMIT";
  bool LeavesTransaction = H.State == TransactionState::Open &&
                           Reply.State == TransactionState::None && !Commits;
  if (!Reply.Signature.empty())
    return LeavesTransaction ? ReplyMatch::Impossible : ReplyMatch::Answer;
  if (!Reply.Rows.empty() || H.AnswersWithoutSignature == 0)
    return ReplyMatch::Unsigned;
  --H.AnswersWithoutSignature;
  return ReplyMatch::Repeated;
}

} // namespace detail

ReplyMatch matchReply(ReplyHistory &History, const ServerCall *Request,
                      const ServerReply &Reply, Instant Now) {
  std::uint64_t Fingerprint = detail::fingerprint(Reply);
  bool Seen = !Reply.Error && detail::seen(History, Fingerprint);
  ReplyMatch Match = ReplyMatch::Answer;
  if (Request == nullptr || !Reply.Result)
    Match = Seen ? ReplyMatch::Repeated : ReplyMatch::Unrequested;
  else if (!Reply.Error)
    Match = detail::isCallerStatement(*Request)
                ? detail::matchStatement(History, *Request, Reply, Seen)
                : detail::matchOwn(History, *Request, Reply, Seen);
  if (Match != ReplyMatch::Answer)
    return Match;
  History.State = Reply.State;
  if (Reply.Error)
    return Match;
  if (Reply.Signature.empty())
    ++History.AnswersWithoutSignature;
  else
    History.AnswersWithoutSignature = 0;
  detail::remember(History, Fingerprint, Now);
  return Match;
}

ReplyHistory startHistory(const ServerReply &Opening, Instant Now) {
  ReplyHistory History;
  detail::remember(History, detail::fingerprint(Opening), Now);
  return History;
}

} // namespace eelgrassloom
