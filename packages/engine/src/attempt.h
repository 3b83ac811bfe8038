/// \file
/// One attempt to run a statement on a server. A job has several attempts if
/// earlier ones failed or a read is hedged.

#ifndef EELGRASSLOOM_ENGINE_ATTEMPT_H
#define EELGRASSLOOM_ENGINE_ATTEMPT_H

#include "engine/group.h"

namespace eelgrassloom {

namespace detail {
/// A status query without an answer within this time has failed.
constexpr Duration StatusTimeout = std::chrono::milliseconds(600);
} // namespace detail

struct Attempt {
  JobRef J;
  std::shared_ptr<ServerPool> Pool;
  ConnectionRef Connection;
  bool OnPrimary = false;
  /// Epoch of the primary lease under which it started; 0 on a replica.
  std::uint64_t Epoch = 0;
  /// Position that the replica must hold to run the statement.
  std::optional<Position> MinPosition;
  Instant StartedAt;
  Instant SentAt;
  /// The statement itself was sent, not only the setup of the connection.
  bool StatementSent = false;
  /// The statement may commit a change: a write outside of transactions, or the
  /// commit of a transaction that wrote.
  bool MayCommit = false;
  bool Ended = false;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_ENGINE_ATTEMPT_H
