// The databases that the soak adds and removes, and the probes for them.

#include "standins.h"
#include <algorithm>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <istream>

namespace eelgrassloom::soak {

using namespace std::chrono_literals;

namespace {

/// Number of added databases that exist at the same time.
constexpr std::size_t CurrentRoutes = 3;
/// Number of latest added databases that are probed, removed ones included.
constexpr std::size_t ProbedRoutes = 6;
constexpr Duration StartTimeout = 1500ms;

/// A connection that starts a session to learn whether a database is known.
struct StartProbe {
  explicit StartProbe(io_context &Loop) : Socket(Loop), Timer(Loop) {}

  void finish(StartResult Answer) {
    auto Handler = std::move(Done);
    Done = nullptr;
    Timer.cancel();
    error_code Ignored; // The socket isn't used again.
    Socket.close(Ignored);
    if (Handler)
      Handler(Answer);
  }

  tcp::socket Socket;
  platform::asio::steady_timer Timer;
  platform::asio::streambuf Input;
  std::string Output;
  std::function<void(StartResult)> Done;
};

StartResult parseStartResult(platform::asio::streambuf &Input) {
  std::istream Line(&Input);
  std::string Word;
  std::string Code;
  Line >> Word >> Code;
  if (Word == "READY")
    return StartResult::Known;
  return Word == "ERR" && Code == "NODB" ? StartResult::Unknown
                                         : StartResult::Other;
}

} // namespace

void ProbeRoutes::add(Instant At) {
  All.push_back({"added-" + std::to_string(All.size()), At});
  if (All.size() > CurrentRoutes)
    All[All.size() - 1 - CurrentRoutes].RemovedAt = At;
}

std::vector<std::string> ProbeRoutes::current() const {
  std::vector<std::string> Names;
  for (const ProbeRoute &R : All)
    if (R.RemovedAt == Instant::max())
      Names.push_back(R.Database);
  return Names;
}

bool ProbeRoutes::exists(const std::string &Database) const {
  std::vector<std::string> Names = current();
  return std::find(Names.begin(), Names.end(), Database) != Names.end();
}

std::optional<std::pair<std::string, bool>>
ProbeRoutes::pick(Instant At, std::mt19937_64 &Random) {
  if (All.empty())
    return std::nullopt;
  std::size_t Back = Random() % std::min(All.size(), ProbedRoutes);
  const ProbeRoute &R = All[All.size() - 1 - Back];
  if (R.RemovedAt <= At)
    return std::pair(R.Database, false);
  if (R.AddedAt <= At && R.RemovedAt == Instant::max())
    return std::pair(R.Database, true);
  return std::nullopt; // Either answer is right while a change spreads.
}

void probeDatabase(io_context &Loop, std::uint16_t Port,
                   const std::string &Database,
                   std::function<void(StartResult)> Done) {
  auto S = std::make_shared<StartProbe>(Loop);
  S->Done = std::move(Done);
  S->Output = "START " + Database + " probe\r\n";
  S->Timer.expires_after(StartTimeout);
  S->Timer.async_wait([S](error_code Error) {
    if (!Error)
      S->finish(StartResult::Other);
  });
  tcp::endpoint To(platform::asio::ip::make_address("127.0.0.1"), Port);
  S->Socket.async_connect(To, [S](error_code Error) {
    if (Error) {
      S->finish(StartResult::Other);
      return;
    }
    error_code Ignored; // A broken socket also fails the read below.
    platform::asio::write(S->Socket, platform::asio::buffer(S->Output),
                          Ignored);
    platform::asio::async_read_until(
        S->Socket, S->Input, "\r\n", [S](error_code Failed, std::size_t) {
          S->finish(Failed ? StartResult::Other : parseStartResult(S->Input));
        });
  });
}

} // namespace eelgrassloom::soak
