#include "runtime/events.h"
#include "runtime/escape.h"
#include <algorithm>
#include <array>
#include <glog/logging.h>

namespace eelgrassloom {
namespace detail {

constexpr std::array Catalogue = {
    events::Started,
    events::Draining,
    events::Stopped,
    events::PauseDetected,
    events::ConfigurationAccepted,
    events::PlanStored,
    events::PlanConfirmed,
    events::PlanConflict,
    events::PlatformUnreachable,
    events::PlatformReachable,
    events::MemberAlive,
    events::MemberSuspect,
    events::MemberDead,
    events::MemberLeaving,
    events::PeerMessageDropped,
    events::UpstreamSuspected,
    events::UpstreamRecovered,
    events::ConnectionReplaced,
    events::UpstreamLeaving,
    events::OwnershipChanged,
    events::PrimaryUnreachable,
    events::ElectionStarted,
    events::ElectionLost,
    events::TermRaised,
    events::PrimaryPromoted,
    events::GroupAccepted,
    events::RequestRefused,
    events::RequestUnknown,
    events::RequestRetried,
    events::RequestRouted,
    events::PositionLost,
    events::TransactionRolledBack,
    events::WriteNotConfirmed,
    events::AnswerDropped,
};

/// Texts of events are cut to this size, because they are kept in memory and
/// may contain what a caller sent. Longer than any valid request id or name.
constexpr std::size_t MaxTextBytes = 512;

std::string cut(std::string Text) {
  if (Text.size() > MaxTextBytes)
    Text.resize(MaxTextBytes);
  return Text;
}

EventSubject cut(EventSubject S) {
  return {cut(std::move(S.Database)), cut(std::move(S.Upstream)),
          cut(std::move(S.RequestId)), cut(std::move(S.Session)),
          cut(std::move(S.Plan))};
}

void append(std::string &Line, const char *Key, const std::string &Value) {
  if (!Value.empty())
    Line += std::string(" ") + Key + "=" + escapeWord(Value);
}

std::string format(const EventRecord &R) {
  std::string Line =
      "E" + std::to_string(R.Kind.Number) + " " + std::string(R.Kind.Name);
  append(Line, "database", R.Subject.Database);
  append(Line, "upstream", R.Subject.Upstream);
  append(Line, "request", R.Subject.RequestId);
  append(Line, "session", R.Subject.Session);
  append(Line, "plan", R.Subject.Plan);
  if (!R.Text.empty())
    Line += ": " + escapeText(R.Text);
  return Line;
}

void log(const EventRecord &R) {
  switch (R.Kind.Level) {
  case Severity::Debug:
    VLOG(1) << format(R);
    break;
  case Severity::Info:
    LOG(INFO) << format(R);
    break;
  case Severity::Warning:
    LOG(WARNING) << format(R);
    break;
  case Severity::Error:
    LOG(ERROR) << format(R);
    break;
  }
}

bool matches(const std::string &Wanted, const std::string &Value) {
  return Wanted.empty() || Wanted.substr(0, MaxTextBytes) == Value ||
         Wanted == escapeWord(Value);
}

bool matches(const EventFilter &F, const EventRecord &R) {
  return matches(F.Database, R.Subject.Database) &&
         matches(F.RequestId, R.Subject.RequestId) &&
         matches(F.Session, R.Subject.Session) &&
         matches(F.Plan, R.Subject.Plan);
}

} // namespace detail

std::span<const EventKind> eventCatalogue() { return detail::Catalogue; }

std::shared_ptr<EventLog> EventLog::create(std::shared_ptr<Clock> Time,
                                           std::size_t Capacity) {
  return std::shared_ptr<EventLog>(new EventLog(std::move(Time), Capacity));
}

void EventLog::record(const EventKind &Kind, EventSubject Subject,
                      std::string Text) {
  EventRecord R{Kind, Time->wallMicros(), detail::cut(std::move(Subject)),
                detail::cut(std::move(Text))};
  detail::log(R);
  std::lock_guard<std::mutex> Lock(Mutex);
  Records.push_back(std::move(R));
  if (Records.size() > Capacity)
    Records.pop_front();
}

std::vector<EventRecord> EventLog::select(const EventFilter &Filter) const {
  std::vector<EventRecord> Found;
  std::lock_guard<std::mutex> Lock(Mutex);
  for (auto It = Records.rbegin();
       It != Records.rend() && Found.size() < Filter.Limit; ++It)
    if (detail::matches(Filter, *It))
      Found.push_back(*It);
  std::reverse(Found.begin(), Found.end());
  return Found;
}

} // namespace eelgrassloom
