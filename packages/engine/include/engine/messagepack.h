/// \file
/// Strict decoding of MessagePack, the encoding of messages between proxies.

#ifndef EELGRASSLOOM_ENGINE_MESSAGEPACK_H
#define EELGRASSLOOM_ENGINE_MESSAGEPACK_H

#include "kernel/time.h"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace eelgrassloom {

/// Maximum nesting of arrays and maps. nlohmann::json decodes them recursively,
/// so that a long message of nested arrays exhausts the stack.
inline constexpr std::size_t MaxMessageDepth = 8;
/// Error id of the exceptions that these functions throw, the one that
/// nlohmann::json uses for a value out of range.
inline constexpr int MessageErrorId = 401;

/// Decodes one value. Throws nlohmann::json::exception if the bytes are not
/// exactly one value, or if it is nested deeper than MaxMessageDepth.
nlohmann::json decodeMessagePack(std::string_view Bytes);

/// The number as an integer of type \p T. Throws nlohmann::json::exception if
/// it is not an integer or out of range; nlohmann::json would convert it to
/// another number.
template <class T> T decodeInteger(const nlohmann::json &Value) {
  if (!Value.is_number_integer())
    throw nlohmann::json::type_error::create(MessageErrorId, "not an integer",
                                             nullptr);
  bool InRange = Value.is_number_unsigned()
                     ? std::in_range<T>(Value.get<std::uint64_t>())
                     : std::in_range<T>(Value.get<std::int64_t>());
  if (!InRange)
    throw nlohmann::json::out_of_range::create(MessageErrorId,
                                               "number out of range", nullptr);
  return Value.get<T>();
}

/// A time in microseconds. Throws nlohmann::json::exception if it is not an
/// integer or longer than any process runs, so that sums of such times fit into
/// Duration.
Duration decodeMicros(const nlohmann::json &Value);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_ENGINE_MESSAGEPACK_H
