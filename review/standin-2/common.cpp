#include "common.h"
#include <cstdio>
#include <fstream>

namespace review {
namespace {

std::ofstream Record;
Instant OpenedAt;
/// Below the ephemeral ports of outgoing connections.
constexpr std::uint16_t FirstPort = 21000;
constexpr std::uint16_t LastPort = 31000;

} // namespace

void runAfter(asio::io_context &Loop, Duration D, std::function<void()> Run) {
  auto Timer = std::make_shared<asio::steady_timer>(Loop, D);
  Timer->async_wait([Timer, Run = std::move(Run)](error_code Error) {
    if (!Error)
      Run();
  });
}

void openRecord(const std::string &Directory) {
  Record.open(Directory + "/record.txt", std::ios::trunc);
  OpenedAt = now();
}

double seconds(Instant At) {
  return std::chrono::duration<double>(At - OpenedAt).count();
}

std::string secondsText(Instant At) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.3f", seconds(At));
  return Text;
}

void record(const std::string &Line) {
  Record << secondsText(now()) << ' ' << Line << '\n' << std::flush;
}

std::uint16_t freePort(asio::io_context &Loop) {
  static std::uint16_t Next = static_cast<std::uint16_t>(
      FirstPort + (Clock::now().time_since_epoch().count() / 1000) % 9000);
  while (true) {
    Next = Next + 1 >= LastPort ? FirstPort : Next + 1;
    tcp::acceptor Probe(Loop);
    error_code Error;
    Probe.open(tcp::v4());
    Probe.bind({asio::ip::make_address("127.0.0.1"), Next}, Error);
    if (!Error)
      return Next;
  }
}

} // namespace review
