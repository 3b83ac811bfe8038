/// \file
/// One request to another proxy over a stream of its own. Used to read the
/// configuration and the list of servers from another proxy.

#ifndef EELGRASSLOOM_CONTROL_PEERREQUEST_H
#define EELGRASSLOOM_CONTROL_PEERREQUEST_H

#include "engine/forward.h"

namespace eelgrassloom {

enum class PeerRequestOutcome : std::uint8_t {
  Answered,
  NotConnected,
  /// The stream was closed, or carried a malformed message.
  Broken,
  TimedOut,
};
inline constexpr std::array<std::string_view, 4> PeerRequestOutcomeNames = {
    "ok", "not-connected", "broken", "timed-out"};
constexpr std::string_view name(PeerRequestOutcome O) {
  return PeerRequestOutcomeNames[static_cast<std::size_t>(O)];
}

/// Timeouts of the connection attempt and of the whole request.
inline constexpr Duration PeerRequestDialTimeout =
    std::chrono::milliseconds(300);
inline constexpr Duration PeerRequestTimeout = std::chrono::milliseconds(1500);

using PeerRequestHandler = std::function<void(PeerRequestOutcome Outcome,
                                              const ForwardMessage *Answer)>;

/// Sends \p Request to the proxy at \p Address. \p Done runs exactly once, with
/// an answer only if the outcome is Answered. \p Hooks must outlive the
/// request.
void sendPeerRequest(const RuntimeHooks &Hooks, const PeerDialer &Dial,
                     const std::string &Address, const ForwardMessage &Request,
                     PeerRequestHandler Done);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_PEERREQUEST_H
