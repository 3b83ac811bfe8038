/// \file
/// Allocates loopback ports for the processes of one run.

#ifndef EELGRASSLOOM_SOAK_PORTS_H
#define EELGRASSLOOM_SOAK_PORTS_H

#include "net.h"
#include <vector>

namespace eelgrassloom::soak {

/// Allocates ports in blocks. The first port of each block stays bound, which
/// keeps concurrent runs from taking ports of the same block.
class PortAllocator {
public:
  explicit PortAllocator(platform::asio::io_context &Loop) : Loop(Loop) {}

  /// Returns a port of an owned block that is free at the time of the call.
  std::uint16_t next();

private:
  void takeBlock();

  platform::asio::io_context &Loop;
  std::vector<platform::tcp::acceptor> Guards;
  std::uint16_t Next = 0;
  std::uint16_t End = 0;
};

} // namespace eelgrassloom::soak

#endif // EELGRASSLOOM_SOAK_PORTS_H
