// Registered servers and proxies.

#include "control/coordinator.h"
#include "kernel/checkrules.h"
#include <algorithm>
#include <xxhash.h>

namespace eelgrassloom {
namespace detail {

constexpr std::size_t MostRejectedKnown = 1000;

std::uint64_t digestOf(const std::vector<ServerEntry> &Servers) {
  std::string Text;
  for (const ServerEntry &S : Servers)
    Text += S.Id + ' ' + S.Service + ' ' + S.Address + ' ' + S.FailureDomain +
            ' ' + std::to_string(S.Slots) + (S.Draining ? " draining " : " ") +
            std::to_string(S.StartedAt) + ' ' +
            std::string(name(S.ReportedRole)) + '\n';
  return XXH3_64bits(Text.data(), Text.size());
}

} // namespace detail

void Coordinator::readServers() {
  ServersBusy = true;
  NextServers = now() + Options.ServersInterval;
  bool Same = checkedByOthers() && OtherServersReads == 0;
  if (Same)
    NextServers = now() + Options.SameServersInterval;
  bool Current = checkedByOthers()
                     ? OtherServersReads > Options.OldServersReads
                     : ServersReads % Options.CurrentServersEvery == 0;
  Current = Current || !ServersKnown;
  ++ServersReads;
  Platform.range(Layout.ServersPrefix,
                 Current ? ReadMode::Current : ReadMode::MayBeOld,
                 Options.CallTimeout, [this](StoreReply Reply) {
                   ServersBusy = false;
                   ServersFailed = Reply.Code != StoreCode::Ok;
                   if (ServersFailed) {
                     StoreTroubleAt = now();
                     NextServers = now() + readPause(Options.ServersInterval);
                     return;
                   }
                   applyServers(Reply.Items);
                 });
}

void Coordinator::applyServers(const std::vector<StoreItem> &Items) {
  std::vector<ServerEntry> Next;
  std::set<UpstreamId> Present;
  std::uint64_t Newest = 0;
  for (const StoreItem &Item : Items) {
    auto Decoded = Layout.DecodeServer(Item);
    std::vector<Finding> Findings =
        Decoded ? findingsOf(Decoded.value()) : Decoded.findings();
    if (!Findings.empty()) {
      noteRejected(Item, Findings);
      continue;
    }
    Next.push_back(std::move(Decoded).value());
    Present.insert(Next.back().Id);
    Newest = std::max(Newest, Item.Revision);
  }
  // Entries lapse while the store is away; they are written again after it
  // returned.
  bool Recent = now() - StoreTroubleAt < Options.MissingGrace;
  for (const ServerEntry &Old : Servers) {
    if (Present.count(Old.Id) != 0) {
      MissingSince.erase(Old.Id);
      continue;
    }
    Instant Since = MissingSince.emplace(Old.Id, now()).first->second;
    if (Recent && now() - Since < Options.MissingGrace)
      Next.push_back(Old);
    else
      MissingSince.erase(Old.Id);
  }
  setServers(std::move(Next), Newest);
}

void Coordinator::setServers(std::vector<ServerEntry> Next,
                             std::uint64_t Revision) {
  std::sort(
      Next.begin(), Next.end(),
      [](const ServerEntry &A, const ServerEntry &B) { return A.Id < B.Id; });
  Servers = std::move(Next);
  ServersKnown = true;
  ServersRevision = Revision;
  ServersDigest = detail::digestOf(Servers);
  Target.setServers(Servers, ProxyCount);
}

void Coordinator::askServers(const PeerMessage &Answer) {
  std::string Address = Others->addressOf(Answer.From);
  bool StoreServes = StoreUp && !ServersFailed;
  if (AskingServers || StoreServes || Address.empty() ||
      Answer.ServersRevision <= ServersRevision ||
      Answer.ServersDigest == ServersDigest)
    return;
  AskingServers = true;
  askProxy(Target.runtime(), Dial, Address, ServersQuestion{},
           [this, From = Answer.From](AskOutcome Outcome,
                                      const ForwardMessage *Message) {
             AskingServers = false;
             const auto *Found = Message != nullptr
                                     ? std::get_if<ServersList>(Message)
                                     : nullptr;
             bool Newer = Found != nullptr && Found->Revision > ServersRevision;
             Target.events().write(
                 EngineEvent::ServersRead,
                 {{"source", From},
                  {"outcome", name(Outcome)},
                  {"revision", Found != nullptr ? Found->Revision : 0},
                  {"known", ServersRevision}});
             if (Newer)
               setServers(Found->Servers, Found->Revision);
           });
}

void Coordinator::noteRejected(const StoreItem &Item,
                               const std::vector<Finding> &Findings) {
  if (RejectedInputs.size() >= detail::MostRejectedKnown)
    RejectedInputs.clear();
  auto [It, New] = RejectedInputs.emplace(Item.Key, Item.Revision);
  if (!New && It->second == Item.Revision)
    return; // It is read again and again.
  It->second = Item.Revision;
  Target.events().write(EngineEvent::InputRejected,
                        {{"key", Item.Key}, {"findings", toString(Findings)}});
}

void Coordinator::compareServers(std::uint64_t Digest) {
  if (Digest == 0 || Digest == ServersDigest) {
    OtherServersReads = 0;
    return;
  }
  if (ServersBusy || !ServersKnown || !StoreUp)
    return;
  // Either side may have read an old answer.
  Instant Soon =
      now() + (OtherServersReads == 0 ? Duration::zero()
                                      : Options.OtherServersInterval);
  if (OtherServersReads == 0 || NextServers > Soon) {
    ++OtherServersReads;
    NextServers = std::min(NextServers, Soon);
  }
}

void Coordinator::readProxies() {
  ProxiesBusy = true;
  NextProxies = now() + (ProxiesReads++ < Options.FirstProxiesReads
                             ? Options.FirstProxiesInterval
                             : Options.ProxiesInterval);
  bool WithChecks = Duty.Held || Duty.TakeAt;
  Platform.range(std::string(WithChecks ? ProxyStatePrefix : ProxyPrefix),
                 Duty.Held ? ReadMode::Current : ReadMode::MayBeOld,
                 Options.CallTimeout,
                 [this, SentAt = now(), WithChecks](StoreReply Reply) {
                   ProxiesBusy = false;
                   if (Reply.Code != StoreCode::Ok) {
                     NextProxies = now() + readPause(Options.ServersInterval);
                     return;
                   }
                   if (WithChecks)
                     noteCheckMarks(Reply.Items);
                   applyProxies(Reply.Items, SentAt);
                 });
}

void Coordinator::noteCheckMarks(const std::vector<StoreItem> &Items) {
  for (const StoreItem &Item : Items) {
    if (!Item.Key.starts_with(CheckMarkPrefix))
      continue;
    CheckMark &Known = Checks[Item.Key.substr(CheckMarkPrefix.size())];
    if (Known.Revision != Item.Revision)
      Known = {Item.Revision, now(), Known.Revision != 0};
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
      noteRejected(Item, Decoded.findings());
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
    mergeTold(Report);
    Next.push_back(std::move(Report));
    if (Record.Id == Self && Record.Evicted)
      NextCheck = now(); // It must register again.
    if (!Record.Evicted)
      Registered.push_back({Record.Id, Record.Address, Record.FailureDomain});
  }
  if (Others != nullptr)
    Others->setPeers(std::move(Registered), SentAt);
  Proxies = std::move(Next);
  ProxiesReadAt = SentAt;
  ProxyCount = std::max<std::size_t>(
      1, static_cast<std::size_t>(
             std::count_if(Proxies.begin(), Proxies.end(),
                           [](const ProxyReport &P) { return !P.Evicted; })));
  if (ServersKnown)
    Target.setServers(Servers, ProxyCount);
}

} // namespace eelgrassloom
