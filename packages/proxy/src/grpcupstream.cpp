/// \file
/// The upstream adapter "grpc": each connection is one Connect stream of
/// upstream.proto on a channel of its own.

#include "proxy/timer.h"
#include "proxy/upstream.h"
#include "upstream.grpc.pb.h"
#include "wirestatus.h"
#include <algorithm>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <utility>

namespace eelgrassloom {
namespace detail {
namespace {

using upstream::v1::ClientFrame;
using upstream::v1::ServerFrame;

/// Timer for the deadlines of exchanges, with one thread for all connections of
/// the process. It is never destroyed, because streams can end while the
/// process exits.
Timer &deadlines() {
  static const auto *Deadlines =
      new std::shared_ptr<Timer>(Timer::create(Clock::system()));
  return **Deadlines;
}

UpstreamCode codeOf(upstream::v1::Code C) {
  switch (C) {
  case upstream::v1::CODE_OK:
    return UpstreamCode::Ok;
  case upstream::v1::CODE_NOT_PRIMARY:
    return UpstreamCode::NotPrimary;
  case upstream::v1::CODE_STALE_TERM:
    return UpstreamCode::StaleTerm;
  case upstream::v1::CODE_BEHIND:
    return UpstreamCode::Behind;
  case upstream::v1::CODE_TOO_MANY_CONNECTIONS:
    return UpstreamCode::TooManyConnections;
  case upstream::v1::CODE_ID_EXPIRED:
    return UpstreamCode::IdExpired;
  case upstream::v1::CODE_NO_TRANSACTION:
    return UpstreamCode::NoTransaction;
  case upstream::v1::CODE_POSITION_LOST:
    return UpstreamCode::PositionLost;
  case upstream::v1::CODE_ID_REUSED:
    return UpstreamCode::IdReused;
  default:
    return UpstreamCode::Error;
  }
}

UpstreamReply replyOf(ServerFrame &&F) {
  UpstreamReply R;
  R.Code = codeOf(F.code());
  R.Message = std::move(*F.mutable_message());
  R.Result = std::move(*F.mutable_result());
  R.At = fromWire(F.position());
  R.Recorded = F.recorded();
  R.Status = fromWire(F.status());
  return R;
}

UpstreamReply failureOf(UpstreamCode Code, std::string Message) {
  UpstreamReply R;
  R.Code = Code;
  R.Message = std::move(Message);
  return R;
}

std::uint32_t waitMillis(Duration D) {
  return static_cast<std::uint32_t>(
      std::clamp<long long>(toMillis(D), 0, 3'600'000));
}

void setBody(const UpstreamCall &C, ClientFrame &F) {
  switch (C.Operation) {
  case UpstreamOperation::Execute: {
    auto &E = *F.mutable_execute();
    E.set_write(C.Write);
    E.set_statement(C.Statement);
    E.set_term(C.Term);
    E.set_request_id(C.RequestId);
    E.set_issued_at_ms(C.IssuedAtMillis);
    if (C.MinPosition != Position{})
      toWire(C.MinPosition, *E.mutable_min_position());
    E.set_wait_ms(waitMillis(C.Wait));
    return;
  }
  case UpstreamOperation::Begin:
    F.mutable_begin()->set_term(C.Term);
    F.mutable_begin()->set_write(C.Write);
    return;
  case UpstreamOperation::Commit:
    F.mutable_commit()->set_request_id(C.RequestId);
    F.mutable_commit()->set_issued_at_ms(C.IssuedAtMillis);
    return;
  case UpstreamOperation::Rollback:
    F.mutable_rollback();
    return;
  case UpstreamOperation::Status:
    F.mutable_status();
    return;
  case UpstreamOperation::RaiseTerm:
    F.mutable_raise_term()->set_term(C.Term);
    F.mutable_raise_term()->set_candidate(C.Candidate);
    return;
  case UpstreamOperation::Promote:
    F.mutable_promote()->set_term(C.Term);
    F.mutable_promote()->set_candidate(C.Candidate);
    return;
  case UpstreamOperation::Follow:
    F.mutable_follow()->set_term(C.Term);
    F.mutable_follow()->set_primary_address(C.PrimaryAddress);
    return;
  case UpstreamOperation::ConfirmTerm: {
    auto &T = *F.mutable_confirm_term();
    T.set_term(C.Term);
    if (C.MinPosition != Position{})
      toWire(C.MinPosition, *T.mutable_position());
    T.set_wait_ms(waitMillis(C.Wait));
    return;
  }
  }
}

grpc::ChannelArguments channelArguments() {
  grpc::ChannelArguments Arguments;
  // With the global pool, channels to the same address would share one TCP
  // connection, and all of them would hang if it became unresponsive.
  Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  Arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  Arguments.SetMaxReceiveMessageSize(-1);
  return Arguments;
}

/// One stream of the Connect call. It holds a reference to itself until gRPC
/// reports its end.
class GrpcStream : public grpc::ClientBidiReactor<ClientFrame, ServerFrame>,
                   public std::enable_shared_from_this<GrpcStream> {
public:
  /// Streams are destroyed on the thread of the deadline timer. On a callback
  /// thread of gRPC, the destructor of the last channel would wait for that
  /// same thread, and gRPC 1.51 then aborts.
  static std::shared_ptr<GrpcStream> create(const std::string &Address) {
    return {new GrpcStream(Address), [](GrpcStream *S) {
              deadlines().after(Duration::zero(), [S] { delete S; });
            }};
  }

  explicit GrpcStream(const std::string &Address)
      : Stub(upstream::v1::Upstream::NewStub(grpc::CreateCustomChannel(
            Address, grpc::InsecureChannelCredentials(), channelArguments()))) {
  }

  void open(const UpstreamTarget &Target, Duration Timeout,
            UpstreamReplyHandler Opened) {
    Self = shared_from_this();
    Stub->async()->Connect(&Context, this);
    ClientFrame F;
    F.mutable_open()->set_database(Target.Database);
    F.mutable_open()->set_proxy(Target.Proxy);
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      StartRead(&In);
      startLocked(std::move(F), Timeout, std::move(Opened));
    }
    StartCall();
  }

