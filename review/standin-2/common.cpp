#include "common.h"
#include <cstdio>
#include <fstream>
#include <memory>
#include <vector>

namespace review {
namespace {

std::ofstream Record;
Instant OpenedAt;
/// Below the ephemeral ports of outgoing connections.
constexpr std::uint16_t FirstPort = 21000;
constexpr std::uint16_t LastPort = 31000;
constexpr std::uint16_t BlockPorts = 100;

/// Binds a port of 127.0.0.1 without listening; false if it is in use.
bool bindPort(tcp::acceptor &A, std::uint16_t Port) {
  error_code Error;
  A.open(tcp::v4());
  A.bind({asio::ip::make_address("127.0.0.1"), Port}, Error);
  if (Error)
    A.close();
  return !Error;
}

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
  // The first port of a block is kept bound, so that runs at the same time take
  // other blocks.
  // Never destroyed, because the loop ends before static objects do.
  static auto &Guards = *new std::vector<std::unique_ptr<tcp::acceptor>>();
  static std::uint16_t Next = 0;
  static std::uint16_t End = 0;
  while (true) {
    if (Next == End) {
      Next = Guards.empty() || End >= LastPort ? FirstPort : End;
      auto Guard = std::make_unique<tcp::acceptor>(Loop);
      while (!bindPort(*Guard, Next))
        Next = Next + BlockPorts >= LastPort ? FirstPort : Next + BlockPorts;
      End = Next + BlockPorts;
      Guards.push_back(std::move(Guard));
    }
    if (++Next == End)
      continue;
    tcp::acceptor Probe(Loop);
    if (bindPort(Probe, Next))
      return Next;
  }
}

} // namespace review
