/// \file
/// The gRPC service that receives requests of callers.

#ifndef EELGRASSLOOM_PROXY_CALLERSERVICE_H
#define EELGRASSLOOM_PROXY_CALLERSERVICE_H

#include "proxy/datapath.h"
#include <grpcpp/impl/service_type.h>
#include <memory>

namespace eelgrassloom {

/// Hands every request to \p Path; register it with a grpc::ServerBuilder.
/// The service must outlive the server.
std::unique_ptr<grpc::Service>
createCallerService(std::shared_ptr<DataPath> Path);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_PROXY_CALLERSERVICE_H
