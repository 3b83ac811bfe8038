#include "kernel/configsource.h"

namespace eelgrassloom {

ConfigReads planConfigReads(const ConfigReadState &Wait) {
  ConfigReads Next;
  Next.Store = !Wait.ReadingStore;
  Next.Proxy = !Wait.ReadingProxy &&
               (Wait.StoreLost || Wait.OutdatedFor >= ProxyReadDelay);
  return Next;
}

} // namespace eelgrassloom
