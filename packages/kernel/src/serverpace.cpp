#include "kernel/serverpace.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// A server is degraded above this ratio of its times to those of its siblings.
constexpr double DegradedRatio = 3;
/// An answer is slow above this ratio to the siblings' times; a pace is halved
/// then. The margin covers the spread of the work of single statements, and
/// that the limits of all proxies together exceed the slots.
constexpr double SlowRatio = 2;
/// Weight of a new sample in a mean, and upper bound of the sample as a
/// multiple of the mean. With the bound, three slow answers do not exceed
/// DegradedRatio, so that one pause of a server does not count as degradation.
constexpr double SampleWeight = 1.0 / 8;
constexpr double MaxSampleFactor = 4;
/// A server that fails more than one in this many statements is degraded.
constexpr unsigned FailureDivisor = 5;
/// Fewer outcomes than this tell nothing about the share of failures.
constexpr unsigned MinOutcomes = 8;
/// Failures are counted in this window and the one before it.
constexpr Duration OutcomeWindow = std::chrono::seconds(2);
/// Times of a sibling are comparable for this long.
constexpr Duration MaxTimeAge = std::chrono::seconds(3);
/// Slowness within this time after a refusal as overloaded comes from the load.
constexpr Duration BusyTime = std::chrono::seconds(1);
/// Successful trials in a row after which a server is no longer degraded. The
/// number doubles if the server was degraded shortly before: a server that
/// fails a third of its statements often passes three trials.
constexpr unsigned MinTrials = 3;
constexpr unsigned MaxTrials = 12;
constexpr Duration RelapseTime = std::chrono::seconds(10);

void rollWindow(ServerPace &Server, Instant Now) {
  Duration Age = Now - Server.WindowStart;
  if (Age < OutcomeWindow)
    return;
  Server.Previous = Age < 2 * OutcomeWindow ? Server.Current : OutcomeCounts();
  Server.Current = {};
  Server.WindowStart = Now;
}

void count(ServerPace &Server, bool Failed, Instant Now) {
  rollWindow(Server, Now);
  ++Server.Current.Total;
  Server.Current.Failures += Failed ? 1 : 0;
}

bool failsTooOften(const ServerPace &Server) {
  unsigned Total = Server.Current.Total + Server.Previous.Total;
  unsigned Failures = Server.Current.Failures + Server.Previous.Failures;
  return Total >= MinOutcomes && Failures * FailureDivisor > Total;
}

double smooth(double Mean, double Sample) {
  double Bounded = std::min(Sample, MaxSampleFactor * Mean);
  return Mean + (Bounded - Mean) * SampleWeight;
}

void addTime(WorkloadTime &Time, Duration Sample, Instant SentAt) {
  Time.Last = std::max(Sample, Duration(1));
  Time.LastSentAt = SentAt;
  Time.Mean = Time.Mean == Duration::zero()
                  ? Time.Last
                  : Duration(static_cast<Duration::rep>(
                        smooth(static_cast<double>(Time.Mean.count()),
                               static_cast<double>(Time.Last.count()))));
}

/// Median of the times of the workload at the siblings, of two the longer one:
/// one sibling that is unusually fast must not make all others look slow. Empty
/// if none has run the workload lately. With \p Since only siblings count that
/// have answered a statement sent since then.
std::optional<Duration>
siblingTime(const std::vector<const ServerPace *> &Siblings, Priority P,
            Instant Now, std::optional<Instant> Since) {
  std::vector<Duration> Usual;
  for (const ServerPace *Sibling : Siblings) {
    const WorkloadTime &Time = Sibling->Times[index(P)];
    if (Sibling->Degraded || Time.Mean == Duration::zero() ||
        Now - Time.LastSentAt > MaxTimeAge ||
        (Since && Time.LastSentAt < *Since))
      continue;
    Usual.push_back(Since ? std::max(Time.Mean, Time.Last) : Time.Mean);
  }
  if (Usual.empty())
    return std::nullopt;
  auto Middle = Usual.begin() + static_cast<std::ptrdiff_t>(Usual.size() / 2);
  std::nth_element(Usual.begin(), Middle, Usual.end());
  return *Middle;
}

/// Ratio of the time of an answer to that of the siblings.
std::optional<double>
ratioToSiblings(const ServerAnswer &Answer,
                const std::vector<const ServerPace *> &Siblings,
                std::optional<Instant> Since) {
  if (Answer.Outcome != ServerOutcome::Answered || !Answer.Comparable)
    return std::nullopt;
  auto Usual =
      siblingTime(Siblings, Answer.WorkPriority, Answer.EndedAt, Since);
  if (!Usual)
    return std::nullopt;
  return static_cast<double>((Answer.EndedAt - Answer.SentAt).count()) /
         static_cast<double>(Usual->count());
}

/// Adds an answer to the slowness. While the server is slow, only siblings
/// count that have answered a statement sent since, with their latest time if
/// that is longer: if all servers become slow together, the one that answers
/// first would be taken for degraded otherwise.
void updateSlowness(ServerPace &Server, const ServerAnswer &Answer,
                    const std::vector<const ServerPace *> &Siblings,
                    std::optional<double> Ratio) {
  if (!Ratio)
    return;
  if (*Ratio > SlowRatio) {
    if (!Server.SlowSince)
      Server.SlowSince = Answer.SentAt;
    Ratio = ratioToSiblings(Answer, Siblings, Server.SlowSince);
  } else {
    Server.SlowSince.reset();
  }
  if (Ratio)
    Server.Slowness = smooth(Server.Slowness, *Ratio);
}

