/// \file
/// Admission control of one upstream: decides which queued statement runs next
/// and which one is refused.

#ifndef EELGRASSLOOM_KERNEL_ADMISSION_H
#define EELGRASSLOOM_KERNEL_ADMISSION_H

#include "kernel/model.h"
#include <array>
#include <cstdint>
#include <deque>
#include <vector>

namespace eelgrassloom {

/// Identifies a statement within the owner of an upstream.
using TicketId = std::uint64_t;

/// A statement that needs a slot.
struct Ticket {
  TicketId Id = 0;
  Priority WorkPriority = Priority::Normal;
  Instant Enqueued;
  /// Deadline of the answer. In a queue it is replaced by the latest useful
  /// start, which is earlier by the expected service time.
  Instant Deadline;
};

struct AdmissionOptions {
  PriorityShares Shares = {60, 25, 15};
  /// Maximum number of waiting statements, by priority.
  std::array<std::size_t, PriorityCount> QueueLimit = {256, 256, 256};
  /// Fraction of the time between arrival and deadline that a ticket may wait
  /// while others wait behind it. The rest lets statements that take much
  /// longer than the average finish in time. See docs/POLICIES.md.
  double MaxWaitShare = 0.4;
  /// Service time that a priority may use ahead of its share after it was idle,
  /// for work that arrives in bursts.
  Duration IdleCredit = std::chrono::milliseconds(100);
};

/// State of one upstream's queues.
struct AdmissionState {
  AdmissionOptions Options;
  /// Maximum number of statements that run at the same time.
  unsigned Limit = 1;
  unsigned InFlight = 0;
  std::array<unsigned, PriorityCount> InFlightByPriority{};
  std::array<std::deque<Ticket>, PriorityCount> Queues;
  /// Lower bound of the deadlines of all waiting tickets.
  Instant EarliestDeadline = Instant::max();
  /// Service time received, divided by the share. The priority with the lowest
  /// value is served next.
  std::array<double, PriorityCount> VirtualTime{};
  /// Virtual time of the last start.
  double VirtualNow = 0;
  /// Estimated service time that was charged for the running statements.
  std::array<Duration, PriorityCount> Charged{};
  /// Moving average of the service time, by priority; zero until the first
  /// statement finishes.
  std::array<Duration, PriorityCount> ServiceTime{};
};

/// Answer to an offered ticket.
enum class AdmissionResult : std::uint8_t { Queued, QueueFull, TooLate };

/// Result of scheduling: tickets that leave the queues.
struct AdmissionActions {
  std::vector<TicketId> Start;
  /// Tickets that waited too long; they are never started.
  std::vector<TicketId> Expire;
};

/// Interface of a priority policy, a plug-in in Registry<PriorityPolicy>.
struct PriorityPolicy {
  /// Queues a ticket or refuses it.
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
