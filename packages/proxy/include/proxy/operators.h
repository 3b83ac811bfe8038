/// \file
/// The gRPC service for operators: status of the fleet, plans that change the
/// configuration, and the timeline of events.

#ifndef EELGRASSLOOM_PROXY_OPERATORS_H
#define EELGRASSLOOM_PROXY_OPERATORS_H

#include "proxy/control.h"
#include <grpcpp/impl/service_type.h>
#include <memory>

namespace eelgrassloom {

/// Dependencies of the operator service on the rest of the process.
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

/// Creates the service for registration with a grpc::ServerBuilder. The service
/// must outlive the server.
std::unique_ptr<grpc::Service> createOperatorService(OperatorContext Context);

/// Computes the plan for an intent and stores it on the platform. The
/// configuration does not change until the plan is confirmed. Blocks until the
/// platform has answered or timed out. An answer without a plan id carries
/// findings.
operators::v1::PlanAnswer planIntent(const OperatorContext &Context,
                                     const operators::v1::Intent &Intent);

/// Makes the target of a stored plan the configuration in force, unless another
/// configuration was accepted since the plan was made. Blocks until the
/// platform has answered or timed out.
operators::v1::ConfirmAnswer confirmPlan(const OperatorContext &Context,
                                         const std::string &PlanId);

/// Merges the events of this proxy and, unless the request is local, of all
/// reachable proxies. Blocks until every peer has answered or timed out. Throws
/// like currentStatus() unless the request is local.
operators::v1::TimelineAnswer
collectTimeline(const OperatorContext &Context,
                const operators::v1::TimelineRequest &Request);

/// Returns the events of this process that match the request.
peer::v1::TimelinePart
localTimeline(const OperatorContext &Context,
              const operators::v1::TimelineRequest &Request);

/// Returns the status that the control thread reports. Blocks for up to 2 s and
/// then throws std::runtime_error.
operators::v1::StatusAnswer currentStatus(const OperatorContext &Context);

/// Replaces this proxy's own observations of upstreams by those that their
/// owners report. The observation of an upstream is kept if its owner does not
/// answer in time.
void collectOwnerStatus(const OperatorContext &Context,
                        operators::v1::StatusAnswer &Answer);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_PROXY_OPERATORS_H
