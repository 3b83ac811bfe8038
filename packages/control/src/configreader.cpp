#include "control/configreader.h"
#include "kernel/validation.h"
#include <algorithm>

namespace eelgrassloom {

std::unique_ptr<RulesReader> RulesReader::create(Engine &Target,
                                                 Store &Platform,
                                                 const StoreLayout &Layout,
                                                 const RulesOptions &Options) {
  return std::unique_ptr<RulesReader>(
      new RulesReader(Target, Platform, Layout, Options));
}

void RulesReader::readStore() {
  ReadingStore = true;
  Platform.range(Layout.RulesKey, ReadMode::Current, Options.ReadSilence,
                 [this, SentAt = Target.runtime().Now()](StoreReply Reply) {
                   storeAnswered(Reply, SentAt);
                 });
}

void RulesReader::storeAnswered(const StoreReply &Reply, Instant SentAt) {
  ReadingStore = false;
  // Other keys may begin with the name of this one.
  auto Found = std::find_if(
      Reply.Items.begin(), Reply.Items.end(),
      [&](const StoreItem &Item) { return Item.Key == Layout.RulesKey; });
  bool Present = Found != Reply.Items.end();
  noteRead("store", name(Reply.Code), Present ? Found->Revision : 0, SentAt);
  if (Present)
    fromStore(*Found);
  if (!Seen)
    Target.runtime().After(Options.FirstRetry, [this] { readStore(); });
  else if (ReadDone)
    ReadDone();
}

void RulesReader::fromStore(const StoreItem &Item) {
  std::uint64_t Before = Seen.value_or(0);
  if (Item.Revision != 0 && Item.Revision < Before)
    return; // A late answer.
  Seen = Item.Revision;
  if (Item.Revision == 0) {
    if (Before != 0)
      noteRejected(0, "the rules were removed");
    return;
  }
  if (Item.Revision > std::max(Before, Revision))
    apply(Item);
}

void RulesReader::noteRejected(std::uint64_t Which, std::string_view Findings) {
  Rejected = Which;
  Target.events().write(EngineEvent::ConfigurationRejected,
                        {{"revision", Which},
                         {"in_force", Target.rules().Version},
                         {"findings", Findings}});
}

void RulesReader::apply(const StoreItem &Item) {
  auto Decoded = Layout.DecodeRules(Item.Value);
  std::vector<Finding> Findings =
      Decoded ? findingsOf(Decoded.value()) : Decoded.findings();
  if (!Findings.empty()) {
    noteRejected(Item.Revision, toString(Findings));
    return;
  }
  // The same version may be written again.
  bool Same = Decoded.value().Version == Target.rules().Version;
  if (!Same && !Target.setRules(std::move(Decoded).value())) {
    Rejected = Item.Revision;
    return;
  }
  Revision = Item.Revision;
  Text = Item.Value;
  if (!Same && Applied)
    Applied();
}

void RulesReader::noteRead(std::string_view Source, std::string_view Outcome,
                           std::uint64_t Found, Instant SentAt) {
  Target.events().write(EngineEvent::ConfigurationRead,
                        {{"source", Source},
                         {"outcome", Outcome},
                         {"revision", Found},
                         {"known", Revision},
                         {"took_ms", Target.runtime().Now() - SentAt}});
}

void RulesReader::heard(const ProxyId &From, const std::string &Address,
                        std::uint64_t Named, bool StoreLost) {
  if (!wanted(Named))
    return;
  Instant Now = Target.runtime().Now();
  if (!behind())
    BehindSince = Now;
  if (Named > Heard) {
    Heard = Named;
    Target.events().write(
        EngineEvent::ConfigurationHeard,
        {{"from", From}, {"revision", Named}, {"known", Revision}});
  }
  // Rules that this proxy has seen and not put into force are asked for no
  // more in the store.
  bool InStore = Named > Seen.value_or(0);
  RulesReads Next = planRulesReads(
      {Now - BehindSince, StoreLost || !InStore, ReadingStore, AskingProxy});
  if (Next.Store && InStore)
    readStore();
  if (Next.Proxy && Dial && !Address.empty())
    readProxy(From, Address);
}

void RulesReader::readProxy(const ProxyId &From, const std::string &Address) {
  AskingProxy = true;
  askProxy(Target.runtime(), Dial, Address, RulesQuestion{},
           [this, From, SentAt = Target.runtime().Now()](
               AskOutcome Outcome, const ForwardMessage *Answer) {
             AskingProxy = false;
             const auto *Found =
                 Answer != nullptr ? std::get_if<RulesText>(Answer) : nullptr;
             noteRead(From, name(Outcome),
                      Found != nullptr ? Found->Revision : 0, SentAt);
             if (Found != nullptr && Found->Revision > Revision)
               apply({Layout.RulesKey, Found->Text, Found->Revision, 0});
           });
}

} // namespace eelgrassloom
