/// \file
/// The key-value store and the promotion call of tests with real processes,
/// served over HTTP.

#ifndef EELGRASSLOOM_SOAK_KEYVALUESTORE_H
#define EELGRASSLOOM_SOAK_KEYVALUESTORE_H

#include "timers.h"
#include <map>
#include <set>

namespace eelgrassloom::soak {

/// Fault of the store for all proxies; the promotion call is not affected by
/// Unresponsive and Busy.
enum class StoreMode : std::uint8_t {
  Normal,
  Unresponsive,
  Busy,
  DropResponses,
  Slow
};

/// The key-value store and the promotion call. The store has one port for each
/// proxy, so that single proxies can be partitioned from it.
class KeyValueStore {
public:
  /// Promotes the server with this id; false if it can't be promoted.
  using Promotion = std::function<bool(const std::string &Id)>;

  KeyValueStore(io_context &Loop, Promotion Promote);

  std::uint16_t port(std::size_t Proxy);
  void put(const std::string &Key, const std::string &Value);
  void erase(const std::string &Key);
  /// Ends expired leases and removes their keys.
  void expire();

  /// Keeps what the store has now, to come back from it later.
  void takeCopy() { Copy = Now; }
  /// Answers nothing and changes nothing until it comes back.
  void goAway() { Away = true; }
  /// Comes back from the copy in a new era: what was written since is lost, and
  /// its revisions are given out again.
  void returnFromCopy();
  bool away() const { return Away; }
  unsigned era() const { return Era; }
  /// Handles a request. \p Done gets the HTTP status and the body. If the
  /// request gets no answer, \p Done is not called or gets status 0.
  void handle(std::size_t Proxy, const std::string &Method,
              const std::string &Target, const std::string &Body,
              std::function<void(unsigned, std::string)> Done);

  /// Stops answering on the proxy's open connections; new ones get answers.
  void hangConnections(std::size_t Proxy) { ++HangCounts[Proxy]; }
  /// How often hangConnections was called for the proxy.
  unsigned hangCount(std::size_t Proxy) { return HangCounts[Proxy]; }

  StoreMode Mode = StoreMode::Normal;
  /// Answers name the era of the store.
  bool NamesEra = true;
  /// Proxies whose requests, except promotion calls, the store never answers.
  std::set<std::size_t> PartitionedProxies;
  /// Proxies whose requests, except promotion calls, the store refuses at once
  /// with status 503.
  std::set<std::size_t> RejectedProxies;
  /// Notes the fencing token and the holder of the promotion lock in a request.
  void addToken(std::uint64_t Token, const std::string &Holder);
  /// Violations by callers of the promotion call.
  std::vector<std::string> Problems;

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t LeaseId = 0;
  };
  /// What a copy of the store contains.
  struct Content {
    std::map<std::string, Item> Items;
    std::uint64_t Revision = 10;
    std::uint64_t NextLease = 1;
    std::map<std::uint64_t, std::pair<Instant, Duration>> Leases;
  };
  void accept(std::size_t Proxy);
  std::string itemText(const std::string &Key, const Item &I) const;
  std::pair<unsigned, std::string> transact(const std::string &Body);
  std::pair<unsigned, std::string> run(const std::string &Method,
                                       const std::string &Target,
                                       const std::string &Body);
  /// Answers a watch once a key with the prefix has changed after the revision
  /// \p After, or with no events at \p Until.
  void watch(const std::string &Prefix, std::uint64_t After, Instant Until,
             std::function<void(unsigned, std::string)> Done);

  io_context &Loop;
  Promotion Promote;
  std::vector<std::unique_ptr<platform::tcp::acceptor>> Acceptors;
  Content Now;
  Content Copy;
  bool Away = false;
  unsigned Era = 1;
  /// Fencing tokens of the promotion calls, in order.
  std::vector<std::uint64_t> Tokens;
  std::map<std::uint64_t, std::string> HolderOfToken;
  std::map<std::size_t, unsigned> HangCounts;
};

} // namespace eelgrassloom::soak

#endif // EELGRASSLOOM_SOAK_KEYVALUESTORE_H
