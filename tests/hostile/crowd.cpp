#include "crowd.h"
#include "answeringserver.h"
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace eelgrassloom::hostile {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t LongMessage = 1000000;
/// The crowd stops sending after this time without progress.
constexpr auto StallTime = 2s;
constexpr auto RoundPause = 5ms;
constexpr auto AnswerTime = 5s;

constexpr std::array<CrowdPlan, 7> Crowds = {{
    {"whole", 60, "START latest u\r\n", LongMessage, true, 1, "READ ",
     LongMessage},
    {"unended", 60, "START latest u\r\n", LongMessage, false, 1, "READ ",
     LongMessage},
    {"pieces", 60, "START latest u\r\n", LongMessage, true, 1, "READ ", 8192},
    {"ahead", 30, "START latest u\r\n", 900000, true, 60, "READ ", LongMessage},
    {"too-long", 20, "START latest u\r\n", 16 * LongMessage, false, 1, "READ ",
     LongMessage},
    {"half-start", 700, "START lat", 0, false, 0, "", 1},
    {"unread", 40, "START latest u\r\n", 0, true, 100, "READ large", 4096},
}};

int connectTo(std::uint16_t Port) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(Port);
  To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&To), sizeof To) == 0)
    return Socket;
  close(Socket);
  return -1;
}

std::string message(const CrowdPlan &Plan, std::size_t Number) {
  std::string Line =
      "QUERY id" + std::to_string(Number) + " " + std::string(Plan.Text);
  if (Line.size() < Plan.MessageBytes)
    Line.append(Plan.MessageBytes - Line.size(), 'x');
  return Plan.Ended ? Line + "\r\n" : Line;
}

} // namespace

const CrowdPlan *findCrowd(std::string_view Name) {
  auto It = std::find_if(Crowds.begin(), Crowds.end(),
                         [&](const CrowdPlan &P) { return P.Name == Name; });
  return It == Crowds.end() ? nullptr : &*It;
}

Crowd::Crowd(const CrowdPlan &Plan, std::uint16_t Port)
    : Plan(Plan), Bytes(Plan.Start), Members(Plan.Callers) {
  for (std::size_t I = 0; I < Plan.Messages; ++I)
    Bytes += message(Plan, I);
  for (Member &M : Members) {
    M.Socket = connectTo(Port);
    if (M.Socket >= 0)
      fcntl(M.Socket, F_SETFL, O_NONBLOCK);
  }
}

Crowd::~Crowd() {
  for (const Member &M : Members)
    if (M.Socket >= 0)
      close(M.Socket);
}

/// Returns true if bytes were sent.
bool Crowd::sendPiece(Member &M) {
  if (M.Socket < 0 || M.Sent == Bytes.size())
    return false;
  std::size_t Size = std::min(Plan.PieceBytes, Bytes.size() - M.Sent);
  ssize_t Sent = ::send(M.Socket, Bytes.data() + M.Sent, Size, MSG_NOSIGNAL);
  if (Sent < 0 && errno != EAGAIN) {
    close(M.Socket); // The proxy has closed the connection.
    M.Socket = -1;
  }
  if (Sent <= 0)
    return false;
  M.Sent += static_cast<std::size_t>(Sent);
  return true;
}

void Crowd::send(const std::function<void()> &Sample) {
  auto LastProgress = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - LastProgress < StallTime) {
    bool Progress = false;
    for (Member &M : Members)
      Progress = sendPiece(M) || Progress;
    if (Progress)
      LastProgress = std::chrono::steady_clock::now();
    Sample();
    std::this_thread::sleep_for(RoundPause);
  }
}

RequestResult requestOnce(std::uint16_t Port, std::size_t MessageBytes) {
  int Socket = connectTo(Port);
  if (Socket < 0)
    return RequestResult::Lost;
  timeval Timeout{std::chrono::seconds(AnswerTime).count(), 0};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof Timeout);
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Timeout, sizeof Timeout);
  std::string Line = "QUERY ordinary WRITE k ";
  Line.append(std::max(MessageBytes, Line.size() + 1) - Line.size(), 'v');
  std::string Out = "START latest u\r\n" + Line + "\r\n";
  std::size_t Sent = 0;
  while (Sent < Out.size()) {
    ssize_t N =
        ::send(Socket, Out.data() + Sent, Out.size() - Sent, MSG_NOSIGNAL);
    if (N <= 0)
      break;
    Sent += static_cast<std::size_t>(N);
  }
  std::string In;
  std::array<char, 4096> Buffer{};
  RequestResult Result = RequestResult::Lost;
  while (Result == RequestResult::Lost) {
    ssize_t N = recv(Socket, Buffer.data(), Buffer.size(), 0);
    if (N <= 0)
      break;
    In.append(Buffer.data(), static_cast<std::size_t>(N));
    if (In.find("\r\nDONE s") != std::string::npos)
      Result = RequestResult::Served;
    else if (In.find("ERR ") != std::string::npos)
      Result = RequestResult::Refused;
  }
  close(Socket);
  return Result;
}

} // namespace eelgrassloom::hostile
