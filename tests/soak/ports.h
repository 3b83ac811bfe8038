/// \file
/// Ports of the loopback address for the processes of one run.

#ifndef EELGRASSLOOM_SOAK_PORTS_H
#define EELGRASSLOOM_SOAK_PORTS_H

#include "net.h"
#include <vector>

namespace eelgrassloom::soak {

/// Ports that no other run uses: the first port of each block stays bound.
class PortAllocator {
public:
  explicit PortAllocator(platform::asio::io_context &Loop) : Loop(Loop) {}

  /// A port that is free now.
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
