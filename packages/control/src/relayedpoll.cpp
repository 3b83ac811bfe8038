// Checks of the store that another proxy made, and what the silence of others
// means.

#include "control/coordinator.h"
#include <algorithm>

namespace eelgrassloom {

void Coordinator::noteIsolation() {
  OutsideContact Contact{Others->othersKnown(), Others->outsideHeardAt(),
                         CheckedAt};
  bool Next = eelgrassloom::isolated(Contact, now());
  if (Next == Isolated)
    return;
  Isolated = Next;
  Target.events().write(Next ? EngineEvent::Isolated : EngineEvent::Rejoined,
                        {{"proxies_silent_ms", now() - Contact.ProxyHeardAt},
                         {"store_silent_ms", now() - Contact.StoreCheckedAt}});
}

bool Coordinator::mayExtend(const std::string &Service,
                            std::uint64_t Epoch) const {
  auto It = Groups.find(Service);
  return registered() && !Leaving && It != Groups.end() &&
         It->second.CheckedEpoch && *It->second.CheckedEpoch <= Epoch;
}

bool Coordinator::checkedByOthers() const {
  return Others != nullptr && !Others->checker() &&
         now() - RelayedAt < Options.CheckInterval;
}

bool Coordinator::mustCheckAgain() const {
  if (!checkedByOthers() || !registered())
    return true;
  const auto &Services = Target.rules().Services;
  return std::any_of(Services.begin(), Services.end(), [&](const auto &Entry) {
    auto It = Groups.find(Entry.first);
    return It == Groups.end() || !It->second.CheckedEpoch;
  });
}

void Coordinator::heard(const PeerRecord &Record) {
  auto It = Groups.find(Record.Record.Service);
  if (It == Groups.end() || !It->second.ReadFromStore ||
      Record.Revision <= It->second.Revision)
    return;
  adopt(Record);
  updateOwn();
}

bool Coordinator::newerThanKnown(const PeerMessage &Answer) const {
  return std::any_of(Answer.Epochs.Records.begin(), Answer.Epochs.Records.end(),
                     [&](const auto &Entry) {
                       auto It = Groups.find(Entry.first);
                       return It != Groups.end() &&
                              Entry.second > It->second.Record.Epoch;
                     });
}

/// Another proxy has answered: its permissions also extend those of this proxy
/// for the same epochs.
void Coordinator::relayed(const RelayedView &View) {
  const PeerMessage &Answer = View.Answer;
  bool NewRules = Rules->wanted(Answer.RulesRevision);
  std::string Address = Others->addressOf(Answer.From);
  if (NewRules)
    Rules->heard(Answer.From, Address, Answer.RulesRevision, !StoreUp);
  Servers->heard(Answer.From, Address, Answer.ServersRevision,
                 Answer.ServersDigest);
  if (!registered() || Leaving)
    return;
  // The age was taken after the question was sent.
  Instant Verified = View.AskedAt - Answer.CheckAge;
  bool Newer = newerThanKnown(Answer);
  if (Newer && ChecksRunning == 0 && (StoreUp || now() >= NextCheck))
    check();
  if (now() - OwnCheckedAt >= Options.RelayedLimit)
    return;
  if (!Newer && !NewRules)
    CheckedAt = std::max(CheckedAt, Verified);
  for (const PeerGrant &Grant : Answer.Grants) {
    auto G = Target.group(Grant.Service);
    if (G && mayExtend(Grant.Service, Grant.Epoch))
      G->grant(Grant.Epoch, View.AskedAt + Grant.Left);
  }
  if (View.FromChecker && !Answer.Grants.empty())
    RelayedAt = now();
  if (View.FromChecker && !Newer)
    Servers->compare(Answer.ServersDigest);
  if (!StoreUp || Newer)
    return; // Own checks go on, to notice when the store can be reached.
  NextCheck =
      std::max(NextCheck,
               std::min(OwnCheckedAt + Options.OwnCheckInterval,
                        Verified + Options.CheckInterval + Options.RelaySlack));
}

} // namespace eelgrassloom
