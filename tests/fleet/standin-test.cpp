#include "client.h"
#include "fleet.h"
#include "platform.grpc.pb.h"
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <set>
#include <thread>

using namespace eelgrassloom;
using namespace eelgrassloom::fleet;
using namespace std::chrono_literals;
using upstream::v1::ClientFrame;
using upstream::v1::CODE_OK;

namespace {

Topology oneDatabase() {
  Topology T;
  T.Config = exampleConfiguration("verband-kern", 1);
  T.Relay = false;
  return T;
}

std::uint64_t appliedAt(Fleet &F, const std::string &Upstream) {
  return F.configure(Upstream).status().applied().index();
}

} // namespace

// Guards against simulated upstreams that do not replicate or that ignore the
// configured lag.
TEST_CASE("writes reach replicas after the lag") {
  Fleet F(oneDatabase());
  DirectConnection Primary(F.address("auftraege-1"));
  REQUIRE(Primary.opened().code() == CODE_OK);
  auto Written = Primary.execute(append("k", "a"), 1, "id");
  REQUIRE(Written.code() == CODE_OK);
  CHECK(eventually(2s, [&] {
    return appliedAt(F, "auftraege-2") == Written.position().index() &&
           appliedAt(F, "auftraege-3") == Written.position().index();
  }));
  standin::v1::UpstreamSettings Lag;
  Lag.set_lag_ms(60000);
  F.configure("auftraege-2", Lag);
  Written = Primary.execute(append("k", "b"), 1);
  CHECK(eventually(2s, [&] {
    return appliedAt(F, "auftraege-3") == Written.position().index();
  }));
  CHECK(appliedAt(F, "auftraege-2") == Written.position().index() - 1);
  DirectConnection Replica(F.address("auftraege-2"));
  ClientFrame Read;
  Read.mutable_execute()->set_statement(get("k").SerializeAsString());
  *Read.mutable_execute()->mutable_min_position() = Written.position();
  Read.mutable_execute()->set_wait_ms(20);
  CHECK(Replica.call(Read).code() == upstream::v1::CODE_BEHIND);
  Lag.set_lag_ms(0);
  F.configure("auftraege-2", Lag);
  Read.mutable_execute()->set_wait_ms(2000);
  CHECK(valueOf(Replica.call(Read).result()).list_size() == 2);
  CHECK(F.log("auftraege-2").size() == 3);
}

// Guards against a connection limit that is not applied, a hung connection that
// still answers, and a transaction that outlives its connection.
TEST_CASE("connections are limited, can hang, and roll back when they end") {
  Fleet F(oneDatabase());
  std::string Address = F.address("auftraege-1");
  standin::v1::UpstreamSettings Settings;
  Settings.set_connection_limit(2);
  F.configure("auftraege-1", Settings);
  auto First = std::make_unique<DirectConnection>(Address);
  auto Second = std::make_unique<DirectConnection>(Address);
  CHECK(DirectConnection(Address).opened().code() ==
        upstream::v1::CODE_TOO_MANY_CONNECTIONS);
  ClientFrame Begin;
  Begin.mutable_begin()->set_write(true);
  Begin.mutable_begin()->set_term(1);
  REQUIRE(First->call(Begin).code() == CODE_OK);
  REQUIRE(First->execute(append("k", "lost"), 1).code() == CODE_OK);
  Settings.set_hang_connections(1);
  F.configure("auftraege-1", Settings);
  CHECK(First->call(Begin, 100).code() == upstream::v1::CODE_UNSPECIFIED);
  CHECK(Second->execute(append("k", "kept"), 1).code() == CODE_OK);
  First.reset();
  CHECK(eventually(
      2s, [&] { return F.configure("auftraege-1").connections() == 1; }));
  DirectConnection Third(Address);
  REQUIRE(Third.opened().code() == CODE_OK);
  CHECK(valueOf(Third.execute(get("k"), 1).result()).list_size() == 1);
}

