/// \file
/// Encoder and decoder of the line protocol for tests. They share no code with
/// the product, so that a fault of its codec can't hide from the tests.

#ifndef EELGRASSLOOM_WIRE_PROTOCOL_H
#define EELGRASSLOOM_WIRE_PROTOCOL_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassloom::wiretest {

/// Maximum length of one message in bytes, without its line end.
inline constexpr std::size_t MaxLineBytes = std::size_t{1} << 20;
inline constexpr std::string_view LineEnd = "\r\n";

/// Removes the first field and the blank after it from \p Rest and returns the
/// field.
std::string_view takeField(std::string_view &Rest);

/// Splits the bytes of a connection into lines. Only CR LF ends a line.
class LineReader {
public:
  void append(std::string_view Bytes) { Buffer += Bytes; }
  /// The next complete line without its end.
  std::optional<std::string> next();
  /// Number of bytes of lines that were not returned yet.
  std::size_t pending() const { return Buffer.size() - Begin; }

private:
  std::string Buffer;
  /// Start of the next line.
  std::size_t Begin = 0;
  /// Position up to which no line end starts.
  std::size_t Searched = 0;
};

/// Answer to one statement, or to START if it has neither a signature nor a
/// code.
struct Answer {
  std::vector<std::string> Rows;
  /// Field of DONE, "-" if the answer has no signature.
  std::optional<std::string> Signature;
  /// Code of ERR.
  std::optional<std::string> Code;
  std::string ErrorText;
  /// State of the transaction: I, T or E.
  char State = 'I';
  std::string Position = "-";
};

std::string encodeAnswer(const Answer &A);

enum class LineResult : std::uint8_t { Partial, Complete, Malformed };

/// Collects the lines of an answer.
class AnswerReader {
public:
  /// If the result is Complete, \p Result is the answer that ends with the
  /// line.
  LineResult add(std::string_view Line, Answer &Result);
  /// Code of an answer without READY. An error before the end of the
  /// connection, or one that no statement has caused, has no READY.
  const std::optional<std::string> &pendingCode() const { return Partial.Code; }
  bool empty() const {
    return Partial.Rows.empty() && !Partial.Signature && !Partial.Code;
  }

private:
  Answer Partial;
};

/// Term and number of a position; empty if it is malformed.
std::optional<std::pair<std::uint64_t, std::uint64_t>>
parsePosition(std::string_view Text);
/// True for TERM.NUMBER and for "-".
bool isPosition(std::string_view Text);

/// \p Bytes in printable form, shortened, for messages of the tests.
std::string printable(std::string_view Bytes);

} // namespace eelgrassloom::wiretest

#endif // EELGRASSLOOM_WIRE_PROTOCOL_H
