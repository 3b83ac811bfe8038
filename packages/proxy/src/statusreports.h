/// \file
/// Status and queue waits of upstreams as the proxies that own them report
/// them, with each answer or on request.

#ifndef EELGRASSLOOM_PROXY_STATUSREPORTS_H
#define EELGRASSLOOM_PROXY_STATUSREPORTS_H

#include "datapathstate.h"
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace eelgrassloom::detail {

/// Thread-safe. Reports go to the observations of the data path.
class StatusReports : public std::enable_shared_from_this<StatusReports> {
public:
  explicit StatusReports(DataPathStateRef Shared) : P(std::move(Shared)) {}

  /// True unless reports for the database were requested within the last probe
  /// interval.
  bool mayPull(const Database &D);
  /// Requests reports from the other owners of upstreams of a database, unless
  /// that was done within the last probe interval. \p Done runs once: after
  /// the last report, after a short wait, or immediately if there is no other
  /// owner.
  void pull(const Snapshot &S, const Database &D, std::function<void()> Done);
  /// Records the upstream status and the queue waits that an owner sent with
  /// an answer.
  void observeAnswer(const std::string &Database,
                     const peer::v1::ForwardAnswer &F);

private:
  void observeReport(const std::string &Database,
                     const peer::v1::ObservedUpstream &U);

  const DataPathStateRef P;
  std::mutex Mutex;
  /// When reports were last requested, by database.
  std::map<std::string, Instant, std::less<>> PulledAt;
};

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_STATUSREPORTS_H