/// At most half of the servers are taken out of use. The others would be
/// overloaded otherwise.
bool mayDegrade(const std::vector<const ServerPace *> &Siblings) {
  auto Degraded = static_cast<std::size_t>(
      std::count_if(Siblings.begin(), Siblings.end(),
                    [](const ServerPace *S) { return S->Degraded; }));
  return Degraded + 1 <= (Siblings.size() + 1) / 2;
}

void degrade(ServerPace &Server, Instant Now) {
  bool Relapse = Server.RecoveredAt && Now - *Server.RecoveredAt < RelapseTime;
  Server.TrialsNeeded =
      Relapse ? std::min(MaxTrials, 2 * Server.TrialsNeeded) : MinTrials;
  Server.Degraded = true;
  Server.DegradedAt = Now;
  Server.NextTrial = Now + TrialInterval;
  Server.GoodTrials = 0;
}

/// Evaluates an answer of a degraded server. Returns true if the server has
/// recovered.
bool evaluateTrial(ServerPace &Server, const ServerAnswer &Answer,
                   std::optional<double> Ratio) {
  if (Answer.SentAt < Server.DegradedAt)
    return false;
  if (Answer.Outcome != ServerOutcome::Answered ||
      (Ratio && *Ratio > SlowRatio)) {
    Server.GoodTrials = 0;
    return false;
  }
  // Other statements, such as writes on a primary, tell nothing about speed.
  if (!Answer.Comparable || ++Server.GoodTrials < Server.TrialsNeeded)
    return false;
  beginPace(Server, Answer.EndedAt);
  Server.RecoveredAt = Answer.EndedAt;
  return true;
}

/// Adapts the limit of a pace. Returns true if the pace has ended.
bool adaptLimit(ServerPace &Server, const ServerAnswer &Answer,
                std::optional<double> Ratio, unsigned NormalLimit) {
  bool Good = Answer.Outcome == ServerOutcome::Answered;
  if (!Good || (Ratio && *Ratio > SlowRatio)) {
    if (Answer.SentAt < Server.HalvedAt)
      return false;
    Server.Limit = std::max(1U, *Server.Limit / 2);
    Server.HalvedAt = Answer.EndedAt;
    return false;
  }
  // Without siblings to compare with, every answer counts as fast. One more for
  // each answer doubles the limit with each round of answers.
  if (++*Server.Limit < NormalLimit)
    return false;
  Server.Limit.reset();
  return true;
}

} // namespace detail

void beginPace(ServerPace &Server, Instant Now) {
  ServerPace Fresh;
  Fresh.WindowStart = Now;
  Fresh.HalvedAt = Now;
  Fresh.Limit = 1;
  Fresh.TrialsNeeded = Server.TrialsNeeded;
  Fresh.RecoveredAt = Server.RecoveredAt;
  Server = Fresh;
}

void recordHandshakeFailure(ServerPace &Server, Instant Now) {
  detail::count(Server, true, Now);
}

PaceChange recordAnswer(ServerPace &Server, const ServerAnswer &Answer,
                        const std::vector<const ServerPace *> &Siblings,
                        unsigned NormalLimit) {
  Instant Now = Answer.EndedAt;
  bool Refused = Answer.Outcome == ServerOutcome::Refused;
  if (Refused)
    Server.RefusedAt = Now;
  else
    detail::count(Server, Answer.Outcome == ServerOutcome::Failed, Now);
  auto Ratio = detail::ratioToSiblings(Answer, Siblings, std::nullopt);
  if (Answer.Outcome == ServerOutcome::Answered && Answer.Comparable)
    detail::addTime(Server.Times[index(Answer.WorkPriority)],
                    Now - Answer.SentAt, Answer.SentAt);
  if (Server.Degraded && detail::evaluateTrial(Server, Answer, Ratio))
    return PaceChange::Recovered;
  bool Busy = Server.RefusedAt && Now - *Server.RefusedAt < detail::BusyTime;
  if (Busy)
    Server.Slowness = 1;
  else
    detail::updateSlowness(Server, Answer, Siblings, Ratio);
  if (!Server.Degraded &&
      (Server.Slowness > detail::DegradedRatio ||
       detail::failsTooOften(Server)) &&
      detail::mayDegrade(Siblings)) {
    detail::degrade(Server, Now);
    return PaceChange::Degraded;
  }
  // A degraded primary runs writes, and its pace goes on.
  if (Server.Limit && detail::adaptLimit(Server, Answer, Ratio, NormalLimit))
    return PaceChange::PaceEnded;
  return PaceChange::None;
}

unsigned pacedLimit(const ServerPace &Server, unsigned NormalLimit) {
  return Server.Limit ? std::min(*Server.Limit, NormalLimit) : NormalLimit;
}

bool trialDue(const ServerPace &Server, Instant Now) {
  return Server.Degraded && Now >= Server.NextTrial;
}

void recordTrial(ServerPace &Server, Instant Now) {
  Server.NextTrial = Now + TrialInterval;
}

} // namespace eelgrassloom
