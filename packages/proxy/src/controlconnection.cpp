#include "controlconnection.h"
#include <algorithm>

namespace eelgrassloom::detail {

std::shared_ptr<ControlLane> ControlLane::create(PartsRef P, Upstream Target,
                                                 std::string Database) {
  return std::shared_ptr<ControlLane>(
      new ControlLane(std::move(P), std::move(Target), std::move(Database)));
}

void ControlLane::call(UpstreamCall Request, Duration Timeout,
                       UpstreamReplyHandler Done) {
  auto E = std::make_shared<Exchange>();
  E->Request = std::move(Request);
  E->Deadline = P->now() + Timeout;
  E->Done = std::move(Done);
  std::shared_ptr<UpstreamConnection> Use;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Use = Connection;
  }
  if (Use)
    send(std::move(E), std::move(Use));
  else
    open(std::move(E));
}

void ControlLane::open(std::shared_ptr<Exchange> E) {
  E->Fresh = true;
  openConnection(
      P, Target, Database,
      [Self = shared_from_this(), E](std::shared_ptr<UpstreamConnection> C,
                                     const UpstreamReply &R) {
        if (!C) {
          E->Done(R);
          return;
        }
        {
          std::lock_guard<std::mutex> Lock(Self->Mutex);
          if (!Self->Closed)
            Self->Connection = C;
        }
        Self->send(E, std::move(C));
      });
}

void ControlLane::send(std::shared_ptr<Exchange> E,
                       std::shared_ptr<UpstreamConnection> Use) {
  Duration Left = E->Deadline - P->now();
  if (Left <= Duration::zero()) {
    UpstreamReply R;
    R.Code = UpstreamCode::TimedOut;
    R.Message = "the connection was opened too late";
    E->Done(R);
    return;
  }
  P->adapter().Call(*Use, E->Request, Left,
                    [Self = shared_from_this(), E](const UpstreamReply &R) {
                      Self->answered(E, R);
                    });
}

void ControlLane::answered(const std::shared_ptr<Exchange> &E,
                           const UpstreamReply &R) {
  bool Broken = R.Code == UpstreamCode::TimedOut ||
                R.Code == UpstreamCode::ConnectionLost;
  if (!Broken) {
    if (P->Context.Observe.StatusSeen && !R.Status.Id.empty())
      P->Context.Observe.StatusSeen(Database, R.Status);
    E->Done(R);
    return;
  }
  std::shared_ptr<UpstreamConnection> Dropped;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Dropped = std::move(Connection);
    Connection = nullptr;
  }
  if (Dropped)
    P->adapter().Close(*Dropped);
  if (R.Code == UpstreamCode::TimedOut)
    P->Context.Events->record(events::ConnectionReplaced,
                              {Database, Target.Id, "", "", ""},
                              "a control connection did not answer");
  // The upstream may have closed an idle connection long ago.
  if (R.Code == UpstreamCode::ConnectionLost && !E->Fresh) {
    open(E);
    return;
  }
  E->Done(R);
}

void ControlLane::close() {
  std::shared_ptr<UpstreamConnection> Dropped;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Closed = true;
    Dropped = std::move(Connection);
    Connection = nullptr;
  }
  if (Dropped)
    P->adapter().Close(*Dropped);
}

std::shared_ptr<Prober> Prober::create(PartsRef P, Upstream Target,
                                       std::string Database, Handler Answered) {
  auto Lane = ControlLane::create(P, std::move(Target), std::move(Database));
  return std::shared_ptr<Prober>(
      new Prober(std::move(P), std::move(Lane), std::move(Answered)));
}

void Prober::stop() {
  Stopped = true;
  Lane->close();
}

void Prober::probe() {
  if (Stopped)
    return;
  Instant SentAt = P->now();
  Duration Interval = P->Context.Options.ProbeInterval;
  Lane->call(
      UpstreamCall{},
      std::max<Duration>(Interval, std::chrono::milliseconds(100)),
      [Self = shared_from_this(), SentAt, Interval](const UpstreamReply &R) {
        if (Self->Stopped)
          return;
        Self->Answered(R, SentAt);
        Self->P->timers().at(std::max(SentAt + Interval, Self->P->now()),
                             [Self] { Self->probe(); });
      });
}

} // namespace eelgrassloom::detail
