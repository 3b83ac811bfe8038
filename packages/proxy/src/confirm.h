/// \file
/// Confirms with the other upstreams of a group that the term of a primary
/// still holds. Used before a write is acknowledged, and after a read at a
/// primary whose staleness bound exceeds what the caller allows.

#ifndef EELGRASSLOOM_PROXY_CONFIRM_H
#define EELGRASSLOOM_PROXY_CONFIRM_H

#include "controlconnection.h"
#include <deque>

namespace eelgrassloom::detail {

enum class Confirmation : std::uint8_t {
  Confirmed,
  /// A higher term was raised at an upstream.
  Rejected,
  /// Too few confirmations arrived before the deadline, or the group has too
  /// few upstreams.
  TimedOut,
};

/// The part of a confirmation that one upstream answers.
struct ConfirmRequest {
  std::uint64_t Term = 0;
  /// Position that the upstream must hold; zero for a check of the term only.
  Position MinPosition;
  Instant Deadline;
  std::function<void(Confirmation)> Done;
};

/// Sends confirmations to one upstream. Requests that arrive while its
/// connections are busy share the next exchange, so the number of exchanges
/// does not grow with the number of concurrent writes.
class ConfirmBatcher : public std::enable_shared_from_this<ConfirmBatcher> {
public:
  static std::shared_ptr<ConfirmBatcher> create(DataPathStateRef P,
                                                Upstream Target,
                                                std::string Database,
                                                std::size_t GroupSize);
  void confirm(ConfirmRequest R);
  void close();
  const std::string &address() const { return Target.Address; }

private:
  using Batch = std::vector<ConfirmRequest>;
  /// Waiting requests and the idle connections that can send them.
  struct Queue {
    std::deque<ConfirmRequest> Waiting;
    std::vector<std::shared_ptr<ControlConnection>> Free;
  };

  ConfirmBatcher(DataPathStateRef P, Upstream Target, std::string Database,
                 std::size_t GroupSize)
      : P(std::move(P)), Target(std::move(Target)),
        Database(std::move(Database)), GroupSize(GroupSize) {}

  /// Sends the waiting requests of one term in one exchange if a connection is
  /// idle, and ends those whose deadline has passed. \p Positions selects the
  /// queue.
  void sendWaiting(bool Positions);
  void send(bool Positions, std::shared_ptr<ControlConnection> Connection,
            std::shared_ptr<Batch> B);
  void answered(bool Positions, std::shared_ptr<ControlConnection> Connection,
                Batch &B, const UpstreamReply &R, Instant SentAt);

  const DataPathStateRef P;
  const Upstream Target;
  const std::string Database;
  const std::size_t GroupSize;
  std::mutex Mutex;
  /// Index 0: term checks; index 1: requests for a position. Separate, because
  /// a wait for replication must not delay a term check.
  std::array<Queue, 2> Queues;
};

/// Collects the confirmations of a group. Thread-safe; connections are opened
/// when they are first needed.
class Confirmer {
public:
  /// Confirms a statement that \p Primary answered in \p Term. TermCheck needs
  /// a majority of the group, including the primary, in that term; Replicated
  /// needs as many upstreams that also hold \p Written, but at least one
  /// besides the primary. \p Done runs exactly once.
  void confirm(const DataPathStateRef &P, const Database &Group,
               const UpstreamId &Primary, std::uint64_t Term, Position Written,
               Durability Needed, Instant Deadline,
               std::function<void(Confirmation)> Done);
  /// Closes the connections to upstreams that are not configured any more.
  void keepOnly(const Configuration &C);
  void closeAll();

private:
  std::shared_ptr<ConfirmBatcher>
  batcher(const DataPathStateRef &P, const Upstream &U, const Database &Group);

  std::mutex Mutex;
  std::map<UpstreamId, std::shared_ptr<ConfirmBatcher>> Batchers;
};

/// Number of upstreams besides the primary that must confirm a write.
std::size_t confirmationsNeeded(std::size_t GroupSize, Durability Needed);

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_CONFIRM_H
