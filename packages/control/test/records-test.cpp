#include "control/records.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;

TEST_CASE("records survive encoding") {
  PrimaryRecord G{"s", 7, GroupStage::Revoking, "i-1", 4};
  CHECK(decodeGroup({groupKey("s"), encode(G), 3, 0}).value() == G);
  ProxyRecord P;
  P.Id = "p";
  P.Incarnation = 5;
  P.Address = "10.0.0.1:1";
  P.FailureDomain = "z";
  P.Unreachable = {"i-1"};
  P.Acknowledged["s"] = 4;
  P.Answered["s"] = {"q", "r"};
  CHECK(decodeProxy({proxyKey("p"), encode(P), 3, 0}).value() == P);
  auto T = decodeFencingToken(
      {std::string(FencingTokenKey), encode(FencingToken{"p", 9}), 3, 0});
  CHECK(T.value().Token == 9);
  auto C = decodePromotionCall(
      {promotionCallKey("s"), encode(PromotionCallRecord{"s", 8}), 3, 0});
  CHECK(C.value().Service == "s");
  CHECK(C.value().Epoch == 8);
}

TEST_CASE("malformed records give findings with their key") {
  for (const char *Text : {"", "{}", "[1]", "{\"epoch\":\"x\"}", "\xff"}) {
    CHECK_FALSE(decodeGroup({"group/s", Text, 1, 0}));
    CHECK_FALSE(decodeProxy({"proxy/p", Text, 1, 0}));
    CHECK_FALSE(decodeFencingToken({"duty/token", Text, 1, 0}));
    CHECK_FALSE(decodePromotionCall({"promotion/s", Text, 1, 0}));
  }
  CHECK(decodeGroup({"group/s", "{}", 1, 0}).findings()[0].Place == "group/s");
}
