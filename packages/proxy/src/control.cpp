#include "proxy/control.h"
#include "controlstate.h"
#include <condition_variable>
#include <deque>
#include <mutex>
#include <pthread.h>
#include <thread>
#include <variant>

namespace eelgrassloom {
namespace detail {
namespace {

/// Peer messages that may be queued for the control thread; more are dropped
/// and counted.
constexpr std::size_t MaxQueuedPeerMessages = 10000;

struct PeerEvent {
  peer::v1::PeerMessage Message;
  PeerResponder Respond;
};
struct ConnectionEvent {
  UpstreamId Id;
  bool Opened = false;
};
struct StatusRequested {
  StatusHandler Done;
};
struct DrainRequested {};
struct RefreshRequested {};
/// A call to the platform, a peer or an upstream ended.
struct CompletionEvent {
  Completion Apply;
  /// Epoch in which the call started. Completions of earlier epochs are
  /// dropped.
  std::uint64_t Epoch = 0;
};

using ControlEvent =
    std::variant<PeerEvent, ConnectionEvent, StatusRequested, DrainRequested,
                 RefreshRequested, CompletionEvent>;

/// Events for the control thread. Shared with the handlers of calls in
/// progress, which may outlive the control thread.
struct ControlInbox {
  std::mutex Mutex;
  std::condition_variable Wake;
  std::deque<ControlEvent> Events;
  /// Number of peer messages among Events.
  std::size_t PeerEvents = 0;
  /// Latest status of each upstream. The data path reports a status with every
  /// answer, and only the newest one matters.
  std::map<UpstreamId, std::pair<std::string, UpstreamStatus>> Statuses;
  bool Stopping = false;
};

void post(ControlInbox &I, ControlEvent E) {
  {
    std::lock_guard<std::mutex> Lock(I.Mutex);
    if (I.Stopping)
      return;
    I.Events.push_back(std::move(E));
  }
  I.Wake.notify_one();
}

class ControlThread final : public Control {
public:
  explicit ControlThread(ControlContext Context)
      : Inbox(std::make_shared<ControlInbox>()),
        Lost(Context.Meters->counter(
            "eelgrassloom_control_messages_lost_total",
            "Peer messages that found the control inbox full")) {
    S.C = std::move(Context);
    S.Random.seed(S.C.Seed);
    S.Now = S.C.Time->now();
    S.Started = S.Now;
    LastTick = S.Now;
    startEpoch();
    startMembership(S);
  }

  ~ControlThread() override { ControlThread::stop(); }
  ControlThread(const ControlThread &) = delete;
  ControlThread &operator=(const ControlThread &) = delete;

  void start(std::shared_ptr<DataPath> Path) override {
    S.Path = std::move(Path);
    Worker = std::thread([this] { run(); });
    pthread_setname_np(Worker.native_handle(), "control");
  }

  void stop() override {
    {
      std::lock_guard<std::mutex> Lock(Inbox->Mutex);
      Inbox->Stopping = true;
    }
    Inbox->Wake.notify_all();
    if (Worker.joinable()) {
      Worker.join();
      applyMembership(S, announceExit(S.Members, S.C.Time->now(), S.Random));
    }
  }

  Observer observer() override {
    Observer O;
    O.StatusObserved = [Box = Inbox](const std::string &Database,
                                     const UpstreamStatus &Status) {
      std::lock_guard<std::mutex> Lock(Box->Mutex);
      Box->Statuses[Status.Id] = {Database, Status};
    };
    O.ConnectionAttempted = [Box = Inbox](const UpstreamId &Id, bool Opened) {
      post(*Box, ConnectionEvent{Id, Opened});
    };
    return O;
  }

  void received(const peer::v1::PeerMessage &Message,
                PeerResponder Respond) override {
    {
      std::lock_guard<std::mutex> Lock(Inbox->Mutex);
      if (Inbox->PeerEvents >= MaxQueuedPeerMessages) {
        Lost.Increment();
        return;
      }
      ++Inbox->PeerEvents;
      Inbox->Events.push_back(PeerEvent{Message, std::move(Respond)});
    }
    Inbox->Wake.notify_one();
  }

