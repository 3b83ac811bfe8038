#include "controlconnection.h"
#include <algorithm>

namespace eelgrassloom::detail {

std::shared_ptr<ControlConnection>
ControlConnection::create(DataPathStateRef P, Upstream Target,
                          std::string Database) {
  return std::shared_ptr<ControlConnection>(new ControlConnection(
      std::move(P), std::move(Target), std::move(Database)));
}

void ControlConnection::call(UpstreamCall Request, Duration Timeout,
                             UpstreamReplyHandler Done) {
  auto E = std::make_shared<Exchange>();
  E->Request = std::move(Request);
  E->Deadline = P->now() + Timeout;
  E->Done = std::move(Done);
  std::shared_ptr<UpstreamConnection> Current;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Current = Connection;
  }
  if (Current)
    send(std::move(E), std::move(Current));
  else
    open(std::move(E));
}

void ControlConnection::open(std::shared_ptr<Exchange> E) {
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

void ControlConnection::send(std::shared_ptr<Exchange> E,
                             std::shared_ptr<UpstreamConnection> Current) {
  Duration Left = E->Deadline - P->now();
  if (Left <= Duration::zero()) {
    UpstreamReply R;
    R.Code = UpstreamCode::TimedOut;
    R.Message = "the connection was opened too late";
    E->Done(R);
    return;
  }
  P->adapter().Call(*Current, E->Request, Left,
                    [Self = shared_from_this(), E](const UpstreamReply &R) {
                      Self->answered(E, R);
                    });
}

void ControlConnection::answered(const std::shared_ptr<Exchange> &E,
                                 const UpstreamReply &R) {
  bool Broken = unanswered(R.Code);
  if (!Broken) {
    if (P->Context.Observe.StatusObserved && !R.Status.Id.empty())
      P->Context.Observe.StatusObserved(Database, R.Status);
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
  // The upstream may have closed the connection while it was idle, so the call
  // is repeated on a new one.
  if (R.Code == UpstreamCode::ConnectionLost && !E->Fresh) {
    open(E);
    return;
  }
  E->Done(R);
}

void ControlConnection::close() {
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

std::shared_ptr<StatusProber> StatusProber::create(DataPathStateRef P,
                                                   Upstream Target,
                                                   std::string Database,
                                                   Handler Answered) {
  auto Connection =
      ControlConnection::create(P, std::move(Target), std::move(Database));
  return std::shared_ptr<StatusProber>(new StatusProber(
      std::move(P), std::move(Connection), std::move(Answered)));
}

void StatusProber::stop() {
  Stopped = true;
  Connection->close();
}

void StatusProber::probe() {
  if (Stopped)
    return;
  Instant SentAt = P->now();
  Duration Interval = P->Context.Options.ProbeInterval;
  Connection->call(
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
