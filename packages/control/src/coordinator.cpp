// Polls of the store: configuration, primary records, renewal of primary
// leases.

#include "control/coordinator.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// Entries of a poll besides its conditions.
constexpr std::size_t HeartbeatEntries = 1;

StoreItem absent(const std::string &Key) { return {Key, {}, 0, 0}; }

} // namespace detail

Coordinator::Coordinator(ProxyId Id, std::uint64_t Seed, Engine &E, Store &S,
                         StoreLayout Keys, Promoter PromotionCall,
                         Prober StatusProbe, const CoordinatorOptions &Settings)
    : Self(std::move(Id)), Incarnation(Seed >> 1), Random(Seed),
      SessionEngine(E), KeyValueStore(S), Layout(std::move(Keys)),
      Promote(std::move(PromotionCall)), Probe(std::move(StatusProbe)),
      Options(Settings), Rejected(SessionEngine.events()) {
  KeyValueStore.onNewEra([this](StoreEra Next) { handleNewEra(Next); });
  DesiredRegistration.Id = Self;
  DesiredRegistration.Incarnation = Incarnation;
  ConfigReaderOptions ConfigSettings;
  ConfigSettings.CallTimeout = Options.CallTimeout;
  ConfigSettings.FirstRetry = Options.PollRetry;
  Config = ConfigReader::create(SessionEngine, KeyValueStore, Layout,
                                ConfigSettings);
  Config->onApplied([this] {
    for (const auto &Entry : Groups)
      if (auto G = SessionEngine.group(Entry.first))
        G->setPrimaryRecord(Entry.second.Record);
  });
  Config->onRead([this] {
    if (mustPollAgain())
      pollSoon();
  });
  ServersOptions ServersSettings;
  ServersSettings.Retry = Options.PollRetry;
  ServersSettings.CallTimeout = Options.CallTimeout;
  Servers = ServersReader::create(
      SessionEngine, KeyValueStore, Layout, Rejected,
      [this] { return storeStatus(); },
      [this] { SessionEngine.setServers(Servers->entries(), ProxyCount); },
      ServersSettings);
}

std::unique_ptr<Coordinator>
Coordinator::create(ProxyId Self, std::uint64_t Seed, Engine &SessionEngine,
                    Store &KeyValueStore, StoreLayout Layout, Promoter Promote,
                    Prober Probe, const CoordinatorOptions &Options) {
  return std::unique_ptr<Coordinator>(new Coordinator(
      std::move(Self), Seed, SessionEngine, KeyValueStore, std::move(Layout),
      std::move(Promote), std::move(Probe), Options));
}

void Coordinator::attach(Peers &Registered, std::string Address,
                         std::string FailureDomain, PeerDialer ToProxies,
                         unsigned MilliCores) {
  Servers->setDialer(ToProxies);
  Config->setDialer(std::move(ToProxies));
  PeerProxies = &Registered;
  DesiredRegistration.Address = std::move(Address);
  DesiredRegistration.FailureDomain = std::move(FailureDomain);
  DesiredRegistration.MilliCores = MilliCores;
  Registered.extendIf([this](const std::string &Service, std::uint64_t Epoch) {
    return mayExtend(Service, Epoch);
  });
  Registered.onRecord(
      [this](const StoredRecord &Record) { handlePeerRecord(Record); });
  Registered.onAnswer(
      [this](const PeerMessage &Answer) { handlePeerAnswer(Answer); });
  Registered.onRelayedPoll(
      [this](const RelayedPoll &Poll) { handleRelayedPoll(Poll); });
}

void Coordinator::start() {
  StartedAt = now();
  Config->start();
  readGroups();
  poll();
  Servers->read();
  readProxies();
  SessionEngine.runtime().After(Options.FirstWatch, [this] { watchGroups(); });
}

ConfigStatus Coordinator::configStatus() const {
  return {SessionEngine.config().Version, Config->outdated(), now() - PolledAt};
}

void Coordinator::readGroups() {
  KeyValueStore.range(std::string(GroupPrefix), ReadMode::Current,
                      Options.CallTimeout, [this](StoreReply Reply) {
                        // If the read fails, the polls find the records.
                        for (const StoreItem &Item : Reply.Items) {
                          applyGroup(Item);
                          std::string Service =
                              Item.Key.substr(GroupPrefix.size());
                          Groups[Service].ReadFromStore = true;
                        }
                      });
}

void Coordinator::tick() {
  Instant Now = now();
  if (PollsInFlight == 0 && Now >= NextPoll)
    poll();
  Servers->tick();
  if (!ReadingProxies && Now >= NextProxies)
    readProxies();
  updateRegistration();
  restoreRecords();
  tickPromotions();
  if (PeerProxies == nullptr)
    return;
  // Well before the poll is overdue, so that the answer arrives in time.
  if (pollerInTime() &&
      now() - PolledAt > Options.PollInterval + Options.PollSlack / 2)
    PeerProxies->askPollerAgain();
  PeerProxies->setStoreSummary({Era, Config->revision(), PolledAt,
                                Servers->digest(), Servers->revision()});
  bool Overdue = pollOverdue();
  // While the poller extends the primary leases, only the poller requests a
  // quorum extension from all peers.
  bool PollsGiveNoLeases = Overdue || awaitsConfirmation();
  PeerProxies->tick(Overdue, PollsGiveNoLeases && !polledByOthers());
  updateIsolation();
}

