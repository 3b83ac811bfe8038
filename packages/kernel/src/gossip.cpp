#include "kernel/gossip.h"
#include <algorithm>
#include <xxhash.h>

namespace eelgrassloom {
namespace detail {

static std::size_t rangeOf(std::string_view Key) {
  constexpr unsigned RangeBits = 6;
  static_assert(1U << RangeBits == DigestRanges);
  return XXH3_64bits(Key.data(), Key.size()) >> (64 - RangeBits);
}

static std::uint64_t versionHash(std::string_view Key, std::uint64_t Version) {
  return XXH3_64bits_withSeed(Key.data(), Key.size(), Version);
}

/// Estimated size of an item in a message, in bytes.
static std::size_t encodedSize(const Item &I) {
  constexpr std::size_t Overhead = 12;
  return I.Key.size() + I.Value.size() + Overhead;
}

static std::size_t encodedSize(const ItemVersion &V) {
  constexpr std::size_t Overhead = 10;
  return V.Key.size() + Overhead;
}

/// Stores an item if it is newer than the stored one. Returns true if it was
/// stored.
static bool store(GossipState &S, const Item &New) {
  auto It = S.Items.find(New.Key);
  std::size_t Range = rangeOf(New.Key);
  if (It == S.Items.end()) {
    It = S.Items.emplace(New.Key, New).first;
    S.Ranges[Range].push_back(&It->second);
  } else {
    if (New.Version <= It->second.Version)
      return false;
    S.RangeHash[Range] ^= versionHash(New.Key, It->second.Version);
    It->second = New;
  }
  S.RangeHash[Range] ^= versionHash(New.Key, New.Version);
  return true;
}

/// Pushes items to Options.Fanout random peers other than \p Except.
static void pushTo(GossipState &S, std::vector<Item> Items,
                   std::vector<ProxyId> Peers, const ProxyId &Except,
                   std::mt19937_64 &Random, GossipActions &Actions) {
  std::erase(Peers, Except);
  std::size_t Count = std::min<std::size_t>(S.Options.Fanout, Peers.size());
  for (std::size_t I = 0; I < Count; ++I) {
    std::swap(Peers[I], Peers[std::uniform_int_distribution<std::size_t>(
                            I, Peers.size() - 1)(Random)]);
    Actions.emplace_back(SendItems{Peers[I], {Items, {}}});
  }
}

/// Stores the items that are newer than the stored ones and returns them.
static std::vector<Item> storeAll(GossipState &S, const std::vector<Item> &From,
                                  GossipActions &Actions) {
  std::vector<Item> Stored;
  for (const Item &I : From)
    if (store(S, I)) {
      Stored.push_back(I);
      Actions.emplace_back(ItemChanged{I.Key, I.Version});
    }
  return Stored;
}

/// Adds an item unless it exceeds the limit. The first item is always added.
static bool addBounded(std::vector<Item> &Items, std::size_t &Used,
                       std::size_t Limit, const Item &I) {
  std::size_t Size = encodedSize(I);
  if (!Items.empty() && Used + Size > Limit)
    return false;
  Used += Size;
  Items.push_back(I);
  return true;
}

/// The answer to a digest: the versions of the ranges that differ, as many
/// whole ranges as fit into a message.
static ItemDigest answerDigest(const GossipState &S, const ItemDigest &Theirs) {
  ItemDigest Answer;
  Answer.Answer = true;
  Answer.RangeHash = Theirs.RangeHash;
  std::size_t Used = 0;
  bool Full = false;
  for (std::size_t R = 0; R < DigestRanges; ++R) {
    if (Theirs.RangeHash[R] == S.RangeHash[R])
      continue;
    std::size_t Size = 0;
    for (const Item *I : S.Ranges[R])
      Size += encodedSize(ItemVersion{I->Key, I->Version});
    Full = Full || (Used > 0 && Used + Size > S.Options.MessageBytes);
    if (Full)
      break;
    Used += Size;
    Answer.RangeHash[R] = S.RangeHash[R];
    for (const Item *I : S.Ranges[R])
      Answer.Versions.push_back({I->Key, I->Version});
  }
  return Answer;
}

/// The push that follows an answered digest: items that the answering peer
/// lacks and keys that this proxy wants from it.
static ItemPush reconcile(const GossipState &S, const ItemDigest &Answer) {
  ItemPush Push;
  std::map<std::string_view, std::uint64_t> Theirs;
  for (const ItemVersion &V : Answer.Versions)
    Theirs.emplace(V.Key, V.Version);
  std::size_t Used = 0;
  for (std::size_t R = 0; R < DigestRanges; ++R) {
    if (Answer.RangeHash[R] == S.RangeHash[R])
      continue;
    for (const Item *I : S.Ranges[R]) {
      auto It = Theirs.find(I->Key);
      if ((It == Theirs.end() || It->second < I->Version) &&
          !addBounded(Push.Items, Used, S.Options.MessageBytes, *I))
        break;
    }
  }
  std::size_t WantedUsed = 0;
  for (const ItemVersion &V : Answer.Versions) {
    const Item *Own = find(S, V.Key);
    if (Own && Own->Version >= V.Version)
      continue;
    WantedUsed += encodedSize(V);
    if (WantedUsed > S.Options.MessageBytes)
      break;
    Push.Wanted.push_back(V.Key);
  }
  return Push;
}

/// The value of a header item starts with the sum of the hashes of its parts.
constexpr std::size_t HeaderHashBytes = 8;

static std::uint64_t partHash(std::string_view Name, std::string_view Value) {
  return XXH3_64bits_withSeed(Value.data(), Value.size(),
                              XXH3_64bits(Name.data(), Name.size()));
}

static std::string encodeHash(std::uint64_t Hash) {
  std::string Bytes;
  for (std::size_t I = 0; I < HeaderHashBytes; ++I)
    Bytes.push_back(static_cast<char>(Hash >> (8 * I) & 0xff));
  return Bytes;
}

/// Calls \p Use with the name and item of each part under the root.
template <class F>
static void forParts(const GossipState &S, std::string_view Root, F Use) {
  std::string Prefix = std::string(Root) + "/";
  for (auto It = S.Items.lower_bound(Prefix);
       It != S.Items.end() && It->first.starts_with(Prefix); ++It)
    Use(std::string_view(It->first).substr(Prefix.size()), It->second);
}

} // namespace detail

const Item *find(const GossipState &S, std::string_view Key) {
  auto It = S.Items.find(Key);
  return It == S.Items.end() ? nullptr : &It->second;
}

GossipActions put(GossipState &S, std::vector<Item> Items,
                  const std::vector<ProxyId> &Peers, std::mt19937_64 &Random) {
  GossipActions Actions;
  std::vector<Item> Stored = detail::storeAll(S, Items, Actions);
  if (!Stored.empty() && Stored.size() <= S.Options.MaxForwardedItems)
    detail::pushTo(S, std::move(Stored), Peers, ProxyId(), Random, Actions);
  return Actions;
}

GossipActions tick(GossipState &S, const std::vector<ProxyId> &Peers,
                   Instant Now, std::mt19937_64 &Random) {
  GossipActions Actions;
  if (Now < S.NextDigest || Peers.empty())
    return Actions;
  S.NextDigest = Now + S.Options.DigestInterval;
  std::size_t Pick =
      std::uniform_int_distribution<std::size_t>(0, Peers.size() - 1)(Random);
  Actions.emplace_back(SendDigest{
      Peers[Pick], {{S.RangeHash.begin(), S.RangeHash.end()}, {}, false}});
  return Actions;
}

GossipActions received(GossipState &S, const ProxyId &From,
                       const ItemDigest &Digest) {
  GossipActions Actions;
  if (Digest.RangeHash.size() != DigestRanges ||
      std::equal(S.RangeHash.begin(), S.RangeHash.end(),
                 Digest.RangeHash.begin()))
    return Actions;
  if (!Digest.Answer) {
    Actions.emplace_back(SendDigest{From, detail::answerDigest(S, Digest)});
    return Actions;
  }
  ItemPush Push = detail::reconcile(S, Digest);
  if (!Push.Items.empty() || !Push.Wanted.empty())
    Actions.emplace_back(SendItems{From, std::move(Push)});
  return Actions;
}

GossipActions received(GossipState &S, const ProxyId &From,
                       const ItemPush &Push, const std::vector<ProxyId> &Peers,
                       std::mt19937_64 &Random) {
  GossipActions Actions;
  std::vector<Item> Stored = detail::storeAll(S, Push.Items, Actions);
  if (Push.Items.size() > S.Options.MaxForwardedItems)
    // After a bulk transfer more items may be missing, so the next tick sends a
    // digest without waiting for the interval.
    S.NextDigest = Instant();
  else if (!Stored.empty())
    detail::pushTo(S, std::move(Stored), Peers, From, Random, Actions);
  ItemPush Answer;
  std::size_t Used = 0;
  for (const std::string &Key : Push.Wanted) {
    const Item *I = find(S, Key);
    if (I &&
        !detail::addBounded(Answer.Items, Used, S.Options.MessageBytes, *I))
      break;
  }
  if (!Answer.Items.empty())
    Actions.emplace_back(SendItems{From, std::move(Answer)});
  return Actions;
}

std::vector<Item> split(const GossipState &S, std::string_view Root,
                        const CompositeValue &Value) {
  std::vector<Item> Items;
  std::uint64_t Hash = 0;
  std::map<std::string_view, const Part *> Names;
  for (const Part &P : Value.Parts) {
    Hash += detail::partHash(P.Name, P.Value);
    Names.emplace(P.Name, &P);
    std::string Key = std::string(Root) + "/" + P.Name;
    const Item *Stored = find(S, Key);
    if (!Stored || Stored->Value != P.Value)
      Items.push_back({std::move(Key), Value.Version, P.Value});
  }
  detail::forParts(S, Root, [&](std::string_view Name, const Item &Stored) {
    if (!Stored.Value.empty() && !Names.contains(Name))
      Items.push_back({Stored.Key, Value.Version, std::string()});
  });
  Items.push_back({std::string(Root), Value.Version,
                   detail::encodeHash(Hash) + Value.Header});
  return Items;
}

std::optional<CompositeValue> assemble(const GossipState &S,
                                       std::string_view Root) {
  const Item *Header = find(S, Root);
  if (!Header || Header->Value.size() < detail::HeaderHashBytes)
    return std::nullopt;
  CompositeValue Value;
  Value.Version = Header->Version;
  Value.Header = Header->Value.substr(detail::HeaderHashBytes);
  std::uint64_t Hash = 0;
  detail::forParts(S, Root, [&](std::string_view Name, const Item &Stored) {
    if (Stored.Value.empty())
      return;
    Hash += detail::partHash(Name, Stored.Value);
    Value.Parts.push_back({std::string(Name), Stored.Value});
  });
  if (!Header->Value.starts_with(detail::encodeHash(Hash)))
    return std::nullopt;
  return Value;
}

} // namespace eelgrassloom
