// Checks of the store: rules, groups, permissions.

#include "control/coordinator.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// A check may be lost and repeated within the time.
constexpr int ChecksPerApplyTime = 3;
/// The gap of a promotion grows with it: proxies that are cut off are waited
/// for until their permission has ended.
constexpr Duration LongestCheckInterval = std::chrono::milliseconds(500);
/// Added to two check intervals, so that one slow answer ends no permission.
constexpr Duration LeaseSlack = std::chrono::milliseconds(200);

/// Entries of a check besides its conditions.
constexpr std::size_t MarkEntries = 1;

StoreItem absent(const std::string &Key) { return {Key, {}, 0, 0}; }

} // namespace detail

Coordinator::Coordinator(ProxyId Id, std::uint64_t Seed, Engine &Sessions,
                         Store &Keys, StoreLayout Names, Promoter Call,
                         Prober Ask, const CoordinatorOptions &Values)
    : Self(std::move(Id)), Incarnation(Seed >> 1), Random(Seed),
      Target(Sessions), Platform(Keys), Layout(std::move(Names)),
      Promote(std::move(Call)), Probe(std::move(Ask)), Options(Values),
      Rejected(Target.events()) {
  Wanted.Id = Self;
  Wanted.Incarnation = Incarnation;
  RulesOptions Reading;
  Reading.ReadSilence = Options.CallTimeout;
  Reading.FirstRetry = Options.CheckRetry;
  Rules = RulesReader::create(Target, Platform, Layout, Reading);
  Rules->onApplied([this] {
    for (const auto &Entry : Groups)
      if (auto G = Target.group(Entry.first))
        G->setRecord(Entry.second.Record);
  });
  Rules->onRead([this] {
    if (mustCheckAgain())
      checkSoon();
  });
  ServersOptions Registry;
  Registry.Retry = Options.CheckRetry;
  Registry.CallTimeout = Options.CallTimeout;
  Servers = ServersReader::create(
      Target, Platform, Layout, Rejected, [this] { return storeSituation(); },
      [this] { Target.setServers(Servers->entries(), ProxyCount); }, Registry);
}

std::unique_ptr<Coordinator>
Coordinator::create(ProxyId Self, std::uint64_t Seed, Engine &Target,
                    Store &Platform, StoreLayout Layout, Promoter Promote,
                    Prober Probe, const CoordinatorOptions &Options) {
  return std::unique_ptr<Coordinator>(new Coordinator(
      std::move(Self), Seed, Target, Platform, std::move(Layout),
      std::move(Promote), std::move(Probe), Options));
}

CoordinatorOptions coordinatorOptions(Duration ApplyTime) {
  CoordinatorOptions O;
  O.CheckInterval = std::min<Duration>(ApplyTime / detail::ChecksPerApplyTime,
                                       detail::LongestCheckInterval);
  O.Lease = 2 * O.CheckInterval + detail::LeaseSlack;
  return O;
}

void Coordinator::attach(Peers &Registered, std::string Address,
                         std::string FailureDomain, PeerDialer ToProxies) {
  Servers->connectBy(ToProxies);
  Rules->connectBy(std::move(ToProxies));
  Others = &Registered;
  Wanted.Address = std::move(Address);
  Wanted.FailureDomain = std::move(FailureDomain);
  Registered.extendIf([this](const std::string &Service, std::uint64_t Epoch) {
    return mayExtend(Service, Epoch);
  });
  Registered.onRecord([this](const PeerRecord &Record) { heard(Record); });
  Registered.onAnswer(
      [this](const PeerMessage &Answer) { toldByPeer(Answer); });
  Registered.onRelay([this](const RelayedView &View) { relayed(View); });
}

void Coordinator::start() {
  StartedAt = now();
  Rules->start();
  readGroups();
  check();
  Servers->read();
  readProxies();
  Target.runtime().After(Options.FirstWatch, [this] { watchGroups(); });
}

RulesState Coordinator::rulesState() const {
  return {Target.rules().Version, Rules->behind(), now() - CheckedAt};
}

void Coordinator::readGroups() {
  Platform.range(std::string(GroupPrefix), ReadMode::Current,
                 Options.CallTimeout, [this](StoreReply Reply) {
                   // Without an answer the checks find them.
                   for (const StoreItem &Item : Reply.Items) {
                     acceptGroup(Item);
                     std::string Service = Item.Key.substr(GroupPrefix.size());
                     Groups[Service].ReadFromStore = true;
                   }
                 });
}

