#include "control/peers.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;

TEST_CASE("a message survives encoding") {
  PeerMessage M;
  M.IsRequest = false;
  M.From = "p1";
  M.Exchange = 12;
  M.Epochs.RecordEpochs["s"] = 3;
  M.Epochs.Acknowledged["s"] = 2;
  M.Epochs.Answered["s"] = {"p2", "p3"};
  M.Positions.push_back({"s", 3, {2, 99}, std::chrono::milliseconds(40)});
  M.Records.push_back({{"s", 3, GroupStage::Revoking, "i-1", 2}, 77});
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
  CHECK(R.value().RecordsDigest == 5);
  CHECK(R.value().ServersDigest == 6);
  CHECK(R.value().Positions[0].Age == std::chrono::milliseconds(40));
}

TEST_CASE("malformed datagrams are rejected") {
  for (const char *Bytes : {"", "x", "\x81\xa1q\xc3", "\xff\xff"})
    CHECK_FALSE(decodePeerMessage(Bytes));
}
