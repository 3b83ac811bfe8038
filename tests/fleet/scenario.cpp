#include "scenario.h"
#include "client.h"
#include "kernel/token.h"
#include <atomic>
#include <thread>

namespace eelgrassloom::fleet {
namespace {

using namespace std::chrono_literals;

const std::string DatabaseName = "db1";
constexpr unsigned SharedKeys = 3;
constexpr unsigned MaxTries = 3;
constexpr std::int64_t BackgroundBoundMicros = 5'000'000;
constexpr unsigned DeadlineMs = 1500;

/// Sends the random requests of one session, on the thread that calls run().
class SessionRun {
public:
  SessionRun(Fleet &F, unsigned Id, std::uint64_t Seed, Recorder &Recorded)
      : F(F), Id(Id), Random(Seed * 1000 + Id), Recorded(Recorded),
        Session(randomProxy()) {}

  void run(std::chrono::steady_clock::time_point Until) {
    while (std::chrono::steady_clock::now() < Until) {
      Session.moveTo(randomProxy());
      unsigned Choice = Random() % 100;
      if (Choice < 40)
        append(Choice < 28 ? "urgent" : "normal");
      else if (Choice < 85)
        read(Choice < 75 ? "background" : "normal");
      else if (Choice < 95)
        transaction();
      else
        failingWrite();
      std::this_thread::sleep_for(std::chrono::milliseconds(Random() % 15));
    }
  }

private:
  std::string randomProxy() {
    const auto &Proxies = F.topology().Proxies;
    return F.proxyAddress(Proxies[Random() % Proxies.size()].Id);
  }

  /// A key that only this session uses or one that all sessions share.
  std::string randomKey() {
    return Random() % 2 ? "s" + std::to_string(Id)
                        : "k" + std::to_string(Random() % SharedKeys);
  }

  std::string newValue() {
    return std::to_string(Id) + "-" + std::to_string(++ValueCount);
  }

  Operation operation(OperationKind Kind, const std::string &Class,
                      std::string Key, std::string Value) {
    Operation Op;
    Op.Session = Id;
    Op.Kind = Kind;
    Op.Database = DatabaseName;
    Op.Key = std::move(Key);
    Op.Value = std::move(Value);
    Op.Replicated = Class == "urgent";
    if (Class == "background")
      Op.StalenessMicros = BackgroundBoundMicros;
    return Op;
  }

  /// Sends the request and fills in the answer.
  caller::v1::RunAnswer send(Operation &Op, caller::v1::RunRequest Request) {
    Request.set_deadline_ms(DeadlineMs);
    Op.RequestId = Request.request_id();
    Op.InvokedMicros = steadyMicros();
    auto Answer = Session.run(Request);
    Op.ReturnedMicros = steadyMicros();
    Op.AnsweredId = Answer.request_id();
    Op.Outcome = outcomeOf(Answer);
    Op.AtPrimary = Answer.role() == types::v1::UPSTREAM_ROLE_PRIMARY;
    Value V = valueOf(Answer.result());
    Op.List.assign(V.list().begin(), V.list().end());
    if (auto Token = decode(Session.Token); Token.ok())
      Op.At = positionOf(Token.value(), DatabaseName);
    // The session continues with a new token, without the lost position.
    if (Op.Outcome == OperationOutcome::PositionLost)
      Session.Token.clear();
    return Answer;
  }

  static OperationOutcome outcomeOf(const caller::v1::RunAnswer &A) {
    if (A.reason() == caller::v1::REASON_POSITION_LOST)
      return OperationOutcome::PositionLost;
    // gRPC reports this message only for calls that were never sent, so the
    // request did not run.
    if (A.message().rfind("failed to connect", 0) == 0)
      return OperationOutcome::Refused;
    switch (A.outcome()) {
    case caller::v1::OUTCOME_OK:
      return OperationOutcome::Ok;
    case caller::v1::OUTCOME_REFUSED_NOT_RUN:
      return OperationOutcome::Refused;
    case caller::v1::OUTCOME_FAILED:
      return OperationOutcome::Failed;
    default:
      return OperationOutcome::Unknown;
    }
  }

  /// Sends a non-idempotent append, and retries it with the same request id at
  /// other proxies while it is refused or its outcome is unknown.
  void append(const std::string &Class) {
    Operation Op =
        operation(OperationKind::Append, Class, randomKey(), newValue());
    auto Request =
        request(DatabaseName, Class, fleet::append(Op.Key, Op.Value));
    Request.set_non_idempotent(true);
    for (unsigned Try = 0; Try < MaxTries; ++Try) {
      send(Op, Request);
      Recorded.add(Op);
      if (Op.Outcome != OperationOutcome::Unknown &&
          Op.Outcome != OperationOutcome::Refused)
        return;
      Session.moveTo(randomProxy());
      std::this_thread::sleep_for(std::chrono::milliseconds(Random() % 50));
    }
  }

  void read(const std::string &Class) {
    Operation Op = operation(OperationKind::Read, Class, randomKey(), "");
    send(Op, request(DatabaseName, Class, get(Op.Key)));
    Recorded.add(Op);
  }

  void failingWrite() {
    Operation Op = operation(OperationKind::FailingWrite, "normal", randomKey(),
                             newValue());
    standin::v1::Statement S;
    S.set_key(Op.Key);
    S.set_fail("constraint violated");
    send(Op, request(DatabaseName, "normal", S));
    Recorded.add(Op);
  }

