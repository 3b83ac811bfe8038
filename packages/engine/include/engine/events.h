/// \file
/// Structured log: one JSON line for each event. Lines are buffered and each
/// kind of event is limited to a number of lines a second. The events are
/// numbered; docs/EVENTS.md lists them.

#ifndef EELGRASSLOOM_ENGINE_EVENTS_H
#define EELGRASSLOOM_ENGINE_EVENTS_H

#include "kernel/time.h"
#include <array>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace eelgrassloom {

enum class EngineEvent : std::uint16_t {
  Started,
  Stopping,
  Stopped,
  Reloaded,
  StopPhaseEntered,
  ConfigurationApplied,
  ConfigurationRead,
  ConfigurationAdvertised,
  ConfigurationRejected,
  ServersRead,
  StoreUnreachable,
  StoreReachable,
  StoreEraChanged,
  Isolated,
  Rejoined,
  ServerUnreachable,
  ServerReachable,
  ServerDraining,
  ServerRemoved,
  OwnerDisconnected,
  OwnerConnected,
  LeaseLost,
  LeaseGained,
  PrimaryChanged,
  RecordLost,
  RecordRestored,
  PromotionCandidate,
  PromotionLockAcquired,
  PromotionLockLost,
  RevocationStarted,
  RevocationAcknowledged,
  PromotionCalled,
  PromotionAnswered,
  ProxyEvicted,
  PromotionWaiting,
  LeasesEnded,
  PrimaryPublished,
  StatementDone,
  StatementRefused,
  StatementRetried,
  StatementUnknown,
  TransactionEnded,
  StatementForwarded,
  DatabaseRefused,
  StatementCut,
  CallerNotAuthorized,
  CallerOverLimit,
  InputRejected,
  LinesDropped,
  AnswerRejected,
  ServerDegraded,
  ServerRecovered,
  ServerPaceEnded,
};

/// Number and name of an event in the log, and how many of its lines are
/// written each second at most.
struct EngineEventKind {
  unsigned Number;
  std::string_view Name;
  unsigned LinesPerSecond;
};

/// Indexed by EngineEvent.
inline constexpr std::array<EngineEventKind, 53> EngineEventKinds = {{
    {100, "started", 10},
    {101, "stopping", 10},
    {102, "stopped", 10},
    {103, "reloaded", 10},
    {104, "stop-phase", 10},
    {110, "configuration-applied", 20},
    {111, "configuration-read", 20},
    {112, "configuration-heard", 20},
    {113, "configuration-rejected", 20},
    {114, "servers-read", 20},
    {120, "store-lost", 5},
    {121, "store-regained", 5},
    {124, "store-era-changed", 5},
    {122, "isolated", 5},
    {123, "rejoined", 5},
    {130, "server-unreachable", 20},
    {131, "server-reachable", 20},
    {132, "server-draining", 20},
    {133, "server-gone", 20},
    {134, "owner-lost", 20},
    {135, "owner-connected", 20},
    {140, "grant-lost", 20},
    {141, "grant-gained", 20},
    {142, "primary-changed", 20},
    {143, "record-lost", 20},
    {144, "record-restored", 20},
    {149, "promotion-candidate", 40},
    {150, "duty-taken", 5},
    {151, "duty-lost", 5},
    {152, "revocation-started", 20},
    {153, "revocation-acknowledged", 20},
    {154, "promotion-called", 20},
    {155, "promotion-answered", 20},
    {156, "proxy-evicted", 20},
    {157, "promotion-waiting", 20},
    {158, "permissions-ended", 20},
    {159, "primary-published", 20},
    {160, "statement-done", 40},
    {161, "statement-refused", 40},
    {162, "statement-retried", 40},
    {163, "statement-unknown", 40},
    {164, "transaction-ended", 40},
    {165, "statement-forwarded", 40},
    {166, "database-refused", 20},
    {167, "statement-cut", 40},
    {168, "caller-not-authorized", 20},
    {169, "caller-over-limit", 20},
    {170, "input-rejected", 20},
    {171, "lines-dropped", 1},
    {172, "answer-rejected", 20},
    {136, "server-degraded", 20},
    {137, "server-recovered", 20},
    {138, "server-pace-ended", 20},
}};

/// One field of a line: a key with a text or a number. Refers to the texts that
/// it is given; they must outlive it.
struct EventField {
  EventField(std::string_view Key, std::string_view Text)
      : Key(Key), Text(Text) {}
  EventField(std::string_view Key, const std::string &Text)
      : Key(Key), Text(Text) {}
  EventField(std::string_view Key, const char *Text) : Key(Key), Text(Text) {}
  EventField(std::string_view Key, std::uint64_t Number)
      : Key(Key), Number(static_cast<std::int64_t>(Number)), IsNumber(true) {}
  EventField(std::string_view Key, std::int64_t Number)
      : Key(Key), Number(Number), IsNumber(true) {}
  EventField(std::string_view Key, int Number)
      : Key(Key), Number(Number), IsNumber(true) {}
  EventField(std::string_view Key, unsigned Number)
      : Key(Key), Number(Number), IsNumber(true) {}
  /// Written in milliseconds.
  EventField(std::string_view Key, Duration Time)
      : Key(Key), Number(toMillis(Time)), IsNumber(true) {}

  std::string_view Key;
  std::string_view Text;
  std::int64_t Number = 0;
  bool IsNumber = false;
};

/// Formats and buffers lines until they are taken. Not thread-safe.
class EventWriter {
public:
  /// \p Node names this process in each line. \p WallMillis returns the time of
  /// a line in Unix milliseconds.
  EventWriter(std::string Node, std::function<std::int64_t()> WallMillis)
      : Node(std::move(Node)), WallMillis(std::move(WallMillis)) {}

  /// Adds a line, unless its kind has used up its lines of this second or the
  /// buffer is full. Dropped lines are counted and reported by a lines-dropped
  /// event in a later second.
  void write(EngineEvent Event, std::initializer_list<EventField> Fields);

  /// Returns and clears the buffered lines.
  std::string take();
  bool empty() const { return Buffer.empty(); }

private:
  bool admit(std::size_t Kind, std::int64_t Now);
  void append(EngineEvent Event, std::int64_t Now,
              std::initializer_list<EventField> Fields);

  std::string Node;
  std::function<std::int64_t()> WallMillis;
  std::string Buffer;
  std::int64_t Second = 0;
  std::array<unsigned, EngineEventKinds.size()> Used{};
  std::uint64_t Dropped = 0;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_ENGINE_EVENTS_H
