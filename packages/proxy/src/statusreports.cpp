#include "statusreports.h"
#include "wirestatus.h"
#include <atomic>
#include <set>

namespace eelgrassloom::detail {
namespace {

using std::chrono::milliseconds;

/// How long routing waits for requested status reports. Reports that arrive
/// later, within StatusPullTimeout, are still recorded.
constexpr Duration StatusPullWait = milliseconds(30);
constexpr Duration StatusPullTimeout = milliseconds(250);

} // namespace

bool StatusReports::mayPull(const Database &D) {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto It = PulledAt.find(D.Name);
  return It == PulledAt.end() ||
         P->now() - It->second >= P->Context.Options.ProbeInterval;
}

void StatusReports::pull(const Snapshot &S, const Database &D,
                         std::function<void()> Done) {
  std::set<std::string> Addresses;
  for (const Upstream &U : D.Upstreams)
    if (auto It = S.Owners.find(U.Id);
        It != S.Owners.end() && !It->second.Address.empty() &&
        It->second.Owner != P->Context.Options.Id)
      Addresses.insert(It->second.Address);
  bool PulledRecently = !mayPull(D);
  // Runs Done once: after the last report or after StatusPullWait.
  struct StatusPull {
    std::atomic<std::size_t> Left = 0;
    std::atomic<bool> Continued = false;
    std::function<void()> Done;
    void proceed() {
      if (!Continued.exchange(true) && Done)
        Done();
    }
  };
  auto State = std::make_shared<StatusPull>();
  State->Done = std::move(Done);
  if (Addresses.empty()) {
    State->proceed();
    return;
  }
  if (State->Done)
    P->timers().after(StatusPullWait, [State] { State->proceed(); });
  // Reports were requested recently, so this request only waits in case they
  // still arrive.
  if (PulledRecently)
    return;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    PulledAt[D.Name] = P->now();
  }
  State->Left = Addresses.size();
  peer::v1::PeerMessage M;
  M.mutable_status_pull()->set_database(D.Name);
  for (const std::string &Address : Addresses)
    P->Context.Peers->request(
        Address, M, StatusPullTimeout,
        [Self = shared_from_this(), State,
         Name = D.Name](PeerCode Code, const peer::v1::PeerMessage &Answer) {
          if (Code == PeerCode::Ok)
            for (const auto &U : Answer.status_report().upstreams())
              Self->observeReport(Name, U);
          if (--State->Left == 0)
            State->proceed();
        });
}

void StatusReports::observeReport(const std::string &Database,
                                  const peer::v1::ObservedUpstream &U) {
  Instant Now = P->now();
  UpstreamStatus Status = fromWire(U.status());
  P->Observed.observe(Database, Status, fromMicros(U.staleness_us()), Now);
  P->Observed.setSuspected(U.upstream(), U.suspected());
  QueueHint Hint;
  Hint.At = Now;
  for (int I = 0; I < U.queue_wait_us_size() && I < int(PriorityCount); ++I)
    Hint.Wait[static_cast<std::size_t>(I)] = fromMicros(U.queue_wait_us(I));
  P->Observed.observeQueue(U.upstream(), Hint);
}

void StatusReports::observeAnswer(const std::string &Database,
                                  const peer::v1::ForwardAnswer &F) {
  Instant Now = P->now();
  UpstreamStatus Status = fromWire(F.status());
  if (Status.Id.empty())
    return;
  P->Observed.observe(Database, Status, fromMicros(F.staleness_us()), Now);
  QueueHint Hint;
  Hint.At = Now;
  for (int I = 0; I < F.queue_wait_us_size() && I < int(PriorityCount); ++I)
    Hint.Wait[static_cast<std::size_t>(I)] = fromMicros(F.queue_wait_us(I));
  P->Observed.observeQueue(Status.Id, Hint);
}

} // namespace eelgrassloom::detail
