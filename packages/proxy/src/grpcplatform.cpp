/// \file
/// The platform adapter `grpc`, which uses the gRPC services of platform.proto.

#include "platform.grpc.pb.h"
#include "proxy/platform.h"
#include <grpcpp/grpcpp.h>
#include <mutex>

namespace eelgrassloom {
namespace detail {
namespace {

namespace pb = platform::v1;

/// A gRPC channel to the platform and its stubs.
struct GrpcPlatform : PlatformClient,
                      std::enable_shared_from_this<GrpcPlatform> {
  explicit GrpcPlatform(std::shared_ptr<grpc::Channel> Channel)
      : Store(pb::KeyValue::NewStub(Channel)),
        Hosts(pb::HostList::NewStub(Channel)) {}

  std::unique_ptr<pb::KeyValue::Stub> Store;
  std::unique_ptr<pb::HostList::Stub> Hosts;
};

/// Request, answer and context of a call. They have to exist until the call has
/// ended.
template <class Request, class Answer> struct PlatformCall {
  std::shared_ptr<GrpcPlatform> Client;
  grpc::ClientContext Context;
  Request In;
  Answer Out;
};

template <class Request, class Answer>
std::shared_ptr<PlatformCall<Request, Answer>> makeCall(PlatformClient &Client,
                                                        Duration Timeout) {
  auto Call = std::make_shared<PlatformCall<Request, Answer>>();
  Call->Client = static_cast<GrpcPlatform &>(Client).shared_from_this();
  Call->Context.set_deadline(
      std::chrono::system_clock::now() +
      std::chrono::duration_cast<std::chrono::microseconds>(Timeout));
  return Call;
}

PlatformEntry toEntry(const pb::Entry &E) {
  return {E.key(), E.value(), E.revision()};
}

std::shared_ptr<PlatformClient> connectPlatform(const std::string &Address) {
  grpc::ChannelArguments Arguments;
  // A value has up to 1 MB; the message that carries it is somewhat larger.
  Arguments.SetMaxReceiveMessageSize(4 << 20);
  // With the default backoff of up to 2 min the client would stay disconnected
  // long after a short outage.
  Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
  Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 500);
  Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
  Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  return std::make_shared<GrpcPlatform>(grpc::CreateCustomChannel(
      Address, grpc::InsecureChannelCredentials(), Arguments));
}

void get(PlatformClient &Client, const std::string &Key, Duration Timeout,
         PlatformReplyHandler Done) {
  auto Call = makeCall<pb::GetRequest, pb::GetAnswer>(Client, Timeout);
  Call->In.set_key(Key);
  Call->Client->Store->async()->Get(
      &Call->Context, &Call->In, &Call->Out,
      [Call, Done = std::move(Done)](const grpc::Status &S) {
        if (!S.ok())
          Done({PlatformCode::Unavailable, {}});
        else
          Done({PlatformCode::Ok, toEntry(Call->Out.entry())});
      });
}

void swap(PlatformClient &Client, const PlatformEntry &Entry,
          std::uint64_t ExpectedRevision, std::uint64_t LeaseId,
          Duration Timeout, PlatformReplyHandler Done) {
  auto Call = makeCall<pb::CompareAndSwapRequest, pb::CompareAndSwapAnswer>(
      Client, Timeout);
  Call->In.set_key(Entry.Key);
  Call->In.set_value(Entry.Value);
  Call->In.set_expected_revision(ExpectedRevision);
  Call->In.set_lease_id(LeaseId);
  Call->Client->Store->async()->CompareAndSwap(
      &Call->Context, &Call->In, &Call->Out,
      [Call, Done = std::move(Done)](const grpc::Status &S) {
        if (!S.ok())
          Done({PlatformCode::Unavailable, {}});
        else
          Done({Call->Out.swapped() ? PlatformCode::Ok : PlatformCode::Conflict,
                toEntry(Call->Out.entry())});
      });
}

void compareAndSwap(PlatformClient &Client, const PlatformEntry &Entry,
                    std::uint64_t ExpectedRevision, std::uint32_t LeaseMillis,
                    Duration Timeout, PlatformReplyHandler Done) {
  if (LeaseMillis == 0) {
    swap(Client, Entry, ExpectedRevision, 0, Timeout, std::move(Done));
    return;
  }
  auto Call = makeCall<pb::GrantLeaseRequest, pb::Lease>(Client, Timeout);
  Call->In.set_ttl_ms(LeaseMillis);
  Call->Client->Store->async()->GrantLease(
      &Call->Context, &Call->In, &Call->Out,
      [=, Done = std::move(Done)](const grpc::Status &S) {
        if (!S.ok() || Call->Out.id() == 0)
          Done({PlatformCode::Unavailable, {}});
        else
          swap(*Call->Client, Entry, ExpectedRevision, Call->Out.id(), Timeout,
               Done);
      });
}

/// Reads a watch stream. Holds a reference to itself until the stream has
/// ended.
class WatchReactor : public grpc::ClientReadReactor<pb::Entry> {
public:
  WatchReactor(std::shared_ptr<GrpcPlatform> Client, const std::string &Prefix,
               PlatformEntryHandler Changed, std::function<void()> Ended)
      : Client(std::move(Client)), Changed(std::move(Changed)),
        Ended(std::move(Ended)) {
    Request.set_prefix(Prefix);
    // Otherwise the call would fail at once while the channel reconnects.
    Context.set_wait_for_ready(true);
  }

