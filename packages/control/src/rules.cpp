#include "control/rules.h"

namespace eelgrassloom {

std::unique_ptr<RulesReader> RulesReader::create(Engine &Target,
                                                 Store &Platform,
                                                 const StoreLayout &Layout,
                                                 const RulesOptions &Options) {
  return std::unique_ptr<RulesReader>(
      new RulesReader(Target, Platform, Layout, Options));
}

void RulesReader::readStore() {
  Reading = true;
  Platform.range(Layout.RulesKey, ReadMode::Current, Options.ReadSilence,
                 [this, SentAt = Target.runtime().Now()](StoreReply Reply) {
                   storeAnswered(Reply, SentAt);
                 });
}

void RulesReader::storeAnswered(const StoreReply &Reply, Instant SentAt) {
  Reading = false;
  std::uint64_t Found = 0;
  for (const StoreItem &Item : Reply.Items)
    if (Item.Key == Layout.RulesKey)
      Found = Item.Revision;
  Target.events().write(EngineEvent::ConfigurationRead,
                        {{"source", "store"},
                         {"outcome", name(Reply.Code)},
                         {"revision", Found},
                         {"known", Revision},
                         {"took_ms", Target.runtime().Now() - SentAt}});
  for (const StoreItem &Item : Reply.Items)
    if (Item.Key == Layout.RulesKey)
      accept(Item);
  if (Revision == 0)
    Target.runtime().After(Options.FirstRetry, [this] { readStore(); });
  else if (ReadDone)
    ReadDone();
}

void RulesReader::accept(const StoreItem &Item) {
  if (Item.Revision <= Revision)
    return;
  auto Decoded = Layout.DecodeRules(Item.Value);
  Revision = Item.Revision;
  if (!Decoded) {
    Target.events().write(EngineEvent::ConfigurationRejected,
                          {{"revision", Item.Revision},
                           {"in_force", Target.rules().Version},
                           {"findings", toString(Decoded.findings())}});
    return;
  }
  Target.setRules(std::move(Decoded).value());
  if (Applied)
    Applied();
}

void RulesReader::heard(const ProxyId &From, std::uint64_t Named) {
  if (Named <= Revision)
    return;
  if (Named > Heard) {
    Heard = Named;
    Target.events().write(
        EngineEvent::ConfigurationHeard,
        {{"from", From}, {"revision", Named}, {"known", Revision}});
  }
  if (!Reading)
    readStore();
}

} // namespace eelgrassloom
