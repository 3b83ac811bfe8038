/// \file
/// Positions in the replicated log of a database, and its term history.

#ifndef EELGRASSLOOM_KERNEL_POSITION_H
#define EELGRASSLOOM_KERNEL_POSITION_H

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassloom {

/// A log entry, identified by the term that wrote it and its index, which
/// starts at 1. Positions are ordered by term, then index; a promotion compares
/// logs by this order of their last entries.
struct Position {
  std::uint64_t Term = 0;
  std::uint64_t Index = 0;

  bool operator==(const Position &) const = default;
  constexpr std::strong_ordering operator<=>(const Position &Other) const {
    return Term != Other.Term ? Term <=> Other.Term : Index <=> Other.Index;
  }
};

/// TERM.INDEX
std::string formatPosition(const Position &P);

/// A term and the index of the last entry before its own entries.
struct TermStart {
  std::uint64_t Term = 0;
  std::uint64_t Start = 0;

  bool operator==(const TermStart &) const = default;
};

/// Terms of one log, in rising order of term and start.
using TermHistory = std::vector<TermStart>;

/// Relation of a position to a term history.
enum class Lineage : std::uint8_t {
  /// The position is part of this history, or may still become part of it.
  InHistory,
  /// The entry was lost: in the history its index belongs to another term, for
  /// example because a later term branched off before the position.
  Lost,
  /// The history ends before the term of the position, so the log that it
  /// describes is behind.
  Ahead,
};

/// Relation of a position to a history. Index 0 is in every history. A position
/// whose index is the start of its term denotes the state before the first
/// entry of that term.
Lineage lineage(const TermHistory &History, Position P);

/// True if a log with \p History that has applied \p Applied contains \p P.
bool contains(const TermHistory &History, Position Applied, Position P);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_POSITION_H