void Coordinator::tick() {
  Instant Now = now();
  if (ChecksRunning == 0 && Now >= NextCheck)
    check();
  Servers->tick();
  if (!ProxiesBusy && Now >= NextProxies)
    readProxies();
  updateOwn();
  tickDuty();
  if (Others == nullptr)
    return;
  Others->setStoreView(
      {Rules->revision(), CheckedAt, Servers->digest(), Servers->revision()});
  bool Silent = storeSilent();
  // While a checker extends the permissions, it alone asks all peers.
  Others->tick(Silent, Silent && !checkedByOthers());
  noteIsolation();
}

bool Coordinator::storeSilent() const {
  return now() - CheckedAt > Options.CheckInterval + Options.CheckSlack;
}

StoreSituation Coordinator::storeSituation() const {
  return {StoreUp, storeSilent(), checkedByOthers()};
}

Duration Coordinator::readPause(Duration Interval) const {
  // A proxy with a checker hears of the outage before its own next check.
  return StoreUp && !storeSilent() ? Options.CheckRetry : Interval;
}

Duration Coordinator::spread(Duration Most) {
  std::uniform_int_distribution<long long> Delay(0, toMillis(Most));
  return std::chrono::milliseconds(Delay(Random));
}

Duration Coordinator::retryPause() const {
  if (Others != nullptr && !Others->checker())
    return Options.RelayedCheckRetry;
  Duration Pause = Options.CheckRetry;
  for (unsigned I = 1; I < FailedChecks && Pause < Options.LongestCheckRetry;
       ++I)
    Pause *= 2;
  return std::min(Pause, Options.LongestCheckRetry);
}

void Coordinator::noteStore(bool Answered) {
  if (!Answered)
    Servers->noteTrouble();
  if (Answered == StoreUp)
    return;
  StoreUp = Answered;
  if (Answered) {
    // What was put off during the outage; spread, because all proxies notice
    // the return together.
    Servers->readSoon(spread(Options.CheckRetry));
    NextProxies = std::min(NextProxies, now() + spread(Options.CheckRetry));
  }
  Target.events().write(Answered ? EngineEvent::StoreRegained
                                 : EngineEvent::StoreLost,
                        {{"checks", ChecksRunning}});
}

void Coordinator::check() {
  if (Leaving)
    return; // It would write its mark after the one that says so.
  std::vector<StoreCondition> Conditions = {
      {proxyKey(Self), OwnRevision},
      {std::string(DutyLockKey), Duty.LockRevision}};
  // Fails, and so answers with the mark, if there was an earlier run.
  if (!EarlierRunKnown)
    Conditions.push_back({checkMarkKey(Self), 0});
  if (Rules->seen())
    Conditions.push_back({Layout.RulesKey, *Rules->seen()});
  for (const auto &[Service, Rule] : Target.rules().Services) {
    if (Conditions.size() + detail::MarkEntries == MaxStoreEntries) {
      checkPart(Conditions);
      Conditions = {{proxyKey(Self), OwnRevision}};
    }
    Conditions.push_back({groupKey(Service), Groups[Service].Revision});
  }
  checkPart(Conditions);
}

void Coordinator::checkPart(const std::vector<StoreCondition> &Conditions) {
  ++ChecksRunning;
  NextCheck = now() + Options.CheckInterval;
  StoreChange Change;
  Change.Conditions = Conditions;
  Change.Sets = {{checkMarkKey(Self), std::string(CheckedMark), 0, 0}};
  Platform.change(Change, Options.CallTimeout,
                  [this, Conditions, SentAt = now()](StoreReply Reply) {
                    checkDone(Conditions, SentAt, std::move(Reply));
                  });
}

void Coordinator::checkDone(const std::vector<StoreCondition> &Conditions,
                            Instant SentAt, StoreReply Reply) {
  --ChecksRunning;
  bool Answered =
      Reply.Code == StoreCode::Ok || Reply.Code == StoreCode::Conflict;
  noteStore(Answered);
  if (!Answered) {
    ++FailedChecks;
    NextCheck = now() + retryPause();
    return;
  }
  FailedChecks = 0;
  OwnKnown = true;
  noteEarlierRun(Conditions, Reply);
  WatchRevision = std::max(WatchRevision, Reply.Revision);
  CheckedAt = std::max(CheckedAt, SentAt);
  for (const StoreCondition &Condition : Conditions)
    if (Condition.Key.starts_with(GroupPrefix))
      Groups[Condition.Key.substr(GroupPrefix.size())].ReadFromStore = true;
  if (Reply.Code == StoreCode::Ok) {
    renew(Conditions, SentAt);
  } else {
    for (const StoreCondition &Condition : Conditions) {
      auto It = std::find_if(
          Reply.Items.begin(), Reply.Items.end(),
          [&](const StoreItem &Item) { return Item.Key == Condition.Key; });
      if (It != Reply.Items.end())
        accept(*It);
      else if (Condition.Revision != 0)
        accept(detail::absent(Condition.Key));
    }
    CheckAgain = CheckAgain || mustCheckAgain();
  }
  if (!CheckAgain || ChecksRunning != 0)
    return;
  updateOwn();
  checkSoon();
}

