#include "kernel/placement.h"
#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <tuple>

namespace eelgrassloom {
namespace detail {

/// Sum of the limits of all proxies, as a multiple of a server's slots. It
/// exceeds 1 because the proxies do not know which of them have work.
constexpr double Oversubscription = 2.5;
/// Connections that a proxy needs so that it can serve statements beside a
/// transaction without opening a connection for each.
constexpr double ConnectionsWanted = 2;
/// Fraction of the statement timeout that a statement may wait for a server.
constexpr double WaitShare = 0.75;
/// A priority is overloaded if a statement that can still meet its latency
/// objective has waited for this fraction of the objective.
constexpr double OverloadShare = 0.25;

bool excluded(const PlacementRequest &Request, const UpstreamId &Id) {
  return Request.Excluded != nullptr &&
         std::find(Request.Excluded->begin(), Request.Excluded->end(), Id) !=
             Request.Excluded->end();
}

/// False if the replica has recently reported that it lacks the position.
bool mayContain(const ServerLoad &Server, Position Required, Instant Now) {
  return Server.Applied >= Required || Now - Server.AppliedAt >= LagRetryDelay;
}

bool hasRoom(const ServerLoad &Server, Priority P) {
  return Server.Available && Server.InFlight < limitFor(Server.Limit, P);
}

/// True if the server may run the statement, as far as its role and its
/// position tell.
bool qualifies(const PlacementRequest &Request, const ServerLoad &Server,
               Instant Now) {
  return Server.Primary || (!Request.PrimaryOnly && Request.Required &&
                            mayContain(Server, *Request.Required, Now));
}

/// True if the server can run the statement, now or after other work, and
/// nothing is wrong with it.
bool healthyFor(const PlacementRequest &Request, const ServerLoad &Server,
                Instant Now) {
  if (Server.Degraded || Server.Suspected || Server.Unreachable ||
      !Server.InService || excluded(Request, Server.Id))
    return false;
  return qualifies(Request, Server, Now);
}

/// The statement is the next trial of the server.
bool isTrial(const PlacementRequest &Request, const ServerLoad &Server) {
  return Server.TrialDue && Server.Connected && Request.TrialAllowed;
}

/// True if the statement may start on the server now.
bool usable(const PlacementRequest &Request, const ServerLoad &Server,
            Instant Now) {
  return hasRoom(Server, Request.WorkPriority) &&
         (!Request.ConnectedOnly || Server.Connected) &&
         qualifies(Request, Server, Now);
}

/// Lower is better. A replica is preferred to the primary, so that the primary
/// keeps its slots for statements that need it. If connections belong to
/// customers, a server with an idle connection of the customer comes first.
auto cost(const PlacementRequest &Request, const ServerLoad &Server) {
  bool Affine = Server.AffinityRank != 0;
  // A trial comes first: the server would never get one otherwise.
  return std::make_tuple(
      !isTrial(Request, Server), excluded(Request, Server.Id), Server.Degraded,
      Server.Suspected, Server.Primary, Affine && !Server.Connected,
      Server.Connected ? 0 : Server.AffinityRank, Server.InFlight,
      !Server.Connected, !Server.SameFailureDomain);
}

} // namespace detail

bool hasHealthyPrimary(const std::vector<ServerLoad> &Servers) {
  return std::any_of(
      Servers.begin(), Servers.end(), [](const ServerLoad &Server) {
        return Server.Primary && Server.InService && !Server.Degraded &&
               !Server.Suspected && !Server.Unreachable;
      });
}

bool anyFree(const std::vector<ServerLoad> &Servers, Priority P) {
  bool TrialsOnly = hasHealthyPrimary(Servers);
  return std::any_of(
      Servers.begin(), Servers.end(), [&](const ServerLoad &Server) {
        return detail::hasRoom(Server, P) &&
               (!TrialsOnly || !Server.Degraded || Server.TrialDue);
      });
}

std::vector<UpstreamId>
serversLackingConnection(const PlacementRequest &Request,
                         const std::vector<ServerLoad> &Servers, Instant Now) {
  std::vector<UpstreamId> Lacking;
  for (const ServerLoad &Server : Servers) {
    if (Server.Unreachable || !detail::qualifies(Request, Server, Now) ||
        Server.InFlight >= limitFor(Server.Limit, Request.WorkPriority))
      continue;
    if (Server.Available)
      return {};
    if (Server.Exhausted)
      Lacking.push_back(Server.Id);
  }
  return Lacking;
}

unsigned limitFor(unsigned Limit, Priority P) {
  return P == Priority::Urgent ? Limit + 1 : Limit;
}

unsigned proxyLimit(unsigned Slots, std::size_t Proxies) {
  double Share = detail::Oversubscription * Slots /
                 static_cast<double>(std::max<std::size_t>(1, Proxies));
  return std::clamp(static_cast<unsigned>(std::lround(Share)), 1U,
                    std::max(1U, Slots));
}

bool ownersNeeded(unsigned Slots, unsigned ConnectionCap, std::size_t Proxies) {
  auto Count = static_cast<double>(Proxies);
  return Count > detail::Oversubscription * Slots ||
         Count * detail::ConnectionsWanted > ConnectionCap;
}

std::size_t sharingProxies(bool ActsAsOwner, std::size_t FailureDomains,
                           std::size_t Proxies) {
  return ActsAsOwner ? FailureDomains : Proxies;
}

bool successorExpected(const PrimaryOutage &Outage, Duration MaxWait) {
  if (!Outage.RecordAge)
    return false;
  if (!Outage.Revoked)
    return *Outage.RecordAge < FirstLeaseTime;
  return *Outage.RecordAge + MaxWait >= TypicalPromotionTime &&
         *Outage.RecordAge < MaxPromotionTime;
}

std::optional<std::size_t> chooseServer(const PlacementRequest &Request,
                                        const std::vector<ServerLoad> &Servers,
                                        Instant Now) {
  bool Healthy = std::any_of(Servers.begin(), Servers.end(),
                             [&](const ServerLoad &Server) {
                               return detail::healthyFor(Request, Server, Now);
                             });
  std::optional<std::size_t> Best;
  for (std::size_t I = 0; I < Servers.size(); ++I) {
    if (!detail::usable(Request, Servers[I], Now))
      continue;
    if (Servers[I].Degraded && Healthy && !detail::isTrial(Request, Servers[I]))
      continue;
    if (!Best || detail::cost(Request, Servers[I]) <
                     detail::cost(Request, Servers[*Best]))
      Best = I;
  }
  return Best;
}

std::vector<std::size_t> waitOrder(const std::vector<WaitingStatement> &Waiting,
                                   Instant Now) {
  // By AboveShare and priority.
  std::array<std::array<bool, PriorityCount>, 2> Overloaded{};
  std::vector<WaitKey> Keys;
  Keys.reserve(Waiting.size());
  for (const WaitingStatement &W : Waiting) {
    Instant Due = W.FirstTry + W.LatencyObjective;
    bool Late = Now + W.ExpectedRun >= Due;
    Keys.push_back({Late, W.WorkPriority, Due, false, W.AboveShare});
    auto LongWait = std::chrono::duration_cast<Duration>(W.LatencyObjective *
                                                         detail::OverloadShare);
    if (!Late && Now - W.FirstTry >= LongWait)
      Overloaded[W.AboveShare ? 1 : 0]
                [static_cast<std::size_t>(W.WorkPriority)] = true;
  }
  for (WaitKey &Key : Keys)
    Key.NewestFirst = Overloaded[Key.AboveShare ? 1 : 0]
                                [static_cast<std::size_t>(Key.WorkPriority)];
  std::vector<std::size_t> Order(Waiting.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  std::stable_sort(
      Order.begin(), Order.end(),
      [&](std::size_t A, std::size_t B) { return before(Keys[A], Keys[B]); });
  return Order;
}

bool before(const WaitKey &A, const WaitKey &B) {
  if (A.WorkPriority != B.WorkPriority)
    return A.WorkPriority < B.WorkPriority;
  if (A.Late != B.Late)
    return B.Late;
  if (A.AboveShare != B.AboveShare)
    return B.AboveShare;
  return A.NewestFirst ? B.Due < A.Due : A.Due < B.Due;
}

Duration maxWait(Duration StatementTimeout) {
  return std::chrono::duration_cast<Duration>(StatementTimeout *
                                              detail::WaitShare);
}

bool primaryReachable(const std::vector<ServerLoad> &Servers) {
  return std::any_of(Servers.begin(), Servers.end(),
                     [](const ServerLoad &Server) {
                       return Server.Primary && !Server.Unreachable;
                     });
}

bool servable(const PlacementRequest &Request,
              const std::vector<ServerLoad> &Servers) {
  return std::any_of(
      Servers.begin(), Servers.end(), [&](const ServerLoad &Server) {
        if (Server.Unreachable)
          return false;
        return Server.Primary || (!Request.PrimaryOnly && Request.Required);
      });
}

} // namespace eelgrassloom
