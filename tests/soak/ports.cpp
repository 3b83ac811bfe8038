#include "ports.h"

namespace eelgrassloom::soak {

using platform::error_code;
using platform::tcp;

namespace {

/// The range lies below the ephemeral ports of outgoing connections.
constexpr std::uint16_t FirstPort = 20000;
constexpr std::uint16_t LastPort = 30000;

/// Size of a block. A run takes ports only from blocks of its own, since runs
/// that start at the same time must not take each other's ports.
constexpr std::uint16_t BlockPorts = 100;

/// Binds a loopback port without listening; false if the port is in use.
bool bindPort(tcp::acceptor &A, std::uint16_t Port) {
  error_code Error;
  A.open(tcp::v4());
  A.bind({platform::asio::ip::make_address("127.0.0.1"), Port}, Error);
  if (Error)
    A.close();
  return !Error;
}

} // namespace

std::uint16_t PortAllocator::next() {
  while (true) {
    if (Next == End)
      takeBlock();
    if (++Next == End)
      continue;
    tcp::acceptor Probe(Loop);
    if (bindPort(Probe, Next))
      return Next;
  }
}

void PortAllocator::takeBlock() {
  tcp::acceptor Guard(Loop);
  Next = End == 0 || End >= LastPort ? FirstPort : End;
  while (!bindPort(Guard, Next))
    Next = Next + BlockPorts >= LastPort ? FirstPort : Next + BlockPorts;
  End = Next + BlockPorts;
  Guards.push_back(std::move(Guard));
}

} // namespace eelgrassloom::soak
