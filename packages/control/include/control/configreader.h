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

struct RulesOptions {
  /// Longest silence during a read.
  Duration ReadSilence = std::chrono::milliseconds(900);
  /// Pause before the first read is repeated.
  Duration FirstRetry = std::chrono::milliseconds(150);
};

/// Not copyable: calls in progress refer to it.
class RulesReader {
public:
  /// \p Target and \p Platform outlive the reader.
  static std::unique_ptr<RulesReader> create(Engine &Target, Store &Platform,
                                             const StoreLayout &Layout,
                                             const RulesOptions &Options);

  /// Called when newer rules are in force.
  void onApplied(std::function<void()> Handler) {
    Applied = std::move(Handler);
  }
  /// Called after each read of the store.
  void onRead(std::function<void()> Handler) { ReadDone = std::move(Handler); }

  /// Lets other proxies be asked for the rules.
  void connectBy(PeerDialer ToProxies) { Dial = std::move(ToProxies); }
  /// Reads until there are rules: by itself, because a check that finds changes
  /// answers with the value of every key in it, and the rules may be large.
  void start() { readStore(); }
  /// The rules as an answer of the store holds them; revision 0: they were
  /// removed. What is invalid changes nothing.
  void fromStore(const StoreItem &Item);
  /// Another proxy, which may be asked at \p Address, knows the rules of this
  /// revision. \p StoreLost: the last call to the store had no answer. The
  /// store is asked all the same, because the bound for rules is short.
  void heard(const ProxyId &From, const std::string &Address,
             std::uint64_t Revision, bool StoreLost);

  /// Newest revision that the store has answered with, valid or not; 0: there
  /// are no rules. Empty before the first answer.
  std::optional<std::uint64_t> seen() const { return Seen; }
  /// Revision of the rules in force; 0: none.
  std::uint64_t revision() const { return Revision; }
  /// For other proxies: the rules in force.
  RulesText current() const { return {Revision, Text}; }
  /// Rules of this revision are newer than those in force, and not known to be
  /// invalid.
  bool wanted(std::uint64_t Named) const {
    return Named > Revision && Named != Rejected;
  }
  /// Another proxy knows newer rules than this one.
  bool behind() const { return wanted(Heard); }

private:
  RulesReader(Engine &Target, Store &Platform, const StoreLayout &Layout,
              const RulesOptions &Options)
      : Target(Target), Platform(Platform), Layout(Layout), Options(Options) {}

  /// Puts rules into force if they are valid and newer.
  void apply(const StoreItem &Item);
  void noteRejected(std::uint64_t Which, std::string_view Findings);
  void readStore();
  void readProxy(const ProxyId &From, const std::string &Address);
  void storeAnswered(const StoreReply &Reply, Instant SentAt);
  void noteRead(std::string_view Source, std::string_view Outcome,
                std::uint64_t Found, Instant SentAt);

  Engine &Target;
  Store &Platform;
  const StoreLayout &Layout;
  RulesOptions Options;
  std::function<void()> Applied;
  std::function<void()> ReadDone;
  PeerDialer Dial;
  std::optional<std::uint64_t> Seen;
  std::uint64_t Revision = 0;
  /// The last one that was not put into force.
  std::uint64_t Rejected = 0;
  /// As stored, for other proxies.
  std::string Text;
  /// Newest revision that another proxy has named.
  std::uint64_t Heard = 0;
  /// Since when newer rules are known of.
  Instant BehindSince;
  bool ReadingStore = false;
  bool AskingProxy = false;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_CONFIGREADER_H
