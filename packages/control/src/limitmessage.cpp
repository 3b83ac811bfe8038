// Encoding of the datagrams about customer limits: MessagePack arrays that
// begin with a word and a version, so that they are told apart from other
// datagrams.

#include "control/customerlimits.h"
#include "engine/messagepack.h"

namespace eelgrassloom {
namespace detail {

using nlohmann::json;

constexpr std::string_view LimitWord = "limit";
constexpr unsigned LimitVersion = 1;
/// Longest name of a proxy or a customer.
constexpr std::size_t MaxLimitNameBytes = 4096;

std::string decodeName(const json &Value) {
  auto Name = Value.get<std::string>();
  if (Name.empty() || Name.size() > MaxLimitNameBytes)
    throw json::out_of_range::create(MessageErrorId,
                                     "a name has no valid length", nullptr);
  return Name;
}

LimitMessage decodeLimit(const json &V) {
  if (V.at(0) != LimitWord || decodeInteger<unsigned>(V.at(1)) != LimitVersion)
    throw json::out_of_range::create(MessageErrorId, "unknown version",
                                     nullptr);
  LimitMessage M;
  auto Kind = decodeInteger<std::size_t>(V.at(2));
  if (Kind >= LimitMessageKindCount)
    throw json::out_of_range::create(MessageErrorId, "unknown kind", nullptr);
  M.Kind = static_cast<LimitMessageKind>(Kind);
  M.From = decodeName(V.at(3));
  M.Exchange = decodeInteger<std::uint64_t>(V.at(4));
  M.Customer = decodeName(V.at(5));
  M.Tokens = decodeInteger<unsigned>(V.at(6));
  M.RetryAfter = decodeMicros(V.at(7));
  return M;
}

} // namespace detail

std::string encode(const LimitMessage &M) {
  std::string Bytes;
  nlohmann::json::to_msgpack(
      nlohmann::json::array({detail::LimitWord, detail::LimitVersion,
                             static_cast<unsigned>(M.Kind), M.From, M.Exchange,
                             M.Customer, M.Tokens, toMicros(M.RetryAfter)}),
      Bytes);
  return Bytes;
}

bool isLimitMessage(std::string_view Bytes) {
  // The other datagrams are maps.
  constexpr unsigned char ArrayMask = 0xf0;
  constexpr unsigned char ShortArray = 0x90;
  return !Bytes.empty() &&
         (static_cast<unsigned char>(Bytes.front()) & ArrayMask) == ShortArray;
}

Result<LimitMessage> decodeLimitMessage(std::string_view Bytes) {
  try {
    return Result<LimitMessage>::success(
        detail::decodeLimit(decodeMessagePack(Bytes)));
  } catch (const nlohmann::json::exception &E) {
    return Result<LimitMessage>::failure({{"limit datagram", "", E.what()}});
  }
}

} // namespace eelgrassloom
