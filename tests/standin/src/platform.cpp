/// \file
/// Simulated platform: key-value service with leases and watches, host list,
/// and a control service for faults and call counters.

#include "platform.grpc.pb.h"
#include "process.h"
#include "standin.grpc.pb.h"
#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <list>
#include <mutex>
#include <thread>

namespace eelgrassloom::standin {
namespace {

using namespace std::chrono_literals;
using namespace platform::v1;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Calls per second; a full second's worth may come at once.
class Ceiling {
public:
  bool admit(std::uint32_t PerSecond) {
    if (PerSecond == 0)
      return true;
    auto Now = steady_clock::now();
    std::chrono::duration<double> Since = Now - Last;
    Last = Now;
    Tokens = std::min<double>(PerSecond, Tokens + Since.count() * PerSecond);
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  steady_clock::time_point Last;
  double Tokens = 0;
};

struct Watcher {
  std::string Prefix;
  std::deque<Entry> Pending;
};

struct Stored {
  /// Revision 0 while the key is absent.
  Entry Current;
  std::uint64_t LastRevision = 0;
  std::uint64_t LeaseId = 0;
};

struct LeaseState {
  std::uint32_t TtlMs = 0;
  steady_clock::time_point Expiry;
};

struct HostVersion {
  steady_clock::time_point VisibleAt;
  std::vector<Host> Hosts;
};

struct Platform {
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Stored> Entries;
  std::map<std::uint64_t, LeaseState> Leases;
  std::uint64_t LastLease = 0;
  std::list<Watcher> Watchers;
  std::vector<HostVersion> Hosts;
  v1::PlatformFaults Faults;
  v1::PlatformCounters Counters;
  Ceiling Reads;
  Ceiling Writes;

  void publish(const Entry &E) {
    for (Watcher &W : Watchers)
      if (E.key().starts_with(W.Prefix))
        W.Pending.push_back(E);
    Changed.notify_all();
  }

  /// Removes expired leases together with their entries.
  void expireLeases() {
    auto Now = steady_clock::now();
    std::erase_if(Leases, [&](const auto &L) {
      if (L.second.Expiry > Now)
        return false;
      for (auto &[Key, S] : Entries) {
        if (S.LeaseId != L.first)
          continue;
        S.Current.clear_value();
        S.Current.set_revision(0);
        S.LeaseId = 0;
        publish(S.Current);
      }
      return true;
    });
  }

  CompareAndSwapAnswer swap(const CompareAndSwapRequest &Request) {
    CompareAndSwapAnswer Answer;
    Stored &S = Entries[Request.key()];
    S.Current.set_key(Request.key());
    if (S.Current.revision() == Request.expected_revision()) {
      S.Current.set_value(Request.value());
      S.Current.set_revision(++S.LastRevision);
      S.LeaseId = Request.lease_id();
      publish(S.Current);
      Answer.set_swapped(true);
    }
    *Answer.mutable_entry() = S.Current;
    return Answer;
  }
};

grpc::Status unavailable() {
  return {grpc::StatusCode::UNAVAILABLE, "platform outage"};
}

void waitForCancel(grpc::ServerContext *Context) {
  while (!Context->IsCancelled())
    std::this_thread::sleep_for(5ms);
}

/// Counts a call and applies the faults that come before its effect.
template <typename Counter>
grpc::Status enter(Platform &P, grpc::ServerContext *Context, Counter Count,
                   bool Write = false) {
  std::unique_lock Lock(P.Mutex);
  Count(P.Counters);
  v1::PlatformFaults Faults = P.Faults;
  bool Admitted = Write ? P.Writes.admit(Faults.writes_per_second())
                        : P.Reads.admit(Faults.reads_per_second());
  if (!Admitted)
    P.Counters.set_throttled(P.Counters.throttled() + 1);
  Lock.unlock();
  if (!Admitted)
    return {grpc::StatusCode::RESOURCE_EXHAUSTED, "rate ceiling reached"};
  if (Faults.outage() == v1::OUTAGE_SILENT)
    waitForCancel(Context);
  if (Faults.outage() != v1::OUTAGE_NONE)
    return unavailable();
  if (Faults.delay_ms() > 0)
    std::this_thread::sleep_for(milliseconds(Faults.delay_ms()));
  return grpc::Status::OK;
}

class KeyValueService final : public KeyValue::Service {
public:
  explicit KeyValueService(Platform &P) : P(P) {}