  void status(StatusHandler Done) override {
    post(*Inbox, StatusRequested{std::move(Done)});
  }
  void refresh() override { post(*Inbox, RefreshRequested{}); }
  void drain() override { post(*Inbox, DrainRequested{}); }

  void step() override {
    Instant Now = S.C.Time->now();
    Duration Gap = Now - LastTick;
    S.Now = Now;
    LastTick = Now;
    if (Gap > PauseLimit)
      handlePause(Gap);
    processEvents();
    tickPlatform(S);
    tickPeers(S);
    tickGroups(S);
    tickProbes(S);
    updateOwnership(S);
    if (S.SnapshotDirty || graceCheckDue())
      publish(S);
  }

private:
  void run() {
    while (waitForWork()) {
      Instant Now = S.C.Time->now();
      if (Now - LastTick >= TickInterval) {
        step();
        continue;
      }
      S.Now = Now;
      processEvents();
      updateOwnership(S);
      if (S.SnapshotDirty)
        publish(S);
    }
  }

  /// Waits for an event or the next tick. Returns false when the thread has to
  /// end.
  bool waitForWork() {
    std::unique_lock<std::mutex> Lock(Inbox->Mutex);
    S.C.Time->waitUntil(Lock, Inbox->Wake, LastTick + TickInterval, [this] {
      return Inbox->Stopping || !Inbox->Events.empty();
    });
    return !Inbox->Stopping;
  }

  /// Starts a new epoch. Results of calls that were started in an earlier epoch
  /// are dropped.
  void startEpoch() {
    S.Post = [Box = Inbox, Started = ++Epoch](Completion Apply) {
      post(*Box, CompletionEvent{std::move(Apply), Started});
    };
  }

  void handlePause(Duration Gap) {
    S.C.Events->record(events::PauseDetected, {},
                       "no tick for " + std::to_string(toMillis(Gap)) + " ms");
    startEpoch();
    {
      // Statuses from before the pause say nothing about the present.
      std::lock_guard<std::mutex> Lock(Inbox->Mutex);
      Inbox->Statuses.clear();
    }
    discardAfterPause(S);
  }

  void processEvents() {
    std::deque<ControlEvent> Events;
    std::map<UpstreamId, std::pair<std::string, UpstreamStatus>> Statuses;
    {
      std::lock_guard<std::mutex> Lock(Inbox->Mutex);
      Events.swap(Inbox->Events);
      Statuses.swap(Inbox->Statuses);
      Inbox->PeerEvents = 0;
    }
    for (ControlEvent &E : Events)
      std::visit([this](auto &Event) { handle(Event); }, E);
    for (auto &Entry : Statuses)
      statusObserved(S, Entry.second.first, Entry.second.second);
  }

  void handle(PeerEvent &E) {
    peerReceived(S, E.Message, std::move(E.Respond));
  }
  void handle(ConnectionEvent &E) { connectionAttempted(S, E.Id, E.Opened); }
  void handle(StatusRequested &E) { E.Done(statusAnswer(S)); }
  void handle(RefreshRequested &) { readConfiguration(S); }
  void handle(DrainRequested &) {
    S.Draining = true;
    S.OwnershipDirty = true;
    applyMembership(S, announceLeaving(S.Members, S.Now));
  }
  void handle(CompletionEvent &E) {
    if (E.Epoch == Epoch)
      E.Apply(S);
  }

  /// True once a second while an upstream is leaving. No event marks the end of
  /// a leaving primary's grace period. Therefore the snapshot is published
  /// again each second, and the first one after the end takes the primary out
  /// of service.
  bool graceCheckDue() {
    if (S.LeavingSince.empty() || S.Now < NextGraceCheck)
      return false;
    NextGraceCheck = S.Now + std::chrono::seconds(1);
    return true;
  }

  std::shared_ptr<ControlInbox> Inbox;
  prometheus::Counter &Lost;
  ControlState S;
  /// Current epoch: starts at 1 and rises by one with every detected pause.
  std::uint64_t Epoch = 0;
  Instant LastTick;
  Instant NextGraceCheck;
  std::thread Worker;
};

} // namespace
} // namespace detail

std::shared_ptr<Control> Control::create(ControlContext Context) {
  return std::make_shared<detail::ControlThread>(std::move(Context));
}

} // namespace eelgrassloom
