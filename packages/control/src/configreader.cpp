#include "control/configreader.h"
#include "kernel/validation.h"
#include <algorithm>

namespace eelgrassloom {

std::unique_ptr<ConfigReader>
ConfigReader::create(Engine &SessionEngine, Store &KeyValueStore,
                     const StoreLayout &Layout,
                     const ConfigReaderOptions &Options) {
  return std::unique_ptr<ConfigReader>(
      new ConfigReader(SessionEngine, KeyValueStore, Layout, Options));
}

void ConfigReader::readStore() {
  ReadingStore = true;
  KeyValueStore.range(
      Layout.ConfigKey, ReadMode::Current, Options.CallTimeout,
      [this, SentAt = SessionEngine.runtime().Now()](StoreReply Reply) {
        handleStoreReply(Reply, SentAt);
      });
}

void ConfigReader::handleStoreReply(const StoreReply &Reply, Instant SentAt) {
  ReadingStore = false;
  // The key is read as a prefix, and other keys may begin with it.
  auto Found = std::find_if(
      Reply.Items.begin(), Reply.Items.end(),
      [&](const StoreItem &Item) { return Item.Key == Layout.ConfigKey; });
  bool Present = Found != Reply.Items.end();
  logRead("store", name(Reply.Code), Present ? Found->Revision : 0, SentAt);
  if (Present)
    applyStored(*Found);
  else if (Reply.Code == StoreCode::Ok && !StoreRevision)
    StoreRevision = 0; // The polls find the first configuration.
  if (!StoreRevision)
    SessionEngine.runtime().After(Options.FirstRetry, [this] { readStore(); });
  else if (ReadDone)
    ReadDone();
}

void ConfigReader::applyStored(const StoreItem &Item) {
  std::uint64_t Before = StoreRevision.value_or(0);
  if (Item.Revision != 0 && Item.Revision < Before)
    return; // A late answer with an older revision.
  StoreRevision = Item.Revision;
  if (Item.Revision == 0) {
    if (Before != 0)
      rejectConfig(0, "the configuration key was removed from the store");
    return;
  }
  if (Item.Revision > std::max(Before, Revision))
    apply(Item);
}

void ConfigReader::rejectConfig(std::uint64_t Rejected,
                                std::string_view Findings) {
  RejectedRevision = Rejected;
  SessionEngine.events().write(EngineEvent::ConfigurationRejected,
                               {{"revision", Rejected},
                                {"in_force", SessionEngine.config().Version},
                                {"findings", Findings}});
}

void ConfigReader::apply(const StoreItem &Item) {
  auto Decoded = Layout.DecodeConfig(Item.Value);
  std::vector<Finding> Findings =
      Decoded ? validate(Decoded.value()) : Decoded.findings();
  if (!Findings.empty()) {
    rejectConfig(Item.Revision, toString(Findings));
    return;
  }
  // The same version may be stored again under a new revision.
  bool Same = Decoded.value().Version == SessionEngine.config().Version;
  if (!Same && !SessionEngine.applyConfig(std::move(Decoded).value())) {
    RejectedRevision = Item.Revision;
    return;
  }
  Revision = Item.Revision;
  Text = Item.Value;
  if (!Same && Applied)
    Applied();
}

void ConfigReader::logRead(std::string_view Source, std::string_view Outcome,
                           std::uint64_t Found, Instant SentAt) {
  SessionEngine.events().write(
      EngineEvent::ConfigurationRead,
      {{"source", Source},
       {"outcome", Outcome},
       {"revision", Found},
       {"known", Revision},
       {"took_ms", SessionEngine.runtime().Now() - SentAt}});
}

void ConfigReader::handlePeerRevision(const ProxyId &From,
                                      const std::string &Address,
                                      std::uint64_t Advertised,
                                      bool StoreUnreachable) {
  if (!isNewer(Advertised))
    return;
  Instant Now = SessionEngine.runtime().Now();
  if (!outdated())
    OutdatedSince = Now;
  if (Advertised > PeerRevision) {
    PeerRevision = Advertised;
    SessionEngine.events().write(
        EngineEvent::ConfigurationAdvertised,
        {{"from", From}, {"revision", Advertised}, {"known", Revision}});
  }
  // A configuration that this proxy has read from the store and not applied is
  // not read from there again.
  bool InStore = Advertised > StoreRevision.value_or(0);
  ConfigReads Next =
      planConfigReads({Now - OutdatedSince, StoreUnreachable || !InStore,
                       ReadingStore, ReadingProxy});
  if (Next.Store && InStore)
    readStore();
  if (Next.Proxy && Dial && !Address.empty())
    readProxy(From, Address);
}

void ConfigReader::readProxy(const ProxyId &From, const std::string &Address) {
  ReadingProxy = true;
  sendPeerRequest(
      SessionEngine.runtime(), Dial, Address, ConfigRequest{},
      [this, From, SentAt = SessionEngine.runtime().Now()](
          PeerRequestOutcome Outcome, const ForwardMessage *Answer) {
        ReadingProxy = false;
        const auto *Found =
            Answer != nullptr ? std::get_if<StoredConfig>(Answer) : nullptr;
        logRead(From, name(Outcome), Found != nullptr ? Found->Revision : 0,
                SentAt);
        if (Found != nullptr && Found->Revision > Revision)
          apply({Layout.ConfigKey, Found->Text, Found->Revision, 0});
      });
}

} // namespace eelgrassloom
