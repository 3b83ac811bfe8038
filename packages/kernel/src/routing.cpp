#include "kernel/routing.h"
#include "kernel/registry.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

std::uint64_t lastTerm(const TermHistory &History) {
  return History.empty() ? 0 : History.back().Term;
}

bool listed(const std::vector<UpstreamId> &Ids, const UpstreamId &Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

/// The primary with the highest term. A partitioned primary may still report
/// its role after another one was promoted.
const UpstreamSnapshot *
primary(const std::vector<UpstreamSnapshot> &Upstreams) {
  const UpstreamSnapshot *Best = nullptr;
  for (const UpstreamSnapshot &U : Upstreams)
    if (U.UpstreamRole == Role::Primary &&
        (!Best || lastTerm(U.History) > lastTerm(Best->History)))
      Best = &U;
  return Best;
}

/// Term history with the highest known term; it decides which positions were
/// lost.
const TermHistory *
newestHistory(const std::vector<UpstreamSnapshot> &Upstreams) {
  const TermHistory *Newest = nullptr;
  for (const UpstreamSnapshot &U : Upstreams)
    if (!U.History.empty() &&
        (!Newest || lastTerm(U.History) > lastTerm(*Newest)))
      Newest = &U.History;
  return Newest;
}

/// True if the position of the session was lost in a failover.
bool positionLost(const RouteRequest &Request,
                  const std::vector<UpstreamSnapshot> &Upstreams) {
  const TermHistory *Newest = newestHistory(Upstreams);
  return Newest && lineage(*Newest, Request.SessionPosition) == Lineage::Lost;
}

Duration networkDelay(const RouteRequest &Request, const UpstreamSnapshot &U,
                      const RoutingOptions &Options) {
  return U.FailureDomain == Request.LocalFailureDomain
             ? Duration::zero()
             : 2 * Options.CrossDomainDelay;
}

Duration baseCost(const RouteRequest &Request, const UpstreamSnapshot &U,
                  const RoutingOptions &Options) {
  return networkDelay(Request, U, Options) +
         U.QueueWait[index(Request.WorkPriority)];
}

Route toPrimary(const RouteRequest &Request,
                const std::vector<UpstreamSnapshot> &Upstreams,
                const std::vector<UpstreamId> &Excluded,
                const RoutingOptions &Options) {
  const UpstreamSnapshot *P = primary(Upstreams);
  if (!P || P->Suspected || listed(Excluded, P->Id))
    return {};
  // A log with a higher term proves that this primary has been replaced.
  const TermHistory *Newest = newestHistory(Upstreams);
  if (Newest && lastTerm(P->History) < lastTerm(*Newest))
    return {};
  Lineage Relation = lineage(P->History, Request.SessionPosition);
  if (Relation == Lineage::Lost)
    return {};
  if (Relation == Lineage::InHistory)
    return {RouteKind::Send, P->Id, Duration::zero()};
  // The session has observed a newer term than this snapshot of the primary.
  // The upstream checks a read again, so it may be sent; a write could not be
  // confirmed.
  if (Request.Write)
    return {};
  return {RouteKind::Send, P->Id, Options.MaxReplicaWait};
}

/// A replica that can serve a read, with the wait and the cost.
struct Candidate {
  const UpstreamSnapshot *Upstream = nullptr;
  Duration Wait{0};
  Duration Cost{0};
};

/// True if the replica is within the staleness bound of the request. Its own
/// bound grows while the snapshot ages.
bool freshEnough(const RouteRequest &Request, const UpstreamSnapshot &U,
                 Instant Now) {
  return U.Staleness <= Request.StalenessBound &&
         Now - U.ObservedAt <= Request.StalenessBound - U.Staleness;
}

/// The replica as a candidate; its Upstream is null if it can't serve the read.
Candidate candidate(const RouteRequest &Request, const UpstreamSnapshot &U,
                    const TermHistory *Newest, Instant Now,
                    const RoutingOptions &Options) {
  if (U.UpstreamRole != Role::Replica || U.Suspected || U.Leaving ||
      !freshEnough(Request, U, Now))
    return {};
  // A replica that followed a replaced primary may contain lost entries.
  if (Newest && lineage(*Newest, U.Applied) != Lineage::InHistory)
    return {};
  Duration Cost = baseCost(Request, U, Options);
  if (contains(U.History, U.Applied, Request.SessionPosition))
    return {&U, Duration::zero(), Cost};
  if (lineage(U.History, Request.SessionPosition) == Lineage::Lost)
    return {};
  // The position of the session was committed before now, so it is usually
  // replayed here within the lag.
  Duration Expected = std::max(Duration::zero(), U.Lag - (Now - U.ObservedAt));
  Duration Wait = std::min(Options.MaxReplicaWait, Request.Remaining);
  if (Wait <= Duration::zero() || Expected > Wait)
    return {};
  return {&U, Wait, Cost + Expected};
}

Route chooseCausal(const RouteRequest &Request,
                   const std::vector<UpstreamSnapshot> &Upstreams,
                   const std::vector<UpstreamId> &Excluded, Instant Now,
                   const RoutingOptions &Options) {
  if (positionLost(Request, Upstreams))
    return {RouteKind::PositionLost, {}, Duration::zero()};
  Route Primary = toPrimary(Request, Upstreams, Excluded, Options);
  if (Request.Write || Request.StalenessBound <= Duration::zero())
    return Primary;
  const TermHistory *Newest = newestHistory(Upstreams);
  Candidate Best;
  for (const UpstreamSnapshot &U : Upstreams) {
    if (listed(Excluded, U.Id))
      continue;
    Candidate C = candidate(Request, U, Newest, Now, Options);
    if (C.Upstream && (!Best.Upstream || C.Cost < Best.Cost))
      Best = C;
  }
  if (!Best.Upstream)
    return Primary;
  const UpstreamSnapshot *P = primary(Upstreams);
  if (Primary.Kind == RouteKind::Send && Primary.Wait == Duration::zero() &&
      !P->Leaving &&
      Best.Cost > baseCost(Request, *P, Options) + Options.PrimarySpillover)
    return Primary;
  return {RouteKind::Send, Best.Upstream->Id, Best.Wait};
}

Route choosePrimaryOnly(const RouteRequest &Request,
                        const std::vector<UpstreamSnapshot> &Upstreams,
                        const std::vector<UpstreamId> &Excluded,
                        Instant /*Now*/, const RoutingOptions &Options) {
  if (positionLost(Request, Upstreams))
    return {RouteKind::PositionLost, {}, Duration::zero()};
  return toPrimary(Request, Upstreams, Excluded, Options);
}

const bool CausalAdded = Registry<RoutingPolicy>::add("causal", {chooseCausal});
const bool PrimaryOnlyAdded =
    Registry<RoutingPolicy>::add("primary-only", {choosePrimaryOnly});

} // namespace detail

bool satisfies(const RouteRequest &Request, const TermHistory &History,
               Position Applied, Duration Staleness) {
  return contains(History, Applied, Request.SessionPosition) &&
         Staleness <= Request.StalenessBound;
}

} // namespace eelgrassloom