/// What this proxy knows of the last poll of its poller may be older than the
/// poll itself. Load pattern: hundreds of proxies that each took this for a
/// loss of the store several times a minute, and asked three others. A proxy
/// that was answered so may hold a lease, and promotions waited for it.
bool Coordinator::pollOverdue() const {
  return lastPollOld() && !pollerInTime();
}

bool Coordinator::pollerInTime() const {
  return PeerProxies != nullptr && !PeerProxies->isPoller() &&
         PeerProxies->pollerAnswers() &&
         RelayedPollAge <= Options.PollInterval + Options.PollerSlack;
}

StoreStatus Coordinator::storeStatus() const {
  return {StoreReachable, pollOverdue(), polledByOthers()};
}

Duration Coordinator::readPause(Duration Interval) const {
  // A proxy with a poller learns of an outage from it before its own next poll.
  return StoreReachable && !pollOverdue() ? Options.PollRetry : Interval;
}

Duration Coordinator::jitter(Duration Max) {
  std::uniform_int_distribution<long long> Delay(0, toMillis(Max));
  return std::chrono::milliseconds(Delay(Random));
}

Duration Coordinator::retryPause() const {
  if (PeerProxies != nullptr && !PeerProxies->isPoller())
    return Options.RelayedPollRetry;
  Duration Pause = Options.PollRetry;
  for (unsigned I = 1; I < FailedPolls && Pause < Options.MaxPollRetry; ++I)
    Pause *= 2;
  return std::min(Pause, Options.MaxPollRetry);
}

void Coordinator::setStoreReachable(bool Answered) {
  if (!Answered)
    Servers->handleStoreFailure();
  if (Answered == StoreReachable)
    return;
  StoreReachable = Answered;
  if (Answered) {
    // Runs the reads that were put off during the outage, with jitter because
    // all proxies notice the end of the outage together.
    Servers->readSoon(jitter(Options.PollRetry));
    NextProxies = std::min(NextProxies, now() + jitter(Options.PollRetry));
  }
  SessionEngine.events().write(Answered ? EngineEvent::StoreReachable
                                        : EngineEvent::StoreUnreachable,
                               {{"checks", PollsInFlight}});
}

void Coordinator::poll() {
  // The poll would overwrite the heartbeat that marks this proxy as left.
  if (Leaving)
    return;
  std::vector<StoreCondition> Conditions = {
      {proxyKey(Self), RegistrationRevision},
      {std::string(PromotionLockKey), PromotionLock.LockRevision}};
  // If an earlier run has written the heartbeat key, this condition fails and
  // the reply contains the key.
  if (!EarlierRunKnown)
    Conditions.push_back({heartbeatKey(Self), 0});
  if (Config->storeRevision())
    Conditions.push_back({Layout.ConfigKey, *Config->storeRevision()});
  for (const auto &[Service, ServiceConfig] : SessionEngine.config().Services) {
    if (Conditions.size() + detail::HeartbeatEntries == MaxStoreEntries) {
      sendPoll(Conditions);
      Conditions = {{proxyKey(Self), RegistrationRevision}};
    }
    Conditions.push_back({groupKey(Service), Groups[Service].Revision});
  }
  sendPoll(Conditions);
}

void Coordinator::sendPoll(const std::vector<StoreCondition> &Conditions) {
  ++PollsInFlight;
  NextPoll = now() + Options.PollInterval;
  StoreChange Change;
  Change.Conditions = Conditions;
  Change.Sets = {{heartbeatKey(Self), std::string(HeartbeatAlive), 0, 0}};
  KeyValueStore.change(Change, Options.CallTimeout,
                       [this, Conditions, SentAt = now()](StoreReply Reply) {
                         handlePollReply(Conditions, SentAt, std::move(Reply));
                       });
}

void Coordinator::handlePollReply(const std::vector<StoreCondition> &Conditions,
                                  Instant SentAt, StoreReply Reply) {
  --PollsInFlight;
  bool Answered =
      Reply.Code == StoreCode::Ok || Reply.Code == StoreCode::Conflict;
  setStoreReachable(Answered);
  if (!Answered) {
    ++FailedPolls;
    NextPoll = now() + retryPause();
    return;
  }
  FailedPolls = 0;
  RegistrationKnown = true;
  detectEarlierRun(Conditions, Reply);
  WatchRevision = std::max(WatchRevision, Reply.Revision);
  addRevision(Revisions, Reply.Revision, now());
  PolledAt = std::max(PolledAt, SentAt);
  for (const StoreCondition &Condition : Conditions)
    if (Condition.Key.starts_with(GroupPrefix))
      Groups[Condition.Key.substr(GroupPrefix.size())].ReadFromStore = true;
  if (Reply.Code == StoreCode::Ok) {
    renewLeases(Conditions, SentAt);
  } else {
    for (const StoreCondition &Condition : Conditions) {
      auto It = std::find_if(
          Reply.Items.begin(), Reply.Items.end(),
          [&](const StoreItem &Item) { return Item.Key == Condition.Key; });
      if (It != Reply.Items.end())
        applyItem(*It);
      else if (Condition.Revision != 0)
        applyItem(detail::absent(Condition.Key));
    }
    PollAgain = PollAgain || mustPollAgain();
  }
  if (!PollAgain || PollsInFlight != 0)
    return;
  updateRegistration();
  pollSoon();
}

