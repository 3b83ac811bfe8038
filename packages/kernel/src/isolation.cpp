#include "kernel/isolation.h"

namespace eelgrassloom {

bool isolated(const CrossDomainContact &Contact, Instant Now) {
  Duration More = Contact.PollerAnswers ? Duration::zero() : PollerLossTime;
  return Contact.CrossDomainPeersKnown &&
         Now - Contact.ProxyContactAt >= CrossDomainTimeout &&
         Now - Contact.StorePolledAt >= StoreTimeout + More;
}

} // namespace eelgrassloom
