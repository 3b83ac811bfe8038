/// \file
/// One question to another proxy over a stream of its own.

#ifndef EELGRASSLOOM_CONTROL_PEERREQUEST_H
#define EELGRASSLOOM_CONTROL_PEERREQUEST_H

#include "engine/forward.h"

namespace eelgrassloom {

enum class PeerRequestOutcome : std::uint8_t {
  Answered,
  NotConnected,
  /// The stream ended, or carried something malformed.
  Broken,
  TimedOut,
};
inline constexpr std::array<std::string_view, 4> PeerRequestOutcomeNames = {
    "ok", "not-connected", "broken", "timed-out"};
constexpr std::string_view name(PeerRequestOutcome O) {
  return PeerRequestOutcomeNames[static_cast<std::size_t>(O)];
}

/// Times for connecting and for the whole question.
inline constexpr Duration PeerRequestDialTimeout =
    std::chrono::milliseconds(300);
inline constexpr Duration PeerRequestTimeout = std::chrono::milliseconds(1500);

using PeerRequestHandler = std::function<void(PeerRequestOutcome Outcome,
                                              const ForwardMessage *Answer)>;

/// \p Done runs exactly once, with an answer only if the outcome is Answered.
/// \p Hooks outlives the question.
void sendPeerRequest(const RuntimeHooks &Hooks, const PeerDialer &Dial,
                     const std::string &Address, const ForwardMessage &Request,
                     PeerRequestHandler Done);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_PEERREQUEST_H