void Coordinator::checkSoon() {
  CheckAgain = ChecksRunning != 0 || OwnBusy;
  if (!CheckAgain)
    check();
}

void Coordinator::renew(const std::vector<StoreCondition> &Conditions,
                        Instant SentAt) {
  bool OwnChecked = std::any_of(
      Conditions.begin(), Conditions.end(), [&](const StoreCondition &C) {
        return C.Key == proxyKey(Self) && C.Revision == OwnRevision;
      });
  // A record that was written since the check was sent is not confirmed by it.
  if (!OwnChecked || !registered() || Leaving)
    return;
  OwnCheckedAt = std::max(OwnCheckedAt, SentAt);
  for (const StoreCondition &C : Conditions) {
    if (!C.Key.starts_with(GroupPrefix))
      continue;
    auto It = Groups.find(C.Key.substr(GroupPrefix.size()));
    if (It == Groups.end() || It->second.Revision != C.Revision)
      continue;
    It->second.CheckedEpoch = It->second.Record.Epoch;
    if (C.Revision == 0)
      continue;
    if (auto G = Target.group(It->first))
      G->grant(It->second.Record.Epoch, SentAt + Options.Lease);
  }
}

void Coordinator::accept(const StoreItem &Item) {
  if (Item.Key == Layout.RulesKey)
    Rules->fromStore(Item);
  else if (Item.Key == proxyKey(Self))
    acceptOwn(Item);
  else if (Item.Key == DutyLockKey) {
    if (Duty.Held && Item.Revision != Duty.LockRevision)
      loseDuty("the lock has changed");
    Duty.LockRevision = Item.Revision;
  } else if (Item.Key.starts_with(GroupPrefix))
    acceptGroup(Item);
}

void Coordinator::acceptGroup(const StoreItem &Item) {
  auto It = Groups.find(Item.Key.substr(GroupPrefix.size()));
  if (It != Groups.end() && Item.Revision <= It->second.Revision)
    return;
  auto Decoded = decodeGroup(Item);
  if (!Decoded) {
    Target.events().write(
        EngineEvent::InputRejected,
        {{"key", Item.Key}, {"findings", toString(Decoded.findings())}});
    return;
  }
  PeerRecord Next{std::move(Decoded).value(), Item.Revision};
  adopt(Next);
  if (Others != nullptr && Others->checker())
    Others->announce(Next);
}

void Coordinator::adopt(const PeerRecord &Next) {
  KnownGroup &Known = Groups[Next.Record.Service];
  Known.Revision = Next.Revision;
  Known.Record = Next.Record;
  Known.RevokedSeen = now();
  if (auto G = Target.group(Next.Record.Service))
    G->setRecord(Known.Record);
  if (Others != nullptr)
    Others->setRecord(Next);
}

void Coordinator::watchGroups() {
  if (checkedByOthers()) {
    // The checker announces what it sees.
    Target.runtime().After(Options.RelayedCheckRetry,
                           [this] { watchGroups(); });
    return;
  }
  Platform.watch(std::string(GroupPrefix), WatchRevision, Options.WatchTime,
                 [this](StoreReply Reply) {
                   if (Reply.Code == StoreCode::Ok) {
                     WatchRevision = std::max(WatchRevision, Reply.Revision);
                     for (const StoreItem &Item : Reply.Items)
                       if (Item.Revision != 0 && !Item.Value.empty())
                         accept(Item);
                     if (!Reply.Items.empty() && ChecksRunning == 0)
                       check();
                     watchGroups();
                     return;
                   }
                   // A watch is only a hint: in an outage it can wait.
                   Duration Pause = Reply.Code == StoreCode::Gone
                                        ? Options.CheckRetry
                                        : Options.RelayedCheckRetry;
                   Target.runtime().After(Pause, [this] { watchGroups(); });
                 });
}

} // namespace eelgrassloom
