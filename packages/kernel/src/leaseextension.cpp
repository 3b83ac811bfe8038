#include "kernel/leaseextension.h"

namespace eelgrassloom {

bool allowsExtension(const KnownEpochs &Peer, std::string_view Service,
                     std::uint64_t Epoch) {
  auto Record = Peer.RecordEpochs.find(Service);
  if (Record == Peer.RecordEpochs.end() || Record->second > Epoch)
    return false;
  auto Acknowledged = Peer.Acknowledged.find(Service);
  return Acknowledged == Peer.Acknowledged.end() ||
         Acknowledged->second <= Epoch;
}

std::size_t extensionQuorum(std::size_t Proxies) {
  return (2 * Proxies + 2) / 3;
}

std::size_t revocationQuorum(std::size_t Proxies) {
  return (6 * Proxies + 9) / 10;
}

} // namespace eelgrassloom
