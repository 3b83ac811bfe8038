#include "cases.h"
#include "fleet.h"
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <stdexcept>

namespace review {

namespace {

constexpr std::size_t ProxyCount = 7;

/// Common part of the cases: a fleet with services and clients.
struct Case {
  Case(const std::string &Program, const std::string &Directory)
      : F(Loop, Program, Directory) {}

  /// Adds writers and readers of the database at each proxy.
  void addLoad(const std::string &Database, const std::string &ServiceName,
               Duration Interval) {
    for (const auto &P : F.Proxies)
      for (bool Writes : {true, false}) {
        auto L = std::make_shared<Load>(F, *P, Database, ServiceName,
                                        std::string(Writes ? "w" : "r") +
                                            std::to_string(Loads.size()),
                                        Writes, Interval);
        Loads.push_back(L);
        runAfter(Loop, 3s, [L] { L->run(); });
      }
  }

  /// Adds readers of a database with another route type at each proxy.
  void addReaders(const std::string &Database, const std::string &ServiceName,
                  Duration Interval) {
    for (const auto &P : F.Proxies) {
      auto L = std::make_shared<Load>(F, *P, Database, ServiceName,
                                      "b" + std::to_string(Loads.size()), false,
                                      Interval);
      L->ReadsLatest = false;
      Loads.push_back(L);
      runAfter(Loop, 3s, [L] { L->run(); });
    }
  }

  /// Runs \p Step at the time \p At of the case.
  void at(Duration At, std::function<void()> Step) {
    runAfter(Loop, At, std::move(Step));
  }

  void run(Duration Length) {
    asio::signal_set Signals(Loop, SIGTERM, SIGINT);
    Signals.async_wait([this](error_code Error, int) {
      if (Error)
        return;
      Interrupted = true;
      Loop.stop();
    });
    runAfter(Loop, 9s, [this] { SucceededBefore = succeeded(); });
    runAfter(Loop, Length, [this] { Loop.stop(); });
    Loop.run();
    F.stop();
  }

  /// Prints and records the broken rules whose text begins with \p Rule, and
  /// returns the exit status.
  int report(const std::string &Rule) {
    std::size_t Count = 0;
    for (const std::string &Each : F.Facts.Broken) {
      record("broken: " + Each);
      if (Each.starts_with(Rule) && ++Count <= 5)
        std::printf("%s\n", Each.c_str());
    }
    std::string Text = std::to_string(Count) + " times broken: " + Rule + "; " +
                       std::to_string(succeeded()) + " requests succeeded, " +
                       std::to_string(F.Platform.Calls.size()) +
                       " promotions called";
    std::printf("%s\n", Text.c_str());
    record(Text);
    if (SucceededBefore == 0 || Interrupted) {
      record("the case could not run: nothing was served before the trouble");
      return 2;
    }
    return Count == 0 ? 0 : 1;
  }

  unsigned succeeded() const {
    unsigned Sum = 0;
    for (const auto &L : Loads)
      Sum += L->Succeeded;
    return Sum;
  }