// Guards against a restarted upstream that has lost its log or its term.
TEST_CASE("a killed upstream restarts with its journal") {
  Fleet F(oneDatabase());
  std::uint64_t Last = 0;
  {
    DirectConnection Primary(F.address("auftraege-1"));
    for (int I = 0; I < 50; ++I)
      Last = Primary.execute(add("n", 1), 1).position().index();
  }
  F.kill("auftraege-1");
  F.startUpstream("auftraege-1");
  DirectConnection Primary(F.address("auftraege-1"));
  CHECK(Primary.opened().status().applied().index() == Last);
  CHECK(valueOf(Primary.execute(add("n", 1), 1).result()).number() == 51);
}

// Guards against lost or repeated effects of concurrent statements. The printed
// rate shows whether the simulated upstream would limit a measurement.
TEST_CASE("30 connections run statements concurrently") {
  constexpr int Connections = 30;
  constexpr int PerConnection = 200;
  Topology T = oneDatabase();
  T.ServiceUs = 500;
  Fleet F(T);
  std::atomic<int> Failed{0};
  std::vector<std::thread> Threads;
  Threads.reserve(Connections);
  auto Start = std::chrono::steady_clock::now();
  for (int I = 0; I < Connections; ++I)
    Threads.emplace_back([&] {
      DirectConnection C(F.address("auftraege-1"));
      for (int J = 0; J < PerConnection; ++J)
        Failed += C.execute(add("n", 1), 1).code() != CODE_OK;
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  std::chrono::duration<double> Took = std::chrono::steady_clock::now() - Start;
  MESSAGE("statements/s: " << Connections * PerConnection / Took.count());
  CHECK(Failed == 0);
  DirectConnection C(F.address("auftraege-1"));
  CHECK(valueOf(C.execute(get("n"), 1).result()).number() ==
        Connections * PerConnection);
}

// Guards against a simulated platform whose calls or injected faults differ
// from their description in the proto file.
TEST_CASE("the platform swaps, leases, watches and fails as configured") {
  Topology T = oneDatabase();
  T.Configured = false;
  Fleet F(T);
  auto Stub =
      platform::v1::KeyValue::NewStub(makeChannel(F.address("platform")));
  auto Swap = [&](const std::string &Value, std::uint64_t Expected,
                  std::uint64_t LeaseId,
                  platform::v1::CompareAndSwapAnswer &A) {
    grpc::ClientContext Context;
    Context.set_deadline(std::chrono::system_clock::now() + 300ms);
    platform::v1::CompareAndSwapRequest Request;
    Request.set_key("plan/1");
    Request.set_value(Value);
    Request.set_expected_revision(Expected);
    Request.set_lease_id(LeaseId);
    return Stub->CompareAndSwap(&Context, Request, &A);
  };
  auto Get = [&] {
    grpc::ClientContext Context;
    platform::v1::GetRequest Request;
    Request.set_key("plan/1");
    platform::v1::GetAnswer Answer;
    Stub->Get(&Context, Request, &Answer);
    return Answer.entry();
  };
  grpc::ClientContext WatchContext;
  platform::v1::WatchRequest WatchRequest;
  WatchRequest.set_prefix("plan/");
  auto Watch = Stub->Watch(&WatchContext, WatchRequest);
  CHECK(eventually(
      2s, [&] { return F.countPlatformCalls().watches_waiting() == 1; }));

  platform::v1::Lease Lease;
  platform::v1::GrantLeaseRequest Grant;
  Grant.set_ttl_ms(500);
  grpc::ClientContext GrantContext;
  REQUIRE(Stub->GrantLease(&GrantContext, Grant, &Lease).ok());
  platform::v1::CompareAndSwapAnswer Answer;
  REQUIRE(Swap("a", 0, Lease.id(), Answer).ok());
  CHECK(Answer.swapped());
  REQUIRE(Swap("b", 0, 0, Answer).ok());
  CHECK_FALSE(Answer.swapped());
  CHECK(Answer.entry().value() == "a");
  platform::v1::Entry Seen;
  REQUIRE(Watch->Read(&Seen));
  CHECK(Seen.value() == "a");
  REQUIRE(Watch->Read(&Seen));
  CHECK(Seen.revision() == 0);
  CHECK_FALSE(Swap("c", 0, Lease.id(), Answer).ok());

  standin::v1::PlatformFaults Faults;
  Faults.set_drop_swap_responses(1);
  F.setFaults(Faults);
  CHECK_FALSE(Swap("d", 0, 0, Answer).ok());
  CHECK(Get().value() == "d");
  CHECK(Get().revision() == 2);
  Faults.Clear();
  Faults.set_writes_per_second(5);
  F.setFaults(Faults);
  unsigned Throttled = 0;
  for (unsigned I = 0; I < 20; ++I)
    Throttled += Swap("e", 0, 0, Answer).error_code() ==
                 grpc::StatusCode::RESOURCE_EXHAUSTED;
  CHECK(Throttled >= 10);
  CHECK(F.countPlatformCalls().throttled() == Throttled);
  Faults.Clear();
  Faults.set_outage(standin::v1::OUTAGE_REFUSE);
  F.setFaults(Faults);
  CHECK(Swap("f", 2, 0, Answer).error_code() == grpc::StatusCode::UNAVAILABLE);
  while (Watch->Read(&Seen))
    ;
  CHECK(F.countPlatformCalls().watches_waiting() == 0);
}

// Guards against a relay that passes data during a partition, loses the data
// that it held back, or affects new connections after it made the existing ones
// unresponsive.
TEST_CASE("the network delays, partitions, heals and hangs connections") {
  Topology T = oneDatabase();
  T.Relay = true;
  T.DomainDelayUs = 2000;
  T.Proxies = {{"p1", "muenchen", false}};
  Fleet F(T);
  CHECK(eventually(2s, [&] { return appliedAt(F, "auftraege-2") == 1; }));
  DirectConnection Primary(F.address("auftraege-1"));
  F.setCut(linksBetween("muenchen", "nuernberg"), true);
  std::uint64_t Last = Primary.execute(put("k", "v"), 1).position().index();
  CHECK(eventually(2s, [&] { return appliedAt(F, "auftraege-3") == Last; }));
  CHECK(appliedAt(F, "auftraege-2") < Last);
  F.setCut(linksBetween("nuernberg", "muenchen"), false);
  CHECK(eventually(2s, [&] { return appliedAt(F, "auftraege-2") == Last; }));
  CHECK(F.hangConnections(linksTo(F.address("auftraege-1"))).connections() >=
        2);
  Last = Primary.execute(put("k", "w"), 1).position().index();
  CHECK(eventually(3s, [&] {
    return appliedAt(F, "auftraege-2") == Last &&
           appliedAt(F, "auftraege-3") == Last;
  }));
}

// Guards against example configurations that differ from the deployments on the
// design page.
TEST_CASE("the examples have the sizes of both deployments") {
  for (auto [Name, Slots] :
       {std::pair{"verband-kern", 5U}, std::pair{"inventario-ayuda", 2U}}) {
    auto Config = exampleConfiguration(Name);
    std::set<std::string> Domains;
    REQUIRE(Config.databases_size() == 3);
    for (const auto &Database : Config.databases()) {
      CHECK(Database.upstreams_size() == 3);
      for (const auto &Up : Database.upstreams()) {
        Domains.insert(Up.failure_domain());
        CHECK(Up.slots() == Slots);
        CHECK(Up.connection_cap() == 30);
      }
    }
    CHECK(Domains.size() == 4);
  }
}

// Guards against a fleet whose processes end together with the thread that
// started them, and against a proxy that fails to restart after a drain.
TEST_CASE("a proxy drains, exits with 0 and starts again on another thread") {
  Topology T = oneDatabase();
  T.Proxies = {{"p1", "muenchen"}, {"p2", "nuernberg"}};
  Fleet F(T);
  REQUIRE(F.awaitServing(10s));
  CallerSession Session(F.proxyAddress("p1"));
  auto Write = request("auftraege", "print-order", append("k", "a"));
  CHECK(Session.run(Write).outcome() == caller::v1::OUTCOME_OK);
  F.signal("p1", SIGTERM);
  CHECK(F.wait("p1", 35s) == 0);
  std::thread([&] { F.startProxy("p1"); }).join();
  REQUIRE(F.awaitServing(10s));
  Session.moveTo(F.proxyAddress("p1"));
  auto Retry = Session.run(Write);
  CHECK(Retry.outcome() == caller::v1::OUTCOME_OK);
  CHECK(Retry.recorded());
  CHECK(valueOf(Retry.result()).list_size() == 1);
}
