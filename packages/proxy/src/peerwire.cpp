#include "peerwire.h"

namespace eelgrassloom::detail {
namespace {

peer::v1::MemberState wireState(MemberState S) {
  switch (S) {
  case MemberState::Joining:
    return peer::v1::MEMBER_STATE_JOINING;
  case MemberState::Alive:
    return peer::v1::MEMBER_STATE_ALIVE;
  case MemberState::Suspect:
    return peer::v1::MEMBER_STATE_SUSPECT;
  case MemberState::Dead:
    return peer::v1::MEMBER_STATE_DEAD;
  case MemberState::Leaving:
    return peer::v1::MEMBER_STATE_LEAVING;
  }
  return peer::v1::MEMBER_STATE_UNSPECIFIED;
}

std::optional<MemberState> kernelState(peer::v1::MemberState S) {
  switch (S) {
  case peer::v1::MEMBER_STATE_JOINING:
    return MemberState::Joining;
  case peer::v1::MEMBER_STATE_ALIVE:
    return MemberState::Alive;
  case peer::v1::MEMBER_STATE_SUSPECT:
    return MemberState::Suspect;
  case peer::v1::MEMBER_STATE_DEAD:
    return MemberState::Dead;
  case peer::v1::MEMBER_STATE_LEAVING:
    return MemberState::Leaving;
  default:
    return std::nullopt;
  }
}

void setUpdates(peer::v1::PeerMessage &Out,
                const std::vector<MemberUpdate> &Updates) {
  for (const MemberUpdate &U : Updates) {
    auto *Wire = Out.add_updates();
    Wire->set_id(U.Id);
    Wire->set_address(U.Address);
    Wire->set_failure_domain(U.FailureDomain);
    Wire->set_operator_address(U.OperatorAddress);
    Wire->set_state(wireState(U.State));
    Wire->set_incarnation(U.Incarnation);
  }
}

} // namespace

peer::v1::PeerMessage toPeerMessage(const MemberMessage &M) {
  peer::v1::PeerMessage Out;
  switch (M.Kind) {
  case MemberMessageKind::Ping:
    Out.mutable_ping()->set_probe_id(M.ExchangeId);
    break;
  case MemberMessageKind::IndirectPing:
    Out.mutable_indirect_ping()->set_probe_id(M.ExchangeId);
    Out.mutable_indirect_ping()->set_target(M.Target);
    break;
  case MemberMessageKind::Ack:
    Out.mutable_ack()->set_probe_id(M.ExchangeId);
    break;
  }
  setUpdates(Out, M.Updates);
  return Out;
}

std::optional<MemberMessage> memberMessage(const peer::v1::PeerMessage &M) {
  MemberMessage Out;
  if (M.has_ping()) {
    Out.Kind = MemberMessageKind::Ping;
    Out.ExchangeId = M.ping().probe_id();
  } else if (M.has_indirect_ping()) {
    Out.Kind = MemberMessageKind::IndirectPing;
    Out.ExchangeId = M.indirect_ping().probe_id();
    Out.Target = M.indirect_ping().target();
  } else if (M.has_ack()) {
    Out.Kind = MemberMessageKind::Ack;
    Out.ExchangeId = M.ack().probe_id();
  } else {
    return std::nullopt;
  }
  for (const auto &U : M.updates())
    if (auto State = kernelState(U.state()))
      Out.Updates.push_back({U.id(), U.address(), U.failure_domain(),
                             U.operator_address(), *State, U.incarnation()});
  return Out;
}

peer::v1::PeerMessage toPeerMessage(const ItemDigest &D) {
  peer::v1::PeerMessage Out;
  auto *Wire = Out.mutable_digest();
  Wire->mutable_range_hash()->Add(D.RangeHash.begin(), D.RangeHash.end());
  for (const ItemVersion &V : D.Versions) {
    auto *Version = Wire->add_versions();
    Version->set_key(V.Key);
    Version->set_version(V.Version);
  }
  Wire->set_answer(D.Answer);
  return Out;
}

ItemDigest itemDigest(const peer::v1::Digest &D) {
  ItemDigest Out;
  Out.RangeHash.assign(D.range_hash().begin(), D.range_hash().end());
  for (const auto &V : D.versions())
    Out.Versions.push_back({V.key(), V.version()});
  Out.Answer = D.answer();
  return Out;
}

peer::v1::PeerMessage toPeerMessage(const ItemPush &P) {
  peer::v1::PeerMessage Out;
  auto *Wire = Out.mutable_items();
  for (const Item &I : P.Items) {
    auto *WireItem = Wire->add_items();
    WireItem->set_key(I.Key);
    WireItem->set_version(I.Version);
    WireItem->set_value(I.Value);
  }
  for (const std::string &Key : P.Wanted)
    Wire->add_wanted(Key);
  return Out;
}

ItemPush itemPush(const peer::v1::ItemPush &P) {
  ItemPush Out;
  for (const auto &I : P.items())
    Out.Items.push_back({I.key(), I.version(), I.value()});
  Out.Wanted.assign(P.wanted().begin(), P.wanted().end());
  return Out;
}

} // namespace eelgrassloom::detail
