/// \file
/// The connections of UpstreamPool: opened with a backoff, kept idle, verified
/// after a timeout, and closed.

#include "upstreampool.h"
#include <algorithm>

namespace eelgrassloom::detail {
namespace {

/// Timeout of the status query on an idle connection after a status probe of
/// the upstream timed out.
constexpr Duration VerifyTimeout = std::chrono::milliseconds(60);
/// Backoff after failed attempts to open a connection.
constexpr Duration MinOpenBackoff = std::chrono::milliseconds(25);
constexpr Duration MaxOpenBackoff = std::chrono::milliseconds(500);
/// Connections that status probes take from the owner's third of the cap.
constexpr unsigned ProbeConnections = 1;

} // namespace

unsigned UpstreamPool::poolLimit() const {
  // While proxies disagree about the membership, three of them may hold
  // connections as the owner, so each may use a third of the cap.
  unsigned Third = ConnectionCap / 3;
  return std::max(1U, Third > ProbeConnections ? Third - ProbeConnections : 1U);
}

unsigned UpstreamPool::maxPinned() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  unsigned Max = poolLimit();
  return std::max(1U, Max - std::min(std::max(1U, Slots), Max - 1));
}

void UpstreamPool::returnToPool(ConnectionRef C, Deferred &Out) {
  if (Waiting.empty()) {
    if (Retired || OpenConnections > poolLimit())
      drop(std::move(C), Out);
    else
      Idle.push_back(std::move(C));
    return;
  }
  TicketId Id = Waiting.front();
  Waiting.pop_front();
  dispatch(Id, std::move(C), Out);
}

void UpstreamPool::drop(ConnectionRef C, Deferred &Out) {
  --OpenConnections;
  Out.add([Self = shared_from_this(), C = std::move(C)] {
    Self->P->adapter().Close(*C->Connection);
  });
}

void UpstreamPool::openConnections(Deferred &Out) {
  // Connections for all slots are kept open, because a new one takes longer
  // than most statements.
  unsigned MinOpen = Retired ? 0 : std::min(Slots, poolLimit());
  auto Wanted = [&] {
    return OpeningConnections < Waiting.size() ||
           OpenConnections + OpeningConnections < MinOpen;
  };
  Instant Now = P->now();
  if (Wanted() && Now < RetryOpenAt) {
    if (!std::exchange(RetryScheduled, true))
      P->timers().at(RetryOpenAt, [Weak = weak_from_this()] {
        auto Self = Weak.lock();
        if (!Self)
          return;
        Deferred Later;
        {
          std::lock_guard<std::mutex> Lock(Self->Mutex);
          Self->RetryScheduled = false;
          Self->openConnections(Later);
        }
        Later.run();
      });
    if (OpenConnections + OpeningConnections == 0)
      failWaiting(Out);
    return;
  }
  while (Wanted() && OpenConnections + OpeningConnections < poolLimit()) {
    ++OpeningConnections;
    Out.add([Self = shared_from_this()] {
      openConnection(Self->P, Self->Target, Self->Database,
                     [Self](std::shared_ptr<UpstreamConnection> Connection,
                            const UpstreamReply &R) {
                       ConnectionRef C;
                       if (Connection)
                         C = std::make_shared<PooledConnection>(
                             PooledConnection{std::move(Connection)});
                       Self->opened(std::move(C), R);
                     });
    });
  }
}

void UpstreamPool::opened(ConnectionRef C, const UpstreamReply &) {
  Deferred Out;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    --OpeningConnections;
    if (C) {
      ++OpenConnections;
      Backoff = Duration::zero();
      RetryOpenAt = Instant{};
      returnToPool(std::move(C), Out);
    } else {
      Backoff = std::clamp(Backoff * 2, MinOpenBackoff, MaxOpenBackoff);
      // Jitter keeps several owners from retrying together.
      auto Jitter = Duration(static_cast<Duration::rep>(
          randomId() % static_cast<std::uint64_t>(Backoff.count() / 2)));
      RetryOpenAt = P->now() + Backoff / 2 + Jitter;
    }
    openConnections(Out);
  }
  Out.run();
}

void UpstreamPool::failWaiting(Deferred &Out) {
  while (!Waiting.empty()) {
    TicketId Id = Waiting.front();
    Waiting.pop_front();
    finishUnsent(Id, TaskOutcome::Unavailable, true, Out);
    if (!Waiting.empty())
      continue;
    // The freed slots start queued jobs, which would wait for a connection as
    // well, so they fail too, unless they run on a pinned connection.
    AdmissionActions Actions = P->Admission->Schedule(Admission, P->now());
    for (TicketId Next : Actions.Expire)
      finishUnsent(Next, TaskOutcome::Expired, false, Out);
    for (TicketId Next : Actions.Start) {
      if (Jobs.at(Next).Task.Pinned)
        dispatch(Next, Jobs.at(Next).Task.Pinned, Out);
      else
        Waiting.push_back(Next);
    }
  }
}

void UpstreamPool::verifyIdle() {
  Deferred Out;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    verifyIdleLocked(VerifyTimeout, Out);
  }
  Out.run();
}

void UpstreamPool::verifyIdleLocked(Duration Timeout, Deferred &Out) {
  for (ConnectionRef &C : std::exchange(Idle, {}))
    Out.add([Self = shared_from_this(), C, Timeout] {
      Self->P->adapter().Call(
          *C->Connection, UpstreamCall{}, Timeout,
          [Self, C](const UpstreamReply &R) { Self->verified(C, R); });
    });
}

void UpstreamPool::verified(ConnectionRef C, const UpstreamReply &R) {
  Deferred Out;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (unanswered(R.Code))
      drop(std::move(C), Out);
    else
      returnToPool(std::move(C), Out);
    openConnections(Out);
  }
  Out.run();
}

void UpstreamPool::release(ConnectionRef C, bool Reuse) {
  Deferred Out;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Reuse)
      returnToPool(std::move(C), Out);
    else
      drop(std::move(C), Out);
    openConnections(Out);
  }
  Out.run();
}

} // namespace eelgrassloom::detail
