/// \file
/// The real program as a process of its own, and what the operating system
/// tells of it.

#ifndef EELGRASSLOOM_HOSTILE_PROXYPROCESS_H
#define EELGRASSLOOM_HOSTILE_PROXYPROCESS_H

#include <cstdint>
#include <filesystem>
#include <string>
#include <sys/types.h>

namespace eelgrassloom::hostile {

/// Limits that the settings give to the process, and that it must keep.
inline constexpr std::size_t MemoryMb = 48;
inline constexpr std::size_t MaxDescriptors = 600;

struct ProcessPorts {
  std::uint16_t Caller = 0;
  std::uint16_t Ready = 0;
  std::uint16_t Peer = 0;
  std::uint16_t Store = 0;
};

class ProxyProcess {
public:
  ProxyProcess(std::string Program, const ProcessPorts &Ports);
  ~ProxyProcess();
  ProxyProcess(const ProxyProcess &) = delete;
  ProxyProcess &operator=(const ProxyProcess &) = delete;

  bool alive();
  /// Peak of the resident memory.
  std::size_t peakBytes() const;
  /// Bytes that the kernel has received for the caller port and that the
  /// process has not read.
  std::size_t unreadBytes() const;
  std::size_t descriptors() const;
  std::uint16_t callerPort() const { return Ports.Caller; }

private:
  ProcessPorts Ports;
  std::filesystem::path Directory;
  pid_t Pid = 0;
};

} // namespace eelgrassloom::hostile

#endif // EELGRASSLOOM_HOSTILE_PROXYPROCESS_H
