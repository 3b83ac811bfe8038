/// \file
/// Runs one case of the review: standin CASE RECORD. The variable TROUBLE=0
/// leaves the disruption out. Exit status: 1 if the rule was broken, 0 if it
/// held, 2 if the case could not run.

#include "fleet.h"
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <random>
#include <unistd.h>

namespace review {

namespace {

/// The program ends itself after this time whatever happens.
constexpr std::int64_t WatchdogMs = 115000;
/// Time until the proxies have registered, read the servers and hold leases.
constexpr std::int64_t WarmUpMs = 5000;

struct Run {
  asio::io_context Loop{1};
  Record &Out;
  bool Trouble;
  /// Set by the case: the rule was broken, or the case could not run.
  std::vector<std::string> Broken = {};
  std::string Failure = {};
  std::uint64_t Served = 0;

  void finish() { Loop.stop(); }
  void broken(const std::string &What) {
    Broken.push_back(What);
    Out.line("RULE BROKEN: %s", What.c_str());
  }
};

std::pair<std::string, std::int64_t> writeEvery(std::int64_t PauseMs,
                                                unsigned &Count) {
  ++Count;
  return {"WRITE item" + std::to_string(Count % 50) + " v" +
              std::to_string(Count),
          PauseMs};
}

void addServers(Service &S, const std::string &Prefix, std::int64_t FirstLagMs,
                std::int64_t SecondLagMs) {
  S.add(Prefix + "a", "muenchen", 20)->Primary = true;
  S.add(Prefix + "b", "nuernberg", FirstLagMs);
  S.add(Prefix + "c", "augsburg", SecondLagMs);
}

/// LOST: a machine is stopped with SIGTERM while sessions send one statement
/// after the other.
void runStop(Run &R) {
  constexpr std::size_t Stopped = 0;
  constexpr unsigned Sessions = 4;
  constexpr std::int64_t GraceMs = 6000;
  /// RULES.md, LOST: what was sent later than this after SIGTERM has no excuse.
  constexpr std::int64_t ExcusedMs = 3000;
  FleetOptions Options;
  Options.TimeoutMs = 3000;
  Fleet F(R.Loop, R.Out, Options);
  addServers(F.Database, "i-", 20, 20);
  F.Database.WorkMs = 400;
  std::map<std::string, std::int64_t> ReachedMs;
  F.Database.Reached = [&](const ServerRef &, const std::string &Id) {
    ReachedMs[Id] = nowMs();
    R.Out.line("server receives %s", Id.c_str());
  };
  F.start();
  std::optional<std::int64_t> StoppedMs;
  std::vector<std::shared_ptr<Client>> Clients;
  for (unsigned I = 0; I < Sessions; ++I) {
    auto C =
        std::make_shared<Client>(F, "c" + std::to_string(I), Fleet::Orders);
    C->Answered = [&](const Client::Request &, const std::string &Line) {
      R.Served += Line.compare(0, 4, "DONE") == 0 ? 1 : 0;
    };
    C->Ended = [&](const Client::Request *Open) {
      if (Open == nullptr || ReachedMs.count(Open->Id) == 0)
        return;
      std::int64_t Age = nowMs() - Open->SentMs;
      if (Age >= Options.TimeoutMs)
        return; // The route's timeout was reached.
      std::int64_t SentAfter = StoppedMs ? Open->SentMs - *StoppedMs : -1;
      if (SentAfter < 0) {
        R.Failure = Open->Id + " was cut before the SIGTERM";
        return;
      }
      if (SentAfter <= ExcusedMs || nowMs() - *StoppedMs > GraceMs + 1000) {
        R.Out.line("%s is excused by the rule", Open->Id.c_str());
        return;
      }
      R.broken("LOST: " + Open->Id + " was sent " + std::to_string(SentAfter) +
               " ms after the SIGTERM, had reached a server, and its "
               "connection ended without an answer after " +
               std::to_string(Age) + " ms");
    };
    Clients.push_back(C);
    unsigned Count = 0;
    after(R.Loop, WarmUpMs + 90 * I, [C, Count]() mutable {
      C->open(Stopped, [Count]() mutable {
        return std::pair<std::string, std::int64_t>(
            "READ item" + std::to_string(++Count), 0);
      });
    });
  }
  after(R.Loop, WarmUpMs + 3000, [&] {
    if (R.Served == 0)
      R.Failure = "nothing was served before the disruption";
    if (!R.Trouble)
      return;
    StoppedMs = nowMs();
    R.Out.line("SIGTERM to %s", F.name(Stopped).c_str());
    F.signal(Stopped, SIGTERM);
    after(R.Loop, GraceMs, [&] {
      if (!F.ended(Stopped)) {
        R.Out.line("SIGKILL to %s", F.name(Stopped).c_str());
        F.signal(Stopped, SIGKILL);
      }
    });
  });
  after(R.Loop, WarmUpMs + 3000 + GraceMs + 2000, [&] { R.finish(); });
  R.Loop.run();
}

/// Sessions that write at all machines, one statement each 40 ms or so.
std::vector<std::shared_ptr<Client>>
startWriters(Run &R, Fleet &F, unsigned Sessions,
             std::function<void(const Client::Request &)> Acknowledged) {
  std::vector<std::shared_ptr<Client>> Clients;
  for (unsigned I = 0; I < Sessions; ++I) {
    auto C =
        std::make_shared<Client>(F, "c" + std::to_string(I), Fleet::Orders);
    C->Reconnect = true;
    C->Answered = [&R, Acknowledged](const Client::Request &Q,
                                     const std::string &Line) {
      if (Line.compare(0, 4, "DONE") != 0)
        return;
      ++R.Served;
      Acknowledged(Q);
    };
    Clients.push_back(C);
    auto Count = std::make_shared<unsigned>(0);
    after(R.Loop, WarmUpMs + 10 * I, [C, &F, I, Count] {
      C->open(I % F.proxyCount(), [Count] { return writeEvery(20, *Count); });
    });
  }
  return Clients;
}

/// ONE: the holder of the promotion lock stands still while the store's answer
/// to its last check before a promotion call is on its way.
void runFreeze(Run &R) {
  constexpr std::int64_t FreezeMs = 4000;
  /// Time between the planned replacements of two primaries.
  constexpr std::int64_t StepMs = 3100;
  constexpr std::int64_t LastMs = 100000;
  /// The lease of the lock runs from its last renewal, each 0.5 s. The longer
  /// ago that is, the sooner another machine takes the lock.
  constexpr std::int64_t RenewalAgeMs = 380;
  FleetOptions Options;
  Options.Proxies = 7;
  Fleet F(R.Loop, R.Out, Options);
  addServers(F.Database, "i-", 20, 25);
  for (const char *Name : {"kern2", "kern3"}) {
    F.Others.push_back(std::make_unique<Service>(R.Loop, R.Out, Name));
    addServers(*F.Others.back(), std::string("i-") + Name + "-", 20, 25);
  }
  std::uint64_t Highest = 0;
  std::string HighestHolder;
  bool Frozen = false;
  std::vector<std::int64_t> RenewedMs(Options.Proxies, 0);
  F.OnPromotion = [&](const PromotionCall &P) -> unsigned {
    if (P.Token < Highest) {
      R.broken("ONE: " + P.Holder + " calls a promotion with token " +
               std::to_string(P.Token) + " after " + HighestHolder +
               " has called one with token " + std::to_string(Highest));
      after(R.Loop, 2000, [&] { R.finish(); });
    }
    if (P.Token > Highest) {
      Highest = P.Token;
      HighestHolder = P.Holder;
    }
    return 200;
  };
  F.Metadata.Renewed = [&](std::size_t Proxy) { RenewedMs[Proxy] = nowMs(); };
  F.Metadata.Changed = [&](std::size_t Proxy, const json &Change) {
    bool BeforeCall = false;
    for (const json &S : Change.at("setKeys"))
      BeforeCall = BeforeCall ||
                   S.at("key").get<std::string>().rfind("promotion/", 0) == 0;
    if (!BeforeCall || !R.Trouble || Frozen ||
        nowMs() - RenewedMs[Proxy] < RenewalAgeMs)
      return;
    Frozen = true;
    R.Out.line("%s stands still for %ld ms; the store's answer to its change "
               "of %s is on its way",
               F.name(Proxy).c_str(), static_cast<long>(FreezeMs),
               Change.at("setKeys").at(0).at("key").dump().c_str());
    F.signal(Proxy, SIGSTOP);
    after(R.Loop, FreezeMs, [&, Proxy] {
      R.Out.line("%s runs again", F.name(Proxy).c_str());
      F.signal(Proxy, SIGCONT);
      after(R.Loop, 4000, [&] { Frozen = false; });
    });
  };
  F.start();
  auto Clients = startWriters(R, F, 7, [](const Client::Request &) {});
  std::minstd_rand Random(static_cast<unsigned>(getpid()));
  // Planned work: one primary after the other is to be replaced.
  std::function<void(std::size_t)> Replace = [&](std::size_t Number) {
    if (R.Served == 0)
      R.Failure = "nothing was served before the disruption";
    if (nowMs() > (R.Trouble ? LastMs : LastMs / 3) || !R.Failure.empty()) {
      R.finish();
      return;
    }
    after(R.Loop, StepMs + static_cast<std::int64_t>(Random() % 300),
          [&, Number] { Replace(Number + 1); });
    ServerRef P = F.services()[Number % F.services().size()]->leader();
    // While a machine stands still, a promotion may be in progress.
    if (!P || P->Draining || Frozen)
      return;
    R.Out.line("primary %s reports that it is draining", P->Id.c_str());
    P->Draining = true;
    F.report(P);
    // The server ends, and a new one starts at its address with its log.
    after(R.Loop, 9000, [&, P] {
      P->Draining = false;
      F.report(P);
    });
  };
  after(R.Loop, WarmUpMs + 2000, [&] { Replace(0); });
  R.Loop.run();
}

/// LOST: the primary crashes and a server without its last acknowledged
/// commits is promoted, although syncReplicas is 1.
/// \p TurnedAway: the platform turns the first promotion call away.
/// \p ReplicaDrains: the replica that holds the commits is to be replaced.
void runSync(Run &R, bool TurnedAway, bool ReplicaDrains) {
  FleetOptions Options;
  Options.SyncReplicas = 1;
  Fleet F(R.Loop, R.Out, Options);
  addServers(F.Database, "i-", 3, 40);
  ServerRef Near = F.Database.find("i-b");
  ServerRef Primary = F.Database.find("i-a");
  std::set<std::string> Acknowledged;
  bool Refused = false;
  bool PromotedOnce = false;
  F.OnPromotion = [&](const PromotionCall &) -> unsigned {
    if (!TurnedAway || !R.Trouble || Refused)
      return 200;
    Refused = true;
    return 503;
  };
  F.Database.Promoted = [&](const ServerRef &Next) {
    if (PromotedOnce)
      return;
    PromotedOnce = true;
    std::size_t Missing = 0;
    std::string First;
    for (const std::string &Id : Acknowledged)
      if (!Next->hasCommit(Id) && ++Missing == 1)
        First = Id;
    std::size_t Kept = 0;
    for (const std::string &Id : Acknowledged)
      Kept += Near->hasCommit(Id) ? 1 : 0;
    R.Out.line("%zu acknowledged commits: %s lacks %zu, %s holds %zu and is %s",
               Acknowledged.size(), Next->Id.c_str(), Missing, Near->Id.c_str(),
               Kept, Near->Up ? "up" : "down");
    if (Missing != 0)
      R.broken("LOST: " + Next->Id + " was promoted without " +
               std::to_string(Missing) + " acknowledged commits, such as " +
               First);
  };
  F.start();
  auto Clients = startWriters(R, F, 8, [&](const Client::Request &Q) {
    if (!PromotedOnce)
      Acknowledged.insert(Q.Id);
  });
  if (ReplicaDrains && R.Trouble)
    after(R.Loop, WarmUpMs + 2000, [&] {
      R.Out.line("replica %s reports that it is draining", Near->Id.c_str());
      Near->Draining = true;
      F.report(Near);
      // It goes on for drainMs and a little longer.
      after(R.Loop, 9000, [&] {
        R.Out.line("replica %s ends", Near->Id.c_str());
        Near->crash();
      });
    });
  after(R.Loop, WarmUpMs + 5000, [&] {
    if (R.Served == 0)
      R.Failure = "nothing was served before the disruption";
    R.Out.line("primary %s crashes", Primary->Id.c_str());
    Primary->crash();
  });
  after(R.Loop, WarmUpMs + 20000, [&] {
    if (!PromotedOnce)
      R.Failure = "no server was promoted";
    R.finish();
  });
  R.Loop.run();
}

/// DRAIN: the machine that reads the store for its zone is lost for good just
/// after the other machine of the zone has read the list of servers; then a
/// replica is to be replaced.
void runPollerLost(Run &R) {
  constexpr std::size_t Pair[] = {0, 4}; // Both are in the first zone.
  constexpr std::int64_t DrainMs = 7000;
  /// A machine that leaves the store to another one reads the list of servers
  /// this rarely.
  constexpr std::int64_t RareReadMs = 8000;
  FleetOptions Options;
  Options.Proxies = 7;
  Fleet F(R.Loop, R.Out, Options);
  addServers(F.Database, "i-", 20, 20);
  ServerRef Leaving = F.Database.find("i-b");
  std::optional<std::int64_t> LeavingMs;
  std::map<std::size_t, std::int64_t> ReadMs;
  bool Done = false;
  F.Metadata.Listed = [&](std::size_t Proxy, const std::string &Prefix) {
    if (Prefix != "servers/" || (Proxy != Pair[0] && Proxy != Pair[1]))
      return;
    R.Out.line("%s reads the list of servers", F.name(Proxy).c_str());
    std::int64_t Last = std::exchange(ReadMs[Proxy], nowMs());
    if (Done || Last == 0 || nowMs() - Last < RareReadMs)
      return;
    Done = true;
    std::size_t Other = Proxy == Pair[0] ? Pair[1] : Pair[0];
    after(R.Loop, 100, [&, Other] {
      if (!R.Trouble)
        return;
      R.Out.line("%s is lost for good (SIGKILL)", F.name(Other).c_str());
      F.signal(Other, SIGKILL);
    });
    after(R.Loop, 200, [&] {
      LeavingMs = nowMs();
      R.Out.line("replica %s reports that it is draining; the store has "
                 "acknowledged it",
                 Leaving->Id.c_str());
      Leaving->Draining = true;
      F.report(Leaving);
    });
    after(R.Loop, 14000, [&] { R.finish(); });
  };
  F.Database.Reached = [&](const ServerRef &S, const std::string &Id) {
    R.Out.line("server %s receives %s", S->Id.c_str(), Id.c_str());
    std::int64_t Late = LeavingMs ? nowMs() - *LeavingMs : 0;
    if (S == Leaving && Late > DrainMs)
      R.broken("DRAIN: " + Id + " reached " + S->Id + " " +
               std::to_string(Late) +
               " ms after the store had acknowledged "
               "that it is draining");
  };
  F.start();
  std::vector<std::shared_ptr<Client>> Clients;
  for (unsigned I = 0; I < 7; ++I) {
    auto C = std::make_shared<Client>(F, "c" + std::to_string(I), Fleet::Stock);
    C->Answered = [&](const Client::Request &, const std::string &Line) {
      R.Served += Line.compare(0, 4, "DONE") == 0 ? 1 : 0;
    };
    Clients.push_back(C);
    auto Count = std::make_shared<unsigned>(0);
    after(R.Loop, WarmUpMs + 10 * I, [C, I, Count] {
      C->open(I, [Count]() -> std::pair<std::string, std::int64_t> {
        // One write in ten.
        if (++*Count % 10 == 0)
          return writeEvery(40, *Count);
        return {"READ item" + std::to_string(*Count % 50), 40};
      });
    });
  }
  after(R.Loop, 80000, [&] {
    if (Done)
      return;
    R.Failure = "no machine left the store to another one";
    R.finish();
  });
  R.Loop.run();
  if (R.Served == 0)
    R.Failure = "nothing was served";
}

/// STALE: a former primary that never followed its successor is promoted again
/// with its old log, although a replica of the successor is up.
void runPromotedBack(Run &R) {
  constexpr std::int64_t DarkMs = 5500;
  FleetOptions Options;
  Fleet F(R.Loop, R.Out, Options);
  addServers(F.Database, "i-", 20, 25);
  ServerRef First = F.Database.find("i-a");
  ServerRef Second;
  ServerRef Third = F.Database.find("i-c");
  struct ReadRun {
    std::int64_t SentMs = 0;
    bool Served = false;
    std::string Server;
    /// Acknowledged commits that the server lacked, and when they were
    /// acknowledged.
    std::map<std::string, std::int64_t> Missing;
  };
  std::map<std::string, std::int64_t> AcknowledgedMs;
  std::map<std::string, ReadRun> Reads;
  F.Database.ReadRuns = [&](const ServerRef &S, const std::string &Id) {
    ReadRun Each;
    Each.Server = S->Id;
    for (const auto &[Commit, At] : AcknowledgedMs)
      if (!S->hasCommit(Commit))
        Each.Missing[Commit] = At;
    Reads[Id] = Each;
  };
  F.start();
  std::vector<std::shared_ptr<Client>> Clients;
  for (unsigned I = 0; I < 8; ++I) {
    auto C =
        std::make_shared<Client>(F, "c" + std::to_string(I), Fleet::Orders);
    C->Reconnect = true;
    C->Answered = [&](const Client::Request &Q, const std::string &Line) {
      if (Line.compare(0, 4, "DONE") != 0)
        return;
      ++R.Served;
      if (Q.Text.compare(0, 5, "WRITE") == 0) {
        AcknowledgedMs[Q.Id] = nowMs();
      } else if (auto It = Reads.find(Q.Id); It != Reads.end()) {
        It->second.SentMs = Q.SentMs;
        It->second.Served = true;
      }
    };
    Clients.push_back(C);
    auto Count = std::make_shared<unsigned>(0);
    after(R.Loop, WarmUpMs + 10 * I, [C, &F, I, Count] {
      C->open(I % F.proxyCount(),
              [Count]() -> std::pair<std::string, std::int64_t> {
                const char *Verb = ++*Count % 2 == 0 ? "WRITE" : "READ";
                std::string Item = " item" + std::to_string(*Count % 50);
                std::string Value = *Count % 2 == 0 ? " v1" : "";
                return {Verb + Item + Value, 10};
              });
    });
  }
  std::int64_t Start = WarmUpMs + 2000;
  // A control: the same disruption, but no replica is to be replaced.
  if (std::getenv("CONTROL") == nullptr)
    after(R.Loop, Start, [&] {
      R.Out.line("replica %s reports that it is draining", Third->Id.c_str());
      Third->Draining = true;
      F.report(Third);
    });
  after(R.Loop, Start + 2500, [&] {
    if (R.Served == 0)
      R.Failure = "nothing was served before the disruption";
    if (!R.Trouble) {
      after(R.Loop, DarkMs, [&] { R.finish(); });
      return;
    }
    R.Out.line("primary %s goes dark", First->Id.c_str());
    First->goDark();
  });
  if (!R.Trouble) {
    R.Loop.run();
    return;
  }
  after(R.Loop, Start + 2500 + DarkMs - 200, [&] {
    Second = F.Database.leader();
    if (!Second || Second == First) {
      R.Failure = "no server was promoted";
      R.finish();
      return;
    }
    R.Out.line("primary %s goes dark", Second->Id.c_str());
    Second->goDark();
  });
  after(R.Loop, Start + 2500 + DarkMs, [&] {
    R.Out.line("%s can be reached again, with its log up to %lu.%zu",
               First->Id.c_str(), First->Term, First->Log.size());
    First->returnFromDark();
    F.report(First);
  });
  after(R.Loop, Start + 2500 + DarkMs + 6000, [&] { R.finish(); });
  R.Loop.run();
  ServerRef Last = F.Database.leader();
  if (!Last || Last == Second) {
    if (R.Failure.empty())
      R.Failure = "no server was promoted the second time";
    return;
  }
  R.Out.line("%s leads term %lu at the end", Last->Id.c_str(), Last->Term);
  std::size_t Lost = 0;
  for (const auto &Each : AcknowledgedMs)
    Lost += Last->hasCommit(Each.first) ? 0 : 1;
  R.Out.line("%zu of %zu acknowledged commits are not in its log", Lost,
             AcknowledgedMs.size());
  for (const auto &[Id, Each] : Reads)
    for (const auto &[Commit, At] : Each.Missing)
      if (Each.Served && At < Each.SentMs && Last->hasCommit(Commit)) {
        R.broken("STALE: " + Id + " ran on " + Each.Server + " without " +
                 Commit + ", which had been acknowledged " +
                 std::to_string(Each.SentMs - At) +
                 " ms before and was never rolled back");
        break;
      }
}

int run(const std::string &Case, Record &Out) {
  const char *Setting = std::getenv("TROUBLE");
  Run R{.Out = Out,
        .Trouble = Setting == nullptr || std::strcmp(Setting, "0") != 0};
  Out.line("case %s, %s the disruption", Case.c_str(),
           R.Trouble ? "with" : "without");
  after(R.Loop, WatchdogMs, [&] {
    R.Failure = "the run took too long";
    R.finish();
  });
  if (Case == "stop")
    runStop(R);
  else if (Case == "freeze")
    runFreeze(R);
  else if (Case == "turned-away")
    runSync(R, true, false);
  else if (Case == "draining-replica")
    runSync(R, false, true);
  else if (Case == "promoted-back")
    runPromotedBack(R);
  else if (Case == "poller-lost")
    runPollerLost(R);
  else
    R.Failure = "unknown case";
  if (!R.Broken.empty()) {
    Out.line("%zu times broken", R.Broken.size());
    std::cout << R.Broken.front() << " (" << R.Broken.size() << " in all)\n";
    return 1;
  }
  if (!R.Failure.empty()) {
    Out.line("could not run: %s", R.Failure.c_str());
    std::cout << "could not run: " << R.Failure << "\n";
    return 2;
  }
  Out.line("the rule held; %lu statements served", R.Served);
  std::cout << "the rule held; " << R.Served << " statements served\n";
  return 0;
}

} // namespace

} // namespace review

int main(int Count, char **Arguments) {
  if (Count != 3) {
    std::cerr << "usage: standin CASE RECORD\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  review::Record Out(Arguments[2]);
  if (!Out.open()) {
    std::cerr << "can't write " << Arguments[2] << "\n";
    return 2;
  }
  try {
    return review::run(Arguments[1], Out);
  } catch (const std::exception &E) {
    std::cerr << E.what() << "\n";
    Out.line("could not run: %s", E.what());
    return 2;
  }
}
