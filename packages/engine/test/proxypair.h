/// \file
/// Two proxies that are connected by a fake network, for tests of forwarding.

#ifndef EELGRASSLOOM_ENGINE_TEST_PROXYPAIR_H
#define EELGRASSLOOM_ENGINE_TEST_PROXYPAIR_H

#include "engine/forward.h"
#include "fakes.h"
#include <algorithm>
#include <deque>

namespace eelgrassloom::test {

/// Carries messages between two proxies, in order.
struct FakeNetwork {
  std::deque<std::function<void()>> Queue;
  /// Messages and ends of connections are lost.
  bool DropsMessages = false;
  /// Messages stay in the queue.
  bool Paused = false;
  /// Length of the longest message that was sent.
  std::size_t LongestMessage = 0;
  /// Bytes arrive continually, those of a message that is not complete.
  bool BytesArrive = false;

  bool run() {
    if (Paused)
      return false;
    bool Delivered = !Queue.empty();
    while (!Queue.empty()) {
      auto Next = std::move(Queue.front());
      Queue.pop_front();
      Next();
    }
    return Delivered;
  }
};

class FakeStream : public PeerStream {
public:
  explicit FakeStream(FakeNetwork &Network) : Network(Network) {}

  void start(std::function<void(std::string_view)> OnMessage,
             std::function<void()> OnEnd) override {
    Received = std::move(OnMessage);
    Ended = std::move(OnEnd);
  }
  void send(std::string_view Message) override {
    if (Network.DropsMessages || Closed)
      return;
    Network.LongestMessage = std::max(Network.LongestMessage, Message.size());
    Network.Queue.push_back([Weak = Other, Text = std::string(Message)] {
      auto To = Weak.lock();
      if (To && !To->Closed && To->Received)
        To->Received(Text);
    });
  }
  void close() override {
    Closed = true;
    if (Network.DropsMessages)
      return;
    Network.Queue.push_back([Weak = Other] {
      auto To = Weak.lock();
      if (To && !To->Closed && To->Ended) {
        To->Closed = true;
        To->Ended();
      }
    });
  }

  std::uint64_t receivedBytes() const override {
    return Network.BytesArrive ? ++Bytes : 0;
  }

  FakeNetwork &Network;
  std::weak_ptr<FakeStream> Other;
  bool Closed = false;
  mutable std::uint64_t Bytes = 0;
  std::function<void(std::string_view)> Received;
  std::function<void()> Ended;
};

/// Two proxies of one failure domain with the same servers: Entry, whose
/// callers send statements, and Owner, which owns the service. Each has its own
/// fakes of the servers, so that a test sees where a statement ran.
struct ProxyPair {
  static constexpr std::size_t ManyProxies = 65;

  ProxyPair() {
    OwnerTable T = makeOwnerTable({{"p1", "zone"}, {"p2", "zone"}});
    OwnerId = rankedOwners(T, "zone", "s").front();
    EntryId = OwnerId == "p1" ? "p2" : "p1";
    PeerDialer Dial = [this](const std::string &, Duration, auto Opened) {
      Network.Queue.push_back([this, Opened] { Opened(connect()); });
    };
    PeerDialer NoDial = [](const std::string &, Duration, auto) {};
    EntryForwarder =
        StatementForwarder::create(EntryId, "zone", *Entry.SessionEngine, Dial);
    OwnerForwarder = StatementForwarder::create(OwnerId, "zone",
                                                *Owner.SessionEngine, NoDial);
    attach(Entry, *EntryForwarder);
    attach(Owner, *OwnerForwarder);
    advance(std::chrono::milliseconds(300));
  }

  void attach(EngineFixture &Fixture, StatementForwarder &F) {
    Fixture.SessionEngine->setForwarder(F);
    Fixture.SessionEngine->setPeers(
        {{"p1", "10.0.0.1:1", "zone"}, {"p2", "10.0.0.2:1", "zone"}});
    std::vector<ServerEntry> Entries;
    for (const auto &[Id, S] : Fixture.Servers)
      Entries.push_back(S.Entry);
    Fixture.SessionEngine->setServers(Entries, ManyProxies);
  }

  std::shared_ptr<FakeStream> connect() {
    auto ClientEnd = std::make_shared<FakeStream>(Network);
    auto ServerEnd = std::make_shared<FakeStream>(Network);
    ClientEnd->Other = ServerEnd;
    ServerEnd->Other = ClientEnd;
    ClientStreams.push_back(ClientEnd);
    OwnerForwarder->accept(ServerEnd);
    ServerStreams.push_back(ServerEnd);
    return ClientEnd;
  }

  void run() {
    do {
      Entry.run();
      Owner.run();
    } while (Network.run());
  }

  void advance(Duration D) {
    for (Duration Passed{0}; Passed < D;
         Passed += std::chrono::milliseconds(10)) {
      run();
      Entry.advance(std::chrono::milliseconds(10));
      Owner.advance(std::chrono::milliseconds(10));
    }
    run();
  }

  FakeNetwork Network;
  EngineFixture Entry;
  EngineFixture Owner;
  std::string OwnerId;
  std::string EntryId;
  std::unique_ptr<StatementForwarder> EntryForwarder;
  std::unique_ptr<StatementForwarder> OwnerForwarder;
  std::vector<std::shared_ptr<FakeStream>> ClientStreams;
  std::vector<std::shared_ptr<FakeStream>> ServerStreams;
};

} // namespace eelgrassloom::test

#endif // EELGRASSLOOM_ENGINE_TEST_PROXYPAIR_H
