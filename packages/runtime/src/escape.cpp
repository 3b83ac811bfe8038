#include "runtime/escape.h"
#include <algorithm>
#include <array>
#include <cstdint>

namespace eelgrassloom {
namespace detail {
namespace {

/// A range of code points, both ends included.
struct CodePoints {
  std::uint32_t First;
  std::uint32_t Last;
};

/// Code points from 0x80 that are not printed: control characters, line
/// separators and changes of the writing direction, surrogates.
constexpr std::array<CodePoints, 4> Unprintable = {
    {{0x80, 0x9f}, {0x2028, 0x202e}, {0x2066, 0x2069}, {0xd800, 0xdfff}}};
constexpr std::uint32_t MaxCodePoint = 0x10ffff;
/// The smallest code point of a sequence, by its number of bytes.
constexpr std::array<std::uint32_t, 5> MinCodePoint = {0, 0, 0x80, 0x800,
                                                       0x10000};

/// Number of bytes of a sequence that starts with \p First; 0 for a byte that
/// starts none.
std::size_t sequenceSize(unsigned char First) {
  if (First >= 0xc0 && First < 0xe0)
    return 2;
  if (First >= 0xe0 && First < 0xf0)
    return 3;
  return First >= 0xf0 && First < 0xf8 ? 4 : 0;
}

/// Number of bytes of the printable character from 0x80 at the start of
/// \p Text; 0 if there is none.
std::size_t printableSize(std::string_view Text) {
  const auto First = static_cast<unsigned char>(Text.front());
  const std::size_t Size = sequenceSize(First);
  if (Size == 0 || Size > Text.size())
    return 0;
  std::uint32_t Point = First & (0x7fU >> Size);
  for (char C : Text.substr(1, Size - 1)) {
    const auto Byte = static_cast<unsigned char>(C);
    if ((Byte & 0xc0U) != 0x80)
      return 0;
    Point = Point << 6U | (Byte & 0x3fU);
  }
  if (Point < MinCodePoint[Size] || Point > MaxCodePoint)
    return 0;
  const bool Hidden =
      std::any_of(Unprintable.begin(), Unprintable.end(), [&](CodePoints R) {
        return Point >= R.First && Point <= R.Last;
      });
  return Hidden ? 0 : Size;
}

void appendEscaped(std::string &Out, char C) {
  static constexpr char Digits[] = "0123456789abcdef";
  switch (C) {
  case '\n':
    Out += "\\n";
    return;
  case '\r':
    Out += "\\r";
    return;
  case '\t':
    Out += "\\t";
    return;
  default:
    const auto Byte = static_cast<unsigned char>(C);
    Out += "\\x";
    Out += Digits[Byte >> 4U];
    Out += Digits[Byte & 0xfU];
  }
}

std::string escape(std::string_view Text, char FirstPrintable) {
  std::string Out;
  Out.reserve(Text.size());
  while (!Text.empty()) {
    const char C = Text.front();
    const bool Ascii = C >= FirstPrintable && C <= '~';
    const std::size_t Size = Ascii ? 1 : printableSize(Text);
    if (Size == 0)
      appendEscaped(Out, C);
    Out += Text.substr(0, Size);
    Text.remove_prefix(std::max<std::size_t>(Size, 1));
  }
  return Out;
}

} // namespace
} // namespace detail

std::string escapeText(std::string_view Text) {
  return detail::escape(Text, ' ');
}

std::string escapeWord(std::string_view Text) {
  return detail::escape(Text, '!');
}

} // namespace eelgrassloom
