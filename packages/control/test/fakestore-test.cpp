#include "fakestore.h"
#include <algorithm>
#include <doctest/doctest.h>

namespace eelgrassloom::test {

using namespace std::chrono_literals;

namespace {

bool hasPrefix(const std::string &Key, const std::string &Prefix) {
  return Key.compare(0, Prefix.size(), Prefix) == 0;
}

} // namespace

void FakeClock::runDue() {
  std::vector<std::function<void()>> Due;
  std::erase_if(Timers, [&](auto &Entry) {
    if (Entry.first > Now)
      return false;
    Due.push_back(std::move(Entry.second));
    return true;
  });
  for (auto &Run : Due)
    Run();
}

void StoreState::put(const std::string &Key, const std::string &Value) {
  Items[Key] = {Key, Value, ++Revision, 0};
}

void StoreState::expireLeases(Instant Now) {
  std::erase_if(LeaseEnds, [&](const auto &Lease) {
    if (Lease.second > Now)
      return false;
    std::erase_if(Items, [&](const auto &Entry) {
      return Entry.second.LeaseId == Lease.first;
    });
    ++Revision;
    return true;
  });
}

void StoreState::takeCopy() { Copy = {Items, Revision, LeaseEnds}; }

void StoreState::returnFromCopy() {
  Items = Copy.Items;
  Revision = Copy.Revision;
  LeaseEnds = Copy.LeaseEnds;
  beginEra();
}

void StoreState::beginEra() {
  ++Era;
  Revision = revisionOf(Era, revisionInStore(Revision));
  for (auto &Entry : Items)
    Entry.second.Revision =
        revisionOf(Era, revisionInStore(Entry.second.Revision));
}

StoreReply StoreState::change(const StoreChange &Change) {
  StoreReply Reply;
  bool Holds = true;
  for (const StoreCondition &C : Change.Conditions) {
    auto It = Items.find(C.Key);
    Holds =
        Holds && (It == Items.end() ? 0 : It->second.Revision) == C.Revision;
    if (It != Items.end())
      Reply.Items.push_back(It->second);
  }
  Reply.Code = Holds ? StoreCode::Ok : StoreCode::Conflict;
  Reply.Revision = Revision;
  if (!Holds)
    return Reply;
  Reply.Items.clear();
  if (!Change.Sets.empty() || !Change.Deletes.empty())
    Reply.Revision = ++Revision;
  for (const StoreItem &Item : Change.Sets)
    Items[Item.Key] = {Item.Key, Item.Value, Revision, Item.LeaseId};
  for (const std::string &Key : Change.Deletes)
    Items.erase(Key);
  return Reply;
}

void FakeStore::deliver(Duration After, StoreReply Reply, Handler Done) {
  Time.after(After, [this, Reply = std::move(Reply), SentIn = KnownEra,
                     AnsweredIn = State.Era, Done = std::move(Done)] {
    if (!Dead)
      deliverNow(Reply, SentIn, AnsweredIn, Done);
  });
}

void FakeStore::deliverNow(StoreReply Reply, StoreEra SentIn,
                           StoreEra AnsweredIn, const Handler &Done) {
  bool Answered = Reply.Code != StoreCode::NoAnswer;
  if (Answered && AnsweredIn > KnownEra) {
    KnownEra = AnsweredIn;
    NewEra(KnownEra);
  }
  bool Lost = AnsweredIn < KnownEra;
  bool OtherEra = SentIn != 0 && SentIn != KnownEra;
  if (Lost || (Reply.Code == StoreCode::Ok && OtherEra))
    Reply = {};
  Done(std::move(Reply));
}

void FakeStore::reply(Duration Timeout, StoreReply Reply, Handler Done) {
  if (isUnavailable() && State.Rejecting) {
    StoreReply Rejected;
    Rejected.Code = StoreCode::Rejected;
    deliver(AnswerTime, Rejected, std::move(Done));
    return;
  }
  if (isUnavailable()) {
    deliver(Timeout, {}, std::move(Done));
    return;
  }
  if (State.HungConnections.count(Proxy) != 0) {
    deliver(Timeout, {}, [this, Done = std::move(Done)](StoreReply Nothing) {
      State.HungConnections.erase(Proxy);
      Done(std::move(Nothing));
    });
    return;
  }
  for (const StoreItem &Item : Reply.Items)
    State.ConfigsSent[Proxy] += Item.Key == "rules" ? 1 : 0;
  deliver(AnswerTime, std::move(Reply), std::move(Done));
}

void FakeStore::range(const std::string &Prefix, ReadMode Mode,
                      Duration Timeout, Handler Done) {
  State.Calls[Proxy] += Mode == ReadMode::Current ? 1 : 0;
  StoreReply Reply;
  Reply.Code = StoreCode::Ok;
  Reply.Revision = State.Revision;
  for (const auto &[Key, Item] : State.Items)
    if (hasPrefix(Key, Prefix))
      Reply.Items.push_back(Item);
  reply(Timeout, std::move(Reply), std::move(Done));
}

void FakeStore::change(const StoreChange &Change, Duration Timeout,
                       Handler Done) {
  ++State.Calls[Proxy];
  if (isUnavailable()) {
    reply(Timeout, {}, std::move(Done));
    return;
  }
  StoreReply Reply = State.change(Change);
  bool Write = !Change.Sets.empty() || !Change.Deletes.empty();
  if (State.DropResponses && Write)
    deliver(Timeout, {}, std::move(Done));
  else
    reply(Timeout, std::move(Reply), std::move(Done));
}

void FakeStore::watch(const std::string &Prefix, std::uint64_t Revision,
                      Duration Wait, Handler Done) {
  State.Calls[Proxy] += isUnavailable() ? 1 : 0;
  StoreReply Reply;
  Reply.Code = StoreCode::Ok;
  Reply.Revision = State.Revision;
  for (const auto &[Key, Item] : State.Items)
    if (hasPrefix(Key, Prefix) && Item.Revision > Revision)
      Reply.Items.push_back(Item);
  if (isUnavailable())
    reply(Wait, {}, std::move(Done));
  else if (!Reply.Items.empty())
    reply(Wait, std::move(Reply), std::move(Done));
  else
    Time.after(20ms, [this, Prefix, Revision, Wait, Done = std::move(Done)] {
      watch(Prefix, Revision, Wait, Done);
    });
}

void FakeStore::createLease(Duration Length, Duration Timeout, Handler Done) {
  StoreReply Reply;
  Reply.Code = StoreCode::Ok;
  Reply.LeaseDuration = Length;
  if (!isUnavailable()) {
    Reply.LeaseId = State.NextLease++;
    State.LeaseEnds[Reply.LeaseId] = Time.Now + Length;
  }
  reply(Timeout, std::move(Reply), std::move(Done));
}

void FakeStore::renewLease(std::uint64_t LeaseId, Duration Timeout,
                           Handler Done) {
  StoreReply Reply;
  Reply.Code = StoreCode::Gone;
  if (!isUnavailable() && State.LeaseEnds.count(LeaseId) != 0) {
    State.LeaseEnds[LeaseId] =
        Time.Now + CoordinatorOptions().PromotionLockLeaseDuration;
    Reply.Code = StoreCode::Ok;
  }
  reply(Timeout, std::move(Reply), std::move(Done));
}

} // namespace eelgrassloom::test
