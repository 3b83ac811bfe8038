/// \file
/// Session tokens: the latest position that a session has seen in each
/// database.

#ifndef EELGRASSLOOM_KERNEL_TOKEN_H
#define EELGRASSLOOM_KERNEL_TOKEN_H

#include "kernel/position.h"
#include "kernel/result.h"
#include <map>
#include <string>
#include <string_view>

namespace eelgrassloom {

/// Decoded content of a session token.
struct SessionToken {
  /// Random id of the session; correlates its events in the timeline.
  std::string Session;
  /// Latest seen position by database name.
  std::map<std::string, Position, std::less<>> Positions;

  bool operator==(const SessionToken &) const = default;
};

/// Latest position that the session has seen in a database; zero if none.
Position positionOf(const SessionToken &T, std::string_view Database);

/// Records that the session has seen \p P. An earlier position than the
/// recorded one is ignored.
void advance(SessionToken &T, std::string_view Database, Position P);

/// Merges \p From into \p Into: the later position of each database is kept,
/// and the session id of \p From is taken if \p Into has none.
void merge(SessionToken &Into, const SessionToken &From);

/// Encodes a token as opaque bytes with a version and a checksum.
std::string encode(const SessionToken &T);

/// Decodes a token. An empty string gives the empty token; damaged or malformed
/// bytes give a finding.
Result<SessionToken> decode(std::string_view Bytes);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_TOKEN_H
