#include "engine/messagepack.h"
#include <array>

namespace eelgrassloom {
namespace detail {

/// 2^50 microseconds are about 35 years.
constexpr std::int64_t MaxMicros = std::int64_t{1} << 50;

/// How long a value is, by its first byte: \p LengthBytes hold a length in
/// bytes, or a number of elements if \p Children is not 0; \p FixedBytes
/// follow. An element of an array is one value, one of a map two.
struct ValueFormat {
  std::uint8_t LengthBytes = 0;
  std::uint8_t FixedBytes = 0;
  std::uint8_t Children = 0;
};

/// First byte of the formats of FirstByteFormats, and the one of them that is
/// not used.
constexpr unsigned FirstFormat = 0xc0;
constexpr unsigned UnusedFormat = 0xc1;
constexpr std::array<ValueFormat, 32> FirstByteFormats = {{
    {},         {},        {},        {},        // nil, unused, false, true
    {1, 0, 0},  {2, 0, 0}, {4, 0, 0},            // bin
    {1, 1, 0},  {2, 1, 0}, {4, 1, 0},            // ext
    {0, 4, 0},  {0, 8, 0},                       // float
    {0, 1, 0},  {0, 2, 0}, {0, 4, 0}, {0, 8, 0}, // uint
    {0, 1, 0},  {0, 2, 0}, {0, 4, 0}, {0, 8, 0}, // int
    {0, 2, 0},  {0, 3, 0}, {0, 5, 0}, {0, 9, 0}, // fixext
    {0, 17, 0},                                  // fixext 16
    {1, 0, 0},  {2, 0, 0}, {4, 0, 0},            // str
    {2, 0, 1},  {4, 0, 1},                       // array
    {2, 0, 2},  {4, 0, 2},                       // map
}};

/// Removes the first \p Count bytes, or returns false if there are fewer.
bool skip(std::string_view &Bytes, std::uint64_t Count) {
  if (Count > Bytes.size())
    return false;
  Bytes.remove_prefix(Count);
  return true;
}

/// Removes one value without its children, which remain at the front of
/// \p Bytes, and sets their number. Returns false if the value is incomplete or
/// invalid.
bool takeValue(std::string_view &Bytes, std::uint64_t &Children) {
  constexpr unsigned FirstMap = 0x80;
  constexpr unsigned FirstArray = 0x90;
  constexpr unsigned FirstString = 0xa0;
  constexpr unsigned FirstNegative = 0xe0;
  Children = 0;
  if (Bytes.empty())
    return false;
  unsigned First = static_cast<unsigned char>(Bytes[0]);
  Bytes.remove_prefix(1);
  if (First < FirstMap || First >= FirstNegative)
    return true;
  if (First < FirstString) {
    Children = First < FirstArray ? std::uint64_t{First - FirstMap} * 2
                                  : First - FirstArray;
    return true;
  }
  if (First < FirstFormat)
    return skip(Bytes, First - FirstString);
  const ValueFormat &Format = FirstByteFormats[First - FirstFormat];
  if (First == UnusedFormat || Bytes.size() < Format.LengthBytes)
    return false;
  std::uint64_t Length = 0;
  for (char Byte : Bytes.substr(0, Format.LengthBytes))
    Length = Length << 8U | static_cast<unsigned char>(Byte);
  Bytes.remove_prefix(Format.LengthBytes);
  Children = Length * Format.Children;
  return skip(Bytes, Format.FixedBytes) &&
         (Format.Children != 0 || skip(Bytes, Length));
}

/// True if the bytes begin with a complete value that is not nested too deep.
bool depthAllowed(std::string_view Bytes) {
  // Number of values of each enclosing array or map that are still to come.
  std::array<std::uint64_t, MaxMessageDepth + 1> Missing{1};
  std::size_t Depth = 1;
  while (Depth != 0) {
    if (Missing[Depth - 1] == 0) {
      --Depth;
      continue;
    }
    --Missing[Depth - 1];
    std::uint64_t Children = 0;
    if (!takeValue(Bytes, Children))
      return false;
    if (Children == 0)
      continue;
    if (Depth == Missing.size())
      return false;
    Missing[Depth++] = Children;
  }
  return true;
}

} // namespace detail

nlohmann::json decodeMessagePack(std::string_view Bytes) {
  if (!detail::depthAllowed(Bytes))
    throw nlohmann::json::out_of_range::create(
        MessageErrorId, "not a MessagePack value, or nested too deep", nullptr);
  return nlohmann::json::from_msgpack(Bytes.begin(), Bytes.end());
}

Duration decodeMicros(const nlohmann::json &Value) {
  auto Micros = decodeInteger<std::int64_t>(Value);
  if (Micros < -detail::MaxMicros || Micros > detail::MaxMicros)
    throw nlohmann::json::out_of_range::create(MessageErrorId,
                                               "time out of range", nullptr);
  return std::chrono::microseconds(Micros);
}

} // namespace eelgrassloom
