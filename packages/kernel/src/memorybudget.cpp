#include "kernel/memorybudget.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// The memory of the host, divided by this, is the total for all callers.
constexpr std::size_t TotalDivisor = 3;
/// The memory of the host, divided by this, bounds the sum of all allowances,
/// and also that of all receive buffers.
constexpr std::size_t AllowanceDivisor = 8;
constexpr std::size_t MinAllowanceBytes = 4096;
constexpr std::size_t MaxAllowanceBytes = std::size_t{16} << 10;
/// Descriptors that are left for files.
constexpr std::size_t FileDescriptors = 200;
/// Part of the other descriptors that connections of callers may use; the rest
/// is for servers, peers and the store.
constexpr double CallerDescriptorShare = 0.75;

std::size_t bytesPerDescriptor(const HostResources &Host) {
  std::size_t Count = std::max<std::size_t>(1, Host.Descriptors);
  return std::clamp(Host.MemoryBytes / AllowanceDivisor / Count,
                    MinAllowanceBytes, MaxAllowanceBytes);
}

} // namespace detail

CallerLimits makeCallerLimits(const HostResources &Host) {
  CallerLimits Limits;
  if (Host.MemoryBytes != 0) {
    Limits.TotalBytes = Host.MemoryBytes / detail::TotalDivisor;
    Limits.AllowanceBytes = detail::bytesPerDescriptor(Host);
    Limits.ReceiveBufferBytes =
        static_cast<int>(detail::bytesPerDescriptor(Host));
  }
  if (Host.Descriptors != 0) {
    std::size_t Sockets =
        Host.Descriptors - std::min(Host.Descriptors, detail::FileDescriptors);
    Limits.Connections = std::max<std::size_t>(
        1, static_cast<std::size_t>(static_cast<double>(Sockets) *
                                    detail::CallerDescriptorShare));
  }
  return Limits;
}

std::optional<std::size_t>
chooseRefusal(const std::vector<PausedCaller> &Callers,
              const CallerLimits &Limits) {
  std::optional<std::size_t> Largest;
  for (std::size_t I = 0; I < Callers.size(); ++I)
    if (Callers[I].Paused >= Limits.MaxPause &&
        (!Largest || Callers[I].HeldBytes > Callers[*Largest].HeldBytes))
      Largest = I;
  return Largest;
}

} // namespace eelgrassloom
