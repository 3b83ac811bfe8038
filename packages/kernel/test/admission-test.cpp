#include "kernel/admission.h"
#include "kernel/registry.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace eelgrassloom;
using namespace std::chrono_literals;

namespace {

const PriorityPolicy &policy(const char *Name) {
  return *Registry<PriorityPolicy>::find(Name);
}

Priority anyPriority() {
  return *rc::gen::element(Priority::Urgent, Priority::Normal,
                           Priority::Background);
}

std::size_t waiting(const AdmissionState &S) {
  std::size_t Count = 0;
  for (const auto &Queue : S.Queues)
    Count += Queue.size();
  return Count;
}

/// Runs random events and checks that every ticket ends in at most one way and
/// that no slot stays free while tickets wait.
void checkTickets(const PriorityPolicy &P) {
  AdmissionState S;
  S.Limit = *rc::gen::inRange(1U, 6U);
  S.Options.QueueLimit = {4, 4, 4};
  Instant Now;
  TicketId Next = 1;
  std::set<TicketId> Waiting;
  std::vector<Priority> Running;
  std::vector<Priority> Of = {Priority::Urgent};
  for (int Step :
       *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5))) {
    Now += *rc::gen::inRange(0, 30) * 1ms;
    if (Step == 0 && !Running.empty()) {
      P.Finish(S, Running.back(), *rc::gen::inRange(0, 50) * 1ms, Now);
      Running.pop_back();
    } else if (Step == 1 && !Waiting.empty()) {
      TicketId Id = *Waiting.begin();
      RC_ASSERT(cancel(S, Of[Id], Id));
      RC_ASSERT(!cancel(S, Of[Id], Id));
      Waiting.erase(Id);
    } else {
      Ticket T{Next, anyPriority(), Now,
               Now + *rc::gen::inRange(-5, 200) * 1ms};
      Of.push_back(T.WorkPriority);
      if (P.Offer(S, T, Now) == AdmissionResult::Queued)
        Waiting.insert(Next);
      ++Next;
    }
    AdmissionActions Actions = P.Schedule(S, Now);
    for (TicketId Id : Actions.Expire)
      RC_ASSERT(Waiting.erase(Id) == 1U);
    for (TicketId Id : Actions.Start) {
      RC_ASSERT(Waiting.erase(Id) == 1U);
      Running.push_back(Of[Id]);
    }
    RC_ASSERT(S.InFlight == Running.size());
    RC_ASSERT(S.InFlight <= S.Limit);
    RC_ASSERT(waiting(S) == Waiting.size());
    RC_ASSERT(Waiting.empty() || S.InFlight == S.Limit);
  }
}

/// Fraction of the service time of a saturated upstream that each priority
/// receives.
std::array<double, PriorityCount>
saturated(const PriorityPolicy &P, const PriorityShares &Shares,
          const std::array<Duration, PriorityCount> &Service, unsigned Limit) {
  AdmissionState S;
  S.Limit = Limit;
  S.Options.Shares = Shares;
  struct Run {
    Instant End;
    std::size_t PriorityIndex;
  };
  std::vector<Run> Running;
  std::vector<std::size_t> PriorityIndexOf;
  std::array<double, PriorityCount> Received{};
  Instant Now;
  double Total = 0;
  for (int Round = 0; Round < 4000; ++Round) {
    for (std::size_t I = 0; I < PriorityCount; ++I)
      while (S.Queues[I].size() < 3) {
        Ticket T{PriorityIndexOf.size(), static_cast<Priority>(I), Now,
                 Now + 1h};
        PriorityIndexOf.push_back(I);
        REQUIRE(P.Offer(S, T, Now) == AdmissionResult::Queued);
      }
    for (TicketId Id : P.Schedule(S, Now).Start)
      Running.push_back(
          {Now + Service[PriorityIndexOf[Id]], PriorityIndexOf[Id]});
    auto First = std::min_element(
        Running.begin(), Running.end(),
        [](const Run &A, const Run &B) { return A.End < B.End; });
    Now = First->End;
    Duration Took = Service[First->PriorityIndex];
    P.Finish(S, static_cast<Priority>(First->PriorityIndex), Took, Now);
    Received[First->PriorityIndex] += static_cast<double>(Took.count());
    Total += static_cast<double>(Took.count());
    Running.erase(First);
  }
  for (double &R : Received)
    R /= Total;
  return Received;
}

} // namespace

