/// \file
/// Limits on what callers may make a process hold. Load pattern: callers that
/// send many long messages at once, whole or in pieces, that never finish them,
/// or that do not read their answers.

#ifndef EELGRASSLOOM_KERNEL_MEMORYBUDGET_H
#define EELGRASSLOOM_KERNEL_MEMORYBUDGET_H

#include "kernel/time.h"
#include <cstddef>
#include <limits>
#include <optional>
#include <vector>

namespace eelgrassloom {

/// What the host gives to the process; 0: unknown.
struct HostResources {
  std::size_t MemoryBytes = 0;
  std::size_t Descriptors = 0;
};

/// Limits for all callers together and for each of them.
struct CallerLimits {
  /// Bytes that are held for all callers: messages that have not ended,
  /// statements in progress and answers that were not sent. The rest of the
  /// memory is for servers, peers, the store and the program itself.
  std::size_t TotalBytes = std::numeric_limits<std::size_t>::max();
  /// A caller that holds less may always send: ordinary messages get through
  /// although others have used up the total.
  std::size_t AllowanceBytes = std::size_t{16} << 10;
  /// Receive buffer of each socket; bytes that were received and not read count
  /// as memory of the process. 0: as the system sets it.
  int ReceiveBufferBytes = 0;
  std::size_t Connections = std::numeric_limits<std::size_t>::max();
  /// Statements that a caller may send ahead, and their total length. Its
  /// connection is not read while more wait.
  std::size_t StatementsAhead = 16;
  std::size_t BytesAhead = std::size_t{64} << 10;
  /// Time until a caller must have started its session.
  Duration StartTime = std::chrono::seconds(15);
  /// A caller whose message can't be received for this long, because the total
  /// is used up, is refused if it holds the most.
  Duration MaxPause = std::chrono::seconds(2);
};

CallerLimits makeCallerLimits(const HostResources &Host);

/// Copies of a statement that the process holds while it runs.
inline constexpr std::size_t StatementCopies = 4;

/// Bytes held for all callers.
class MemoryBudget {
public:
  explicit MemoryBudget(std::size_t Total) : Total(Total) {}

  /// Replaces what one caller holds.
  void change(std::size_t Before, std::size_t After) {
    Used = Used - Before + After;
  }
  bool exceeded() const { return Used >= Total; }
  std::size_t used() const { return Used; }

private:
  std::size_t Total;
  std::size_t Used = 0;
};

/// A caller whose connection is not read at the moment.
struct PausedCaller {
  std::size_t HeldBytes = 0;
  Duration Paused{0};
};

/// Index of the caller to refuse while the budget is exceeded: the one that
/// holds the most among those that have been paused for too long. Empty if
/// there is none.
std::optional<std::size_t>
chooseRefusal(const std::vector<PausedCaller> &Callers,
              const CallerLimits &Limits);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_MEMORYBUDGET_H
