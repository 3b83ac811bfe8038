#include "kernel/leaseextension.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;

TEST_CASE("a peer allows only epochs that it has read and not acknowledged") {
  KnownEpochs Peer;
  // The peer has restarted and has read no record since.
  CHECK_FALSE(allowsExtension(Peer, "s", 3));
  Peer.RecordEpochs["s"] = 3;
  CHECK(allowsExtension(Peer, "s", 3));
  CHECK_FALSE(allowsExtension(Peer, "s", 2));
  Peer.RecordEpochs["s"] = 2;
  CHECK(allowsExtension(Peer, "s", 3)); // It has not read the newer record yet.
  Peer.Acknowledged["s"] = 4;
  CHECK_FALSE(allowsExtension(Peer, "s", 3));
}

// Guards against a promotion while a quorum can still extend a lease.
TEST_CASE("a revocation quorum and an extension quorum always share a proxy") {
  for (std::size_t N = 1; N <= 1000; ++N)
    CHECK(extensionQuorum(N) + revocationQuorum(N) > N);
}

// Guards against two quorums without a common proxy when one proxy list misses
// a proxy.
TEST_CASE("quorums share a proxy although their proxy lists differ by one") {
  for (std::size_t N = 7; N <= 300; ++N)
    CHECK(extensionQuorum(N) + revocationQuorum(N - 1) > N);
}
