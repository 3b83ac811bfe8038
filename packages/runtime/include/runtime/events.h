/// \file
/// Numbered events of the proxy. Each event is logged and kept in a ring buffer
/// for the timeline. docs/EVENTS.md lists the catalogue.

#ifndef EELGRASSLOOM_RUNTIME_EVENTS_H
#define EELGRASSLOOM_RUNTIME_EVENTS_H

#include "runtime/clock.h"
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassloom {

enum class Severity : std::uint8_t { Debug, Info, Warning, Error };

/// One entry of the event catalogue.
struct EventKind {
  unsigned Number;
  std::string_view Name;
  Severity Level;
  std::string_view Description;
};

namespace events {
inline constexpr EventKind Started{1, "started", Severity::Info,
                                   "The proxy accepts callers."};
inline constexpr EventKind Draining{
    2, "draining", Severity::Info,
    "The proxy refuses new work and finishes work in progress."};
inline constexpr EventKind Stopped{3, "stopped", Severity::Info,
                                   "All work in progress is finished."};
inline constexpr EventKind PauseDetected{
    4, "pause-detected", Severity::Warning,
    "The process stood still; cached state older than the pause is discarded."};
inline constexpr EventKind ConfigurationAccepted{
    10, "configuration-accepted", Severity::Info,
    "A newer configuration is in force."};
inline constexpr EventKind PlanStored{11, "plan-stored", Severity::Info,
                                      "A plan waits for its confirmation."};
inline constexpr EventKind PlanConfirmed{
    12, "plan-confirmed", Severity::Info,
    "A plan became the next configuration."};
inline constexpr EventKind PlanConflict{
    13, "plan-conflict", Severity::Warning,
    "A plan was not applied because another one was accepted first."};
inline constexpr EventKind PlatformUnreachable{
    20, "platform-unreachable", Severity::Warning,
    "Calls to the platform fail; serving continues with known state."};
inline constexpr EventKind PlatformReachable{
    21, "platform-reachable", Severity::Info, "The platform answers again."};
inline constexpr EventKind MemberAlive{30, "member-alive", Severity::Info,
                                       "A proxy joined or is alive again."};
inline constexpr EventKind MemberSuspect{
    31, "member-suspect", Severity::Warning,
    "A proxy does not answer direct and indirect probes."};
inline constexpr EventKind MemberDead{
    32, "member-dead", Severity::Warning,
    "A suspected proxy did not refute the suspicion."};
inline constexpr EventKind MemberLeaving{33, "member-leaving", Severity::Info,
                                         "A proxy announced that it drains."};
inline constexpr EventKind PeerMessageDropped{
    34, "peer-message-dropped", Severity::Warning,
    "A malformed or foreign message, or one of another version, was dropped."};
inline constexpr EventKind UpstreamSuspected{
    40, "upstream-suspected", Severity::Warning,
    "New connections to an upstream fail."};
inline constexpr EventKind UpstreamRecovered{
    41, "upstream-recovered", Severity::Info,
    "A new connection to a suspected upstream works."};
inline constexpr EventKind ConnectionReplaced{
    42, "connection-replaced", Severity::Warning,
    "A connection missed the deadline of an exchange and was closed."};
inline constexpr EventKind UpstreamLeaving{
    43, "upstream-leaving", Severity::Info,
    "An upstream receives no new work because it is leaving."};
inline constexpr EventKind OwnershipChanged{
    44, "ownership-changed", Severity::Info,
    "This proxy took or gave up the ownership of an upstream."};
inline constexpr EventKind PrimaryUnreachable{
    50, "primary-unreachable", Severity::Warning,
    "The failover tolerance of a primary has passed."};
inline constexpr EventKind ElectionStarted{
    51, "election-started", Severity::Warning,
    "This proxy won a term and starts a promotion."};
inline constexpr EventKind ElectionLost{
    52, "election-lost", Severity::Info,
    "Another proxy won the term, or the attempt was abandoned."};
inline constexpr EventKind TermRaised{
    53, "term-raised", Severity::Info,
    "A majority of the upstreams rejects lower terms."};
inline constexpr EventKind PrimaryPromoted{
    54, "primary-promoted", Severity::Warning, "An upstream became primary."};
inline constexpr EventKind GroupAccepted{55, "group-accepted", Severity::Info,
                                         "A newer group record is in force."};
inline constexpr EventKind RequestRefused{
    60, "request-refused", Severity::Debug,
    "A request was answered as refused, not run."};
inline constexpr EventKind RequestUnknown{
    61, "request-unknown", Severity::Warning,
    "A request was answered as unknown: it may have run."};
inline constexpr EventKind RequestRetried{
    62, "request-retried", Severity::Debug,
    "An attempt that did not run was repeated at another upstream."};
inline constexpr EventKind RequestRouted{
    63, "request-routed", Severity::Debug,
    "An upstream was chosen for a request."};
inline constexpr EventKind PositionLost{
    64, "position-lost", Severity::Warning,
    "A session has seen a write that a failover lost."};
inline constexpr EventKind TransactionRolledBack{
    65, "transaction-rolled-back", Severity::Info,
    "A transaction was abandoned, or its connection was lost."};
inline constexpr EventKind WriteNotConfirmed{
    66, "write-not-confirmed", Severity::Warning,
    "A write ran but was not confirmed, so it was answered as unknown."};
inline constexpr EventKind AnswerDropped{
    67, "answer-dropped", Severity::Info,
    "A late answer matched no exchange in progress."};
} // namespace events

/// All kinds of events, ordered by number.
std::span<const EventKind> eventCatalogue();

/// The things that an event is about; fields that do not apply are empty.
struct EventSubject {
  std::string Database;
  std::string Upstream;
  std::string RequestId;
  std::string Session;
  std::string Plan;
};

/// An event that occurred.
struct EventRecord {
  EventKind Kind;
  /// Microseconds since 1970.
  std::int64_t AtMicros = 0;
  EventSubject Subject;
  /// Details in words; may be empty.
  std::string Text;
};

/// Selects events whose subject has these values, as they are or as escapeWord
/// prints them; empty fields match all.
struct EventFilter {
  std::string Database;
  std::string RequestId;
  std::string Session;
  std::string Plan;
  /// Maximum number of events to return.
  std::size_t Limit = 1000;
};

/// Thread-safe ring buffer of the latest events of this process.
class EventLog {
public:
  /// Keeps the latest \p Capacity events. \p Time is the clock for their times.
  static std::shared_ptr<EventLog> create(std::shared_ptr<Clock> Time,
                                          std::size_t Capacity);

  /// Logs the event and stores it for the timeline. Texts may have any bytes.
  void record(const EventKind &Kind, EventSubject Subject, std::string Text);

  /// The latest matching events, oldest first.
  std::vector<EventRecord> select(const EventFilter &Filter) const;

private:
  EventLog(std::shared_ptr<Clock> Time, std::size_t Capacity)
      : Time(std::move(Time)), Capacity(Capacity) {}

  std::shared_ptr<Clock> Time;
  std::size_t Capacity;
  mutable std::mutex Mutex;
  std::deque<EventRecord> Records;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_RUNTIME_EVENTS_H
