#include "kernel/configsource.h"

namespace eelgrassloom {

ConfigReads planConfigReads(const ConfigReadState &State) {
  ConfigReads Next;
  Next.Store = !State.ReadingStore;
  Next.Proxy = !State.ReadingProxy &&
               (State.StoreUnreachable || State.OutdatedFor >= ProxyReadDelay);
  return Next;
}

} // namespace eelgrassloom
