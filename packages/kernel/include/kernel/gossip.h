/// \file
/// Dissemination of versioned items: pushes on change and periodic comparison
/// of digests (anti-entropy). A version never goes back.

#ifndef EELGRASSLOOM_KERNEL_GOSSIP_H
#define EELGRASSLOOM_KERNEL_GOSSIP_H

#include "kernel/model.h"
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace eelgrassloom {

/// One value under a key. For group records the version is groupVersion().
struct Item {
  std::string Key;
  std::uint64_t Version = 0;
  std::string Value;

  bool operator==(const Item &) const = default;
};

struct ItemVersion {
  std::string Key;
  std::uint64_t Version = 0;

  bool operator==(const ItemVersion &) const = default;
};

/// Keys are divided into this many ranges by the top bits of their hash.
inline constexpr std::size_t DigestRanges = 64;

struct GossipOptions {
  /// Peers that receive a changed item at once.
  unsigned Fanout = 4;
  Duration DigestInterval = std::chrono::seconds(1);
  /// Bytes of items or versions in one message; a larger item goes alone.
  std::size_t MessageBytes = std::size_t{16} * 1024;
  /// A push of more items than this is a bulk transfer and is not passed on.
  std::size_t MaxForwardedItems = 16;
};

/// Not copyable: Ranges refers to Items.
struct GossipState {
  GossipState() = default;
  GossipState(const GossipState &) = delete;
  GossipState &operator=(const GossipState &) = delete;
  GossipState(GossipState &&) = default;
  GossipState &operator=(GossipState &&) = default;

  GossipOptions Options;
  std::map<std::string, Item, std::less<>> Items;
  /// Keys by range; the pointers refer to nodes of Items.
  std::array<std::vector<const Item *>, DigestRanges> Ranges;
  std::array<std::uint64_t, DigestRanges> RangeHash{};
  Instant NextDigest;
};

struct ItemDigest {
  /// An answer that has no room for a range repeats the receiver's hash of it.
  std::vector<std::uint64_t> RangeHash;
  /// Answer: all keys of the sender in the ranges that differ.
  std::vector<ItemVersion> Versions;
  bool Answer = false;
};

struct ItemPush {
  std::vector<Item> Items;
  /// Keys that the receiver should push back.
  std::vector<std::string> Wanted;
};

struct SendDigest {
  ProxyId To;
  ItemDigest Digest;
};

struct SendItems {
  ProxyId To;
  ItemPush Push;
};

/// A key received a higher version.
struct ItemChanged {
  std::string Key;
  std::uint64_t Version = 0;
};

using GossipAction = std::variant<SendDigest, SendItems, ItemChanged>;
using GossipActions = std::vector<GossipAction>;

/// Null if the key is unknown.
const Item *find(const GossipState &S, std::string_view Key);

/// Stores items and pushes those that are newer than the stored ones to some
/// of \p Peers. Items with a lower or equal version change nothing.
GossipActions put(GossipState &S, std::vector<Item> Items,
                  const std::vector<ProxyId> &Peers, std::mt19937_64 &Random);

/// Sends a digest to one of \p Peers when it is time.
GossipActions tick(GossipState &S, const std::vector<ProxyId> &Peers,
                   Instant Now, std::mt19937_64 &Random);

GossipActions received(GossipState &S, const ProxyId &From,
                       const ItemDigest &Digest);

/// Stores newer items, passes them on to some of \p Peers and answers the
/// wanted keys.
GossipActions received(GossipState &S, const ProxyId &From,
                       const ItemPush &Push, const std::vector<ProxyId> &Peers,
                       std::mt19937_64 &Random);

/// Rising version of a group record: a stable record of a term follows the
/// electing one of the same term.
constexpr std::uint64_t groupVersion(std::uint64_t Term, bool Stable) {
  return Term * 2 + (Stable ? 1 : 0);
}

/// One part of a value that is too large to be sent whole with each change.
struct Part {
  std::string Name;
  std::string Value;

  bool operator==(const Part &) const = default;
};

/// A value made of a header and parts, for example the configuration with one
/// part for each database.
struct CompositeValue {
  std::uint64_t Version = 0;
  std::string Header;
  /// In order of name.
  std::vector<Part> Parts;

  bool operator==(const CompositeValue &) const = default;
};

/// Items for put(): the header under \p Root, and under `Root/Name` each part
/// that differs from the stored one; a removed part becomes empty. A proxy that
/// has peers splits only after a digest exchange, otherwise all parts get the
/// new version and are sent again.
std::vector<Item> split(const GossipState &S, std::string_view Root,
                        const CompositeValue &Value);

/// The parted value under \p Root, if the header and exactly its parts are
/// present. Parts must not be empty.
std::optional<CompositeValue> assemble(const GossipState &S,
                                       std::string_view Root);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_GOSSIP_H
