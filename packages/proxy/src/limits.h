/// \file
/// Sizes of requests and results. They keep every message below the 4 MiB that
/// gRPC receives by default: a larger one ends the call or the connection on
/// which it comes, and the outcome is then unknown.

#ifndef EELGRASSLOOM_PROXY_LIMITS_H
#define EELGRASSLOOM_PROXY_LIMITS_H

#include <cstddef>

namespace eelgrassloom::detail {

inline constexpr std::size_t MiB = std::size_t{1} << 20;
inline constexpr std::size_t DefaultGrpcMessageBytes = 4 * MiB;
/// Left for the other fields of a message with a statement or a result: the
/// session token, request id, positions and the history of an upstream.
inline constexpr std::size_t MessageOverheadBytes = MiB / 16;

/// Largest request of a caller, with all its fields.
inline constexpr std::size_t MaxRequestBytes =
    DefaultGrpcMessageBytes - MessageOverheadBytes;
/// Largest result of a statement.
inline constexpr std::size_t MaxResultBytes = MaxRequestBytes;
/// Largest message that the proxy receives from a caller. Requests between
/// MaxRequestBytes and this size get an answer, larger ones a gRPC error.
inline constexpr std::size_t MaxReceivedBytes = 4 * DefaultGrpcMessageBytes;

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_LIMITS_H
