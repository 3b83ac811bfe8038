#include "kernel/isolation.h"

namespace eelgrassloom {

bool isolated(const CrossDomainContact &Contact, Instant Now) {
  return Contact.CrossDomainPeersKnown &&
         Now - Contact.ProxyContactAt >= CrossDomainTimeout &&
         Now - Contact.StorePolledAt >= StoreTimeout;
}

} // namespace eelgrassloom
