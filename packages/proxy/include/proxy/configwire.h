/// \file
/// Conversion between the wire form and the kernel form of the control data.

#ifndef EELGRASSLOOM_PROXY_CONFIGWIRE_H
#define EELGRASSLOOM_PROXY_CONFIGWIRE_H

#include "config.pb.h"
#include "kernel/model.h"
#include "kernel/position.h"
#include "kernel/result.h"
#include "proxy/upstream.h"

namespace eelgrassloom::configwire {

/// Checks every field; the findings name the place inside the message.
Result<Configuration> configuration(const config::v1::Configuration &Wire);
config::v1::Configuration wire(const Configuration &C);

Result<WorkloadClass> workloadClass(const config::v1::WorkloadClass &Wire);
Result<Database> database(const config::v1::Database &Wire);

/// Shares that are absent keep their value in \p Base.
Result<PriorityShares>
shares(const google::protobuf::RepeatedPtrField<config::v1::PriorityShare> &Wire,
       PriorityShares Base);

History
history(const google::protobuf::RepeatedPtrField<types::v1::TermStart> &Wire);
void setHistory(
    google::protobuf::RepeatedPtrField<types::v1::TermStart> &Wire,
    const History &Line);

types::v1::UpstreamStatus wire(const UpstreamStatus &S);
UpstreamStatus status(const types::v1::UpstreamStatus &Wire);

} // namespace eelgrassloom::configwire

#endif // EELGRASSLOOM_PROXY_CONFIGWIRE_H
