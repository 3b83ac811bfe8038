/// \file
/// Reads the configuration from the store or, if the store does not answer this
/// proxy, from another proxy. Revisions are those of the store: a configuration
/// with a higher revision is newer.

#ifndef EELGRASSLOOM_CONTROL_CONFIGREADER_H
#define EELGRASSLOOM_CONTROL_CONFIGREADER_H

#include "control/peerrequest.h"
#include "control/store.h"
#include "engine/engine.h"
#include "kernel/configsource.h"

namespace eelgrassloom {

struct ConfigReaderOptions {
  /// Timeout of a store read, counted from the last byte received.
  Duration CallTimeout = std::chrono::milliseconds(900);
  /// Pause before the first read is repeated if it gave no configuration.
  Duration FirstRetry = std::chrono::milliseconds(150);
};

/// Keeps the newest valid configuration and applies it to the engine.
/// Not copyable: calls in progress refer to it.
class ConfigReader {
public:
  /// \p SessionEngine and \p KeyValueStore must outlive the reader.
  static std::unique_ptr<ConfigReader>
  create(Engine &SessionEngine, Store &KeyValueStore, const StoreLayout &Layout,
         const ConfigReaderOptions &Options);

  /// Sets the handler that is called after a newer configuration was applied.
  void onApplied(std::function<void()> Handler) {
    Applied = std::move(Handler);
  }
  /// Sets the handler that is called after a read of the store. Reads at the
  /// start that find no configuration are repeated without calling it.
  void onRead(std::function<void()> Handler) { ReadDone = std::move(Handler); }

  /// Sets the dialer, which allows reading the configuration from other
  /// proxies.
  void setDialer(PeerDialer ToProxies) { Dial = std::move(ToProxies); }
  /// Reads the store until it returns a configuration, valid or not. The first
  /// read is a call of its own: a poll that finds changes returns the values of
  /// all keys in it, and the configuration may be large.
  void start() { readStore(); }
  /// Applies the configuration from an answer of the store; revision 0 means
  /// that it was removed. An invalid configuration is logged and changes
  /// nothing.
  void applyStored(const StoreItem &Item);
  /// Reads a newer configuration whose revision another proxy has advertised,
  /// from the store or from that proxy at \p Address. \p StoreUnreachable: the
  /// last call to the store got no answer. The store is read even then, because
  /// the configuration must be applied within a short time.
  void handlePeerRevision(const ProxyId &From, const std::string &Address,
                          std::uint64_t Revision, bool StoreUnreachable);

  /// Newest revision that the store has returned, valid or not; 0 if there is
  /// no configuration. Empty before the first answer.
  std::optional<std::uint64_t> storeRevision() const { return StoreRevision; }
  /// Revision of the configuration in force; 0 if there is none.
  std::uint64_t revision() const { return Revision; }
  /// The configuration in force, as sent to other proxies.
  StoredConfig current() const { return {Revision, Text}; }
  /// True if the configuration of this revision is newer than the one in force
  /// and was not rejected.
  bool isNewer(std::uint64_t Advertised) const {
    return Advertised > Revision && Advertised != RejectedRevision;
  }
  /// True if another proxy knows a newer configuration.
  bool outdated() const { return isNewer(PeerRevision); }

private:
  ConfigReader(Engine &SessionEngine, Store &KeyValueStore,
               const StoreLayout &Layout, const ConfigReaderOptions &Options)
      : SessionEngine(SessionEngine), KeyValueStore(KeyValueStore),
        Layout(Layout), Options(Options) {}

  /// Applies a configuration if it is valid and its version is newer.
  void apply(const StoreItem &Item);
  void rejectConfig(std::uint64_t Rejected, std::string_view Findings);
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
  /// Revision of the last configuration that was rejected.
  std::uint64_t RejectedRevision = 0;
  /// The configuration in force as it is stored, for other proxies.
  std::string Text;
  /// Newest revision that another proxy has advertised.
  std::uint64_t PeerRevision = 0;
  /// Since when this proxy has known that there is a newer configuration.
  Instant OutdatedSince;
  bool ReadingStore = false;
  bool ReadingProxy = false;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_CONFIGREADER_H
