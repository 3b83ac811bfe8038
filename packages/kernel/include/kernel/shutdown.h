/// \file
/// Phases of an orderly stop. Every request that the proxy has read is answered
/// before its process ends, so what can't be finished in time is refused while
/// the caller can still send it elsewhere.

#ifndef EELGRASSLOOM_KERNEL_SHUTDOWN_H
#define EELGRASSLOOM_KERNEL_SHUTDOWN_H

#include "kernel/time.h"
#include <array>
#include <cstdint>
#include <string_view>

namespace eelgrassloom {

/// What a stopping proxy still does. Each phase adds a restriction to those
/// before it.
enum class StopPhase : std::uint8_t {
  /// It serves as before: the load balancer still sends new callers.
  Serving,
  /// Idle sessions are ended.
  ClosingIdle,
  /// Open transactions are rolled back between two statements, and none is
  /// begun.
  EndingTransactions,
  /// No statement is begun.
  Refusing,
  /// Statements in progress are answered with what is known of them, and the
  /// process ends.
  Ending,
};
inline constexpr std::array<std::string_view, 5> StopPhaseNames = {
    "serving", "closing-idle", "ending-transactions", "refusing", "ending"};
constexpr std::string_view name(StopPhase P) {
  return StopPhaseNames[static_cast<std::size_t>(P)];
}

struct StopOptions {
  /// Time from the request to stop until the process is killed.
  Duration Grace = std::chrono::seconds(6);
  /// Time after which a proxy that is not ready receives no new callers: the
  /// load balancer keeps sending them until two readiness probes have failed.
  Duration BalancerDelay = std::chrono::milliseconds(2200);
  /// Fraction of the grace period in which callers may finish their open
  /// transactions.
  double TransactionGraceShare = 0.5;
  /// Time before the end in which no statement is begun, so that those in
  /// progress can finish.
  Duration LastStatementTime = std::chrono::milliseconds(1000);
  /// Time at the end of the grace period that is reserved for the last answers
  /// and the deregistration from the store.
  Duration DeregistrationTime = std::chrono::milliseconds(900);
};

/// The phase \p Passed after the request to stop. If the grace period is too
/// short for all phases, the last ones keep their time.
StopPhase stopPhase(const StopOptions &Options, Duration Passed);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_SHUTDOWN_H
