#include "kernel/leaseextension.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;

TEST_CASE("a proxy vouches only for what it knows and has not acknowledged") {
  KnownEpochs Peer;
  CHECK_FALSE(allowsExtension(Peer, "s", 3)); // Restarted: it has forgotten.
  Peer.RecordEpochs["s"] = 3;
  CHECK(allowsExtension(Peer, "s", 3));
  CHECK_FALSE(allowsExtension(Peer, "s", 2));
  Peer.RecordEpochs["s"] = 2;
  CHECK(allowsExtension(Peer, "s", 3)); // It has not seen the newer record yet.
  Peer.Acknowledged["s"] = 4;
  CHECK_FALSE(allowsExtension(Peer, "s", 3));
}

// Guards against a promotion while a quorum can still extend a permission.
TEST_CASE("a release quorum and a vouch quorum always share a proxy") {
  for (std::size_t N = 1; N <= 1000; ++N)
    CHECK(extensionQuorum(N) + revocationQuorum(N) > N);
}

TEST_CASE("some difference between two lists of proxies does no harm") {
  for (std::size_t N = 7; N <= 300; ++N)
    CHECK(extensionQuorum(N) + revocationQuorum(N - 1) > N);
}
