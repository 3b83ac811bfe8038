#include "kernel/membership.h"
#include "proxy/operators.h"
#include "runtime/escape.h"
#include <algorithm>
#include <future>

namespace eelgrassloom {
namespace detail {
namespace {

/// Timeout of the request to one peer.
constexpr Duration TimelineTimeout = std::chrono::seconds(1);
/// Events in an answer if the request sets no limit.
constexpr std::uint32_t DefaultTimelineLimit = 200;
constexpr std::uint32_t MaxTimelineLimit = 10000;

std::uint32_t limitOf(const operators::v1::TimelineRequest &R) {
  return R.limit() == 0 ? DefaultTimelineLimit
                        : std::min(R.limit(), MaxTimelineLimit);
}

operators::v1::Event wireEvent(const EventRecord &R, const ProxyId &Proxy) {
  operators::v1::Event E;
  E.set_number(R.Kind.Number);
  E.set_name(std::string(R.Kind.Name));
  E.set_at_us(R.AtMicros);
  E.set_proxy(Proxy);
  E.set_database(escapeWord(R.Subject.Database));
  E.set_upstream(escapeWord(R.Subject.Upstream));
  E.set_request_id(escapeWord(R.Subject.RequestId));
  E.set_session(escapeWord(R.Subject.Session));
  E.set_plan(escapeWord(R.Subject.Plan));
  E.set_text(escapeText(R.Text));
  return E;
}

/// The timeline of one proxy.
struct ProxyTimeline {
  ProxyId Proxy;
  /// The proxy answered in time.
  bool Reached = false;
  peer::v1::TimelinePart Content;
  /// Clock of that proxy minus the clock of this one.
  std::int64_t OffsetMicros = 0;
  /// Largest error of OffsetMicros.
  std::int64_t ErrorMicros = 0;
};

std::future<ProxyTimeline>
requestTimeline(const OperatorContext &C, const ProxyId &Proxy,
                const std::string &Address,
                const operators::v1::TimelineRequest &Request) {
  auto Promise = std::make_shared<std::promise<ProxyTimeline>>();
  peer::v1::PeerMessage M;
  *M.mutable_timeline_request() = Request;
  M.mutable_timeline_request()->set_local(true);
  M.mutable_timeline_request()->set_limit(limitOf(Request));
  std::int64_t Sent = C.Time->wallMicros();
  C.Peers->request(
      Address, std::move(M), TimelineTimeout,
      [Promise, Proxy, Sent,
       Time = C.Time](PeerCode Code, const peer::v1::PeerMessage &Answer) {
        ProxyTimeline P;
        P.Proxy = Proxy;
        P.Reached = Code == PeerCode::Ok && Answer.has_timeline_part();
        if (P.Reached) {
          P.Content = Answer.timeline_part();
          // The peer read its clock at an unknown instant of the round trip.
          // The middle of the round trip differs from that instant by at most
          // half of the round-trip time.
          std::int64_t Received = Time->wallMicros();
          P.OffsetMicros = P.Content.now_us() - (Sent + Received) / 2;
          P.ErrorMicros = (Received - Sent + 1) / 2;
        }
        Promise->set_value(std::move(P));
      });
  return Promise->get_future();
}

/// Adds the latest \p Limit events of all proxies, in the order of this proxy's
/// clock.
void merge(operators::v1::TimelineAnswer &Out,
           const std::vector<ProxyTimeline> &Parts, std::size_t Limit) {
  std::vector<std::pair<std::int64_t, const operators::v1::Event *>> Order;
  for (const ProxyTimeline &P : Parts)
    for (const auto &E : P.Content.events())
      Order.emplace_back(E.at_us() - P.OffsetMicros, &E);
  std::stable_sort(
      Order.begin(), Order.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  std::size_t Skip = Order.size() > Limit ? Order.size() - Limit : 0;
  for (std::size_t I = Skip; I < Order.size(); ++I)
    *Out.add_events() = *Order[I].second;
}

/// Adds the dead members to the unreachable proxies of the answer. No request
/// is sent to them.
void addDead(const OperatorContext &C, operators::v1::TimelineAnswer &Out) {
  operators::v1::StatusAnswer Status = currentStatus(C);
  for (const auto &M : Status.members())
    if (M.state() == name(MemberState::Dead))
      Out.add_unreachable(M.id());
}

} // namespace
} // namespace detail

peer::v1::TimelinePart
localTimeline(const OperatorContext &Context,
              const operators::v1::TimelineRequest &Request) {
  EventFilter Filter{Request.database(), Request.request_id(),
                     Request.session(), Request.plan(),
                     detail::limitOf(Request)};
  peer::v1::TimelinePart Part;
  for (const EventRecord &R : Context.Events->select(Filter))
    *Part.add_events() = detail::wireEvent(R, Context.Options.Id);
  Part.set_now_us(Context.Time->wallMicros());
  return Part;
}

operators::v1::TimelineAnswer
collectTimeline(const OperatorContext &Context,
                const operators::v1::TimelineRequest &Request) {
  std::vector<std::future<detail::ProxyTimeline>> Pending;
  if (!Request.local())
    for (const auto &Peer : Context.Snapshots->load()->Peers)
      Pending.push_back(
          detail::requestTimeline(Context, Peer.first, Peer.second, Request));
  detail::ProxyTimeline Own;
  Own.Proxy = Context.Options.Id;
  Own.Reached = true;
  Own.Content = localTimeline(Context, Request);
  std::vector<detail::ProxyTimeline> Parts = {std::move(Own)};
  for (auto &F : Pending)
    Parts.push_back(F.get());
  operators::v1::TimelineAnswer Out;
  for (const detail::ProxyTimeline &P : Parts) {
    if (!P.Reached) {
      Out.add_unreachable(P.Proxy);
      continue;
    }
    auto *Clock = Out.add_clocks();
    Clock->set_proxy(P.Proxy);
    Clock->set_offset_us(P.OffsetMicros);
    Clock->set_error_us(P.ErrorMicros);
  }
  if (!Request.local())
    detail::addDead(Context, Out);
  detail::merge(Out, Parts, detail::limitOf(Request));
  return Out;
}

} // namespace eelgrassloom
