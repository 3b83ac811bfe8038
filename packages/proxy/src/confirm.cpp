#include "confirm.h"
#include <algorithm>

namespace eelgrassloom::detail {
namespace {

/// Connections per upstream for term checks and for positions. The second
/// one lets later positions start while an earlier one waits for replication.
constexpr std::array<std::size_t, 2> LaneCount = {1, 2};
/// Longest wait of one exchange for replication.
constexpr Duration MaxHoldWait = std::chrono::milliseconds(100);
/// Time allowed for the answer on top of the wait; a connection without an
/// answer is replaced and asked again.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(150);
/// Pause before a request is repeated that was answered without success.
constexpr Duration RepeatDelay = std::chrono::milliseconds(10);

/// Nothing when the reply decides nothing yet.
std::optional<Confirmation> judge(const ConfirmRequest &R,
                                  const UpstreamReply &Reply) {
  if (Reply.Code == UpstreamCode::Ok)
    return Confirmation::Confirmed;
  const UpstreamStatus &S = Reply.Status;
  if (S.Id.empty())
    return std::nullopt;
  if (S.RaisedTerm > R.Term)
    return Confirmation::Rejected;
  // The batch asked for its highest position; this one may be held already.
  if (S.RaisedTerm == R.Term && contains(S.Line, S.Applied, R.Hold))
    return Confirmation::Confirmed;
  return std::nullopt;
}

/// Counts the answers of a group for one write.
struct Tally {
  std::mutex Mutex;
  std::size_t Needed = 0;
  std::size_t Open = 0;
  bool Rejected = false;
  std::function<void(Confirmation)> Done;

  void expire() {
    std::unique_lock<std::mutex> Lock(Mutex);
    auto Call = std::exchange(Done, nullptr);
    Lock.unlock();
    if (Call)
      Call(Confirmation::TimedOut);
  }

  void count(Confirmation C) {
    std::unique_lock<std::mutex> Lock(Mutex);
    if (!Done)
      return;
    --Open;
    if (C == Confirmation::Confirmed)
      --Needed;
    Rejected = Rejected || C == Confirmation::Rejected;
    if (Needed > 0 && Open >= Needed)
      return;
    Confirmation Verdict = Confirmation::Confirmed;
    if (Needed > 0)
      Verdict = Rejected ? Confirmation::Rejected : Confirmation::TimedOut;
    auto Call = std::exchange(Done, nullptr);
    Lock.unlock();
    Call(Verdict);
  }
};

} // namespace

std::shared_ptr<ConfirmLink> ConfirmLink::create(PartsRef P, Upstream Target,
                                                 std::string Database,
                                                 std::size_t GroupSize) {
  std::shared_ptr<ConfirmLink> Link(new ConfirmLink(
      std::move(P), std::move(Target), std::move(Database), GroupSize));
  for (std::size_t Kind = 0; Kind < Link->Queues.size(); ++Kind)
    for (std::size_t I = 0; I < LaneCount[Kind]; ++I)
      Link->Queues[Kind].Free.push_back(
          ControlLane::create(Link->P, Link->Target, Link->Database));
  return Link;
}

void ConfirmLink::confirm(ConfirmRequest R) {
  bool Positions = R.Hold != Position{};
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Queues[Positions].Waiting.push_back(std::move(R));
  }
  pump(Positions);
}

void ConfirmLink::close() {
  std::vector<std::shared_ptr<ControlLane>> Lanes;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (Queue &Q : Queues)
      Lanes.insert(Lanes.end(), Q.Free.begin(), Q.Free.end());
  }
  for (auto &Lane : Lanes)
    Lane->close();
}

void ConfirmLink::pump(bool Positions) {
  auto B = std::make_shared<Batch>();
  Batch Late;
  std::shared_ptr<ControlLane> Lane;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Queue &Q = Queues[Positions];
    Instant Now = P->now();
    std::deque<ConfirmRequest> Rest;
    for (ConfirmRequest &R : Q.Waiting) {
      if (R.Deadline <= Now)
        Late.push_back(std::move(R));
      else if (!Q.Free.empty() && (B->empty() || B->front().Term == R.Term))
        B->push_back(std::move(R));
      else
        Rest.push_back(std::move(R));
    }
    Q.Waiting = std::move(Rest);
    if (!B->empty()) {
      Lane = std::move(Q.Free.back());
      Q.Free.pop_back();
    }
  }
  for (ConfirmRequest &R : Late)
    R.Done(Confirmation::TimedOut);
  if (Lane)
    send(Positions, std::move(Lane), std::move(B));
}

