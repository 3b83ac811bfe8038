#include "fakes.h"
#include <doctest/doctest.h>

namespace eelgrassloom::test {

using namespace std::chrono_literals;

std::string textOf(const ServerCall &Call) {
  switch (Call.Command) {
  case ServerCommand::Statement:
    return Call.Text;
  case ServerCommand::Execute:
    return "EXEC " + Call.Name + " " + Call.Text;
  case ServerCommand::Setup:
    if (Call.Step.Kind == SetupKind::Reset)
      return "RESET";
    if (Call.Step.Kind == SetupKind::Set)
      return "SET " + Call.Step.Name + " " + Call.Step.Value;
    return "PREPARE " + Call.Step.Name +
           (Call.Step.Prepared.Write ? " WRITE " : " READ ") +
           Call.Step.Prepared.Shape;
  case ServerCommand::Begin:
    return "BEGIN";
  case ServerCommand::BeginReadOnly:
    return "BEGIN READ";
  case ServerCommand::RollBack:
    return "ROLLBACK";
  case ServerCommand::Status:
    return "STATUS";
  }
  return {};
}

/// Answers through the fixture's queue, so that no answer arrives inside of a
/// call.
class FakeConnection : public ServerConnection {
public:
  FakeConnection(EngineFixture &F, FakeServer &S) : F(F), S(S) {}

  void exchange(std::vector<ServerCall> Calls, ReplyHandler Done) override {
    std::vector<ServerReply> Replies;
    if (S.ConnectionsLost) {
      Calls.clear();
      Replies.emplace_back().NoAnswer = true;
      Replies.back().NotSent = true;
    }
    for (const ServerCall &Call : Calls) {
      S.Received.push_back(Call);
      Replies.push_back(answer(Call));
    }
    if (S.Unresponsive)
      return;
    auto Deliver = [this, Alive = std::weak_ptr<bool>(Token),
                    Replies = std::move(Replies),
                    Done = std::move(Done)]() mutable {
      if (!Alive.expired() && !Closed)
        Done(std::move(Replies));
    };
    if (S.AnswerTime == Duration::zero())
      F.Ready.push_back(std::move(Deliver));
    else
      F.Hooks.After(S.AnswerTime, std::move(Deliver));
  }

  bool usable() const override { return !Closed && !Failed; }
  void close() override {
    if (Open && !Closed)
      ++S.ClosedInTransaction;
    Closed = true;
  }

private:
  ServerReply answer(const ServerCall &Call) {
    std::string Text = textOf(Call);
    auto It = S.Answers.find(Text);
    ServerReply R = It != S.Answers.end() ? It->second : ServerReply();
    if (It == S.Answers.end() && Call.MinPosition && S.Log < *Call.MinPosition)
      R.Error = ReplyCode::Lagging;
    if (R.ok() && Text.rfind("BEGIN", 0) == 0)
      Open = true;
    if (Text == "COMMIT" || Text == "ROLLBACK")
      Open = false;
    if (R.ok() && Text.rfind("WRITE", 0) == 0)
      ++S.Log.Index;
    R.Signature = R.ok() && !Call.Id.empty() ? "sig" : "";
    R.State = Open ? TransactionState::Open : TransactionState::None;
    R.LogPosition = S.Log;
    Failed = Failed || R.Error.has_value();
    return R;
  }

  EngineFixture &F;
  FakeServer &S;
  bool Open = false;
  bool Closed = false;
  /// A connection is not used again after an error.
  bool Failed = false;
  std::shared_ptr<bool> Token = std::make_shared<bool>(true);
};

EngineFixture::EngineFixture()
    : Events("test", [this] { return toMillis(Now.time_since_epoch()); }),
      Counters(Metrics::create()) {
  Hooks.Now = [this] { return Now; };
  Hooks.After = [this](Duration D, std::function<void()> Run) {
    Timers.push_back({Now + D, std::move(Run)});
  };
  Dialer Dial = [this](const DialRequest &Request,
                       std::function<void(DialResult)> Done) {
    FakeServer &S = Servers.at(Request.Server.Id);
    ++S.Handshakes;
    S.Dialed.push_back(Request.Customer);
    if (S.Unresponsive) {
      Hooks.After(Request.Timeout, [Done] {
        Done({DialOutcome::TimedOut, {}, {}});
      });
      return;
    }
    Ready.push_back([this, &S, Done] {
      if (S.RefusesConnections)
        Done({DialOutcome::Refused, {}, {}});
      else
        Done({DialOutcome::Connected,
              std::make_shared<FakeConnection>(*this, S), S.Log});
    });
  };
  SessionEngine = Engine::create("zone", Hooks, Dial, Events, *Counters);
  std::vector<ServerEntry> Entries;
  for (const char *Id : {"p", "r1", "r2"}) {
    FakeServer S;
    S.Entry.Id = Id;
    S.Entry.Service = "s";
    S.Entry.Address = "10.0.0.1:1";
    S.Entry.Slots = 4;
    Entries.push_back(S.Entry);
    Servers[Id] = S;
  }
  RoutingConfig Config;
  Config.Version = 1;
  Config.Services["s"] = {"s", 10, 0};
  auto Add = [&](const char *Name, ReadConsistency C) {
    RouteConfig R;
    R.Database = Name;
    R.Service = "s";
    R.Reads = C;
    R.StalenessBound = 1500ms;
    R.LatencyObjective = 200ms;
    Config.Routes[Name] = R;
  };
  Add("latest", ReadConsistency::Latest);
  Add("session", ReadConsistency::Session);
  Add("bounded", ReadConsistency::Bounded);
  SessionEngine->applyConfig(Config);
  SessionEngine->setServers(Entries, 1);
  SessionEngine->group("s")->setPrimaryRecord(
      {"s", 1, GroupStage::Stable, "p"});
  renewLeaseFor(60s);
  advance(1s);
}

void EngineFixture::renewLeaseFor(Duration D) {
  auto G = SessionEngine->group("s");
  G->renewLease(G->primaryRecord().Epoch, Now + D);
}

void EngineFixture::run() {
  while (!Ready.empty()) {
    auto Next = std::move(Ready.front());
    Ready.pop_front();
    Next();
  }
}

void EngineFixture::advance(Duration D) {
  Instant Until = Now + D;
  run();
  while (Now < Until) {
    Now = std::min(Until, Now + 10ms);
    std::vector<Timer> Due;
    std::erase_if(Timers, [&](Timer &T) {
      if (T.At > Now)
        return false;
      Due.push_back(std::move(T));
      return true;
    });
    for (Timer &T : Due)
      T.Run();
    SessionEngine->tick();
    run();
  }
}

std::shared_ptr<Session> EngineFixture::open(const std::string &Database) {
  return open(Database, {});
}

std::shared_ptr<Session> EngineFixture::open(const std::string &Database,
                                             const std::string &Key) {
  return SessionEngine
      ->open({Database, Key},
             [this](const CallerReply &R) { Replies.push_back(R); })
      .Opened;
}

Statement read(const std::string &Id) {
  Statement S;
  S.Kind = StatementKind::Read;
  S.Id = Id;
  S.Text = "READ " + Id;
  return S;
}

Statement write(const std::string &Id) {
  Statement S;
  S.Kind = StatementKind::Write;
  S.Id = Id;
  S.Text = "WRITE " + Id + " x";
  return S;
}

Statement simple(StatementKind Kind, const std::string &Text) {
  Statement S;
  S.Kind = Kind;
  S.Id = "i";
  S.Text = Text;
  return S;
}

} // namespace eelgrassloom::test
