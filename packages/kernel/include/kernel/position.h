/// \file
/// Log positions and the history of terms of a database.

#ifndef EELGRASSLOOM_KERNEL_POSITION_H
#define EELGRASSLOOM_KERNEL_POSITION_H

#include <compare>
#include <cstdint>
#include <vector>

namespace eelgrassloom {

/// A log entry, named by the term that wrote it and its index from 1. Ordered
/// by term, then index: the order in which logs compare in a promotion.
struct Position {
  std::uint64_t Term = 0;
  std::uint64_t Index = 0;

  bool operator==(const Position &) const = default;
  constexpr std::strong_ordering operator<=>(const Position &Other) const {
    return Term != Other.Term ? Term <=> Other.Term : Index <=> Other.Index;
  }
};

/// A term and the index after which its entries follow.
struct TermStart {
  std::uint64_t Term = 0;
  std::uint64_t Start = 0;

  bool operator==(const TermStart &) const = default;
};

/// Terms of one log line in rising order of term and start.
using TermHistory = std::vector<TermStart>;

enum class Lineage : std::uint8_t {
  /// The position is part of this line, or may still become part of it.
  InHistory,
  /// A later term branched off before the position: the entry was lost.
  Lost,
  /// The line ends before the term of the position: the reader is behind.
  Ahead,
};

/// Relation of a position to a line. Index 0 is on every line. The index at
/// which a term starts names the state before the first entry of that term.
Lineage lineage(const TermHistory &History, Position P);

/// True if a log on \p History that has applied \p Applied contains \p P.
bool contains(const TermHistory &History, Position Applied, Position P);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_POSITION_H