  /// Runs a transaction of two appends, each sent to a random proxy, and rolls
  /// it back if one of them fails.
  void transaction() {
    std::string Name = "t" + newValue();
    Operation Begin = operation(OperationKind::Read, "urgent", "", "");
    auto BeginAnswer =
        send(Begin, step(DatabaseName, "urgent", caller::v1::STEP_BEGIN));
    if (BeginAnswer.outcome() != caller::v1::OUTCOME_OK)
      return;
    std::vector<Operation> Ops;
    bool Ok = true;
    for (unsigned I = 0; I < 2 && Ok; ++I) {
      Operation Op =
          operation(OperationKind::Append, "urgent", randomKey(), newValue());
      Op.Transaction = Name;
      auto Request =
          request(DatabaseName, "urgent", fleet::append(Op.Key, Op.Value));
      Request.set_transaction(BeginAnswer.transaction());
      Session.moveTo(randomProxy());
      send(Op, Request);
      Ok = Op.Outcome == OperationOutcome::Ok;
      Ops.push_back(Op);
    }
    Operation End = operation(OperationKind::Read, "urgent", "", "");
    auto Commit = step(DatabaseName, "urgent",
                       Ok ? caller::v1::STEP_COMMIT : caller::v1::STEP_ROLLBACK,
                       BeginAnswer.transaction());
    Commit.set_request_id("commit-" + Name);
    Commit.set_issued_at_ms(wallClockMs());
    Commit.set_non_idempotent(true);
    send(End, Commit);
    for (Operation &Op : Ops) {
      Op.Outcome = Ok ? End.Outcome : OperationOutcome::Failed;
      Op.ReturnedMicros = End.ReturnedMicros;
      Op.At = End.At;
      Recorded.add(Op);
    }
  }

  using Value = standin::v1::Value;
  Fleet &F;
  unsigned Id;
  std::mt19937_64 Random;
  Recorder &Recorded;
  CallerSession Session;
  unsigned ValueCount = 0;
};

/// Samples the configuration version of every proxy until \p Stop is set.
void sampleVersions(Fleet &F, const std::atomic<bool> &Stop,
                    std::vector<VersionSample> &Samples) {
  while (!Stop) {
    for (const auto &P : F.topology().Proxies) {
      try {
        auto Status = F.proxyStatus(P.Id);
        for (const auto &M : Status.members())
          if (M.id() == P.Id)
            Samples.push_back({P.Id + "/" + std::to_string(M.incarnation()),
                               Status.configuration_version()});
      } catch (const std::exception &) {
        // A killed or paused proxy does not answer.
      }
    }
    std::this_thread::sleep_for(100ms);
  }
}

/// Converts the log of an upstream and adds the terms it shows to \p Raises.
FinalLog finalLog(const std::vector<standin::v1::LogEntry> &Entries,
                  std::vector<TermRaise> &Raises) {
  FinalLog Log;
  Log.Database = DatabaseName;
  for (const auto &E : Entries) {
    LogEntry Entry;
    Entry.At = {E.position().term(), E.position().index()};
    Entry.RequestId = E.request_id();
    for (const auto &S : E.statements())
      if (S.has_append())
        Entry.Values.push_back(S.append());
    // The first entry of a term has no statements. It is written after the term
    // was raised, so its time bounds the time of the raise.
    if (E.statements().empty())
      Raises.push_back({DatabaseName, Entry.At.Term, E.committed_us()});
    Log.Entries.push_back(std::move(Entry));
  }
  return Log;
}

/// Reads the log of the first upstream into \p Entries; whether the other logs
/// have the same length and last entry.
bool sameLogs(Fleet &F, std::vector<standin::v1::LogEntry> &Entries) {
  Entries = F.log(DatabaseName + "-1");
  for (const char *Suffix : {"-2", "-3"}) {
    auto Other = F.log(DatabaseName + Suffix);
    if (Other.size() != Entries.size() ||
        (!Other.empty() && Other.back().SerializeAsString() !=
                               Entries.back().SerializeAsString()))
      return false;
  }
  return true;
}

} // namespace

std::int64_t steadyMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

Topology scenarioTopology() {
  Topology T;
  T.Config = makeConfiguration({"d1", "d2", "d3", "d4"}, 1, 5);
  for (unsigned I = 0; I < 8; ++I)
    T.Proxies.push_back(
        {"p" + std::to_string(I + 1), "d" + std::to_string(1 + I % 4)});
  T.DomainDelayUs = 1500;
  return T;
}

std::string currentPrimary(Fleet &F) { return F.newestGroup().primary(); }

FullHistory runScenario(Fleet &F, const ScenarioOptions &Options,
                        const FaultSchedule &Faults) {
  Recorder Recorded;
  FullHistory H;
  std::atomic<bool> Stop{false};
  auto Until = std::chrono::steady_clock::now() + Options.Run;
  std::vector<std::thread> Threads;
  for (unsigned I = 0; I < Options.Sessions; ++I)
    Threads.emplace_back(
        [&, I] { SessionRun(F, I + 1, Options.Seed, Recorded).run(Until); });
  std::thread Sampler([&] { sampleVersions(F, Stop, H.Versions); });
  std::mt19937_64 Random(Options.Seed);
  Faults(F, Random);
  for (std::thread &T : Threads)
    T.join();
  Stop = true;
  Sampler.join();
  H.Operations = Recorded.take();

  std::vector<standin::v1::LogEntry> Entries;
  if (!eventually(15s, [&] { return sameLogs(F, Entries); }))
    throw std::runtime_error("the logs of the upstreams did not converge");
  H.Logs.push_back(finalLog(Entries, H.Raises));
  return H;
}

std::size_t acknowledgedSince(const FullHistory &H, std::int64_t FromMicros) {
  std::size_t Count = 0;
  for (const Operation &Op : H.Operations)
    Count += Op.Kind == OperationKind::Append &&
             Op.Outcome == OperationOutcome::Ok &&
             Op.ReturnedMicros >= FromMicros;
  return Count;
}

} // namespace eelgrassloom::fleet
