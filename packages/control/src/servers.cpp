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
ServersReader::create(Engine &Target, Store &Platform,
                      const StoreLayout &Layout, RejectedInputs &Rejected,
                      Situation Now, std::function<void()> Changed,
                      const ServersOptions &Options) {
  return std::unique_ptr<ServersReader>(
      new ServersReader(Target, Platform, Layout, Rejected, std::move(Now),
                        std::move(Changed), Options));
}

void ServersReader::tick() {
  if (!Reading && Target.runtime().Now() >= NextRead)
    read();
}

void ServersReader::readSoon(Duration Delay) {
  NextRead = std::min(NextRead, Target.runtime().Now() + Delay);
}

void ServersReader::read() {
  bool Relayed = StoreNow().CheckedByOthers;
  bool Same = Relayed && OtherReads == 0;
  bool Current = Relayed ? OtherReads > Options.OldReads
                         : Reads % Options.CurrentEvery == 0;
  Current = Current || !Known;
  ++Reads;
  Reading = true;
  NextRead =
      Target.runtime().Now() + (Same ? Options.SameInterval : Options.Interval);
  Platform.range(Layout.ServersPrefix,
                 Current ? ReadMode::Current : ReadMode::MayBeOld,
                 Options.CallTimeout,
                 [this](const StoreReply &Reply) { answered(Reply); });
}

void ServersReader::answered(const StoreReply &Reply) {
  Reading = false;
  Failed = Reply.Code != StoreCode::Ok;
  if (!Failed) {
    apply(Reply.Items);
    return;
  }
  noteTrouble();
  StoreSituation Now = StoreNow();
  bool Outage = !Now.Up || Now.Silent;
  NextRead =
      Target.runtime().Now() + (Outage ? Options.Interval : Options.Retry);
}

void ServersReader::apply(const std::vector<StoreItem> &Items) {
  std::vector<ServerEntry> Next;
  std::uint64_t Newest = 0;
  for (const StoreItem &Item : Items) {
    auto Decoded = Layout.DecodeServer(Item);
    std::vector<Finding> Findings =
        Decoded ? findingsOf(Decoded.value()) : Decoded.findings();
    if (!Findings.empty()) {
      Rejected.note(Item, Findings);
      continue;
    }
    Next.push_back(std::move(Decoded).value());
    Newest = std::max(Newest, Item.Revision);
  }
  keepMissing(Next);
  set(std::move(Next), Newest);
}

/// Entries lapse while the store is away; they are written again after it
/// returned.
void ServersReader::keepMissing(std::vector<ServerEntry> &Next) {
  std::set<UpstreamId> Present;
  for (const ServerEntry &Entry : Next)
    Present.insert(Entry.Id);
  Instant Now = Target.runtime().Now();
  bool Recent = Now - TroubleAt < Options.MissingGrace;
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

void ServersReader::set(std::vector<ServerEntry> Next,
                        std::uint64_t NewRevision) {
  std::sort(
      Next.begin(), Next.end(),
      [](const ServerEntry &A, const ServerEntry &B) { return A.Id < B.Id; });
  Entries = std::move(Next);
  Known = true;
  Revision = NewRevision;
  Digest = detail::digestOf(Entries);
  Changed();
}

void ServersReader::compare(std::uint64_t CheckerDigest) {
  if (CheckerDigest == 0 || CheckerDigest == Digest) {
    OtherReads = 0;
    return;
  }
  if (Reading || !Known || !StoreNow().Up)
    return;
  // Either side may have read an old answer.
  Instant Soon = Target.runtime().Now() +
                 (OtherReads == 0 ? Duration::zero() : Options.OtherInterval);
  if (OtherReads == 0 || NextRead > Soon) {
    ++OtherReads;
    NextRead = std::min(NextRead, Soon);
  }
}

void ServersReader::heard(const ProxyId &From, const std::string &Address,
                          std::uint64_t ListRevision,
                          std::uint64_t ListDigest) {
  bool StoreServes = StoreNow().Up && !Failed;
  if (!Asking && !StoreServes && !Address.empty() && ListRevision > Revision &&
      ListDigest != Digest)
    ask(From, Address);
}

void ServersReader::ask(const ProxyId &From, const std::string &Address) {
  Asking = true;
  askProxy(Target.runtime(), Dial, Address, ServersQuestion{},
           [this, From](AskOutcome Outcome, const ForwardMessage *Answer) {
             Asking = false;
             const auto *Found =
                 Answer != nullptr ? std::get_if<ServersList>(Answer) : nullptr;
             Target.events().write(
                 EngineEvent::ServersRead,
                 {{"source", From},
                  {"outcome", name(Outcome)},
                  {"revision", Found != nullptr ? Found->Revision : 0},
                  {"known", Revision}});
             if (Found != nullptr && Found->Revision > Revision)
               set(Found->Servers, Found->Revision);
           });
}

} // namespace eelgrassloom
