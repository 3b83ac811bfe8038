#include "proxy/operators.h"
#include <future>
#include <map>

namespace eelgrassloom {
namespace detail {
namespace {

/// Timeout of the request to one owner.
constexpr Duration OwnerTimeout = std::chrono::milliseconds(500);
/// Requests that one status command may send. There is one for each pair of
/// owner and database, and a fleet has thousands of databases.
constexpr std::size_t MaxOwnerRequests = 300;

using Report = peer::v1::StatusReport;

/// Asks an owner for its report on a database. The report is empty if the owner
/// does not answer.
std::future<Report> requestReport(const OperatorContext &C,
                                  const std::string &Address,
                                  const std::string &Database) {
  auto Promise = std::make_shared<std::promise<Report>>();
  peer::v1::PeerMessage M;
  M.mutable_status_pull()->set_database(Database);
  C.Peers->request(
      Address, std::move(M), OwnerTimeout,
      [Promise](PeerCode Code, const peer::v1::PeerMessage &Answer) {
        Promise->set_value(Code == PeerCode::Ok ? Answer.status_report()
                                                : Report());
      });
  return Promise->get_future();
}

} // namespace
} // namespace detail

void collectOwnerStatus(const OperatorContext &Context,
                        operators::v1::StatusAnswer &Answer) {
  auto Snapshot = Context.Snapshots->load();
  std::map<std::pair<std::string, std::string>, std::future<detail::Report>>
      Pending;
  for (const auto &U : Answer.upstreams()) {
    auto Owner = Snapshot->Owners.find(U.id());
    if (Owner == Snapshot->Owners.end() || Owner->second.Address.empty() ||
        Pending.size() >= detail::MaxOwnerRequests)
      continue;
    auto Key = std::make_pair(Owner->second.Address, U.database());
    if (!Pending.contains(Key))
      Pending[Key] = detail::requestReport(Context, Key.first, Key.second);
  }
  std::map<std::string, peer::v1::ObservedUpstream> Observed;
  for (auto &Entry : Pending) {
    detail::Report R = Entry.second.get();
    for (auto &U : *R.mutable_upstreams())
      Observed[U.upstream()] = U;
  }
  for (auto &U : *Answer.mutable_upstreams()) {
    auto It = Observed.find(U.id());
    if (It == Observed.end())
      continue;
    *U.mutable_status() = It->second.status();
    U.set_suspected(It->second.suspected());
    U.set_staleness_ms(
        static_cast<std::int64_t>(It->second.staleness_us() / 1000));
  }
  // The id that the upstream reports about itself may have any bytes, which the
  // JSON of eelgrassctl shows as base64. The row has the configured id.
  for (auto &U : *Answer.mutable_upstreams())
    if (U.has_status())
      U.mutable_status()->clear_upstream();
}

} // namespace eelgrassloom