  grpc::Status Get(grpc::ServerContext *Context, const GetRequest *Request,
                   GetAnswer *Answer) override {
    auto S = enter(P, Context, [](auto &C) { C.set_gets(C.gets() + 1); });
    if (!S.ok())
      return S;
    std::lock_guard Lock(P.Mutex);
    P.expireLeases();
    auto It = P.Entries.find(Request->key());
    if (It != P.Entries.end())
      *Answer->mutable_entry() = It->second.Current;
    Answer->mutable_entry()->set_key(Request->key());
    return grpc::Status::OK;
  }

  grpc::Status CompareAndSwap(grpc::ServerContext *Context,
                              const CompareAndSwapRequest *Request,
                              CompareAndSwapAnswer *Answer) override {
    constexpr std::size_t MaxValueBytes = 1 << 20;
    auto S = enter(
        P, Context, [](auto &C) { C.set_swaps(C.swaps() + 1); }, true);
    if (!S.ok())
      return S;
    if (Request->value().size() > MaxValueBytes)
      return {grpc::StatusCode::INVALID_ARGUMENT, "value is above 1 MB"};
    std::unique_lock Lock(P.Mutex);
    P.expireLeases();
    if (Request->lease_id() != 0 && P.Leases.count(Request->lease_id()) == 0)
      return {grpc::StatusCode::FAILED_PRECONDITION, "lease has lapsed"};
    *Answer = P.swap(*Request);
    std::uint32_t Drops = P.Faults.drop_swap_responses();
    if (Drops == 0)
      return grpc::Status::OK;
    P.Faults.set_drop_swap_responses(Drops - 1);
    Lock.unlock();
    waitForCancel(Context);
    return unavailable();
  }

  grpc::Status GrantLease(grpc::ServerContext *Context,
                          const GrantLeaseRequest *Request,
                          Lease *Answer) override {
    auto S = enter(
        P, Context, [](auto &C) { C.set_leases(C.leases() + 1); }, true);
    if (!S.ok())
      return S;
    std::lock_guard Lock(P.Mutex);
    Answer->set_id(++P.LastLease);
    Answer->set_ttl_ms(Request->ttl_ms());
    P.Leases[P.LastLease] = {Request->ttl_ms(),
                             steady_clock::now() +
                                 milliseconds(Request->ttl_ms())};
    return grpc::Status::OK;
  }

  grpc::Status KeepAlive(grpc::ServerContext *Context, const Lease *Request,
                         Lease *Answer) override {
    auto S = enter(
        P, Context, [](auto &C) { C.set_keep_alives(C.keep_alives() + 1); },
        true);
    if (!S.ok())
      return S;
    std::lock_guard Lock(P.Mutex);
    P.expireLeases();
    Answer->set_id(Request->id());
    auto It = P.Leases.find(Request->id());
    if (It == P.Leases.end())
      return grpc::Status::OK;
    It->second.Expiry = steady_clock::now() + milliseconds(It->second.TtlMs);
    Answer->set_ttl_ms(It->second.TtlMs);
    return grpc::Status::OK;
  }

