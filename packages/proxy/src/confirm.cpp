#include "confirm.h"
#include <algorithm>

namespace eelgrassloom::detail {
namespace {

/// Connections per upstream for term checks and for positions. The second
/// connection for positions lets later requests start while an earlier one
/// waits for replication.
constexpr std::array<std::size_t, 2> ConnectionCount = {1, 2};
/// Longest time that one exchange waits for replication.
constexpr Duration MaxReplicationWait = std::chrono::milliseconds(100);
/// Time for the answer in addition to the wait for replication. After a timeout
/// the connection is replaced and the request is repeated.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(150);
/// Delay before a request is repeated that the reply did not decide.
constexpr Duration RepeatDelay = std::chrono::milliseconds(10);

/// The result of a request, or nothing if the reply does not decide it.
std::optional<Confirmation> evaluate(const ConfirmRequest &R,
                                     const UpstreamReply &Reply) {
  if (Reply.Code == UpstreamCode::Ok)
    return Confirmation::Confirmed;
  const UpstreamStatus &S = Reply.Status;
  if (S.Id.empty())
    return std::nullopt;
  if (S.RaisedTerm > R.Term)
    return Confirmation::Rejected;
  // The exchange asked for the highest position of its batch. The upstream may
  // already hold the lower position of this request.
  if (S.RaisedTerm == R.Term && contains(S.History, S.Applied, R.MinPosition))
    return Confirmation::Confirmed;
  return std::nullopt;
}

/// Counts the confirmations of a group for one statement and calls Done once,
/// with the result or at the deadline.
struct ConfirmationQuorum {
  std::mutex Mutex;
  std::size_t Needed = 0;
  std::size_t Outstanding = 0;
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
    --Outstanding;
    if (C == Confirmation::Confirmed)
      --Needed;
    Rejected = Rejected || C == Confirmation::Rejected;
    if (Needed > 0 && Outstanding >= Needed)
      return;
    Confirmation Result = Confirmation::Confirmed;
    if (Needed > 0)
      Result = Rejected ? Confirmation::Rejected : Confirmation::TimedOut;
    auto Call = std::exchange(Done, nullptr);
    Lock.unlock();
    Call(Result);
  }
};

} // namespace

std::shared_ptr<ConfirmBatcher> ConfirmBatcher::create(DataPathStateRef P,
                                                       Upstream Target,
                                                       std::string Database,
                                                       std::size_t GroupSize) {
  std::shared_ptr<ConfirmBatcher> Batcher(new ConfirmBatcher(
      std::move(P), std::move(Target), std::move(Database), GroupSize));
  for (std::size_t Kind = 0; Kind < Batcher->Queues.size(); ++Kind)
    for (std::size_t I = 0; I < ConnectionCount[Kind]; ++I)
      Batcher->Queues[Kind].Free.push_back(ControlConnection::create(
          Batcher->P, Batcher->Target, Batcher->Database));
  return Batcher;
}

void ConfirmBatcher::confirm(ConfirmRequest R) {
  bool Positions = R.MinPosition != Position{};
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Queues[Positions].Waiting.push_back(std::move(R));
  }
  sendWaiting(Positions);
}

void ConfirmBatcher::close() {
  std::vector<std::shared_ptr<ControlConnection>> Connections;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (Queue &Q : Queues)
      Connections.insert(Connections.end(), Q.Free.begin(), Q.Free.end());
  }
  for (auto &Connection : Connections)
    Connection->close();
}

void ConfirmBatcher::sendWaiting(bool Positions) {
  auto B = std::make_shared<Batch>();
  Batch Late;
  std::shared_ptr<ControlConnection> Connection;
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
      Connection = std::move(Q.Free.back());
      Q.Free.pop_back();
    }
  }
  for (ConfirmRequest &R : Late)
    R.Done(Confirmation::TimedOut);
  if (Connection)
    send(Positions, std::move(Connection), std::move(B));
}

void ConfirmBatcher::send(bool Positions,
                          std::shared_ptr<ControlConnection> Connection,
                          std::shared_ptr<Batch> B) {
  UpstreamCall C;
  C.Operation = UpstreamOperation::ConfirmTerm;
  C.Term = B->front().Term;
  Instant Last;
  for (const ConfirmRequest &R : *B) {
    C.MinPosition = std::max(C.MinPosition, R.MinPosition);
    Last = std::max(Last, R.Deadline);
  }
  Instant SentAt = P->now();
  Duration Left = Last - SentAt;
  if (Positions)
    C.Wait = std::min(MaxReplicationWait, Left);
  Duration Timeout = std::min(C.Wait + AnswerTimeout, Left);
  // The arguments of call() move Connection into the handler, possibly before
  // the call dereferences it, so the reference is taken first.
  ControlConnection &Channel = *Connection;
  Channel.call(std::move(C), Timeout,
               [Self = shared_from_this(), Positions,
                Connection = std::move(Connection), B = std::move(B),
                SentAt](const UpstreamReply &R) {
                 Self->answered(Positions, Connection, *B, R, SentAt);
               });
}

