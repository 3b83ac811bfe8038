/// \file
/// Decides which request an answer of a server belongs to. Answers carry no
/// request id and arrive in the order of the requests, but a server may send an
/// answer a second time, at any time later. Such a repeated answer must not be
/// taken for the answer to the request that waits then.

#ifndef EELGRASSLOOM_ENGINE_REPLYMATCH_H
#define EELGRASSLOOM_ENGINE_REPLYMATCH_H

#include "engine/types.h"
#include <array>
#include <unordered_set>

namespace eelgrassloom {

/// What an answer is, given the requests and answers before it.
enum class ReplyMatch : std::uint8_t {
  /// It answers the request in progress.
  Answer,
  /// The server has sent it before, or it is the answer to an earlier request
  /// for which a repeated one was taken; the request in progress still waits.
  Repeated,
  /// No request is in progress that it could answer.
  Unrequested,
  /// A success of a statement without the signature of the server.
  Unsigned,
  /// Its signature, rows, transaction state or position is impossible for the
  /// request in progress.
  Impossible,
  /// A status that equals an earlier one: if it is a repetition, its position
  /// is older than the request.
  Ambiguous,
};
inline constexpr std::array<std::string_view, 6> ReplyMatchNames = {
    "answer", "repeated", "unrequested", "unsigned", "impossible", "ambiguous"};
constexpr std::string_view name(ReplyMatch M) {
  return ReplyMatchNames[static_cast<std::size_t>(M)];
}

/// Answers of a connection are recognized when they arrive again within this
/// time, and those of up to twice this time.
inline constexpr Duration ReplyMemory = std::chrono::seconds(10);

/// The answers that one connection has received.
struct ReplyHistory {
  /// Hashes of signatures and of answers without one: those since RecentSince,
  /// and those of the ReplyMemory before.
  std::unordered_set<std::uint64_t> Recent;
  std::unordered_set<std::uint64_t> Older;
  Instant RecentSince;
  /// State of the transaction after the last answer.
  TransactionState State = TransactionState::None;
  /// Answers to requests of the proxy since the last answer with a signature.
  /// Each of them may have been a repetition, and the real one still arrive.
  unsigned AnswersWithoutSignature = 0;
};

/// History of a connection that the server has opened with this answer.
ReplyHistory startHistory(const ServerReply &Opening, Instant Now);

/// Compares an answer with the request in progress, null if there is none, and
/// with earlier answers, and remembers it. An answer with a signature belongs
/// to a statement of a caller, and no other answer has its signature. Answers
/// to requests of the proxy itself have none, so that a repeated one can be
/// taken for the answer to such a request. The real one then arrives while the
/// next statement waits, and is passed over: a statement is never answered
/// without a signature.
ReplyMatch matchReply(ReplyHistory &History, const ServerCall *Request,
                      const ServerReply &Reply, Instant Now);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_ENGINE_REPLYMATCH_H
