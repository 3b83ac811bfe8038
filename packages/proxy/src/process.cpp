#include "proxy/process.h"
#include "limits.h"
#include "proxy/callerservice.h"
#include "proxy/control.h"
#include "proxy/operators.h"
#include "proxy/zmqpeers.h"
#include <glog/logging.h>
#include <grpcpp/ext/health_check_service_server_builder_option.h>
#include <grpcpp/grpcpp.h>
#include <random>
#include <stdexcept>
#include <thread>

namespace eelgrassloom {
namespace detail {
namespace {

/// Interval at which drain() checks for work in progress.
constexpr std::chrono::milliseconds DrainCheckInterval{20};
/// The process ends only after no work was in progress for this long, because
/// peers that do not know of the drain yet still forward statements.
constexpr Duration DrainIdleTime = std::chrono::milliseconds(500);
/// Time for the announcement of the exit to leave the peer sockets.
constexpr std::chrono::milliseconds ExitAnnouncementDelay{100};
/// After this time the gRPC server cancels calls that are still running.
constexpr std::chrono::seconds ServerShutdownTime{2};

/// All parts of the process, in the order of their construction.
struct Process {
  Settings Options;
  std::shared_ptr<Clock> Time;
  std::shared_ptr<EventLog> Events;
  std::shared_ptr<ProxyMetrics> Meters;
  std::shared_ptr<SnapshotHolder> Snapshots;
  std::shared_ptr<ZmqPeers> Peers;
  const PlatformAdapter *Platform = nullptr;
  std::shared_ptr<PlatformClient> PlatformConnection;
  const UpstreamAdapter *Upstreams = nullptr;
  std::shared_ptr<Control> Controller;
  std::shared_ptr<DataPath> Path;
  std::unique_ptr<grpc::Service> Callers;
  std::unique_ptr<grpc::Service> Operators;
  std::unique_ptr<grpc::Server> Server;
};

OperatorContext operatorContext(const Process &P) {
  return {P.Options, P.Time,       P.Events,   P.Snapshots,
          P.Peers,   P.Controller, P.Platform, P.PlatformConnection};
}

/// Passes each peer message to the part that answers it.
PeerReceiver makeReceiver(const Process &P) {
  return [Path = P.Path, Controller = P.Controller,
          Operators = operatorContext(P)](const peer::v1::PeerMessage &M,
                                          PeerResponder Respond) {
    if (M.has_forward()) {
      Path->runForwarded(M.forward(),
                         [Respond](peer::v1::ForwardAnswer Answer) {
                           peer::v1::PeerMessage Out;
                           *Out.mutable_forward_answer() = std::move(Answer);
                           Respond(std::move(Out));
                         });
    } else if (M.has_timeline_request()) {
      peer::v1::PeerMessage Out;
      *Out.mutable_timeline_part() =
          localTimeline(Operators, M.timeline_request());
      Respond(std::move(Out));
    } else {
      Controller->received(M, std::move(Respond));
    }
  };
}

void connectAdapters(Process &P) {
  P.Platform = Registry<PlatformAdapter>::find(P.Options.PlatformAdapter);
  P.Upstreams = Registry<UpstreamAdapter>::find(P.Options.UpstreamAdapter);
  if (!P.Platform || !P.Upstreams)
    throw std::runtime_error(
        "the platform or upstream adapter of the settings is not linked "
        "into this program");
  P.PlatformConnection =
      P.Platform->Connect(translateAddress(P.Options, P.Options.Platform));
}

void makeControl(Process &P) {
  // The incarnation must be higher than in any earlier run with the same id, so
  // it starts from the wall clock in milliseconds.
  auto Incarnation = std::make_shared<std::atomic<std::uint64_t>>(
      static_cast<std::uint64_t>(P.Time->wallMicros() / 1000));
  P.Peers =
      ZmqPeers::create({{P.Options.Fleet, P.Options.Id, P.Options.PeerListen},
                        P.Time,
                        P.Events,
                        P.Meters,
                        Incarnation});
  ControlContext C;
  C.Options = P.Options;
  C.Time = P.Time;
  C.Events = P.Events;
  C.Meters = P.Meters;
  C.Snapshots = P.Snapshots;
  C.Peers = P.Peers;
  C.Incarnation = Incarnation;
  C.Platform = P.Platform;
  C.PlatformConnection = P.PlatformConnection;
  C.Upstreams = P.Upstreams;
  C.Seed = std::random_device()();
  LOG(INFO) << "control seed " << C.Seed;
  P.Controller = Control::create(std::move(C));
}

void makeDataPath(Process &P) {
  DataPathContext C;
  C.Options = P.Options;
  C.Time = P.Time;
  C.Events = P.Events;
  C.Meters = P.Meters;
  C.Snapshots = P.Snapshots;
  C.Peers = P.Peers;
  C.Observe = P.Controller->observer();
  C.Upstreams = P.Upstreams;
  P.Path = DataPath::create(std::move(C));
}

void serve(Process &P) {
  P.Callers = createCallerService(P.Path);
  P.Operators = createOperatorService(operatorContext(P));
  grpc::EnableDefaultHealthCheckService(true);
  int Port = 0;
  grpc::ServerBuilder Builder;
  Builder.SetMaxReceiveMessageSize(static_cast<int>(MaxReceivedBytes));
  // Listening must fail if another process uses the port.
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.AddListeningPort(P.Options.Listen, grpc::InsecureServerCredentials(),
                           &Port);
  Builder.RegisterService(P.Callers.get());
  Builder.RegisterService(P.Operators.get());
  P.Server = Builder.BuildAndStart();
  if (!P.Server || Port == 0)
    throw std::runtime_error("cannot listen at " + P.Options.Listen);
}

void drain(Process &P) {
  P.Events->record(events::Draining, {}, "");
  P.Server->GetHealthCheckService()->SetServingStatus(false);
  P.Controller->drain();
  Instant Start = P.Time->now();
  Instant LastBusy = Start;
  while (P.Time->now() - LastBusy < DrainIdleTime) {
    if (P.Path->inProgress() > 0)
      LastBusy = P.Time->now();
    if (P.Time->now() - Start > P.Options.DrainTimeout) {
      LOG(WARNING) << "drain timeout passed with " << P.Path->inProgress()
                   << " requests or transactions in progress";
      P.Path->abandonRequests();
      return;
    }
    std::this_thread::sleep_for(DrainCheckInterval);
  }
}

void stop(Process &P) {
  P.Server->Shutdown(std::chrono::system_clock::now() + ServerShutdownTime);
  P.Controller->stop();
  std::this_thread::sleep_for(ExitAnnouncementDelay);
  P.Peers->setReceiver(nullptr);
  P.Peers->stop();
}

} // namespace
} // namespace detail

void runProxy(const Settings &Options,
              const std::function<void()> &WaitForStop) {
  detail::Process P;
  P.Options = Options;
  P.Time = Clock::system();
  P.Events = EventLog::create(P.Time, Options.TimelineCapacity);
  P.Meters = ProxyMetrics::create(Options.MetricsListen);
  P.Snapshots = std::make_shared<SnapshotHolder>();
  detail::connectAdapters(P);
  detail::makeControl(P);
  detail::makeDataPath(P);
  P.Peers->setReceiver(detail::makeReceiver(P));
  P.Controller->start(P.Path);
  detail::serve(P);
  P.Events->record(events::Started, {},
                   Options.Id + " in " + Options.FailureDomain + " at " +
                       Options.Listen);
  WaitForStop();
  detail::drain(P);
  detail::stop(P);
  P.Events->record(events::Stopped, {}, "");
}

} // namespace eelgrassloom
