#include "kernel/admission.h"
#include "kernel/registry.h"
#include <algorithm>
#include <cmath>

namespace eelgrassloom {
namespace detail {

/// Assumed service time until the first statement of a priority finishes.
constexpr Duration InitialServiceTime = std::chrono::milliseconds(5);
/// Weight of a new sample in the moving average of the service time.
constexpr double SampleWeight = 0.1;

Duration serviceTime(const AdmissionState &S, std::size_t Index) {
  return S.ServiceTime[Index] > Duration::zero() ? S.ServiceTime[Index]
                                                 : InitialServiceTime;
}

Duration scaled(Duration D, double Factor) {
  return Duration(std::llround(static_cast<double>(D.count()) * Factor));
}

double weight(const AdmissionState &S, std::size_t Index) {
  return std::max(1U, S.Options.Shares[Index]);
}

void charge(AdmissionState &S, std::size_t Index, Duration Service) {
  S.VirtualTime[Index] +=
      static_cast<double>(Service.count()) / weight(S, Index);
}

/// The ticket with its latest useful start in place of the deadline. The
/// estimated service time takes at most half of the remaining time, so that a
/// wrong estimate can't refuse every ticket.
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

void start(AdmissionState &S, std::size_t Index, AdmissionActions &Actions) {
  Actions.Start.push_back(S.Queues[Index].front().Id);
  S.Queues[Index].pop_front();
  ++S.InFlight;
  ++S.InFlightByPriority[Index];
}

void release(AdmissionState &S, std::size_t Index, Duration Service) {
  if (S.InFlightByPriority[Index] == 0)
    return;
  --S.InFlight;
  --S.InFlightByPriority[Index];
  Duration &Average = S.ServiceTime[Index];
  Average = Average > Duration::zero()
                ? Average + scaled(Service - Average, SampleWeight)
                : std::max(Service, Duration(1));
}

// The policy `shares`: a weighted share of the service time for each priority.

/// Share of a priority, in statements running at the same time, while it
/// competes with all priorities that have queued work.
double guaranteedSlots(const AdmissionState &S, std::size_t Index) {
  double Competing = 0;
  for (std::size_t I = 0; I < PriorityCount; ++I)
    if (I == Index || !S.Queues[I].empty())
      Competing += weight(S, I);
  return weight(S, Index) / Competing * std::max(1U, S.Limit);
}

Duration expectedWaitShares(const AdmissionState &S, Priority P) {
  std::size_t Index = index(P);
  bool Waiting = std::any_of(S.Queues.begin(), S.Queues.end(),
                             [](const auto &Queue) { return !Queue.empty(); });
  if (!Waiting && S.InFlight < S.Limit)
    return Duration::zero();
  return scaled(serviceTime(S, Index),
                static_cast<double>(S.Queues[Index].size() + 1) /
                    guaranteedSlots(S, Index));
}

AdmissionResult offerShares(AdmissionState &S, const Ticket &Offered,
                            Instant Now) {
  Ticket T = withLatestStart(S, Offered, Now);
  std::size_t Index = index(T.WorkPriority);
  auto &Queue = S.Queues[Index];
  if (Queue.size() >= S.Options.QueueLimit[Index])
    return AdmissionResult::QueueFull;
  if (T.Deadline < Now)
    return AdmissionResult::TooLate;
  // An empty queue accepts any ticket. Only finished statements correct the
  // estimate, so a wrong estimate that refused all tickets would never change.
  if (!Queue.empty() && expectedWaitShares(S, T.WorkPriority) >
                            scaled(T.Deadline - Now, S.Options.MaxWaitShare))
    return AdmissionResult::TooLate;
  // Without this bound, a priority that was idle for a long time could displace
  // the others for as long.
  if (Queue.empty())
    S.VirtualTime[Index] = std::max(
        S.VirtualTime[Index],
        S.VirtualNow - static_cast<double>(S.Options.IdleCredit.count()) /
                           weight(S, Index));
  enqueue(S, T);
  return AdmissionResult::Queued;
}

/// Drops tickets that are unlikely to finish in time, so that those behind them
/// can.
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
    for (std::size_t I = 0; I < PriorityCount; ++I)
      if (!S.Queues[I].empty() &&
          (Next == PriorityCount || S.VirtualTime[I] < S.VirtualTime[Next]))
        Next = I;
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
  std::size_t Index = index(P);
  if (S.InFlightByPriority[Index] == 0)
    return;
  // Replaces the estimate that was charged at the start with the measured time.
  Duration Estimate = S.Charged[Index] / S.InFlightByPriority[Index];
  S.Charged[Index] -= Estimate;
  charge(S, Index, Service - Estimate);
  release(S, Index, Service);
}

// The policy `fifo`: order of arrival, whatever the priority.

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
  for (std::size_t I = 0; I < PriorityCount; ++I)
    Work += static_cast<double>(S.Queues[I].size()) *
            static_cast<double>(serviceTime(S, I).count());
  return Duration(std::llround(Work / std::max(1U, S.Limit)));
}

AdmissionResult offerFifo(AdmissionState &S, const Ticket &Offered,
                          Instant Now) {
  Ticket T = withLatestStart(S, Offered, Now);
  std::size_t Limit = 0;
  for (std::size_t PriorityLimit : S.Options.QueueLimit)
    Limit += PriorityLimit;
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
    for (std::size_t I = 0; I < PriorityCount; ++I)
      if (!S.Queues[I].empty() &&
          (Next == PriorityCount ||
           S.Queues[I].front().Enqueued < S.Queues[Next].front().Enqueued))
        Next = I;
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
