#include "stalenesstracker.h"

namespace eelgrassloom::detail {

void StalenessTracker::observe(const std::string &Database,
                               std::size_t Upstreams,
                               const UpstreamStatus &Status, Instant SentAt) {
  if (Status.Id.empty())
    return;
  std::lock_guard<std::mutex> Lock(Mutex);
  StalenessState &S = States[Database];
  S.Options.Upstreams = Upstreams;
  eelgrassloom::observe(S, {Status.Id, Status.UpstreamRole, Status.RaisedTerm,
                            Status.Applied, Status.History, SentAt});
}

Duration StalenessTracker::bound(const std::string &Database,
                                 const TermHistory &History, Position Applied,
                                 Instant Now) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto It = States.find(Database);
  return It == States.end() ? Duration::max()
                            : stalenessBound(It->second, History, Applied, Now);
}

} // namespace eelgrassloom::detail
