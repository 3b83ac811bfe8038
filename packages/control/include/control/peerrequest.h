/// \file
/// One question to another proxy over a stream of its own.

#ifndef EELGRASSLOOM_CONTROL_PEERREQUEST_H
#define EELGRASSLOOM_CONTROL_PEERREQUEST_H

#include "engine/forward.h"

namespace eelgrassloom {

enum class AskOutcome : std::uint8_t {
  Answered,
  NotConnected,
  /// The stream ended, or carried something malformed.
  Broken,
  TimedOut,
};
inline constexpr std::array<std::string_view, 4> AskOutcomeNames = {
    "ok", "not-connected", "broken", "timed-out"};
constexpr std::string_view name(AskOutcome O) {
  return AskOutcomeNames[static_cast<std::size_t>(O)];
}

/// Times for connecting and for the whole question.
inline constexpr Duration AskDialTimeout = std::chrono::milliseconds(300);
inline constexpr Duration AskTimeout = std::chrono::milliseconds(1500);

using AskHandler =
    std::function<void(AskOutcome Outcome, const ForwardMessage *Answer)>;

/// \p Done runs exactly once, with an answer only if the outcome is Answered.
/// \p Host outlives the question.
void askProxy(const Runtime &Host, const PeerDialer &Dial,
              const std::string &Address, const ForwardMessage &Question,
              AskHandler Done);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_PEERREQUEST_H
