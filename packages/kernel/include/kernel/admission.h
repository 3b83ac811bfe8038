/// \file
/// Queues and slots of one upstream: which statement runs next and which is
/// refused.

#ifndef EELGRASSLOOM_KERNEL_ADMISSION_H
#define EELGRASSLOOM_KERNEL_ADMISSION_H

#include "kernel/model.h"
#include <array>
#include <cstdint>
#include <deque>
#include <vector>

namespace eelgrassloom {

/// Identifies a statement inside the owner of an upstream.
using TicketId = std::uint64_t;

struct Ticket {
  TicketId Id = 0;
  Priority WorkPriority = Priority::Normal;
  Instant Enqueued;
  /// Deadline of the answer; the queue leaves time for the usual service time.
  Instant Deadline;
};

struct AdmissionOptions {
  PriorityShares Shares = {60, 25, 15};
  /// Statements that may wait, by priority.
  std::array<std::size_t, PriorityCount> QueueLimit = {256, 256, 256};
  /// Part of the time between arrival and deadline that a ticket may wait while
  /// others wait behind it. The rest lets statements that take much longer than
  /// the average finish in time. See docs/POLICIES.md.
  double MaxWaitShare = 0.4;
  /// Service time that an idle level may use ahead of its share when its work
  /// arrives in bursts.
  Duration IdleCredit = std::chrono::milliseconds(100);
};

/// State of one upstream's queues.
struct AdmissionState {
  AdmissionOptions Options;
  /// Statements that may run at the same time.
  unsigned Limit = 1;
  unsigned InFlight = 0;
  std::array<unsigned, PriorityCount> InFlightByPriority{};
  std::array<std::deque<Ticket>, PriorityCount> Queues;
  /// No waiting ticket has an earlier deadline.
  Instant EarliestDeadline = Instant::max();
  /// Service time received, divided by the share; the level with the lowest
  /// value is served next.
  std::array<double, PriorityCount> VirtualTime{};
  /// Virtual time of the last start.
  double VirtualNow = 0;
  /// Estimated service time charged for the statements that run.
  std::array<Duration, PriorityCount> Charged{};
  /// Moving average of the service time, by priority; zero until the first
  /// finish.
  std::array<Duration, PriorityCount> ServiceTime{};
};

enum class AdmissionResult : std::uint8_t { Queued, QueueFull, TooLate };

/// Outcome of a queue pass.
struct AdmissionActions {
  std::vector<TicketId> Start;
  /// Waited too long; never started.
  std::vector<TicketId> Expire;
};

/// Plug-in: a priority policy.
struct PriorityPolicy {
  /// Puts a ticket into its queue, or refuses it at admission.
  AdmissionResult (*Offer)(AdmissionState &S, const Ticket &T, Instant Now);
  /// Picks the tickets to start while there are free slots.
  AdmissionActions (*Schedule)(AdmissionState &S, Instant Now);
  /// Returns the slot of a started ticket.
  void (*Finish)(AdmissionState &S, Priority P, Duration Service, Instant Now);
  /// Expected wait of a new ticket.
  Duration (*ExpectedWait)(const AdmissionState &S, Priority P);
};

/// Removes a waiting ticket; false if it is not in a queue.
bool cancel(AdmissionState &S, Priority P, TicketId Id);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_ADMISSION_H
