#include "ports.h"

namespace eelgrassloom::soak {

using platform::error_code;
using platform::tcp;

namespace {

/// Below the ports that the system gives to outgoing connections.
constexpr std::uint16_t FirstPort = 20000;
constexpr std::uint16_t LastPort = 30000;

/// Ports of one run; runs that start together must not take those of another.
constexpr std::uint16_t BlockPorts = 100;

/// Binds a port of the loopback address, but does not listen. False: it is in
/// use.
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
