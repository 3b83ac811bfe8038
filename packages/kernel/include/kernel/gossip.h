/// \file
/// Gossip: dissemination of versioned items among the proxies. Changed items
/// are pushed to some peers at once; a periodic comparison of digests with one
/// peer (anti-entropy) repairs what the pushes missed. The stored version of a
/// key only rises.

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

/// The version of an item without its value.
struct ItemVersion {
  std::string Key;
  std::uint64_t Version = 0;

  bool operator==(const ItemVersion &) const = default;
};

/// Keys are divided into this many ranges by the top bits of their hash.
inline constexpr std::size_t DigestRanges = 64;

struct GossipOptions {
  /// Number of peers to which a changed item is pushed.
  unsigned Fanout = 4;
  /// Interval at which a digest is sent to one peer.
  Duration DigestInterval = std::chrono::seconds(1);
  /// Limit of the items or versions in one message, in bytes. A larger item is
  /// sent in a message of its own.
  std::size_t MessageBytes = std::size_t{16} * 1024;
  /// A push of more items than this is a bulk transfer and is not forwarded.
  std::size_t MaxForwardedItems = 16;
};

/// The items of one proxy. Not copyable, because Ranges refers to Items.
struct GossipState {
  GossipState() = default;
  GossipState(const GossipState &) = delete;
  GossipState &operator=(const GossipState &) = delete;
  GossipState(GossipState &&) = default;
  GossipState &operator=(GossipState &&) = default;

  GossipOptions Options;
  std::map<std::string, Item, std::less<>> Items;
  /// Items by range; the pointers refer to nodes of Items.
  std::array<std::vector<const Item *>, DigestRanges> Ranges;
  /// Hash of all keys and versions of each range.
  std::array<std::uint64_t, DigestRanges> RangeHash{};
  Instant NextDigest;
};

/// A digest of the sender's items, or the answer to one.
struct ItemDigest {
  /// The sender's hash of each range. For a range whose versions don't fit into
  /// an answer, the answer repeats the hash of the request, so that the
  /// requester sees no difference there.
  std::vector<std::uint64_t> RangeHash;
  /// In an answer: all keys of the sender in the ranges that differ.
  std::vector<ItemVersion> Versions;
  /// This is the answer to a digest.
  bool Answer = false;
};

/// Items for a peer, and keys that are requested from it.
struct ItemPush {
  std::vector<Item> Items;
  /// Keys whose items the receiver should push to the sender.
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

/// An item was stored that is new or has a higher version than before.
struct ItemChanged {
  std::string Key;
  std::uint64_t Version = 0;
};

using GossipAction = std::variant<SendDigest, SendItems, ItemChanged>;
using GossipActions = std::vector<GossipAction>;

/// Null if the key is unknown.
const Item *find(const GossipState &S, std::string_view Key);

/// Stores items and pushes those that are newer than the stored ones to some
/// of \p Peers. Items with a lower or equal version are ignored. More than
/// MaxForwardedItems newer items are not pushed; peers obtain them by digests.
GossipActions put(GossipState &S, std::vector<Item> Items,
                  const std::vector<ProxyId> &Peers, std::mt19937_64 &Random);

/// Sends a digest to a random one of \p Peers at each DigestInterval.
GossipActions tick(GossipState &S, const std::vector<ProxyId> &Peers,
                   Instant Now, std::mt19937_64 &Random);

/// Compares a digest with the own items. A request is answered with the
/// versions of the ranges that differ; an answer is followed by a push of the
/// items that the peer lacks and the keys that this proxy wants.
GossipActions received(GossipState &S, const ProxyId &From,
                       const ItemDigest &Digest);

/// Stores newer items, forwards them to some of \p Peers unless \p Push is a
/// bulk transfer, and pushes the wanted items to \p From.
GossipActions received(GossipState &S, const ProxyId &From,
                       const ItemPush &Push, const std::vector<ProxyId> &Peers,
                       std::mt19937_64 &Random);

/// Version of the item of a group record. It orders records by term; within a
/// term the stable record follows the electing one.
constexpr std::uint64_t groupVersion(std::uint64_t Term, bool Stable) {
  return Term * 2 + (Stable ? 1 : 0);
}

/// One part of a value that is too large to be sent as a whole at each change.
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

/// Returns items for put(): the header under \p Root and, under `Root/Name`,
/// each part that differs from the stored one. A removed part becomes an empty
/// item. A proxy that has peers must not call this before its first digest
/// exchange: it would give the new version to all parts, and all would be sent
/// again.
std::vector<Item> split(const GossipState &S, std::string_view Root,
                        const CompositeValue &Value);

/// The composite value under \p Root if its header and exactly the parts of
/// this header are present, otherwise nothing. Parts must not be empty.
std::optional<CompositeValue> assemble(const GossipState &S,
                                       std::string_view Root);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_GOSSIP_H
