/// \file
/// The operators' rules, read from the store. Revisions are those of the store:
/// the rules of a higher one are newer.

#ifndef EELGRASSLOOM_CONTROL_RULES_H
#define EELGRASSLOOM_CONTROL_RULES_H

#include "control/store.h"
#include "engine/engine.h"

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

  /// Reads until there are rules.
  void start() { readStore(); }
  /// The rules as an answer of the store holds them.
  void accept(const StoreItem &Item);
  /// Another proxy knows the rules of this revision. They are read even if the
  /// store is believed to be lost: the bound for rules is short.
  void heard(const ProxyId &From, std::uint64_t Revision);

  /// Revision of the newest rules that were read; 0: none.
  std::uint64_t revision() const { return Revision; }
  /// Another proxy knows newer rules than this one.
  bool behind() const { return Heard > Revision; }

private:
  RulesReader(Engine &Target, Store &Platform, const StoreLayout &Layout,
              const RulesOptions &Options)
      : Target(Target), Platform(Platform), Layout(Layout), Options(Options) {}

  void readStore();
  void storeAnswered(const StoreReply &Reply, Instant SentAt);

  Engine &Target;
  Store &Platform;
  const StoreLayout &Layout;
  RulesOptions Options;
  std::function<void()> Applied;
  std::function<void()> ReadDone;
  std::uint64_t Revision = 0;
  /// Newest revision that another proxy has named.
  std::uint64_t Heard = 0;
  bool Reading = false;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_RULES_H
