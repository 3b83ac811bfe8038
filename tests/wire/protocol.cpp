#include "protocol.h"
#include <algorithm>
#include <charconv>

namespace eelgrassloom::wiretest {

namespace {

/// Longest text that printable returns in full.
constexpr std::size_t MaxPrinted = 70;

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data(), End, Value);
  if (Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Value;
}

} // namespace

std::string_view takeField(std::string_view &Rest) {
  std::size_t End = Rest.find(' ');
  std::string_view Field = Rest.substr(0, End);
  Rest.remove_prefix(End == std::string_view::npos ? Rest.size() : End + 1);
  return Field;
}

std::optional<std::string> LineReader::next() {
  std::size_t End = Buffer.find(LineEnd, std::max(Begin, Searched));
  if (End == std::string::npos) {
    Buffer.erase(0, Begin);
    Begin = 0;
    // The last byte may be the CR of a line end.
    Searched = Buffer.empty() ? 0 : Buffer.size() - 1;
    return std::nullopt;
  }
  std::string Line = Buffer.substr(Begin, End - Begin);
  Begin = Searched = End + LineEnd.size();
  return Line;
}

std::string encodeAnswer(const Answer &A) {
  std::string Out;
  for (const std::string &Row : A.Rows)
    Out.append("ROW ").append(Row).append(LineEnd);
  if (A.Signature)
    Out.append("DONE ").append(*A.Signature).append(LineEnd);
  if (A.Code)
    Out.append("ERR ")
        .append(*A.Code)
        .append(" ")
        .append(A.ErrorText)
        .append(LineEnd);
  Out.append("READY ").append(1, A.State).append(" ");
  return Out.append(A.Position).append(LineEnd);
}

LineResult AnswerReader::add(std::string_view Line, Answer &Result) {
  std::string_view Rest = Line;
  std::string_view Word = takeField(Rest);
  bool Ended = Partial.Signature || Partial.Code;
  if (Word == "ROW" && !Ended) {
    Partial.Rows.emplace_back(Rest);
    return LineResult::Partial;
  }
  if (Word == "DONE" && !Ended) {
    Partial.Signature = Rest;
    return LineResult::Partial;
  }
  if (Word == "ERR" && !Ended) {
    Partial.Code = takeField(Rest);
    Partial.ErrorText = Rest;
    return LineResult::Partial;
  }
  if (Word != "READY" || (!Partial.Rows.empty() && !Ended))
    return LineResult::Malformed;
  std::string_view State = takeField(Rest);
  if ((State != "I" && State != "T" && State != "E") || !isPosition(Rest))
    return LineResult::Malformed;
  Partial.State = State.front();
  Partial.Position = Rest;
  Result = std::move(Partial);
  Partial = Answer();
  return LineResult::Complete;
}

std::optional<std::pair<std::uint64_t, std::uint64_t>>
parsePosition(std::string_view Text) {
  std::size_t Dot = Text.find('.');
  if (Dot == std::string_view::npos)
    return std::nullopt;
  auto Term = parseNumber(Text.substr(0, Dot));
  auto Number = parseNumber(Text.substr(Dot + 1));
  if (!Term || !Number)
    return std::nullopt;
  return std::pair(*Term, *Number);
}

bool isPosition(std::string_view Text) {
  return Text == "-" || parsePosition(Text);
}

std::string printable(std::string_view Bytes) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Out;
  for (char C : Bytes.substr(0, MaxPrinted)) {
    auto Code = static_cast<unsigned char>(C);
    if (C == '\n')
      Out += "\\n";
    else if (C == '\r')
      Out += "\\r";
    else if (Code < 0x20 || Code > 0x7e)
      Out.append("\\x")
          .append(1, Digits[Code / 16])
          .append(1, Digits[Code % 16]);
    else
      Out += C;
  }
  if (Bytes.size() > MaxPrinted)
    Out += "... (" + std::to_string(Bytes.size()) + " bytes)";
  return Out;
}

} // namespace eelgrassloom::wiretest
