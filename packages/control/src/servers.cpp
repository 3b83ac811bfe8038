#include "control/servers.h"
#include "kernel/validation.h"
#include <algorithm>
#include <xxhash.h>

namespace eelgrassloom {
namespace detail {

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

std::unique_ptr<ServersReader>
ServersReader::create(Engine &SessionEngine, Store &KeyValueStore,
                      const StoreLayout &Layout, RejectedInputs &Rejected,
                      StatusSource Status, std::function<void()> Changed,
                      const ServersOptions &Options) {
  return std::unique_ptr<ServersReader>(
      new ServersReader(SessionEngine, KeyValueStore, Layout, Rejected,
                        std::move(Status), std::move(Changed), Options));
}

void ServersReader::tick() {
  if (!Reading && SessionEngine.runtime().Now() >= NextRead)
    read();
}

void ServersReader::readSoon(Duration Delay) {
  NextRead = std::min(NextRead, SessionEngine.runtime().Now() + Delay);
}

void ServersReader::read() {
  bool Relayed = StoreStatusNow().PolledByOthers;
  bool Matches = Relayed && MismatchReads == 0;
  bool Current = Relayed ? MismatchReads > Options.MaxStaleReads
                         : Reads % Options.CurrentEvery == 0;
  Current = Current || !Known;
  ++Reads;
  Reading = true;
  NextRead = SessionEngine.runtime().Now() +
             (Matches ? Options.MatchInterval : Options.Interval);
  KeyValueStore.range(
      Layout.ServersPrefix, Current ? ReadMode::Current : ReadMode::AllowStale,
      Options.CallTimeout,
      [this](const StoreReply &Reply) { handleStoreReply(Reply); });
}

void ServersReader::handleStoreReply(const StoreReply &Reply) {
  Reading = false;
  LastReadFailed = Reply.Code != StoreCode::Ok;
  if (!LastReadFailed) {
    apply(Reply.Items);
    return;
  }
  handleStoreFailure();
  StoreStatus Status = StoreStatusNow();
  bool Outage = !Status.Reachable || Status.PollOverdue;
  NextRead = SessionEngine.runtime().Now() +
             (Outage ? Options.Interval : Options.Retry);
}

void ServersReader::apply(const std::vector<StoreItem> &Items) {
  std::vector<ServerEntry> Next;
  std::uint64_t Newest = 0;
  for (const StoreItem &Item : Items) {
    auto Decoded = Layout.DecodeServer(Item);
    std::vector<Finding> Findings =
        Decoded ? validate(Decoded.value()) : Decoded.findings();
    if (!Findings.empty()) {
      Rejected.log(Item, Findings);
      continue;
    }
    Next.push_back(std::move(Decoded).value());
    Newest = std::max(Newest, Item.Revision);
  }
  keepMissing(Next);
  set(std::move(Next), Newest);
}

/// Entries expire during an outage of the store; the servers write them again
/// when it is over.
void ServersReader::keepMissing(std::vector<ServerEntry> &Next) {
  std::set<UpstreamId> Present;
  for (const ServerEntry &Entry : Next)
    Present.insert(Entry.Id);
  Instant Now = SessionEngine.runtime().Now();
  bool Recent = storeFailedRecently();
  for (const ServerEntry &Old : Entries) {
    if (Present.count(Old.Id) != 0) {
      MissingSince.erase(Old.Id);
      continue;
    }
    Instant Since = MissingSince.emplace(Old.Id, Now).first->second;
    if (Recent && Now - Since < Options.MissingGrace)
      Next.push_back(Old);
    else
      MissingSince.erase(Old.Id);
  }
}

/// A server that drains ends; one that starts again has another start time.
void ServersReader::keepDraining(std::vector<ServerEntry> &Next) const {
  if (!storeFailedRecently())
    return;
  for (ServerEntry &Entry : Next) {
    auto Old = std::lower_bound(
        Entries.begin(), Entries.end(), Entry.Id,
        [](const ServerEntry &E, const UpstreamId &Id) { return E.Id < Id; });
    if (Old != Entries.end() && Old->Id == Entry.Id && Old->Draining &&
        Old->StartedAt != 0 && Old->StartedAt == Entry.StartedAt)
      Entry.Draining = true;
  }
}

void ServersReader::set(std::vector<ServerEntry> Next,
                        std::uint64_t NewRevision) {
  keepDraining(Next);
  std::sort(
      Next.begin(), Next.end(),
      [](const ServerEntry &A, const ServerEntry &B) { return A.Id < B.Id; });
  Entries = std::move(Next);
  Known = true;
  Revision = NewRevision;
  Digest = detail::digestOf(Entries);
  Changed();
}

void ServersReader::compare(std::uint64_t PollerDigest) {
  if (PollerDigest == 0 || PollerDigest == Digest) {
    MismatchReads = 0;
    return;
  }
  if (Reading || !Known || !StoreStatusNow().Reachable)
    return;
  // Either this proxy or the poller may have read a stale answer.
  Instant Soon =
      SessionEngine.runtime().Now() +
      (MismatchReads == 0 ? Duration::zero() : Options.MismatchInterval);
  if (MismatchReads == 0 || NextRead > Soon) {
    ++MismatchReads;
    NextRead = std::min(NextRead, Soon);
  }
}

void ServersReader::handlePeerRevision(const ProxyId &From,
                                       const std::string &Address,
                                       std::uint64_t ListRevision,
                                       std::uint64_t ListDigest) {
  bool StoreServes = StoreStatusNow().Reachable && !LastReadFailed;
  if (!ReadingProxy && !StoreServes && !Address.empty() &&
      ListRevision > Revision && ListDigest != Digest)
    readProxy(From, Address);
}

/// Entries of another proxy are checked like those of the store: their ids and
/// services become words of protocol lines.
void ServersReader::applyPeerList(const ProxyId &From,
                                  const ServersList &List) {
  std::vector<ServerEntry> Valid;
  for (const ServerEntry &Entry : List.Servers) {
    std::vector<Finding> Findings = validate(Entry);
    if (Findings.empty())
      Valid.push_back(Entry);
    else
      SessionEngine.events().write(
          EngineEvent::InputRejected,
          {{"from", From}, {"findings", toString(Findings)}});
  }
  set(std::move(Valid), List.Revision);
}

void ServersReader::readProxy(const ProxyId &From, const std::string &Address) {
  ReadingProxy = true;
  sendPeerRequest(
      SessionEngine.runtime(), Dial, Address, ServersRequest{},
      [this, From](PeerRequestOutcome Outcome, const ForwardMessage *Answer) {
        ReadingProxy = false;
        const auto *Found =
            Answer != nullptr ? std::get_if<ServersList>(Answer) : nullptr;
        SessionEngine.events().write(
            EngineEvent::ServersRead,
            {{"source", From},
             {"outcome", name(Outcome)},
             {"revision", Found != nullptr ? Found->Revision : 0},
             {"known", Revision}});
        if (Found != nullptr && Found->Revision > Revision)
          applyPeerList(From, *Found);
      });
}

} // namespace eelgrassloom
