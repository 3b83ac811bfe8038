#include "controlstate.h"
#include <algorithm>
#include <mutex>
#include <optional>

namespace eelgrassloom::detail {
namespace {

/// Consecutive failed calls that count as an outage of the platform. A single
/// lost response does not.
constexpr unsigned FailuresUntilOutage = 2;
/// Delay of the next read of the platform after a failed call.
constexpr Duration FailedCallRetryDelay = std::chrono::milliseconds(500);

/// Result of an exchange whose connection could not be opened.
UpstreamReply notConnected(const UpstreamReply &Opened) {
  UpstreamReply R = Opened;
  R.Code = UpstreamCode::ConnectionLost;
  return R;
}

/// One call over a connection of its own. The adapter's handlers keep the
/// object alive; the handler for the opened connection runs before the one for
/// the answer.
struct Exchange : std::enable_shared_from_this<Exchange> {
  const UpstreamAdapter *Adapter = nullptr;
  UpstreamCall Call;
  Duration Timeout{0};
  std::function<void(const UpstreamReply &)> Done;
  std::mutex Mutex;
  std::shared_ptr<UpstreamConnection> Connection;
  bool Returned = false;
  bool Running = false;
  std::optional<UpstreamReply> Opened;

  /// The adapter reports whether the connection was opened.
  void opened(const UpstreamReply &R) {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Opened = R;
    }
    proceed();
  }

  /// Connect has returned the connection, before or after opened().
  void returned(std::shared_ptr<UpstreamConnection> C) {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Connection = std::move(C);
      Returned = true;
    }
    proceed();
  }

  /// Sends the call once the connection is both returned and opened.
  void proceed() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (!Returned || !Opened || Running)
        return;
      Running = true;
    }
    if (!Connection || Opened->Code != UpstreamCode::Ok) {
      finish(notConnected(*Opened));
      return;
    }
    Adapter->Call(*Connection, Call, Timeout,
                  [Self = shared_from_this()](const UpstreamReply &R) {
                    Self->finish(R);
                  });
  }

  void finish(const UpstreamReply &R) {
    // This object holds the connection, and the connection's handlers may hold
    // this object. Releasing the connection ends that reference cycle.
    auto Closing = std::move(Connection);
    if (Closing)
      Adapter->Close(*Closing);
    Done(R);
  }
};

} // namespace

Duration jittered(ControlState &S, Duration D) {
  std::uniform_int_distribution<Duration::rep> Jitter(D.count() * 3 / 4,
                                                      D.count() * 5 / 4);
  return Duration(Jitter(S.Random));
}

void platformCallEnded(ControlState &S, bool Ok) {
  PlatformState &P = S.Platform;
  P.Failures = Ok ? 0 : P.Failures + 1;
  if (!Ok)
    P.NextRead =
        std::min(P.NextRead, S.Now + jittered(S, FailedCallRetryDelay));
  if (P.ReachabilityKnown &&
      (P.Reachable == Ok || (!Ok && P.Failures < FailuresUntilOutage)))
    return;
  bool First = !P.ReachabilityKnown;
  P.ReachabilityKnown = true;
  P.Reachable = Ok;
  if (!Ok)
    S.C.Events->record(events::PlatformUnreachable, {},
                       "platform " + S.C.Options.Platform + " does not answer");
  else if (!First)
    S.C.Events->record(events::PlatformReachable, {},
                       "platform " + S.C.Options.Platform + " answers");
  // A watch from before an outage may report no changes without having ended.
  P.ConfigWatch.reset();
  P.GroupWatch.reset();
  P.NextWatch = S.Now;
  stepAllGroups(S, PlatformReachable{Ok});
}

void platformGet(ControlState &S, const std::string &Key,
                 PlatformContinuation Then) {
  S.C.Platform->Get(
      *S.C.PlatformConnection, Key, PlatformTimeout,
      [Post = S.Post, Then = std::move(Then)](const PlatformReply &R) {
        Post([Then, R](ControlState &State) {
          platformCallEnded(State, R.Code != PlatformCode::Unavailable);
          Then(State, R);
        });
      });
}

void platformSwap(ControlState &S, const PlatformEntry &Entry,
                  std::uint64_t ExpectedRevision, PlatformContinuation Then) {
  S.C.Platform->CompareAndSwap(
      *S.C.PlatformConnection, Entry, ExpectedRevision, 0, PlatformTimeout,
      [Post = S.Post, Then = std::move(Then)](const PlatformReply &R) {
        Post([Then, R](ControlState &State) {
          platformCallEnded(State, R.Code != PlatformCode::Unavailable);
          Then(State, R);
        });
      });
}

void peerRequest(ControlState &S, const std::string &Address,
                 peer::v1::PeerMessage Message, Duration Timeout,
                 PeerContinuation Then) {
  S.C.Peers->request(translateAddress(S.C.Options, Address), std::move(Message),
                     Timeout,
                     [Post = S.Post, Then = std::move(Then)](
                         PeerCode Code, const peer::v1::PeerMessage &M) {
                       Post([=](ControlState &State) { Then(State, Code, M); });
                     });
}

void peerSend(ControlState &S, const std::string &Address,
              peer::v1::PeerMessage Message) {
  // peerAddress() is empty if the membership has just forgotten the member.
  if (Address.empty())
    return;
  S.C.Peers->send(translateAddress(S.C.Options, Address), std::move(Message));
}

std::string peerAddress(const ControlState &S, const ProxyId &Id) {
  auto It = S.Members.Members.find(Id);
  return It == S.Members.Members.end() ? std::string()
                                       : It->second.Update.Address;
}

void upstreamExchange(ControlState &S, const std::string &Database,
                      const Upstream &Target, const UpstreamCall &Call,
                      Duration Timeout, UpstreamContinuation Then) {
  auto E = std::make_shared<Exchange>();
  E->Adapter = S.C.Upstreams;
  E->Call = Call;
  E->Timeout = Timeout;
  E->Done = [Post = S.Post, Then = std::move(Then)](const UpstreamReply &R) {
    Post([Then, R](ControlState &State) { Then(State, R); });
  };
  UpstreamTarget Destination{translateAddress(S.C.Options, Target.Address),
                             Database, S.C.Options.Id};
  E->returned(S.C.Upstreams->Connect(
      Destination, Timeout, [E](const UpstreamReply &R) { E->opened(R); }));
}

} // namespace eelgrassloom::detail
