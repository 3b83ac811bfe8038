#include "upstreampool.h"
#include <algorithm>

namespace eelgrassloom::detail {
namespace {

/// Minimum timeout of an exchange that can't be repeated. The outcome of a
/// write that times out is unknown, so it gets more time than a read, which can
/// be repeated.
constexpr Duration MinWriteTimeout = std::chrono::milliseconds(300);
/// Added to every latency before the concurrency limit compares it with the
/// minimum latency. Without it, a busy host alone lowered the limit of an
/// upstream with statements of 0.2 ms from 8 to 1.
constexpr Duration SchedulingNoise = std::chrono::milliseconds(2);

} // namespace

std::shared_ptr<UpstreamPool>
UpstreamPool::create(DataPathStateRef P, const Upstream &Target,
                     std::string Database, const PriorityShares &Shares) {
  std::shared_ptr<UpstreamPool> R(
      new UpstreamPool(std::move(P), Target, std::move(Database), Shares));
  Deferred Out;
  {
    std::lock_guard<std::mutex> Lock(R->Mutex);
    R->openConnections(Out);
  }
  Out.run();
  return R;
}

UpstreamPool::UpstreamPool(DataPathStateRef P, const Upstream &Target,
                           std::string Database, const PriorityShares &Shares)
    : P(std::move(P)), Database(std::move(Database)), Target(Target),
      Slots(Target.Slots), ConnectionCap(Target.ConnectionCap),
      Limit(makeLimit(Target.Slots)) {
  Admission.Options.Shares = Shares;
  Admission.Limit = limit(Limit);
  Health = makeHealth(this->P->Context.Options.FailoverTolerance,
                      this->P->Context.Options.ProbeInterval);
}

void UpstreamPool::submit(UpstreamTask Task) {
  Deferred Out;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Instant Now = P->now();
    Priority WorkPriority = Task.WorkPriority;
    AdmissionResult Admitted = AdmissionResult::TooLate;
    TicketId Id = NextTicket++;
    if (!(Retired && !Task.Pinned) && Task.Deadline > Now)
      Admitted = P->Admission->Offer(
          Admission, {Id, WorkPriority, Now, Task.Deadline}, Now);
    if (Admitted == AdmissionResult::Queued) {
      Job &J = Jobs[Id];
      J.Task = std::move(Task);
      J.Expiry = P->timers().at(J.Task.Deadline, [Weak = weak_from_this(), Id] {
        if (auto Self = Weak.lock())
          Self->expired(Id);
      });
      schedule(Out);
    } else {
      TaskResult R;
      R.Outcome = Retired && !Task.Pinned ? TaskOutcome::NotOwner
                  : Admitted == AdmissionResult::QueueFull
                      ? TaskOutcome::QueueFull
                      : TaskOutcome::TooLate;
      R.RetryAfter = P->Admission->ExpectedWait(Admission, WorkPriority);
      Out.add([Done = std::move(Task.Done), R] { Done(R); });
    }
  }
  Out.run();
}

void UpstreamPool::schedule(Deferred &Out) {
  AdmissionActions Actions = P->Admission->Schedule(Admission, P->now());
  for (TicketId Id : Actions.Expire)
    finishUnsent(Id, TaskOutcome::Expired, false, Out);
  for (TicketId Id : Actions.Start)
    startJob(Id, Out);
}

void UpstreamPool::startJob(TicketId Id, Deferred &Out) {
  Job &J = Jobs.at(Id);
  if (J.Task.Pinned) {
    dispatch(Id, J.Task.Pinned, Out);
    return;
  }
  if (!Idle.empty()) {
    ConnectionRef C = std::move(Idle.back());
    Idle.pop_back();
    dispatch(Id, std::move(C), Out);
    return;
  }
  Waiting.push_back(Id);
  openConnections(Out);
}

Duration UpstreamPool::exchangeTimeout(const UpstreamTask &Task,
                                       Instant Now) const {
  Duration Remaining = Task.Deadline - Now;
  bool Repeatable = Task.Call.Operation == UpstreamOperation::Execute &&
                    !Task.Call.Write && !Task.Pinned;
  Duration Measured =
      attemptTimeout(Health, Task.WorkPriority, Remaining, Repeatable);
  if (!Repeatable)
    Measured = std::max(Measured, MinWriteTimeout);
  return std::min(Measured + Task.Call.Wait, Remaining);
}

void UpstreamPool::dispatch(TicketId Id, ConnectionRef C, Deferred &Out) {
  Job &J = Jobs.at(Id);
  P->timers().cancel(std::exchange(J.Expiry, 0));
  J.SentAt = P->now();
  J.Connection = C;
  Duration Timeout = exchangeTimeout(J.Task, J.SentAt);
  Out.add([Self = shared_from_this(), Id, C = std::move(C), Call = J.Task.Call,
           Timeout] {
    Self->P->adapter().Call(
        *C->Connection, Call, Timeout,
        [Self, Id](const UpstreamReply &R) { Self->finished(Id, R); });
  });
}