  void call(const UpstreamCall &Request, Duration Timeout,
            UpstreamReplyHandler Done) {
    ClientFrame F;
    setBody(Request, F);
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (!Closed && !Pending) {
        startLocked(std::move(F), Timeout, std::move(Done));
        return;
      }
    }
    // Nothing was sent. The handler must run on a thread of the adapter, so it
    // does not run here.
    deadlines().after(Duration::zero(), [Done = std::move(Done)] {
      Done(failureOf(UpstreamCode::ConnectionLost, "the connection is closed"));
    });
  }

  void close() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Closed = true;
    }
    Context.TryCancel();
  }

  void OnWriteDone(bool Ok) override {
    std::lock_guard<std::mutex> Lock(Mutex);
    Writing = false;
    if (Ok && Queued && !Closed) {
      Queued = false;
      Out = std::move(NextOut);
      Writing = true;
      StartWrite(&Out);
    }
  }

  void OnReadDone(bool Ok) override {
    UpstreamReplyHandler Done;
    Timer::Id Deadline = 0;
    ServerFrame Frame;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (!Ok) {
        Closed = true;
        return;
      }
      Frame = std::move(In);
      // A late answer to an earlier exchange has another id and is dropped.
      if (Pending && Frame.exchange_id() == ExchangeId) {
        Done = std::exchange(Pending, nullptr);
        Deadline = DeadlineTimer;
      }
      In.Clear();
      StartRead(&In);
    }
    if (!Done)
      return;
    deadlines().cancel(Deadline);
    Done(replyOf(std::move(Frame)));
  }

  void OnDone(const grpc::Status &S) override {
    auto KeepAlive = std::move(Self);
    UpstreamReplyHandler Done;
    Timer::Id Deadline = 0;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Closed = true;
      Done = std::exchange(Pending, nullptr);
      Deadline = DeadlineTimer;
    }
    if (!Done)
      return;
    deadlines().cancel(Deadline);
    Done(failureOf(UpstreamCode::ConnectionLost, S.error_message()));
  }

private:
  void startLocked(ClientFrame F, Duration Timeout, UpstreamReplyHandler Done) {
    F.set_exchange_id(++ExchangeId);
    Pending = std::move(Done);
    DeadlineTimer =
        deadlines().after(Timeout, [Weak = weak_from_this(), Id = ExchangeId] {
          if (auto Stream = Weak.lock())
            Stream->timeOut(Id);
        });
    // gRPC allows one write at a time, and the previous answer can arrive
    // before gRPC reports that its request was written.
    if (Writing) {
      NextOut = std::move(F);
      Queued = true;
      return;
    }
    Out = std::move(F);
    Writing = true;
    StartWrite(&Out);
  }

  void timeOut(std::uint64_t Id) {
    UpstreamReplyHandler Done;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (!Pending || ExchangeId != Id)
        return;
      Done = std::exchange(Pending, nullptr);
      Closed = true;
    }
    Context.TryCancel();
    Done(failureOf(UpstreamCode::TimedOut, "no answer within the timeout"));
  }

  grpc::ClientContext Context;
  std::unique_ptr<upstream::v1::Upstream::Stub> Stub;
  std::shared_ptr<GrpcStream> Self;
  std::mutex Mutex;
  ClientFrame Out;
  ClientFrame NextOut;
  ServerFrame In;
  bool Writing = false;
  bool Queued = false;
  bool Closed = false;
  std::uint64_t ExchangeId = 0;
  UpstreamReplyHandler Pending;
  Timer::Id DeadlineTimer = 0;
};

/// Closes its stream when the last reference to the connection is released.
struct GrpcConnection : UpstreamConnection {
  explicit GrpcConnection(std::shared_ptr<GrpcStream> S)
      : Stream(std::move(S)) {}
  ~GrpcConnection() override { Stream->close(); }
  GrpcConnection(const GrpcConnection &) = delete;
  GrpcConnection &operator=(const GrpcConnection &) = delete;

  std::shared_ptr<GrpcStream> Stream;
};

std::shared_ptr<UpstreamConnection> connect(const UpstreamTarget &Target,
                                            Duration Timeout,
                                            UpstreamReplyHandler Opened) {
  auto Stream = GrpcStream::create(Target.Address);
  auto Connection = std::make_shared<GrpcConnection>(Stream);
  Stream->open(Target, Timeout, std::move(Opened));
  return Connection;
}

void call(UpstreamConnection &Connection, const UpstreamCall &Request,
          Duration Timeout, UpstreamReplyHandler Done) {
  static_cast<GrpcConnection &>(Connection)
      .Stream->call(Request, Timeout, std::move(Done));
}

void close(UpstreamConnection &Connection) {
  static_cast<GrpcConnection &>(Connection).Stream->close();
}

[[maybe_unused]] const bool Registered =
    Registry<UpstreamAdapter>::add("grpc", {connect, call, close});

} // namespace
} // namespace detail
} // namespace eelgrassloom
