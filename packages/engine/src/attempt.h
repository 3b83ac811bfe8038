/// \file
/// One attempt to run a statement on a server.

#ifndef EELGRASSLOOM_ENGINE_ATTEMPT_H
#define EELGRASSLOOM_ENGINE_ATTEMPT_H

#include "engine/group.h"

namespace eelgrassloom {

namespace detail {
/// Time for the answer to a status question.
constexpr Duration StatusTimeout = std::chrono::milliseconds(600);
} // namespace detail

struct Attempt {
  JobRef J;
  std::shared_ptr<ServerPool> Pool;
  ConnectionRef Connection;
  bool OnPrimary = false;
  /// Epoch of the permission under which it started; 0 on a replica.
  std::uint64_t Epoch = 0;
  std::optional<Position> MinPosition;
  Instant StartedAt;
  Instant SentAt;
  /// The statement itself, not only the setup, was sent.
  bool StatementSent = false;
  /// It may commit a change.
  bool MayCommit = false;
  bool Ended = false;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_ENGINE_ATTEMPT_H
