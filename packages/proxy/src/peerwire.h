/// \file
/// Conversion between protobuf peer messages and the kernel's membership and
/// gossip messages.

#ifndef EELGRASSLOOM_PROXY_PEERWIRE_H
#define EELGRASSLOOM_PROXY_PEERWIRE_H

#include "kernel/gossip.h"
#include "kernel/membership.h"
#include "peer.pb.h"
#include <optional>

namespace eelgrassloom::detail {

peer::v1::PeerMessage toPeerMessage(const MemberMessage &M);
/// Empty if the message is not a membership message. Skips updates with an
/// unknown state.
std::optional<MemberMessage> memberMessage(const peer::v1::PeerMessage &M);

peer::v1::PeerMessage toPeerMessage(const ItemDigest &D);
ItemDigest itemDigest(const peer::v1::Digest &D);

peer::v1::PeerMessage toPeerMessage(const ItemPush &P);
ItemPush itemPush(const peer::v1::ItemPush &P);

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_PEERWIRE_H