void Coordinator::pollSoon() {
  PollAgain = PollsInFlight != 0 || WritingRegistration;
  if (!PollAgain)
    poll();
}

void Coordinator::renewLeases(const std::vector<StoreCondition> &Conditions,
                              Instant SentAt) {
  bool RegistrationPolled = std::any_of(
      Conditions.begin(), Conditions.end(), [&](const StoreCondition &C) {
        return C.Key == proxyKey(Self) && C.Revision == RegistrationRevision;
      });
  // The poll says nothing about a registration that was written after the poll
  // was sent.
  if (!RegistrationPolled || !registered() || Leaving)
    return;
  OwnPolledAt = std::max(OwnPolledAt, SentAt);
  for (const StoreCondition &C : Conditions) {
    if (!C.Key.starts_with(GroupPrefix))
      continue;
    auto It = Groups.find(C.Key.substr(GroupPrefix.size()));
    if (It == Groups.end() || It->second.Revision != C.Revision ||
        It->second.RestoreAt || !confirmed(It->second.Record))
      continue;
    It->second.VerifiedEpoch = It->second.Record.Epoch;
    if (C.Revision == 0)
      continue;
    if (auto G = SessionEngine.group(It->first))
      G->renewLease(It->second.Record.Epoch, SentAt + Options.LeaseDuration);
  }
}

void Coordinator::applyItem(const StoreItem &Item) {
  if (Item.Key == Layout.ConfigKey)
    Config->applyStored(Item);
  else if (Item.Key == proxyKey(Self))
    applyRegistration(Item);
  else if (Item.Key == PromotionLockKey) {
    if (PromotionLock.Held && Item.Revision != PromotionLock.LockRevision)
      losePromotionLock("the lock key has changed in the store");
    PromotionLock.LockRevision = Item.Revision;
  } else if (Item.Key.starts_with(GroupPrefix))
    applyGroup(Item);
}

void Coordinator::applyGroup(const StoreItem &Item) {
  auto It = Groups.find(Item.Key.substr(GroupPrefix.size()));
  bool Known = It != Groups.end() && It->second.Record.Epoch != 0;
  if (Item.Revision == 0) {
    if (Known)
      noteLostRecord(It->second, Item);
    return;
  }
  if (It != Groups.end() && Item.Revision <= It->second.Revision)
    return;
  auto Decoded = decodeGroup(Item);
  if (!Decoded) {
    SessionEngine.events().write(
        EngineEvent::InputRejected,
        {{"key", Item.Key}, {"findings", toString(Decoded.findings())}});
    return;
  }
  StoredRecord Next{std::move(Decoded).value(), Item.Revision};
  if (Known && isNewer(It->second.Record, Next.Record)) {
    noteLostRecord(It->second, Item);
    return;
  }
  setRecord(Next);
  if (PeerProxies != nullptr && PeerProxies->isPoller())
    PeerProxies->announce(Next);
}

void Coordinator::setRecord(const StoredRecord &Next) {
  KnownGroup &Known = Groups[Next.Record.Service];
  Known.Revision = Next.Revision;
  Known.Record = Next.Record;
  Known.RestoreAt.reset();
  Known.RecordSeenAt = now();
  if (auto G = SessionEngine.group(Next.Record.Service))
    G->setPrimaryRecord(Known.Record);
  if (PeerProxies != nullptr)
    PeerProxies->setRecord(Next);
}

void Coordinator::watchGroups() {
  if (polledByOthers()) {
    // The poller announces the records that it sees.
    SessionEngine.runtime().After(Options.RelayedPollRetry,
                                  [this] { watchGroups(); });
    return;
  }
  KeyValueStore.watch(
      std::string(GroupPrefix), WatchRevision, Options.WatchTime,
      [this](StoreReply Reply) {
        if (Reply.Code == StoreCode::Ok) {
          WatchRevision = std::max(WatchRevision, Reply.Revision);
          for (const StoreItem &Item : Reply.Items)
            if (Item.Revision != 0 && !Item.Value.empty())
              applyItem(Item);
          if (!Reply.Items.empty() && PollsInFlight == 0)
            poll();
          watchGroups();
          return;
        }
        // A watch only speeds up polling, so it is not retried often during an
        // outage.
        Duration Pause = Reply.Code == StoreCode::Gone
                             ? Options.PollRetry
                             : Options.RelayedPollRetry;
        SessionEngine.runtime().After(Pause, [this] { watchGroups(); });
      });
}

} // namespace eelgrassloom
