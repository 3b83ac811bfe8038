/// \file
/// Crowds of callers that do not behave. Their connections stay open until the
/// crowd is destroyed.

#ifndef EELGRASSLOOM_HOSTILE_CROWD_H
#define EELGRASSLOOM_HOSTILE_CROWD_H

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassloom::hostile {

/// What the callers of a crowd send.
struct CrowdPlan {
  std::string_view Name;
  std::size_t Callers = 0;
  /// Sent first by each caller; its answer is not waited for.
  std::string_view Start = "START latest u\r\n";
  /// Length of one message, whether it has an end, and how many follow.
  std::size_t MessageBytes = 0;
  bool Ended = true;
  std::size_t Messages = 1;
  /// Text of each message behind its id.
  std::string_view Text = "READ ";
  /// Bytes that each caller sends in its turn.
  std::size_t PieceBytes = std::size_t{1} << 20;
};

/// Null if there is no crowd of this name.
const CrowdPlan *findCrowd(std::string_view Name);

class Crowd {
public:
  Crowd(const CrowdPlan &Plan, std::uint16_t Port);
  ~Crowd();
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;

  /// Sends until everything is sent, or until no caller gets rid of a byte for
  /// a while. Calls \p Sample again and again. The answers are never read.
  void send(const std::function<void()> &Sample);

private:
  struct Member {
    int Socket = -1;
    std::size_t Sent = 0;
  };
  bool sendPiece(Member &M);

  const CrowdPlan &Plan;
  std::string Bytes;
  std::vector<Member> Members;
};

/// Result of one request.
enum class RequestResult : std::uint8_t { Served, Refused, Lost };
/// Opens a session and runs one write with a message of \p MessageBytes.
RequestResult requestOnce(std::uint16_t Port, std::size_t MessageBytes);

} // namespace eelgrassloom::hostile

#endif // EELGRASSLOOM_HOSTILE_CROWD_H