  asio::io_context Loop{1};
  Fleet F;
  std::vector<std::shared_ptr<Load>> Loads;
  /// Requests that had succeeded before the trouble.
  unsigned SucceededBefore = 0;
  bool Interrupted = false;
};

/// Starts a session for each database at each proxy and compares the answer
/// with the newest configuration.
void probe(Case &C, const std::string &Database, bool MustExist) {
  for (const auto &P : C.F.Proxies) {
    auto Session = std::make_shared<Client>(C.Loop, "probe");
    Session->start(
        P->Port, Database,
        [&C, Session, &P = *P, Database, MustExist](const Client::Answer &A) {
          bool Exists = A.Code.empty();
          record("probe of " + Database + " at " + P.Name + ": " +
                 (A.Lost   ? "lost"
                  : Exists ? "READY"
                           : "ERR " + A.Code));
          if (!A.Lost && (A.Code.empty() || A.Code == "NODB") &&
              Exists != MustExist)
            C.F.Facts.Broken.push_back("CONFIG: " + P.Name +
                                       (Exists ? " still knows " : " lacks ") +
                                       Database + " at " + secondsText(now()));
          C.Loop.post([Session] { Session->close(); });
        });
  }
}

/// The store comes back from a copy that is older than the last version of the
/// configuration. Versions that the operator writes afterwards are ignored.
int configAfterDrill(const std::string &Program, const std::string &Directory,
                     bool Trouble) {
  Case C(Program, Directory);
  C.F.addService("kern-1", 20ms);
  C.F.addProxies(ProxyCount);
  C.F.configure(7, {{"orders", "kern-1", "primary"}});
  C.F.startProxies();
  C.addLoad("orders", "kern-1", 500ms);
  if (Trouble) {
    C.at(10s, [&] { C.F.Platform.takeCopy(); });
    C.at(14s, [&] { C.F.Platform.goAway(); });
    C.at(15s, [&] { C.F.Platform.comeBack(); });
  }
  C.at(13s, [&] {
    C.F.configure(
        12, {{"orders", "kern-1", "primary"}, {"spring", "kern-1", "primary"}});
  });
  C.at(17s, [&] {
    C.F.configure(
        15, {{"orders", "kern-1", "primary"}, {"summer", "kern-1", "primary"}});
  });
  // The store is stable from 19 s on; the bound is 3 s.
  for (int Second : {34, 37, 40})
    C.at(std::chrono::seconds(Second), [&] {
      probe(C, "summer", true);
      probe(C, "spring", false);
    });
  C.run(42s);
  return C.report("CONFIG");
}

/// Finds two holders that have called promotions with the same token, and
/// tokens that fall.
void checkTokens(Fleet &F) {
  std::map<std::uint64_t, std::string> Holders;
  std::uint64_t Highest = 0;
  for (const PromotionCall &Call : F.Platform.Calls) {
    auto [It, New] = Holders.emplace(Call.Token, Call.Holder);
    if (!New && It->second != Call.Holder)
      F.Facts.Broken.push_back(
          "ONE: " + Call.Holder + " promotes " + Call.Server + " with token " +
          std::to_string(Call.Token) + " at " + secondsText(Call.At) + ", as " +
          It->second + " did before");
    if (Call.Token < Highest)
      F.Facts.Broken.push_back(
          "ONE: " + Call.Holder + " promotes " + Call.Server + " with token " +
          std::to_string(Call.Token) + " at " + secondsText(Call.At) +
          ", after token " + std::to_string(Highest));
    Highest = std::max(Highest, Call.Token);
  }
}

/// The holder of the promotion lock, as the store names it.
Proxy *lockHolder(Fleet &F) { return F.find(F.Platform.value("duty/lock")); }

/// The store comes back from a copy that is older than the last change of the
/// lock holder: the next holder gets a fencing token that was used before.
int tokenAfterDrill(const std::string &Program, const std::string &Directory,
                    bool Trouble) {
  Case C(Program, Directory);
  Service &First = C.F.addService("kern-1", 20ms);
  Service &Second = C.F.addService("kern-2", 20ms);
  C.F.addProxies(ProxyCount);
  C.F.configure(
      7, {{"orders", "kern-1", "primary"}, {"stock", "kern-2", "primary"}});
  C.F.startProxies();
  C.addLoad("orders", "kern-1", 500ms);
  C.at(10s, [&] {
    if (Trouble)
      C.F.Platform.takeCopy();
    if (Proxy *Holder = lockHolder(C.F))
      C.F.signal(*Holder, SIGTERM);
  });
  C.at(11s, [&] { C.F.release(First, First.leader(), "i-kern-1-d"); });
  if (Trouble) {
    C.at(14s, [&] { C.F.Platform.goAway(); });
    C.at(15s, [&] { C.F.Platform.comeBack(); });
  }
  // The second machine in turn is stopped as well, so that it does not become
  // the next holder.
  C.at(14500ms, [&] {
    if (!C.F.Platform.Calls.empty())
      if (Proxy *Holder = C.F.find(C.F.Platform.Calls.back().Holder))
        C.F.signal(*Holder, SIGTERM);
  });
  C.at(25s, [&] { C.F.release(Second, Second.leader(), "i-kern-2-d"); });
  C.run(40s);
  checkTokens(C.F);
  return C.report("ONE");
}

/// The lock holder stands still while the answer to its last check before a
/// promotion is on its way. When it goes on, another holder has promoted
/// another server, and the call of the old one replaces that.
int frozenHolder(const std::string &Program, const std::string &Directory,
                 bool Trouble) {
  Case C(Program, Directory);
  Service &First = C.F.addService("kern-1", 20ms);
  C.F.addProxies(ProxyCount);
  C.F.configure(7, {{"orders", "kern-1", "primary"}});
  C.F.startProxies();
  C.addLoad("orders", "kern-1", 100ms);
  bool Checked = false;
  C.F.Platform.OnWrite = [&](const std::string &Keys, const std::string &) {
    if (Checked || !Keys.starts_with(" promotion/"))
      return;
    Checked = true;
    // The replacement of the servers goes on. The id of the new one sorts
    // first.
    runAfter(C.Loop, 500ms, [&] {
      C.F.release(First, First.find("i-kern-1-c"), "i-kern-1-0", 6s);
    });
    Proxy *Holder = lockHolder(C.F);
    if (!Trouble || Holder == nullptr)
      return;
    C.F.signal(*Holder, SIGSTOP);
    runAfter(C.Loop, 5s, [&C, Holder] { C.F.signal(*Holder, SIGCONT); });
  };
  C.at(10s, [&] { C.F.release(First, First.leader(), "i-kern-1-d"); });
  C.run(34s);
  checkTokens(C.F);
  return C.report("ONE");
}

/// The proxy that polls the store for its failure domain is removed while a
/// replica is replaced. Another proxy of that domain goes on using the replica.
int drainWithoutPoller(const std::string &Program, const std::string &Directory,
                       bool Trouble) {
  Case C(Program, Directory);
  Service &First = C.F.addService("kern-1", 20ms);
  C.F.addProxies(ProxyCount);
  C.F.configure(7, {{"catalogue", "kern-1", "bounded_staleness"},
                    {"orders", "kern-1", "primary"}});
  C.F.startProxies();
  C.addLoad("orders", "kern-1", 200ms);
  C.addReaders("catalogue", "kern-1", 100ms);
  // A proxy that changes its heartbeat twice a second polls for its domain.
  std::map<std::string, unsigned> Heartbeats;
  C.F.Platform.OnWrite = [&](const std::string &Keys, const std::string &) {
    std::string Prefix = " proxy-check/";
    if (Keys.starts_with(Prefix))
      ++Heartbeats[Keys.substr(Prefix.size())];
  };
  // The new server starts at 10 s and the old one drains at 13.5 s.
  C.at(10s, [&] {
    C.F.release(First, First.find("i-kern-1-b"), "i-kern-1-d", 3500ms, 4s);
  });
  C.at(13400ms, [&] {
    if (!Trouble)
      return;
    // The replica that drains is in the same zone.
    Proxy *Poller = nullptr;
    for (const auto &P : C.F.Proxies)
      if (P->Zone == "nuernberg" &&
          (Poller == nullptr || Heartbeats[P->Name] > Heartbeats[Poller->Name]))
        Poller = P.get();
    Poller->Removed = true;
    C.F.signal(*Poller, SIGKILL);
  });
  C.run(27s);
  return C.report("DRAIN");
}

/// A route goes to another service and back while replicas lag. A session that
/// has written to both reads without its own write.
int movedRoute(const std::string &Program, const std::string &Directory,
               bool Trouble) {
  Case C(Program, Directory);
  Service &First = C.F.addService("kern-1", 20ms);
  C.F.addService("kern-2", 20ms);
  C.F.addProxies(ProxyCount);
  unsigned Version = 7;
  auto Route = [&](const std::string &ServiceName) {
    C.F.configure(Version += 2, {{"orders", "kern-1", "primary"},
                                 {"stock", ServiceName, "read_your_writes"}});
  };
  Route("kern-1");
  C.F.startProxies();
  C.addLoad("orders", "kern-1", 200ms);
  std::vector<std::shared_ptr<Caller>> Callers;
  for (const auto &P : C.F.Proxies) {
    auto Each =
        std::make_shared<Caller>(C.F, *P, "s" + std::to_string(Callers.size()));
    Callers.push_back(Each);
    C.at(8s, [Each] { Each->start("stock"); });
  }
  auto All = [&](Duration At, const std::string &Text) {
    C.at(At, [&Callers, Text] {
      for (const auto &Each : Callers)
        Each->send(Text);
    });
  };
  if (Trouble)
    C.at(10s, [&] { First.Lag = 90 * 20ms; });
  C.at(17s, [&] { First.Lag = 20ms; });
  All(14s, "WRITE pallets 1");
  C.at(14020ms, [&] { Route("kern-2"); });
  All(14800ms, "WRITE pallets 2");
  C.at(14820ms, [&] { Route("kern-1"); });
  All(15600ms, "READ pallets");
  C.run(20s);
  return C.report("STALE");
}

/// Sessions that set long values, in messages of legal size, at two of seven
/// machines. Their processes exceed the memory of the machine.
int longSessionState(const std::string &Program, const std::string &Directory,
                     bool Trouble) {
  constexpr std::size_t Sessions = 80;
  constexpr std::size_t LongBytes = 1'040'000;
  constexpr std::size_t ShortBytes = 100;
  Case C(Program, Directory);
  C.F.addService("kern-1", 20ms);
  C.F.addProxies(ProxyCount);
  C.F.configure(7, {{"orders", "kern-1", "primary"}});
  C.F.startProxies();
  C.addLoad("orders", "kern-1", 500ms);
  std::vector<std::shared_ptr<LongState>> Crowd;
  for (std::size_t I = 0; I < 2 * Sessions; ++I) {
    auto Member = std::make_shared<LongState>(C.F, *C.F.Proxies[I % 2],
                                              "orders", "c" + std::to_string(I),
                                              Trouble ? LongBytes : ShortBytes);
    Crowd.push_back(Member);
    C.at(10s + I * 20ms, [Member] { Member->start(); });
  }
  C.run(60s);
  unsigned Machines = 0;
  for (const auto &P : C.F.Proxies) {
    record(P->Name + ": at most " + std::to_string(P->MostMemory >> 20) +
           " MB, ended " + std::to_string(P->MemoryEnds) + " times");
    Machines += P->MemoryEnds >= 3 ? 1 : 0;
  }
  if (Machines >= 2)
    C.F.Facts.Broken.push_back(
        "Fault: processes on " + std::to_string(Machines) +
        " machines of 7 ended three times or more because of their memory");
  return C.report("Fault");
}

/// Sessions that set many values at one machine keep its process from serving
/// anybody else.
int manyValues(const std::string &Program, const std::string &Directory,
               bool Trouble) {
  constexpr std::size_t Sessions = 100;
  constexpr unsigned MostNames = 1'000'000;
  constexpr unsigned FewNames = 10;
  // The longest deadline of the site's clients.
  constexpr Duration HangTime = 8s;
  Case C(Program, Directory);
  C.F.addService("kern-1", 20ms);
  C.F.addProxies(ProxyCount);
  C.F.configure(7, {{"orders", "kern-1", "primary"}});
  C.F.startProxies();
  C.addLoad("orders", "kern-1", 200ms);
  std::vector<std::shared_ptr<ManyValues>> Crowd;
  for (std::size_t I = 0; I < Sessions; ++I) {
    auto Member = std::make_shared<ManyValues>(C.F, *C.F.Proxies[0], "orders",
                                               "m" + std::to_string(I),
                                               Trouble ? MostNames : FewNames);
    Crowd.push_back(Member);
    C.at(10s, [Member] { Member->start(); });
  }
  for (int Second = 12; Second <= 90; Second += 6)
    C.at(std::chrono::seconds(Second), [&] {
      unsigned Sum = 0;
      for (const auto &Member : Crowd)
        Sum += Member->Answers;
      record("the crowd has " + std::to_string(Sum) + " answers");
    });
  C.run(90s);
  for (const auto &L : C.Loads) {
    double Wait = std::chrono::duration<double>(L->longestWait()).count();
    record("client " + L->name() + " at " + L->machine() + " has waited " +
           std::to_string(Wait) + " s for an answer");
    if (L->longestWait() > HangTime)
      C.F.Facts.Broken.push_back("Fault: the process on " + L->machine() +
                                 " has let client " + L->name() + " wait " +
                                 std::to_string(Wait) + " s for an answer");
  }
  return C.report("Fault");
}

} // namespace

int runCase(const std::string &Name, const std::string &Program,
            const std::string &Directory, bool Trouble) {
  if (Name == "config-after-drill")
    return configAfterDrill(Program, Directory, Trouble);
  if (Name == "token-after-drill")
    return tokenAfterDrill(Program, Directory, Trouble);
  if (Name == "frozen-holder")
    return frozenHolder(Program, Directory, Trouble);
  if (Name == "drain-without-poller")
    return drainWithoutPoller(Program, Directory, Trouble);
  if (Name == "moved-route")
    return movedRoute(Program, Directory, Trouble);
  if (Name == "long-session-state")
    return longSessionState(Program, Directory, Trouble);
  if (Name == "many-values")
    return manyValues(Program, Directory, Trouble);
  throw std::invalid_argument("no case " + Name);
}

} // namespace review
