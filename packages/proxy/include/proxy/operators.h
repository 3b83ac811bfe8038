/// \file
/// The gRPC service for operators: status, plans and the timeline.

#ifndef EELGRASSLOOM_PROXY_OPERATORS_H
#define EELGRASSLOOM_PROXY_OPERATORS_H

#include "proxy/control.h"
#include <grpcpp/impl/service_type.h>
#include <memory>

namespace eelgrassloom {

/// What the operator service needs from the rest of the process.
struct OperatorContext {
  Settings Options;
  std::shared_ptr<Clock> Time;
  std::shared_ptr<EventLog> Events;
  std::shared_ptr<SnapshotHolder> Snapshots;
  std::shared_ptr<PeerTransport> Peers;
  std::shared_ptr<Control> Controller;
  const PlatformAdapter *Platform = nullptr;
  std::shared_ptr<PlatformClient> PlatformConnection;
};

/// Register it with a grpc::ServerBuilder; it must outlive the server.
std::unique_ptr<grpc::Service> createOperatorService(OperatorContext Context);

/// Stores a plan for an intent; changes nothing else. Waits for the platform.
operators::v1::PlanAnswer planIntent(const OperatorContext &Context,
                                     const operators::v1::Intent &Intent);

/// Makes a stored plan the next configuration. Waits for the platform.
operators::v1::ConfirmAnswer confirmPlan(const OperatorContext &Context,
                                         const std::string &PlanId);

/// Merges the events of this proxy and, unless the request is local, of all
/// reachable proxies.
operators::v1::TimelineAnswer
collectTimeline(const OperatorContext &Context,
                const operators::v1::TimelineRequest &Request);

/// The events of this process that match the request.
peer::v1::TimelinePart
localTimeline(const OperatorContext &Context,
              const operators::v1::TimelineRequest &Request);

/// The state as the control thread sees it. Waits for the control thread.
operators::v1::StatusAnswer currentStatus(const OperatorContext &Context);

/// Replaces what this proxy saw of upstreams by what their owners report.
/// Upstreams whose owner does not answer in time stay as they are.
void collectOwnerStatus(const OperatorContext &Context,
                        operators::v1::StatusAnswer &Answer);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_PROXY_OPERATORS_H
