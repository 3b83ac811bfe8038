/// \file
/// Conversion between wire messages and plain structs, for positions, upstream
/// status and durations.

#ifndef EELGRASSLOOM_PROXY_WIRESTATUS_H
#define EELGRASSLOOM_PROXY_WIRESTATUS_H

#include "proxy/upstream.h"
#include "types.pb.h"

namespace eelgrassloom::detail {

Position fromWire(const types::v1::Position &P);
void toWire(Position P, types::v1::Position &Out);
UpstreamStatus fromWire(const types::v1::UpstreamStatus &S);
void toWire(const UpstreamStatus &S, types::v1::UpstreamStatus &Out);
types::v1::UpstreamRole toWire(Role R);
/// Duration::max() if the value does not fit.
Duration fromMicros(std::uint64_t Micros);
/// Rounded down; negative durations become zero.
std::uint64_t toMicros(Duration D);

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_WIRESTATUS_H
