#include "kernel/token.h"
#include <cstring>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <xxhash.h>

using namespace eelgrassloom;

namespace {

SessionToken anyToken() {
  SessionToken T;
  T.Session = *rc::gen::arbitrary<std::string>();
  auto Content = *rc::gen::arbitrary<
      std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>>();
  for (const auto &[Database, P] : Content)
    T.Positions[Database] = {P.first, P.second};
  return T;
}

} // namespace

// Guards against a session that loses a position when its token is stored.
TEST_CASE("a token survives encoding") {
  CHECK(rc::check([] {
    SessionToken T = anyToken();
    auto Decoded = decode(encode(T));
    RC_ASSERT(Decoded.ok());
    RC_ASSERT(Decoded.value() == T);
  }));
  CHECK(decode("").value() == SessionToken{});
}

// Guards against a damaged token being decoded to another position.
TEST_CASE("a changed, truncated or extended token is rejected") {
  CHECK(rc::check([] {
    std::string Bytes = encode(anyToken());
    std::string Changed = Bytes;
    auto At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
    Changed[At] ^= static_cast<char>(*rc::gen::inRange(1, 256));
    RC_ASSERT(!decode(Changed).ok());
    auto Size = *rc::gen::inRange<std::size_t>(1, Bytes.size());
    RC_ASSERT(!decode(Bytes.substr(0, Size)).ok());
    RC_ASSERT(!decode(Bytes + 'x').ok());
  }));
}

// Guards against reads past the end of the bytes when a caller forges the
// checksum.
TEST_CASE("malformed content with a valid checksum is a finding") {
  CHECK(rc::check([] {
    auto Payload = *rc::gen::arbitrary<std::string>();
    std::uint64_t Sum = XXH64(Payload.data(), Payload.size(), 1);
    std::string Bytes(9, '\x01');
    for (std::size_t I = 0; I < 8; ++I)
      Bytes[1 + I] = static_cast<char>((Sum >> (8 * I)) & 0xff);
    auto Decoded = decode(Bytes + Payload);
    if (!Decoded.ok())
      RC_ASSERT(Decoded.findings().size() == 1U);
    else
      RC_ASSERT(encode(Decoded.value()).size() ==
                Bytes.size() + Payload.size());
  }));
}

// Guards against a late answer that moves a session back to an earlier
// position.
TEST_CASE("positions only rise") {
  SessionToken T;
  advance(T, "a", {2, 5});
  advance(T, "a", {1, 9});
  CHECK(positionOf(T, "a") == Position{2, 5});
  CHECK(positionOf(T, "b") == Position{});
  CHECK(rc::check([] {
    SessionToken A = anyToken();
    SessionToken B = anyToken();
    SessionToken AB = A;
    SessionToken BA = B;
    merge(AB, B);
    merge(BA, A);
    RC_ASSERT(AB.Positions == BA.Positions);
    for (const auto &[Database, P] : A.Positions)
      RC_ASSERT(positionOf(AB, Database) >= P);
  }));
}