  grpc::Status Watch(grpc::ServerContext *Context, const WatchRequest *Request,
                     grpc::ServerWriter<Entry> *Writer) override {
    auto S = enter(P, Context, [](auto &C) { C.set_watches(C.watches() + 1); });
    if (!S.ok())
      return S;
    std::unique_lock Lock(P.Mutex);
    auto It = P.Watchers.insert(P.Watchers.end(), {Request->prefix(), {}});
    for (const auto &[Key, Stored] : P.Entries)
      if (Key.starts_with(It->Prefix) && Stored.Current.revision() > 0)
        It->Pending.push_back(Stored.Current);
    bool Open = true;
    while (Open && !Context->IsCancelled() &&
           P.Faults.outage() != v1::OUTAGE_REFUSE) {
      bool Silent = P.Faults.outage() == v1::OUTAGE_SILENT;
      if (It->Pending.empty() || Silent) {
        P.Changed.wait_for(Lock, 20ms);
        continue;
      }
      Entry Next = std::move(It->Pending.front());
      It->Pending.pop_front();
      Lock.unlock();
      Open = Writer->Write(Next);
      Lock.lock();
    }
    P.Watchers.erase(It);
    return unavailable();
  }

private:
  Platform &P;
};

class HostService final : public HostList::Service {
public:
  explicit HostService(Platform &P) : P(P) {}
  grpc::Status List(grpc::ServerContext *Context, const ListRequest *,
                    ListAnswer *Answer) override {
    auto S = enter(P, Context,
                   [](auto &C) { C.set_host_lists(C.host_lists() + 1); });
    if (!S.ok())
      return S;
    std::lock_guard Lock(P.Mutex);
    auto Now = steady_clock::now();
    for (auto It = P.Hosts.rbegin(); It != P.Hosts.rend(); ++It) {
      if (It->VisibleAt > Now)
        continue;
      Answer->mutable_hosts()->Add(It->Hosts.begin(), It->Hosts.end());
      break;
    }
    return grpc::Status::OK;
  }

private:
  Platform &P;
};

class ControlService final : public v1::PlatformControl::Service {
public:
  explicit ControlService(Platform &P) : P(P) {}

  grpc::Status SetFaults(grpc::ServerContext *,
                         const v1::PlatformFaults *Request,
                         v1::PlatformCounters *Answer) override {
    std::lock_guard Lock(P.Mutex);
    P.Faults = *Request;
    P.Changed.notify_all();
    *Answer = counters();
    return grpc::Status::OK;
  }
  grpc::Status Count(grpc::ServerContext *, const v1::CountRequest *,
                     v1::PlatformCounters *Answer) override {
    std::lock_guard Lock(P.Mutex);
    *Answer = counters();
    return grpc::Status::OK;
  }
  grpc::Status SetHosts(grpc::ServerContext *, const v1::HostsRequest *Request,
                        v1::PlatformCounters *Answer) override {
    std::lock_guard Lock(P.Mutex);
    P.Hosts.push_back({steady_clock::now() + milliseconds(Request->lag_ms()),
                       {Request->hosts().begin(), Request->hosts().end()}});
    *Answer = counters();
    return grpc::Status::OK;
  }

private:
  v1::PlatformCounters counters() const {
    v1::PlatformCounters C = P.Counters;
    C.set_watches_waiting(static_cast<std::uint32_t>(P.Watchers.size()));
    return C;
  }
  Platform &P;
};

} // namespace
} // namespace eelgrassloom::standin

int main(int Argc, const char **Argv) {
  using namespace eelgrassloom::standin;
  Flags F = readFlags(Argc, Argv, {{"listen", "127.0.0.1:0"}});
  prepareProcess();
  Platform P;
  // Watches report lapsed entries without another call.
  std::atomic<bool> Stopping{false};
  std::thread Expiry([&] {
    while (!Stopping) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      std::lock_guard Lock(P.Mutex);
      P.expireLeases();
    }
  });
  KeyValueService KeyValues(P);
  HostService Hosts(P);
  ControlService Control(P);
  int Status = serve(F["listen"], {&KeyValues, &Hosts, &Control});
  Stopping = true;
  Expiry.join();
  return Status;
}
