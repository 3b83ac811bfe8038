#include "kernel/logtext.h"
#include <algorithm>
#include <cstdint>

namespace eelgrassloom {
namespace detail {

constexpr std::uint32_t MaxCodePoint = 0x10ffff;
constexpr std::uint32_t FirstSurrogate = 0xd800;
constexpr std::uint32_t LastSurrogate = 0xdfff;
/// Smallest code point of each length; a longer form than needed is invalid.
constexpr std::uint32_t MinCodePoint[] = {0, 0, 0x80, 0x800, 0x10000};

std::size_t announcedLength(unsigned char First) {
  if (First < 0x80)
    return 1;
  if (First >= 0xc0 && First < 0xe0)
    return 2;
  if (First >= 0xe0 && First < 0xf0)
    return 3;
  return First >= 0xf0 && First < 0xf8 ? 4 : 0;
}

void appendByte(std::string &Out, char Byte) {
  constexpr std::string_view Digits = "0123456789abcdef";
  auto Value = static_cast<unsigned char>(Byte);
  Out += "\\x";
  Out += Digits[Value >> 4U];
  Out += Digits[Value & 0xfU];
}

/// True for the control characters of ASCII and for U+0080 to U+009F.
bool isControl(std::string_view Character) {
  auto First = static_cast<unsigned char>(Character[0]);
  return First < 0x20 || First == 0x7f ||
         (First == 0xc2 && Character.size() == 2 &&
          static_cast<unsigned char>(Character[1]) < 0xa0);
}

} // namespace detail

std::size_t utf8Length(std::string_view Text) {
  if (Text.empty())
    return 0;
  auto First = static_cast<unsigned char>(Text[0]);
  std::size_t Length = detail::announcedLength(First);
  if (Length <= 1)
    return Length;
  if (Text.size() < Length)
    return 0;
  std::uint32_t CodePoint = First & (0x7fU >> Length);
  for (char Byte : Text.substr(1, Length - 1)) {
    auto Value = static_cast<unsigned char>(Byte);
    if ((Value & 0xc0U) != 0x80)
      return 0;
    CodePoint = CodePoint << 6U | (Value & 0x3fU);
  }
  bool Valid =
      CodePoint >= detail::MinCodePoint[Length] &&
      CodePoint <= detail::MaxCodePoint &&
      (CodePoint < detail::FirstSurrogate || CodePoint > detail::LastSurrogate);
  return Valid ? Length : 0;
}

bool isUtf8(std::string_view Text) {
  while (!Text.empty()) {
    std::size_t Length = utf8Length(Text);
    if (Length == 0)
      return false;
    Text.remove_prefix(Length);
  }
  return true;
}

std::string logText(std::string_view Text) {
  std::string Out;
  for (std::size_t At = 0; At < std::min(Text.size(), MaxLogTextBytes);) {
    std::size_t Length = utf8Length(Text.substr(At));
    if (At + Length > MaxLogTextBytes)
      break;
    if (Length == 0)
      detail::appendByte(Out, Text[At]);
    else
      Out += Text.substr(At, Length);
    At += std::max<std::size_t>(Length, 1);
  }
  return Out;
}

std::string printable(std::string_view Text) {
  std::string Out;
  while (!Text.empty()) {
    std::size_t Length = utf8Length(Text);
    std::string_view Character =
        Text.substr(0, std::max<std::size_t>(Length, 1));
    if (Length != 0 && !detail::isControl(Character))
      Out += Character;
    else
      for (char Byte : Character)
        detail::appendByte(Out, Byte);
    Text.remove_prefix(Character.size());
  }
  return Out;
}

bool matchesLogged(std::string_view Wanted, std::string_view Logged) {
  return logText(Wanted) == Logged || printable(Logged) == Wanted;
}

} // namespace eelgrassloom
