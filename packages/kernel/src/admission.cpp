#include "kernel/admission.h"
#include "kernel/registry.h"
#include <algorithm>
#include <cmath>

namespace eelgrassloom {
namespace detail {

/// Assumed service time until the first statement of a level finishes.
constexpr Duration InitialServiceTime = std::chrono::milliseconds(5);
/// Weight of a new sample in the moving average of the service time.
constexpr double SampleWeight = 0.1;

Duration serviceTime(const AdmissionState &S, std::size_t Level) {
  return S.ServiceTime[Level] > Duration::zero() ? S.ServiceTime[Level]
                                                 : InitialServiceTime;
}

Duration scaled(Duration D, double Factor) {
  return Duration(std::llround(static_cast<double>(D.count()) * Factor));
}

double weight(const AdmissionState &S, std::size_t Level) {
  return std::max(1U, S.Options.Shares[Level]);
}

void charge(AdmissionState &S, std::size_t Level, Duration Service) {
  S.VirtualTime[Level] +=
      static_cast<double>(Service.count()) / weight(S, Level);
}

/// Ticket with the latest useful start in place of the deadline. The estimate
/// takes at most half of the time, so that a wrong one can't refuse everything.
Ticket withLatestStart(const AdmissionState &S, Ticket T, Instant Now) {
  if (T.Deadline > Now)
    T.Deadline -=
        std::min(S.ServiceTime[index(T.WorkPriority)], (T.Deadline - Now) / 2);
  return T;
}

void enqueue(AdmissionState &S, const Ticket &T) {
  S.Queues[index(T.WorkPriority)].push_back(T);
  S.EarliestDeadline = std::min(S.EarliestDeadline, T.Deadline);
}

void expire(AdmissionState &S, Instant Now, std::vector<TicketId> &Expired) {
  if (Now <= S.EarliestDeadline)
    return;
  S.EarliestDeadline = Instant::max();
  for (auto &Queue : S.Queues)
    std::erase_if(Queue, [&](const Ticket &T) {
      if (T.Deadline < Now) {
        Expired.push_back(T.Id);
        return true;
      }
      S.EarliestDeadline = std::min(S.EarliestDeadline, T.Deadline);
      return false;
    });
}

void start(AdmissionState &S, std::size_t Level, AdmissionActions &Actions) {
  Actions.Start.push_back(S.Queues[Level].front().Id);
  S.Queues[Level].pop_front();
  ++S.InFlight;
  ++S.InFlightByPriority[Level];
}

void release(AdmissionState &S, std::size_t Level, Duration Service) {
  if (S.InFlightByPriority[Level] == 0)
    return;
  --S.InFlight;
  --S.InFlightByPriority[Level];
  Duration &Average = S.ServiceTime[Level];
  Average = Average > Duration::zero()
                ? Average + scaled(Service - Average, SampleWeight)
                : std::max(Service, Duration(1));
}

// The policy `shares`.

/// Rate of a level while all levels with work compete, in statements running
/// at the same time.
double guaranteedSlots(const AdmissionState &S, std::size_t Level) {
  double Competing = 0;
  for (std::size_t L = 0; L < PriorityCount; ++L)
    if (L == Level || !S.Queues[L].empty())
      Competing += weight(S, L);
  return weight(S, Level) / Competing * std::max(1U, S.Limit);
}

Duration expectedWaitShares(const AdmissionState &S, Priority P) {
  std::size_t Level = index(P);
  bool Waiting = std::any_of(S.Queues.begin(), S.Queues.end(),
                             [](const auto &Queue) { return !Queue.empty(); });
  if (!Waiting && S.InFlight < S.Limit)
    return Duration::zero();
  return scaled(serviceTime(S, Level),
                static_cast<double>(S.Queues[Level].size() + 1) /
                    guaranteedSlots(S, Level));
}

AdmissionResult offerShares(AdmissionState &S, const Ticket &Offered,
                            Instant Now) {
  Ticket T = withLatestStart(S, Offered, Now);
  std::size_t Level = index(T.WorkPriority);
  auto &Queue = S.Queues[Level];
  if (Queue.size() >= S.Options.QueueLimit[Level])
    return AdmissionResult::QueueFull;
  if (T.Deadline < Now)
    return AdmissionResult::TooLate;
  // An empty queue accepts any ticket: the estimate is corrected by finished
  // statements only, so refusing all of them would keep a wrong one for good.
  if (!Queue.empty() && expectedWaitShares(S, T.WorkPriority) >
                            scaled(T.Deadline - Now, S.Options.MaxWaitShare))
    return AdmissionResult::TooLate;
  // Without a bound, a level that was idle for long could displace the others
  // for as long.
  if (Queue.empty())
    S.VirtualTime[Level] = std::max(
        S.VirtualTime[Level],
        S.VirtualNow - static_cast<double>(S.Options.IdleCredit.count()) /
                           weight(S, Level));
  enqueue(S, T);
  return AdmissionResult::Queued;
}

/// Drops tickets that are unlikely to finish in time, so that the ones behind
/// them do.
void dropLate(AdmissionState &S, Instant Now, std::vector<TicketId> &Expired) {
  for (auto &Queue : S.Queues)
    while (Queue.size() > 1 &&
           Now - Queue.front().Enqueued >
               scaled(Queue.front().Deadline - Queue.front().Enqueued,
                      S.Options.MaxWaitShare)) {
      Expired.push_back(Queue.front().Id);
      Queue.pop_front();
    }
}

AdmissionActions scheduleShares(AdmissionState &S, Instant Now) {
  AdmissionActions Actions;
  expire(S, Now, Actions.Expire);
  dropLate(S, Now, Actions.Expire);
  while (S.InFlight < S.Limit) {
    std::size_t Next = PriorityCount;
    for (std::size_t L = 0; L < PriorityCount; ++L)
      if (!S.Queues[L].empty() &&
          (Next == PriorityCount || S.VirtualTime[L] < S.VirtualTime[Next]))
        Next = L;
    if (Next == PriorityCount)
      break;
    S.VirtualNow = std::max(S.VirtualNow, S.VirtualTime[Next]);
    Duration Estimate = serviceTime(S, Next);
    charge(S, Next, Estimate);
    S.Charged[Next] += Estimate;
    start(S, Next, Actions);
  }
  return Actions;
}

void finishShares(AdmissionState &S, Priority P, Duration Service,
                  Instant /*Now*/) {
  std::size_t Level = index(P);
  if (S.InFlightByPriority[Level] == 0)
    return;
  // Replaces the estimate that was charged at the start by the measured time.
  Duration Estimate = S.Charged[Level] / S.InFlightByPriority[Level];
  S.Charged[Level] -= Estimate;
  charge(S, Level, Service - Estimate);
  release(S, Level, Service);
}

// The policy `fifo`: one queue for all levels.

std::size_t waiting(const AdmissionState &S) {
  std::size_t Count = 0;
  for (const auto &Queue : S.Queues)
    Count += Queue.size();
  return Count;
}

Duration expectedWaitFifo(const AdmissionState &S, Priority /*P*/) {
  if (waiting(S) == 0 && S.InFlight < S.Limit)
    return Duration::zero();
  double Work = 0;
  for (std::size_t L = 0; L < PriorityCount; ++L)
    Work += static_cast<double>(S.Queues[L].size()) *
            static_cast<double>(serviceTime(S, L).count());
  return Duration(std::llround(Work / std::max(1U, S.Limit)));
}

AdmissionResult offerFifo(AdmissionState &S, const Ticket &Offered,
                          Instant Now) {
  Ticket T = withLatestStart(S, Offered, Now);
  std::size_t Limit = 0;
  for (std::size_t LevelLimit : S.Options.QueueLimit)
    Limit += LevelLimit;
  if (waiting(S) >= Limit)
    return AdmissionResult::QueueFull;
  if (Now + expectedWaitFifo(S, T.WorkPriority) > T.Deadline)
    return AdmissionResult::TooLate;
  enqueue(S, T);
  return AdmissionResult::Queued;
}

AdmissionActions scheduleFifo(AdmissionState &S, Instant Now) {
  AdmissionActions Actions;
  expire(S, Now, Actions.Expire);
  while (S.InFlight < S.Limit) {
    std::size_t Next = PriorityCount;
    for (std::size_t L = 0; L < PriorityCount; ++L)
      if (!S.Queues[L].empty() &&
          (Next == PriorityCount ||
           S.Queues[L].front().Enqueued < S.Queues[Next].front().Enqueued))
        Next = L;
    if (Next == PriorityCount)
      break;
    start(S, Next, Actions);
  }
  return Actions;
}

void finishFifo(AdmissionState &S, Priority P, Duration Service,
                Instant /*Now*/) {
  release(S, index(P), Service);
}

const bool SharesAdded = Registry<PriorityPolicy>::add(
    "shares", {offerShares, scheduleShares, finishShares, expectedWaitShares});
const bool FifoAdded = Registry<PriorityPolicy>::add(
    "fifo", {offerFifo, scheduleFifo, finishFifo, expectedWaitFifo});

} // namespace detail

bool cancel(AdmissionState &S, Priority P, TicketId Id) {
  return std::erase_if(S.Queues[index(P)],
                       [&](const Ticket &T) { return T.Id == Id; }) != 0;
}

} // namespace eelgrassloom
