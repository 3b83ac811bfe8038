/// \file
/// The operators' rules, read from the store or, while it does not answer this
/// proxy, from another one. Revisions are those of the store: the rules of a
/// higher one are newer.

#ifndef EELGRASSLOOM_CONTROL_CONFIGREADER_H
#define EELGRASSLOOM_CONTROL_CONFIGREADER_H

#include "control/peerrequest.h"
#include "control/store.h"
#include "engine/engine.h"
#include "kernel/configsource.h"

namespace eelgrassloom {

struct ConfigReaderOptions {
  /// Longest silence during a read.
  Duration CallTimeout = std::chrono::milliseconds(900);
  /// Pause before the first read is repeated.
  Duration FirstRetry = std::chrono::milliseconds(150);
};

/// Not copyable: calls in progress refer to it.
class ConfigReader {
public:
  /// \p SessionEngine and \p KeyValueStore outlive the reader.
  static std::unique_ptr<ConfigReader>
  create(Engine &SessionEngine, Store &KeyValueStore, const StoreLayout &Layout,
         const ConfigReaderOptions &Options);

  /// Called when newer rules are in force.
  void onApplied(std::function<void()> Handler) {
    Applied = std::move(Handler);
  }
  /// Called after each read of the store.
  void onRead(std::function<void()> Handler) { ReadDone = std::move(Handler); }

  /// Lets other proxies be asked for the rules.
  void setDialer(PeerDialer ToProxies) { Dial = std::move(ToProxies); }
  /// Reads until there are rules: by itself, because a check that finds changes
  /// answers with the value of every key in it, and the rules may be large.
  void start() { readStore(); }
  /// The rules as an answer of the store holds them; revision 0: they were
  /// removed. What is invalid changes nothing.
  void applyStored(const StoreItem &Item);
  /// Another proxy, which may be asked at \p Address, knows the rules of this
  /// revision. \p StoreLost: the last call to the store had no answer. The
  /// store is asked all the same, because the bound for rules is short.
  void handlePeerRevision(const ProxyId &From, const std::string &Address,
                          std::uint64_t Revision, bool StoreLost);

  /// Newest revision that the store has answered with, valid or not; 0: there
  /// are no rules. Empty before the first answer.
  std::optional<std::uint64_t> storeRevision() const { return StoreRevision; }
  /// Revision of the rules in force; 0: none.
  std::uint64_t revision() const { return Revision; }
  /// For other proxies: the rules in force.
  StoredConfig current() const { return {Revision, Text}; }
  /// Rules of this revision are newer than those in force, and not known to be
  /// invalid.
  bool isNewer(std::uint64_t Named) const {
    return Named > Revision && Named != RejectedRevision;
  }
  /// Another proxy knows newer rules than this one.
  bool outdated() const { return isNewer(PeerRevision); }

private:
  ConfigReader(Engine &SessionEngine, Store &KeyValueStore,
               const StoreLayout &Layout, const ConfigReaderOptions &Options)
      : SessionEngine(SessionEngine), KeyValueStore(KeyValueStore),
        Layout(Layout), Options(Options) {}

  /// Puts rules into force if they are valid and newer.
  void apply(const StoreItem &Item);
  void rejectConfig(std::uint64_t Which, std::string_view Findings);
  void readStore();
  void readProxy(const ProxyId &From, const std::string &Address);
  void handleStoreReply(const StoreReply &Reply, Instant SentAt);
  void logRead(std::string_view Source, std::string_view Outcome,
               std::uint64_t Found, Instant SentAt);

  Engine &SessionEngine;
  Store &KeyValueStore;
  const StoreLayout &Layout;
  ConfigReaderOptions Options;
  std::function<void()> Applied;
  std::function<void()> ReadDone;
  PeerDialer Dial;
  std::optional<std::uint64_t> StoreRevision;
  std::uint64_t Revision = 0;
  /// The last one that was not put into force.
  std::uint64_t RejectedRevision = 0;
  /// As stored, for other proxies.
  std::string Text;
  /// Newest revision that another proxy has named.
  std::uint64_t PeerRevision = 0;
  /// Since when newer rules are known of.
  Instant OutdatedSince;
  bool ReadingStore = false;
  bool ReadingProxy = false;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_CONFIGREADER_H