void ConfirmBatcher::answered(bool Positions,
                              std::shared_ptr<ControlConnection> Connection,
                              Batch &B, const UpstreamReply &R,
                              Instant SentAt) {
  P->StalenessBounds.observe(Database, GroupSize, R.Status, SentAt);
  std::vector<std::pair<Confirmation, ConfirmRequest>> Decided;
  bool Repeat = false;
  Instant Now = P->now();
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Queue &Q = Queues[Positions];
    Q.Free.push_back(std::move(Connection));
    for (ConfirmRequest &Request : B) {
      if (auto Result = evaluate(Request, R))
        Decided.emplace_back(*Result, std::move(Request));
      else if (Request.Deadline <= Now)
        Decided.emplace_back(Confirmation::TimedOut, std::move(Request));
      else {
        Q.Waiting.push_back(std::move(Request));
        Repeat = true;
      }
    }
  }
  for (auto &[Result, Request] : Decided)
    Request.Done(Result);
  if (Repeat)
    P->timers().after(RepeatDelay, [Self = shared_from_this(), Positions] {
      Self->sendWaiting(Positions);
    });
  else
    sendWaiting(Positions);
}

std::size_t confirmationsNeeded(std::size_t GroupSize, Durability Needed) {
  std::size_t Others = majority(GroupSize) - 1;
  return Needed == Durability::Replicated ? std::max<std::size_t>(Others, 1)
                                          : Others;
}

void Confirmer::confirm(const DataPathStateRef &P, const Database &Group,
                        const UpstreamId &Primary, std::uint64_t Term,
                        Position Written, Durability Needed, Instant Deadline,
                        std::function<void(Confirmation)> Done) {
  std::vector<std::shared_ptr<ConfirmBatcher>> Queried;
  for (const Upstream &U : Group.Upstreams)
    if (U.Id != Primary)
      Queried.push_back(batcher(P, U, Group));
  auto Quorum = std::make_shared<ConfirmationQuorum>();
  Quorum->Needed = confirmationsNeeded(Group.Upstreams.size(), Needed);
  Quorum->Outstanding = Queried.size();
  if (Quorum->Needed == 0 || Quorum->Needed > Quorum->Outstanding) {
    Done(Quorum->Needed == 0 ? Confirmation::Confirmed
                             : Confirmation::TimedOut);
    return;
  }
  // A batch runs until the latest deadline of its requests, so an exchange that
  // is shared with later writes can outlast this deadline.
  Timer::Id Expiry = P->timers().at(Deadline, [Quorum] { Quorum->expire(); });
  Quorum->Done = [P, Expiry, Done = std::move(Done)](Confirmation C) {
    P->timers().cancel(Expiry);
    Done(C);
  };
  Position MinPosition =
      Needed == Durability::Replicated ? Written : Position{};
  for (auto &Batcher : Queried)
    Batcher->confirm({Term, MinPosition, Deadline,
                      [Quorum](Confirmation C) { Quorum->count(C); }});
}

std::shared_ptr<ConfirmBatcher> Confirmer::batcher(const DataPathStateRef &P,
                                                   const Upstream &U,
                                                   const Database &Group) {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto &Batcher = Batchers[U.Id];
  if (!Batcher || Batcher->address() != U.Address)
    Batcher = ConfirmBatcher::create(P, U, Group.Name, Group.Upstreams.size());
  return Batcher;
}

void Confirmer::keepOnly(const Configuration &C) {
  std::vector<std::shared_ptr<ConfirmBatcher>> Dropped;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    std::erase_if(Batchers, [&](auto &Entry) {
      bool Known = std::any_of(C.Databases.begin(), C.Databases.end(),
                               [&](const Database &D) {
                                 return findUpstream(D, Entry.first) != nullptr;
                               });
      if (!Known)
        Dropped.push_back(Entry.second);
      return !Known;
    });
  }
  for (auto &Batcher : Dropped)
    Batcher->close();
}

void Confirmer::closeAll() { keepOnly(Configuration{}); }

} // namespace eelgrassloom::detail