void UpstreamPool::finished(TicketId Id, const UpstreamReply &R) {
  Deferred Out;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto Node = Jobs.extract(Id);
    Job &J = Node.mapped();
    Instant Now = P->now();
    Duration Service = Now - J.SentAt;
    std::size_t PriorityIndex = index(J.Task.WorkPriority);
    if (unanswered(R.Code)) {
      // The time spent waiting on a broken connection says nothing about the
      // service time, so the current estimate is repeated.
      Service = Admission.ServiceTime[PriorityIndex];
    } else if (J.Task.Call.Wait == Duration::zero()) {
      recordAnswer(Health, J.Task.WorkPriority, Service);
      recordLatency(Limit, J.Task.WorkPriority, Service + SchedulingNoise, Now);
      Admission.Limit = limit(Limit);
    }
    P->Admission->Finish(Admission, J.Task.WorkPriority, Service, Now);
    TaskResult Result;
    Result.Reply = R;
    Result.SentAt = J.SentAt;
    if (unanswered(R.Code)) {
      drop(J.Connection, Out);
      if (R.Code == UpstreamCode::TimedOut) {
        Out.add([Self = shared_from_this()] {
          Self->P->Context.Events->record(
              events::ConnectionReplaced,
              {Self->Database, Self->Target.Id, "", "", ""},
              "a statement was not answered in time");
        });
        auto Actions = connectionTimedOut(Health, J.Task.WorkPriority);
        if (Actions.ProbeIdle)
          verifyIdleLocked(Actions.ProbeTimeout, Out);
      }
    } else if (J.Task.Pin && R.Code == UpstreamCode::Ok) {
      Result.Connection = J.Connection;
    } else if (!J.Task.Pinned) {
      returnToPool(J.Connection, Out);
    }
    Out.add([Done = std::move(J.Task.Done), Result = std::move(Result)] {
      Done(Result);
    });
    schedule(Out);
    openConnections(Out);
  }
  Out.run();
}

void UpstreamPool::expired(TicketId Id) {
  Deferred Out;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto It = Jobs.find(Id);
    if (It == Jobs.end() || It->second.Connection)
      return;
    bool Queued = cancel(Admission, It->second.Task.WorkPriority, Id);
    std::erase(Waiting, Id);
    finishUnsent(Id, TaskOutcome::Expired, !Queued, Out);
    schedule(Out);
  }
  Out.run();
}

void UpstreamPool::finishUnsent(TicketId Id, TaskOutcome Outcome, bool HeldSlot,
                                Deferred &Out) {
  auto Node = Jobs.extract(Id);
  Job &J = Node.mapped();
  P->timers().cancel(J.Expiry);
  Priority WorkPriority = J.Task.WorkPriority;
  if (HeldSlot)
    P->Admission->Finish(Admission, WorkPriority,
                         Admission.ServiceTime[index(WorkPriority)], P->now());
  TaskResult R;
  R.Outcome = Outcome;
  R.RetryAfter = P->Admission->ExpectedWait(Admission, WorkPriority);
  Out.add([Done = std::move(J.Task.Done), R] { Done(R); });
}

void UpstreamPool::configure(const Upstream &Changed,
                             const PriorityShares &Shares) {
  Deferred Out;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Slots = Changed.Slots;
    ConnectionCap = Changed.ConnectionCap;
    setSlots(Limit, Changed.Slots);
    Admission.Limit = limit(Limit);
    Admission.Options.Shares = Shares;
    schedule(Out);
    openConnections(Out);
  }
  Out.run();
}

void UpstreamPool::retire() {
  Deferred Out;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Retired = true;
    for (ConnectionRef &C : std::exchange(Idle, {}))
      drop(std::move(C), Out);
  }
  Out.run();
}

std::array<Duration, PriorityCount> UpstreamPool::expectedWaits() const {
  std::array<Duration, PriorityCount> Waits{};
  std::lock_guard<std::mutex> Lock(Mutex);
  for (std::size_t I = 0; I < PriorityCount; ++I)
    Waits[I] = P->Admission->ExpectedWait(Admission, static_cast<Priority>(I));
  return Waits;
}

OwnedUpstream UpstreamPool::summary() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  OwnedUpstream O;
  O.Id = Target.Id;
  O.Database = Database;
  O.Connections = OpenConnections;
  O.InFlight = Admission.InFlight;
  O.Queued = static_cast<unsigned>(Jobs.size()) - Admission.InFlight;
  return O;
}

std::size_t UpstreamPool::inProgress() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Jobs.size();
}

} // namespace eelgrassloom::detail
