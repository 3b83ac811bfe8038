// Reads of the registered proxies and their heartbeats.

#include "control/coordinator.h"
#include <algorithm>

namespace eelgrassloom {

void Coordinator::readProxies() {
  ReadingProxies = true;
  NextProxies = now() + (ProxiesReads++ < Options.FirstProxiesReads
                             ? Options.FirstProxiesInterval
                             : Options.ProxiesInterval);
  bool WithHeartbeats = PromotionLock.Held || PromotionLock.AcquireAt;
  KeyValueStore.range(
      std::string(WithHeartbeats ? ProxyStatePrefix : ProxyPrefix),
      PromotionLock.Held ? ReadMode::Current : ReadMode::AllowStale,
      Options.CallTimeout,
      [this, SentAt = now(), WithHeartbeats](StoreReply Reply) {
        ReadingProxies = false;
        if (Reply.Code != StoreCode::Ok) {
          NextProxies = now() + readPause(Options.ProxiesRetry);
          return;
        }
        if (WithHeartbeats)
          updateHeartbeats(Reply.Items);
        applyProxies(Reply.Items, SentAt);
      });
}

void Coordinator::updateHeartbeats(const std::vector<StoreItem> &Items) {
  for (const StoreItem &Item : Items) {
    if (!Item.Key.starts_with(HeartbeatPrefix))
      continue;
    Heartbeat &Known = Heartbeats[Item.Key.substr(HeartbeatPrefix.size())];
    if (Known.Revision != Item.Revision)
      Known = {Item.Revision, madeBy(Revisions, Item.Revision).value_or(now()),
               Known.Revision != 0};
  }
}

void Coordinator::applyProxies(const std::vector<StoreItem> &Items,
                               Instant SentAt) {
  std::vector<ProxyReport> Next;
  std::vector<PeerInfo> Registered;
  for (const StoreItem &Item : Items) {
    if (!Item.Key.starts_with(ProxyPrefix))
      continue;
    auto Decoded = decodeProxy(Item);
    if (!Decoded) {
      Rejected.log(Item, Decoded.findings());
      continue;
    }
    const ProxyRecord &Record = Decoded.value();
    ProxyReport Report{Record.Id,
                       Item.Revision,
                       Record.Evicted,
                       Record.Unreachable,
                       Record.Acknowledged,
                       now(),
                       Record.FailureDomain,
                       Record.Answered};
    for (const ProxyReport &Old : Proxies)
      if (Old.Id == Report.Id && Old.Revision == Report.Revision)
        Report.SeenAt = Old.SeenAt;
    mergePeerEpochs(Report);
    Next.push_back(std::move(Report));
    if (Record.Id == Self && Record.Evicted)
      NextPoll = now(); // The poll finds the eviction; then it registers.
    if (!Record.Evicted)
      Registered.push_back(
          {Record.Id, Record.Address, Record.FailureDomain, Record.MilliCores});
  }
  if (PeerProxies != nullptr)
    PeerProxies->setPeers(std::move(Registered), SentAt);
  Proxies = std::move(Next);
  ProxiesReadAt = SentAt;
  ProxyCount = std::max<std::size_t>(
      1, static_cast<std::size_t>(
             std::count_if(Proxies.begin(), Proxies.end(),
                           [](const ProxyReport &P) { return !P.Evicted; })));
  if (Servers->known())
    SessionEngine.setServers(Servers->entries(), ProxyCount);
}

} // namespace eelgrassloom
