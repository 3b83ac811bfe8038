/// \file
/// Order of revisions, epochs and fencing tokens across the eras of a store. A
/// store that comes back from an older copy has lost its last changes and gives
/// their revisions out again; its era, a number that it sends with each answer,
/// is higher by one then. Revisions and numbers here begin with the era, so
/// that those of a later era are always higher.

#ifndef EELGRASSLOOM_KERNEL_STOREERA_H
#define EELGRASSLOOM_KERNEL_STOREERA_H

#include <algorithm>
#include <cstdint>

namespace eelgrassloom {

/// Era of a store; 0: the store names none and never loses a change.
using StoreEra = std::uint64_t;

/// Highest era. Its revisions fit into a signed number of 64 bits.
inline constexpr StoreEra MaxStoreEra = 1'000'000;

/// Number of revisions that a store may give out in one era.
inline constexpr std::uint64_t RevisionsPerEra = 1'000'000'000'000;

/// Number of epochs of one record, and of fencing tokens, in one era.
inline constexpr std::uint64_t NumbersPerEra = 1'000'000;

/// The revision \p InStore as the store of \p Era counts it, in the order of
/// all eras. 0, the revision of a key that does not exist, stays 0.
constexpr std::uint64_t revisionOf(StoreEra Era, std::uint64_t InStore) {
  return InStore == 0 ? 0 : Era * RevisionsPerEra + InStore;
}

constexpr StoreEra eraOfRevision(std::uint64_t Revision) {
  return Revision / RevisionsPerEra;
}

/// The revision as the store counts it.
constexpr std::uint64_t revisionInStore(std::uint64_t Revision) {
  return Revision % RevisionsPerEra;
}

/// The epoch or fencing token that follows \p Last in \p Era. It is higher than
/// all of earlier eras, also those that the store has lost.
constexpr std::uint64_t nextNumber(std::uint64_t Last, StoreEra Era) {
  return std::max(Last, Era * NumbersPerEra) + 1;
}

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_STOREERA_H
