#include "control/peers.h"
#include "fakestore.h"
#include "mutation.h"
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

TEST_CASE("a message survives encoding") {
  PeerMessage M;
  M.IsRequest = false;
  M.From = "p1";
  M.Exchange = 12;
  M.Epochs.RecordEpochs["s"] = 3;
  M.Epochs.Acknowledged["s"] = 2;
  M.Epochs.Answered["s"] = {"p2", "p3"};
  M.Positions.push_back({"s", 3, {2, 99}, std::chrono::milliseconds(40)});
  M.Records.push_back({{"s", 3, GroupStage::Revoking, "i-1", 2, 4}, 77});
  M.Era = 4;
  M.RecordsDigest = 5;
  M.ServersDigest = 6;
  auto R = decodePeerMessage(encode(M));
  REQUIRE(R);
  CHECK(R.value().From == "p1");
  CHECK(R.value().Epochs.RecordEpochs == M.Epochs.RecordEpochs);
  CHECK(R.value().Epochs.Answered == M.Epochs.Answered);
  CHECK(R.value().Positions[0].Committed == Position{2, 99});
  CHECK(R.value().Records[0].Record == M.Records[0].Record);
  CHECK(R.value().Records[0].Revision == 77);
  CHECK(R.value().Era == 4);
  CHECK(R.value().RecordsDigest == 5);
  CHECK(R.value().ServersDigest == 6);
  CHECK(R.value().Positions[0].Age == std::chrono::milliseconds(40));
}

TEST_CASE("malformed datagrams are rejected") {
  for (const char *Bytes : {"", "x", "\x81\xa1q\xc3", "\xff\xff"})
    CHECK_FALSE(decodePeerMessage(Bytes));
}

namespace {

/// An answer with one element of each kind.
nlohmann::json validMessage() {
  PeerMessage M;
  M.IsRequest = false;
  M.From = "p1";
  M.Exchange = 12;
  M.Epochs.RecordEpochs["s"] = 3;
  M.Epochs.Acknowledged["s"] = 2;
  M.Epochs.Answered["s"] = {"p2", "p3"};
  M.Positions.push_back({"s", 3, {2, 99}, std::chrono::milliseconds(40)});
  M.Leases.push_back({"s", 3, std::chrono::milliseconds(40)});
  M.Records.push_back({{"s", 3, GroupStage::Revoking, "i-1", 2}, 77});
  return nlohmann::json::from_msgpack(encode(M));
}

bool accepted(const nlohmann::json &Message) {
  std::string Bytes;
  nlohmann::json::to_msgpack(Message, Bytes);
  return static_cast<bool>(decodePeerMessage(Bytes));
}

} // namespace

// Guards against a datagram whose nesting exhausts the stack of the decoder.
TEST_CASE("a datagram that is nested deep is rejected") {
  CHECK_FALSE(decodePeerMessage(std::string(65507, '\x91')));
  CHECK_FALSE(decodePeerMessage(std::string(65507, '\x81')));
}

// Guards against a name that becomes part of the registration, whose encoder
// throws for bytes that are not UTF-8.
TEST_CASE("texts of a datagram must be UTF-8") {
  REQUIRE(accepted(validMessage()));
  for (const char *Place : {"/from", "/positions/0/0", "/grants/0/0",
                            "/groups/0/0", "/groups/0/3", "/answered/s/0"}) {
    nlohmann::json M = validMessage();
    M[nlohmann::json::json_pointer(Place)] = "\xff";
    CHECK_MESSAGE(!accepted(M), Place);
  }
  for (const char *Place : {"records", "acknowledged", "answered"}) {
    nlohmann::json M = validMessage();
    M[Place]["\xff"] = M[Place]["s"];
    CHECK_MESSAGE(!accepted(M), Place);
  }
  for (const std::string &From : {std::string(), std::string(181, 'p')}) {
    nlohmann::json M = validMessage();
    M["from"] = From;
    CHECK_FALSE(accepted(M));
  }
}

// Guards against numbers that are converted to others, and against times whose
// sum with the clock overflows.
TEST_CASE("numbers of a datagram must be integers in range") {
  for (const char *Place :
       {"/x", "/records/s", "/acknowledged/s", "/positions/0/1",
        "/positions/0/4", "/grants/0/1", "/grants/0/2", "/groups/0/1",
        "/groups/0/5", "/servers", "/rules", "/checked", "/outside"})
    for (const nlohmann::json &Bad :
         {nlohmann::json(1.5e300), nlohmann::json(true), nlohmann::json("1"),
          nlohmann::json(std::numeric_limits<std::int64_t>::min())}) {
      nlohmann::json M = validMessage();
      M[nlohmann::json::json_pointer(Place)] = Bad;
      CHECK_MESSAGE(!accepted(M), Place);
    }
  nlohmann::json M = validMessage();
  M["checked"] = std::numeric_limits<std::int64_t>::max();
  CHECK_FALSE(accepted(M));
}

// A datagram of more than 64 KiB is not sent: with many services or long names
// no answer of a proxy arrived any more, and leases were not extended.
TEST_CASE("an answer that is too long leaves out what others know") {
  PeerMessage M;
  M.IsRequest = false;
  M.From = "p1";
  M.Exchange = 12;
  for (unsigned I = 0; I < 1000; ++I) {
    std::string Service = "service-" + std::to_string(I);
    M.Epochs.RecordEpochs[Service] = I;
    M.Positions.push_back({Service, 3, {2, 99}, 40ms});
    M.Leases.push_back({Service, 3, 40ms});
    M.Records.push_back({{Service, 3, GroupStage::Stable, "i-1", 2}, 77});
  }
  CHECK(encode(M).size() > MaxDatagramBytes);
  Random Source(34);
  std::string Bytes = encodeWithin(M, MaxDatagramBytes, Source);
  CHECK(Bytes.size() <= MaxDatagramBytes);
  auto Out = decodePeerMessage(Bytes);
  REQUIRE(Out);
  CHECK(Out.value().Epochs.RecordEpochs == M.Epochs.RecordEpochs);
  CHECK(Out.value().Leases.size() == M.Leases.size());
  CHECK_FALSE(Out.value().Positions.empty());
  // An answer that fits is not changed.
  M.Records.resize(1);
  M.Positions.resize(1);
  CHECK(encodeWithin(M, MaxDatagramBytes, Source) == encode(M));
}

TEST_CASE("changed datagrams crash neither the decoder nor the proxies") {
  constexpr unsigned Mutations = 3000;
  Fleet F(4, 2);
  F.advance(10s);
  nlohmann::json Valid = validMessage();
  Random Source(34);
  for (bool Request : {false, true}) {
    Valid["q"] = Request;
    std::string Bytes;
    nlohmann::json::to_msgpack(Valid, Bytes);
    for (unsigned I = 0; I < Mutations; ++I) {
      std::string Changed = mutated(Bytes, Source);
      auto M = decodePeerMessage(Changed);
      if (M)
        REQUIRE(decodePeerMessage(encode(M.value())));
      F.proxy(I % 4).PeerProxies->received("p9", Changed);
    }
    F.Reachable.erase("a");
    CHECK_NOTHROW(F.advance(2s));
  }
}
