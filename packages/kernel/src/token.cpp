#include "kernel/token.h"
#include <optional>
#include <xxhash.h>

namespace eelgrassloom {
namespace detail {

constexpr unsigned char TokenVersion = 1;
/// Version byte and checksum.
constexpr std::size_t HeaderBytes = 9;

template <class T> void putNumber(std::string &Out, T Value) {
  for (std::size_t Byte = 0; Byte < sizeof(T); ++Byte)
    Out.push_back(static_cast<char>((Value >> (8 * Byte)) & 0xff));
}

void putString(std::string &Out, std::string_view Text) {
  putNumber(Out, static_cast<std::uint32_t>(Text.size()));
  Out.append(Text);
}

/// Removes a number from the front of \p In; empty if \p In is too short.
template <class T> std::optional<T> takeNumber(std::string_view &In) {
  if (In.size() < sizeof(T))
    return std::nullopt;
  T Value = 0;
  for (std::size_t Byte = 0; Byte < sizeof(T); ++Byte)
    Value |= static_cast<T>(static_cast<unsigned char>(In[Byte])) << (8 * Byte);
  In.remove_prefix(sizeof(T));
  return Value;
}

std::optional<std::string> takeString(std::string_view &In) {
  auto Size = takeNumber<std::uint32_t>(In);
  if (!Size || *Size > In.size())
    return std::nullopt;
  std::string Text(In.substr(0, *Size));
  In.remove_prefix(*Size);
  return Text;
}

/// The version is the seed of the hash, so that a token with a changed version
/// fails the check.
std::uint64_t checksum(std::string_view Payload) {
  return XXH64(Payload.data(), Payload.size(), TokenVersion);
}

Result<SessionToken> invalidToken(std::string Value, std::string Allowed) {
  return Result<SessionToken>::failure(
      {{"token", std::move(Value), std::move(Allowed)}});
}

/// Decodes the payload; empty unless the whole payload is well formed.
std::optional<SessionToken> decodePayload(std::string_view In) {
  SessionToken T;
  auto Session = takeString(In);
  auto Count = takeNumber<std::uint32_t>(In);
  if (!Session || !Count)
    return std::nullopt;
  T.Session = std::move(*Session);
  for (std::uint32_t Entry = 0; Entry < *Count; ++Entry) {
    auto Database = takeString(In);
    auto Term = takeNumber<std::uint64_t>(In);
    auto Index = takeNumber<std::uint64_t>(In);
    if (!Database || !Term || !Index ||
        !T.Positions.emplace(std::move(*Database), Position{*Term, *Index})
             .second)
      return std::nullopt;
  }
  if (!In.empty())
    return std::nullopt;
  return T;
}

} // namespace detail

Position positionOf(const SessionToken &T, std::string_view Database) {
  auto It = T.Positions.find(Database);
  return It == T.Positions.end() ? Position{} : It->second;
}

void advance(SessionToken &T, std::string_view Database, Position P) {
  auto It = T.Positions.find(Database);
  if (It == T.Positions.end())
    T.Positions.emplace(Database, P);
  else if (It->second < P)
    It->second = P;
}

void merge(SessionToken &Into, const SessionToken &From) {
  if (Into.Session.empty())
    Into.Session = From.Session;
  for (const auto &[Database, P] : From.Positions)
    advance(Into, Database, P);
}

std::string encode(const SessionToken &T) {
  std::string Payload;
  detail::putString(Payload, T.Session);
  detail::putNumber(Payload, static_cast<std::uint32_t>(T.Positions.size()));
  for (const auto &[Database, P] : T.Positions) {
    detail::putString(Payload, Database);
    detail::putNumber(Payload, P.Term);
    detail::putNumber(Payload, P.Index);
  }
  std::string Bytes(1, static_cast<char>(detail::TokenVersion));
  detail::putNumber(Bytes, detail::checksum(Payload));
  return Bytes + Payload;
}

Result<SessionToken> decode(std::string_view Bytes) {
  if (Bytes.empty())
    return Result<SessionToken>::success({});
  auto Version = static_cast<unsigned char>(Bytes.front());
  if (Version != detail::TokenVersion)
    return detail::invalidToken("version " + std::to_string(Version),
                                "version " +
                                    std::to_string(detail::TokenVersion));
  if (Bytes.size() < detail::HeaderBytes)
    return detail::invalidToken(std::to_string(Bytes.size()) + " bytes",
                                "at least " +
                                    std::to_string(detail::HeaderBytes) +
                                    " bytes, or none for a new session");
  std::string_view Header = Bytes.substr(1);
  auto Checksum = detail::takeNumber<std::uint64_t>(Header);
  if (Checksum != detail::checksum(Header))
    return detail::invalidToken("checksum mismatch",
                                "a token exactly as a proxy returned it");
  auto T = detail::decodePayload(Header);
  if (!T)
    return detail::invalidToken("malformed content",
                                "a token exactly as a proxy returned it");
  return Result<SessionToken>::success(std::move(*T));
}

} // namespace eelgrassloom
