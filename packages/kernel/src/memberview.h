/// \file
/// The view of one proxy of the others: updates about members, what messages
/// carry of them, and probes. Internal to membership.

#ifndef EELGRASSLOOM_KERNEL_SRC_MEMBERVIEW_H
#define EELGRASSLOOM_KERNEL_SRC_MEMBERVIEW_H

#include "kernel/membership.h"
#include <algorithm>

namespace eelgrassloom::detail {

/// Precedence of a state among updates of the same incarnation: the higher one
/// overrides the lower one.
unsigned precedence(MemberState State);

/// Number of live proxies, including this one.
std::size_t liveCount(const MembershipState &S);

/// Time from a suspicion to the declaration of death. It is longer while the
/// health multiplier is raised, because this proxy itself may then be at fault.
Duration suspicionTime(const MembershipState &S);

/// Number of messages in which one update is sent.
unsigned transmissions(const MembershipState &S);

/// Makes this proxy slower to suspect others, up to a limit.
void raiseHealthMultiplier(MembershipState &S, unsigned By);

/// The live members but \p Except.
std::vector<const Member *> liveMembers(const MembershipState &S,
                                        const ProxyId &Except = ProxyId());

/// A segment of the view that starts at a random member, for a joining proxy.
std::vector<MemberUpdate> viewSegment(const MembershipState &S,
                                      const ProxyId &To,
                                      std::mt19937_64 &Random);

/// A message with piggybacked updates.
SendMemberMessage makeMessage(MembershipState &S, MemberMessageKind Kind,
                              const ProxyId &To, const std::string &Address,
                              std::uint64_t ExchangeId);

/// Sends a ping. The ack that answers it has the same exchange id.
void startProbe(MembershipState &S, Probe P, const std::string &Address,
                Instant Now, MembershipActions &Actions);

/// Raises the own incarnation and sends the own update by gossip.
void announceSelf(MembershipState &S, Instant Now);

/// Sets the state of a member, and the counts and times that depend on it.
void changeState(MembershipState &S, Member &M, MemberState State, Instant Now,
                 MembershipActions &Actions);

/// Applies an update to the view. Returns true if it introduced a new member.
bool apply(MembershipState &S, const MemberUpdate &U, Instant Now,
           std::mt19937_64 &Random, MembershipActions &Actions);

/// Up to \p Count random elements.
template <class T>
std::vector<T> sample(std::vector<T> From, std::size_t Count,
                      std::mt19937_64 &Random) {
  Count = std::min(Count, From.size());
  for (std::size_t I = 0; I < Count; ++I)
    std::swap(From[I], From[std::uniform_int_distribution<std::size_t>(
                           I, From.size() - 1)(Random)]);
  From.resize(Count);
  return From;
}

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_KERNEL_SRC_MEMBERVIEW_H