void ConfirmLink::send(bool Positions, std::shared_ptr<ControlLane> Lane,
                       std::shared_ptr<Batch> B) {
  UpstreamCall C;
  C.Operation = UpstreamOperation::ConfirmTerm;
  C.Term = B->front().Term;
  Instant Last;
  for (const ConfirmRequest &R : *B) {
    C.MinPosition = std::max(C.MinPosition, R.Hold);
    Last = std::max(Last, R.Deadline);
  }
  Instant SentAt = P->now();
  Duration Left = Last - SentAt;
  if (Positions)
    C.Wait = std::min(MaxHoldWait, Left);
  Duration Timeout = std::min(C.Wait + AnswerTimeout, Left);
  // The lane may only be called through itself, so it is copied first.
  ControlLane &Through = *Lane;
  Through.call(std::move(C), Timeout,
               [Self = shared_from_this(), Positions, Lane = std::move(Lane),
                B = std::move(B), SentAt](const UpstreamReply &R) {
                 Self->answered(Positions, Lane, *B, R, SentAt);
               });
}

void ConfirmLink::answered(bool Positions, std::shared_ptr<ControlLane> Lane,
                           Batch &B, const UpstreamReply &R, Instant SentAt) {
  P->Fresh.observe(Database, GroupSize, R.Status, SentAt);
  std::vector<std::pair<Confirmation, ConfirmRequest>> Decided;
  bool Repeat = false;
  Instant Now = P->now();
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Queue &Q = Queues[Positions];
    Q.Free.push_back(std::move(Lane));
    for (ConfirmRequest &Request : B) {
      if (auto Verdict = judge(Request, R))
        Decided.emplace_back(*Verdict, std::move(Request));
      else if (Request.Deadline <= Now)
        Decided.emplace_back(Confirmation::TimedOut, std::move(Request));
      else {
        Q.Waiting.push_back(std::move(Request));
        Repeat = true;
      }
    }
  }
  for (auto &[Verdict, Request] : Decided)
    Request.Done(Verdict);
  if (Repeat)
    P->timers().after(RepeatDelay, [Self = shared_from_this(), Positions] {
      Self->pump(Positions);
    });
  else
    pump(Positions);
}

std::size_t confirmationsNeeded(std::size_t GroupSize, Durability Needed) {
  std::size_t Others = majority(GroupSize) - 1;
  return Needed == Durability::Replicated ? std::max<std::size_t>(Others, 1)
                                          : Others;
}

void Confirmer::confirm(const PartsRef &P, const Database &Group,
                        const UpstreamId &Primary, std::uint64_t Term,
                        Position Written, Durability Needed, Instant Deadline,
                        std::function<void(Confirmation)> Done) {
  std::vector<std::shared_ptr<ConfirmLink>> Ask;
  for (const Upstream &U : Group.Upstreams)
    if (U.Id != Primary)
      Ask.push_back(link(P, U, Group));
  auto T = std::make_shared<Tally>();
  T->Needed = confirmationsNeeded(Group.Upstreams.size(), Needed);
  T->Open = Ask.size();
  if (T->Needed == 0 || T->Needed > T->Open) {
    Done(T->Needed == 0 ? Confirmation::Confirmed : Confirmation::TimedOut);
    return;
  }
  // An exchange shared with later writes can outlast this deadline.
  Timer::Id Expiry = P->timers().at(Deadline, [T] { T->expire(); });
  T->Done = [P, Expiry, Done = std::move(Done)](Confirmation C) {
    P->timers().cancel(Expiry);
    Done(C);
  };
  Position Hold = Needed == Durability::Replicated ? Written : Position{};
  for (auto &Link : Ask)
    Link->confirm({Term, Hold, Deadline, [T](Confirmation C) { T->count(C); }});
}

std::shared_ptr<ConfirmLink>
Confirmer::link(const PartsRef &P, const Upstream &U, const Database &Group) {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto &Link = Links[U.Id];
  if (!Link || Link->address() != U.Address)
    Link = ConfirmLink::create(P, U, Group.Name, Group.Upstreams.size());
  return Link;
}

void Confirmer::keepOnly(const Configuration &C) {
  std::vector<std::shared_ptr<ConfirmLink>> Dropped;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    std::erase_if(Links, [&](auto &Entry) {
      bool Known = std::any_of(C.Databases.begin(), C.Databases.end(),
                               [&](const Database &D) {
                                 return findUpstream(D, Entry.first) != nullptr;
                               });
      if (!Known)
        Dropped.push_back(Entry.second);
      return !Known;
    });
  }
  for (auto &Link : Dropped)
    Link->close();
}

void Confirmer::closeAll() { keepOnly(Configuration{}); }

} // namespace eelgrassloom::detail
