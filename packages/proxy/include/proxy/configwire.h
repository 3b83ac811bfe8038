/// \file
/// Conversion of configurations, intents, changes, primary records and statuses
/// between protobuf messages and the kernel's types.

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

/// Converts and validates a configuration. A finding names the place of the
/// invalid field inside the message.
Result<Configuration> configuration(const config::v1::Configuration &Wire);
config::v1::Configuration toWire(const Configuration &C);

/// Converts an intent. Reports only values that the kernel's type can't
/// represent, such as an unknown priority; makePlan() checks the rest.
Result<Intent> intent(const operators::v1::Intent &Wire);

config::v1::Change toWire(const Change &C);
Change change(const config::v1::Change &Wire);

/// Conversion of a primary record.
config::v1::GroupRecord toWire(const GroupRecord &R);
GroupRecord group(const config::v1::GroupRecord &Wire);

/// Conversion of a term history.
TermHistory
history(const google::protobuf::RepeatedPtrField<types::v1::TermStart> &Wire);
/// Replaces the content of \p Wire.
void setHistory(google::protobuf::RepeatedPtrField<types::v1::TermStart> &Wire,
                const TermHistory &History);

types::v1::UpstreamStatus toWire(const UpstreamStatus &S);
UpstreamStatus status(const types::v1::UpstreamStatus &Wire);
/// The part of a status that the failover state machine uses.
ReplicationStatus replicationStatus(const UpstreamStatus &S);

} // namespace eelgrassloom::configwire

#endif // EELGRASSLOOM_PROXY_CONFIGWIRE_H
