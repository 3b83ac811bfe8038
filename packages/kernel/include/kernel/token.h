/// \file
/// Session tokens: the latest position that a session has seen, by database.

#ifndef EELGRASSLOOM_KERNEL_TOKEN_H
#define EELGRASSLOOM_KERNEL_TOKEN_H

#include "kernel/position.h"
#include "kernel/result.h"
#include <map>
#include <string>
#include <string_view>

namespace eelgrassloom {

/// Plain content of a session token.
struct SessionToken {
  /// Random id of the session; correlates time line events.
  std::string Session;
  std::map<std::string, Position, std::less<>> Positions;

  bool operator==(const SessionToken &) const = default;
};

/// Position that the session has seen in a database; zero if none.
Position positionOf(const SessionToken &T, std::string_view Database);

/// Records that the session has seen \p P. An older position changes nothing.
void advance(SessionToken &T, std::string_view Database, Position P);

/// Keeps the later position of each database.
void merge(SessionToken &Into, const SessionToken &From);

/// Opaque bytes with a version and a checksum. The token of an empty string is
/// the empty token.
std::string encode(const SessionToken &T);
Result<SessionToken> decode(std::string_view Bytes);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_TOKEN_H
