/// \file
/// Conversion between the wire form and the kernel form of the control data.

#ifndef EELGRASSLOOM_PROXY_CONFIGWIRE_H
#define EELGRASSLOOM_PROXY_CONFIGWIRE_H

#include "config.pb.h"
#include "kernel/failover.h"
#include "kernel/model.h"
#include "kernel/plan.h"
#include "kernel/position.h"
#include "kernel/result.h"
#include "operator.pb.h"
#include "proxy/upstream.h"

namespace eelgrassloom::configwire {

/// Checks every field; the findings name the place inside the message.
Result<Configuration> configuration(const config::v1::Configuration &Wire);
config::v1::Configuration toWire(const Configuration &C);

/// Checks only what the kernel form can't express.
Result<Intent> intent(const operators::v1::Intent &Wire);

config::v1::Change toWire(const Change &C);
Change change(const config::v1::Change &Wire);

config::v1::GroupRecord toWire(const GroupRecord &R);
GroupRecord group(const config::v1::GroupRecord &Wire);

TermHistory
history(const google::protobuf::RepeatedPtrField<types::v1::TermStart> &Wire);
void setHistory(google::protobuf::RepeatedPtrField<types::v1::TermStart> &Wire,
                const TermHistory &History);

types::v1::UpstreamStatus toWire(const UpstreamStatus &S);
UpstreamStatus status(const types::v1::UpstreamStatus &Wire);
ReplicationStatus replicationStatus(const UpstreamStatus &S);

} // namespace eelgrassloom::configwire

#endif // EELGRASSLOOM_PROXY_CONFIGWIRE_H