// Guards against a refused or dropped statement that runs anyway, one that
// runs twice, and a slot that stays free while statements wait.
TEST_CASE("a ticket ends once and slots are used") {
  CHECK(rc::check([] { checkTickets(policy("shares")); }));
  CHECK(rc::check([] { checkTickets(policy("fifo")); }));
}

// Guards against a priority that starves while it has work.
TEST_CASE("every priority with work receives its share of the service time") {
  CHECK(rc::check([] {
    PriorityShares Shares;
    std::array<Duration, PriorityCount> Service;
    double Sum = 0;
    for (std::size_t I = 0; I < PriorityCount; ++I) {
      Shares[I] = *rc::gen::inRange(5U, 61U);
      Service[I] = *rc::gen::inRange(1, 21) * 1ms;
      Sum += Shares[I];
    }
    auto Received =
        saturated(policy("shares"), Shares, Service, *rc::gen::inRange(1U, 6U));
    for (std::size_t I = 0; I < PriorityCount; ++I)
      RC_ASSERT(Received[I] > 0.9 * Shares[I] / Sum);
  }));
  // The check must detect a policy without shares.
  auto Received = saturated(policy("fifo"), {60, 25, 15}, {1ms, 1ms, 20ms}, 2);
  CHECK(Received[0] < 0.5);
}

// Guards against a wrong estimate that refuses all tickets of a priority
// forever, because only finished statements correct it.
TEST_CASE("an empty queue accepts a ticket whatever the estimate") {
  AdmissionState S;
  S.ServiceTime.fill(10s);
  S.InFlight = S.Limit;
  const PriorityPolicy &P = policy("shares");
  CHECK(P.Offer(S, {1, Priority::Normal, {}, Instant() + 10ms}, {}) ==
        AdmissionResult::Queued);
  CHECK(P.Offer(S, {2, Priority::Normal, {}, Instant() + 10ms}, {}) ==
        AdmissionResult::TooLate);
  CHECK(P.Offer(S, {3, Priority::Urgent, {}, Instant() - 1ms}, {}) ==
        AdmissionResult::TooLate);
}

// Guards against work that is admitted although it can't finish in time.
TEST_CASE("a ticket waits a bounded fraction of its time") {
  AdmissionState S;
  S.ServiceTime.fill(10ms);
  const PriorityPolicy &P = policy("shares");
  Instant Now;
  unsigned Queued = 0;
  for (TicketId Id = 1; Id <= 100; ++Id)
    Queued += P.Offer(S, {Id, Priority::Urgent, Now, Now + 500ms}, Now) ==
              AdmissionResult::Queued;
  CHECK(P.Schedule(S, Now).Start.size() == 1);
  CHECK(Queued == 19); // 40% of the 490 ms until the latest start.
  Now += 250ms;
  auto Actions = P.Schedule(S, Now);
  CHECK(Actions.Expire.size() == 17);
  CHECK(Actions.Start.empty());
}

// Guards against a priority that was idle and then blocks the others for as
// long.
TEST_CASE("the credit of an idle priority is bounded") {
  AdmissionState S;
  S.Options.Shares = {50, 25, 25};
  S.ServiceTime.fill(10ms);
  const PriorityPolicy &P = policy("shares");
  Instant Now;
  TicketId Id = 0;
  unsigned Ahead = 0;
  bool UrgentStarted = false;
  for (int I = 0; I < 1000; ++I) {
    P.Offer(S, {++Id, Priority::Urgent, Now, Now + 1h}, Now);
    P.Schedule(S, Now);
    P.Finish(S, Priority::Urgent, 10ms, Now);
  }
  for (int I = 0; I < 100; ++I) {
    P.Offer(S, {++Id, Priority::Background, Now, Now + 1h}, Now);
    P.Offer(S, {++Id, Priority::Urgent, Now, Now + 1h}, Now);
  }
  while (!UrgentStarted) {
    P.Schedule(S, Now);
    UrgentStarted = S.InFlightByPriority[index(Priority::Urgent)] > 0;
    if (!UrgentStarted) {
      ++Ahead;
      P.Finish(S, Priority::Background, 10ms, Now);
    }
  }
  CHECK(Ahead >= 1);
  CHECK(Ahead <= 11); // IdleCredit of 100 ms
}
