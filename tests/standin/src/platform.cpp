/// \file
/// Simulated platform: a key-value service with leases and watches, a host
/// list, and a control service that injects faults and counts calls.

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

/// Token bucket that limits calls per second. Its capacity is one second of
/// calls, which may come at once.
class RateLimiter {
public:
  /// Takes a token if there is one; false if the call exceeds the limit.
  /// \p PerSecond 0 means no limit.
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

/// An open watch and the entries that it has not sent yet: first the present
/// ones under its prefix, then their changes.
struct Watcher {
  std::string Prefix;
  std::deque<Entry> Pending;
};

/// A key and its entry. It is kept after the entry is removed, so that the
/// revisions of the key never repeat.
struct StoredEntry {
  /// Revision 0 while the key is absent.
  Entry Current;
  std::uint64_t LastRevision = 0;
  std::uint64_t LeaseId = 0;
};

/// A lease. It expires unless its holder keeps it alive in time.
struct LeaseState {
  std::uint32_t TtlMs = 0;
  steady_clock::time_point Expiry;
};

/// A host list and the time from which callers see it.
struct HostVersion {
  steady_clock::time_point VisibleAt;
  std::vector<Host> Hosts;
};

grpc::Status unavailable() {
  return {grpc::StatusCode::UNAVAILABLE, "platform outage"};
}

void waitForCancel(grpc::ServerContext *Context) {
  while (!Context->IsCancelled())
    std::this_thread::sleep_for(5ms);
}

/// The services of the simulated platform.
class Platform final : public KeyValue::Service,
                       public HostList::Service,
                       public v1::PlatformControl::Service {
  using Context = grpc::ServerContext;
  using Status = grpc::Status;
  using Counters = v1::PlatformCounters;

public:
  Status Get(Context *C, const GetRequest *Request,
             GetAnswer *Answer) override {
    if (Status S = beginCall(C, Counters::kGetsFieldNumber, Reads); !S.ok())
      return S;
    std::lock_guard Lock(Mutex);
    expireLeases();
    auto It = Entries.find(Request->key());
    if (It != Entries.end())
      *Answer->mutable_entry() = It->second.Current;
    Answer->mutable_entry()->set_key(Request->key());
    return Status::OK;
  }

  Status CompareAndSwap(Context *C, const CompareAndSwapRequest *Request,
                        CompareAndSwapAnswer *Answer) override {
    constexpr std::size_t MaxValueBytes = 1 << 20;
    if (Status S = beginCall(C, Counters::kSwapsFieldNumber, Writes); !S.ok())
      return S;
    if (Request->value().size() > MaxValueBytes)
      return {grpc::StatusCode::INVALID_ARGUMENT, "value is above 1 MB"};
    std::unique_lock Lock(Mutex);
    expireLeases();
    if (Request->lease_id() != 0 && Leases.count(Request->lease_id()) == 0)
      return {grpc::StatusCode::FAILED_PRECONDITION, "lease has lapsed"};
    StoredEntry &S = Entries[Request->key()];
    S.Current.set_key(Request->key());
    Answer->set_swapped(S.Current.revision() == Request->expected_revision());
    if (Answer->swapped()) {
      S.Current.set_value(Request->value());
      S.Current.set_revision(++S.LastRevision);
      S.LeaseId = Request->lease_id();
      publish(S.Current);
    }
    *Answer->mutable_entry() = S.Current;
    std::uint32_t Drops = Faults.drop_swap_responses();
    if (Drops == 0)
      return Status::OK;
    Faults.set_drop_swap_responses(Drops - 1);
    Lock.unlock();
    waitForCancel(C);
    return unavailable();
  }

  Status GrantLease(Context *C, const GrantLeaseRequest *Request,
                    Lease *Answer) override {
    if (Status S = beginCall(C, Counters::kLeasesFieldNumber, Writes); !S.ok())
      return S;
    std::lock_guard Lock(Mutex);
    Answer->set_id(++LastLease);
    Answer->set_ttl_ms(Request->ttl_ms());
    Leases[LastLease] = {Request->ttl_ms(),
                         steady_clock::now() + milliseconds(Request->ttl_ms())};
    return Status::OK;
  }

  Status KeepAlive(Context *C, const Lease *Request, Lease *Answer) override {
    if (Status S = beginCall(C, Counters::kKeepAlivesFieldNumber, Writes);
        !S.ok())
      return S;
    std::lock_guard Lock(Mutex);
    expireLeases();
    Answer->set_id(Request->id());
    auto It = Leases.find(Request->id());
    if (It == Leases.end())
      return Status::OK;
    It->second.Expiry = steady_clock::now() + milliseconds(It->second.TtlMs);
    Answer->set_ttl_ms(It->second.TtlMs);
    return Status::OK;
  }

  Status Watch(Context *C, const WatchRequest *Request,
               grpc::ServerWriter<Entry> *Writer) override {
    if (Status S = beginCall(C, Counters::kWatchesFieldNumber, Reads); !S.ok())
      return S;
    std::unique_lock Lock(Mutex);
    auto It = Watchers.insert(Watchers.end(), {Request->prefix(), {}});
    for (const auto &[Key, S] : Entries)
      if (Key.starts_with(It->Prefix) && S.Current.revision() > 0)
        It->Pending.push_back(S.Current);
    bool Open = true;
    while (Open && !C->IsCancelled() && Faults.outage() != v1::OUTAGE_REFUSE) {
      if (It->Pending.empty() || Faults.outage() == v1::OUTAGE_SILENT) {
        Changed.wait_for(Lock, 20ms);
        continue;
      }
      Entry Next = std::move(It->Pending.front());
      It->Pending.pop_front();
      Lock.unlock();
      Open = Writer->Write(Next);
      Lock.lock();
    }
    Watchers.erase(It);
    return unavailable();
  }

  Status List(Context *C, const ListRequest *, ListAnswer *Answer) override {
    if (Status S = beginCall(C, Counters::kHostListsFieldNumber, Reads);
        !S.ok())
      return S;
    std::lock_guard Lock(Mutex);
    auto Now = steady_clock::now();
    for (const HostVersion &V : Hosts)
      if (V.VisibleAt <= Now)
        *Answer->mutable_hosts() = {V.Hosts.begin(), V.Hosts.end()};
    return Status::OK;
  }

  Status SetFaults(Context *, const v1::PlatformFaults *Request,
                   Counters *Answer) override {
    std::lock_guard Lock(Mutex);
    Faults = *Request;
    Changed.notify_all();
    *Answer = currentCounters();
    return Status::OK;
  }

  Status Count(Context *, const v1::CountRequest *, Counters *Answer) override {
    std::lock_guard Lock(Mutex);
    *Answer = currentCounters();
    return Status::OK;
  }

  Status SetHosts(Context *, const v1::HostsRequest *Request,
                  Counters *Answer) override {
    std::lock_guard Lock(Mutex);
    Hosts.push_back({steady_clock::now() + milliseconds(Request->lag_ms()),
                     {Request->hosts().begin(), Request->hosts().end()}});
    *Answer = currentCounters();
    return Status::OK;
  }

  std::vector<grpc::Service *> services() {
    return {static_cast<KeyValue::Service *>(this),
            static_cast<HostList::Service *>(this),
            static_cast<v1::PlatformControl::Service *>(this)};
  }

  /// Removes expired leases, so that watches report their entries even while no
  /// calls arrive.
  void tick() {
    std::lock_guard Lock(Mutex);
    expireLeases();
  }

private:
  /// Counts a call and applies the rate limit, the outage and the delay that
  /// are set. Unless the status is OK, the call must end with it, without an
  /// effect.
  Status beginCall(Context *C, int CounterField, RateLimiter &Rate) {
    std::unique_lock Lock(Mutex);
    const auto *Field = Calls.GetDescriptor()->FindFieldByNumber(CounterField);
    const auto *Fields = Calls.GetReflection();
    Fields->SetUInt64(&Calls, Field, Fields->GetUInt64(Calls, Field) + 1);
    v1::PlatformFaults F = Faults;
    if (!Rate.admit(&Rate == &Reads ? F.reads_per_second()
                                    : F.writes_per_second())) {
      Calls.set_throttled(Calls.throttled() + 1);
      return {grpc::StatusCode::RESOURCE_EXHAUSTED, "rate ceiling reached"};
    }
    Lock.unlock();
    if (F.outage() == v1::OUTAGE_SILENT)
      waitForCancel(C);
    if (F.outage() != v1::OUTAGE_NONE)
      return unavailable();
    std::this_thread::sleep_for(milliseconds(F.delay_ms()));
    return Status::OK;
  }

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

  Counters currentCounters() const {
    Counters C = Calls;
    C.set_watches_waiting(static_cast<std::uint32_t>(Watchers.size()));
    return C;
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, StoredEntry> Entries;
  std::map<std::uint64_t, LeaseState> Leases;
  std::uint64_t LastLease = 0;
  std::list<Watcher> Watchers;
  std::vector<HostVersion> Hosts;
  v1::PlatformFaults Faults;
  Counters Calls;
  RateLimiter Reads;
  RateLimiter Writes;
};

} // namespace
} // namespace eelgrassloom::standin

int main(int Argc, const char **Argv) {
  using namespace eelgrassloom::standin;
  Flags F = readFlags(Argc, Argv, {{"listen", "127.0.0.1:0"}});
  prepareProcess();
  Platform P;
  std::atomic<bool> Stopping{false};
  std::thread Expiry([&] {
    while (!Stopping) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      P.tick();
    }
  });
  int Status = serve(F["listen"], P.services());
  Stopping = true;
  Expiry.join();
  return Status;
}
