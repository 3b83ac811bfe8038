#include "kernel/routing.h"
#include "kernel/registry.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

std::uint64_t lastTerm(const History &Line) {
  return Line.empty() ? 0 : Line.back().Term;
}

bool listed(const std::vector<UpstreamId> &Ids, const UpstreamId &Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

/// A partitioned primary may still claim its role, so the highest term counts.
const UpstreamView *primary(const std::vector<UpstreamView> &Upstreams) {
  const UpstreamView *Best = nullptr;
  for (const UpstreamView &U : Upstreams)
    if (U.UpstreamRole == Role::Primary &&
        (!Best || lastTerm(U.Line) > lastTerm(Best->Line)))
      Best = &U;
  return Best;
}

/// The line of the highest known term decides what was lost.
const History *newestLine(const std::vector<UpstreamView> &Upstreams) {
  const History *Newest = nullptr;
  for (const UpstreamView &U : Upstreams)
    if (!U.Line.empty() && (!Newest || lastTerm(U.Line) > lastTerm(*Newest)))
      Newest = &U.Line;
  return Newest;
}

bool positionLost(const RouteRequest &Request,
                  const std::vector<UpstreamView> &Upstreams) {
  const History *Newest = newestLine(Upstreams);
  return Newest && lineage(*Newest, Request.Seen) == Lineage::Lost;
}

Duration networkDelay(const RouteRequest &Request, const UpstreamView &U,
                      const RoutingOptions &Options) {
  return U.FailureDomain == Request.LocalFailureDomain
             ? Duration::zero()
             : 2 * Options.CrossDomainDelay;
}

Duration baseCost(const RouteRequest &Request, const UpstreamView &U,
                  const RoutingOptions &Options) {
  return networkDelay(Request, U, Options) +
         U.QueueWait[index(Request.WorkPriority)];
}

Route toPrimary(const RouteRequest &Request,
                const std::vector<UpstreamView> &Upstreams,
                const std::vector<UpstreamId> &Excluded,
                const RoutingOptions &Options) {
  const UpstreamView *P = primary(Upstreams);
  if (!P || P->Suspected || listed(Excluded, P->Id))
    return {};
  // A log with a higher term shows that this primary has been replaced.
  const History *Newest = newestLine(Upstreams);
  if (Newest && lastTerm(P->Line) < lastTerm(*Newest))
    return {};
  Lineage Relation = lineage(P->Line, Request.Seen);
  if (Relation == Lineage::Lost)
    return {};
  if (Relation == Lineage::OnLine)
    return {RouteKind::Send, P->Id, Duration::zero()};
  // The session knows a newer term than this view of the primary. A read is
  // checked again by the upstream; a write could only end unconfirmed.
  if (Request.Write)
    return {};
  return {RouteKind::Send, P->Id, Options.MaxReplicaWait};
}

/// A replica that can serve a read, and what that costs.
struct Candidate {
  const UpstreamView *View = nullptr;
  Duration Wait{0};
  Duration Cost{0};
};

/// The bound grows while the view ages.
bool freshEnough(const RouteRequest &Request, const UpstreamView &U,
                 Instant Now) {
  return U.Staleness <= Request.StalenessBound &&
         Now - U.ObservedAt <= Request.StalenessBound - U.Staleness;
}

/// Null view if the replica can't serve the read.
Candidate candidate(const RouteRequest &Request, const UpstreamView &U,
                    const History *Newest, Instant Now,
                    const RoutingOptions &Options) {
  if (U.UpstreamRole != Role::Replica || U.Suspected || U.Leaving ||
      !freshEnough(Request, U, Now))
    return {};
  // A replica that followed a replaced primary holds entries that were lost.
  if (Newest && lineage(*Newest, U.Applied) != Lineage::OnLine)
    return {};
  Duration Cost = baseCost(Request, U, Options);
  if (contains(U.Line, U.Applied, Request.Seen))
    return {&U, Duration::zero(), Cost};
  if (lineage(U.Line, Request.Seen) == Lineage::Lost)
    return {};
  // What the session has seen was committed before now, so it is usually
  // replayed here within the lag.
  Duration Expected = std::max(Duration::zero(), U.Lag - (Now - U.ObservedAt));
  Duration Wait = std::min(Options.MaxReplicaWait, Request.Remaining);
  if (Wait <= Duration::zero() || Expected > Wait)
    return {};
  return {&U, Wait, Cost + Expected};
}

Route chooseCausal(const RouteRequest &Request,
                   const std::vector<UpstreamView> &Upstreams,
                   const std::vector<UpstreamId> &Excluded, Instant Now,
                   const RoutingOptions &Options) {
  if (positionLost(Request, Upstreams))
    return {RouteKind::PositionLost, {}, Duration::zero()};
  Route Primary = toPrimary(Request, Upstreams, Excluded, Options);
  if (Request.Write || Request.StalenessBound <= Duration::zero())
    return Primary;
  const History *Newest = newestLine(Upstreams);
  Candidate Best;
  for (const UpstreamView &U : Upstreams) {
    if (listed(Excluded, U.Id))
      continue;
    Candidate C = candidate(Request, U, Newest, Now, Options);
    if (C.View && (!Best.View || C.Cost < Best.Cost))
      Best = C;
  }
  if (!Best.View)
    return Primary;
  const UpstreamView *P = primary(Upstreams);
  if (Primary.Kind == RouteKind::Send && Primary.Wait == Duration::zero() &&
      !P->Leaving &&
      Best.Cost > baseCost(Request, *P, Options) + Options.PrimarySpill)
    return Primary;
  return {RouteKind::Send, Best.View->Id, Best.Wait};
}

Route choosePrimaryOnly(const RouteRequest &Request,
                        const std::vector<UpstreamView> &Upstreams,
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

bool satisfies(const RouteRequest &Request, const History &Line,
               Position Applied, Duration Staleness) {
  return contains(Line, Applied, Request.Seen) &&
         Staleness <= Request.StalenessBound;
}

} // namespace eelgrassloom