  void start() {
    Client->Store->async()->Watch(&Context, &Request, this);
    StartRead(&Entry);
    StartCall();
  }

  /// Ends the stream. No handler runs after this function returns.
  void cancel() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Cancelled = true;
    }
    Context.TryCancel();
  }

  void OnReadDone(bool Ok) override {
    if (!Ok)
      return;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (Cancelled)
        return;
      Changed(toEntry(Entry));
    }
    StartRead(&Entry);
  }

  void OnDone(const grpc::Status & /*S*/) override {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (!Cancelled)
        Ended();
    }
    Self.reset();
  }

  /// Keeps the object alive until the stream has ended.
  std::shared_ptr<WatchReactor> Self;

private:
  std::shared_ptr<GrpcPlatform> Client;
  PlatformEntryHandler Changed;
  std::function<void()> Ended;
  grpc::ClientContext Context;
  pb::WatchRequest Request;
  pb::Entry Entry;
  std::mutex Mutex;
  bool Cancelled = false;
};

/// Ends the watch when it is destroyed.
struct GrpcWatch : PlatformWatch {
  explicit GrpcWatch(std::shared_ptr<WatchReactor> Reactor)
      : Reactor(std::move(Reactor)) {}
  ~GrpcWatch() override { Reactor->cancel(); }
  GrpcWatch(const GrpcWatch &) = delete;
  GrpcWatch &operator=(const GrpcWatch &) = delete;

  std::shared_ptr<WatchReactor> Reactor;
};

std::shared_ptr<PlatformWatch> watch(PlatformClient &Client,
                                     const std::string &Prefix,
                                     PlatformEntryHandler Changed,
                                     std::function<void()> Ended) {
  auto Reactor = std::make_shared<WatchReactor>(
      static_cast<GrpcPlatform &>(Client).shared_from_this(), Prefix,
      std::move(Changed), std::move(Ended));
  Reactor->Self = Reactor;
  Reactor->start();
  return std::make_shared<GrpcWatch>(std::move(Reactor));
}

void listHosts(PlatformClient &Client, Duration Timeout,
               PlatformHostsHandler Done) {
  auto Call = makeCall<pb::ListRequest, pb::ListAnswer>(Client, Timeout);
  Call->Client->Hosts->async()->List(
      &Call->Context, &Call->In, &Call->Out,
      [Call, Done = std::move(Done)](const grpc::Status &S) {
        PlatformHosts Hosts;
        if (S.ok())
          Hosts.Code = PlatformCode::Ok;
        for (const pb::Host &H : Call->Out.hosts())
          Hosts.Hosts.push_back(
              {H.id(), H.address(), H.failure_domain(), H.leaving()});
        Done(Hosts);
      });
}

const bool Registered = Registry<PlatformAdapter>::add(
    "grpc", {connectPlatform, get, compareAndSwap, watch, listHosts});

} // namespace
} // namespace detail
} // namespace eelgrassloom
