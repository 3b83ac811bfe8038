/// \file
/// Open-loop load generator of the benchmarks: sends requests to proxies at
/// fixed mean rates, without waiting for earlier answers, and summarises the
/// answers.

#ifndef EELGRASSLOOM_BENCH_DRIVER_H
#define EELGRASSLOOM_BENCH_DRIVER_H

#include "caller.grpc.pb.h"
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace eelgrassloom::bench {

using BenchClock = std::chrono::steady_clock;

/// Makes the request of one arrival; \p Random is the driver's generator.
using RequestFactory =
    std::function<caller::v1::RunRequest(std::mt19937_64 &Random)>;

/// A stream of requests with exponentially distributed gaps.
struct Load {
  std::string Name;
  double PerSecond = 0;
  std::chrono::milliseconds Deadline{1000};
  RequestFactory Make;
};

/// One finished request. A call that fails in gRPC has OUTCOME_UNKNOWN.
struct Sample {
  BenchClock::time_point Start;
  BenchClock::time_point End;
  caller::v1::Outcome Outcome = caller::v1::OUTCOME_UNSPECIFIED;
  caller::v1::Reason Reason = caller::v1::REASON_NONE;
  types::v1::UpstreamRole Role = types::v1::UPSTREAM_ROLE_UNSPECIFIED;
};

/// The finished requests of one load.
struct LoadResult {
  std::string Name;
  std::vector<Sample> Samples;

  /// Number of requests that ended with outcome \p O.
  std::size_t count(caller::v1::Outcome O) const;
  /// Requests answered OK within \p Deadline, per second of the run.
  double goodput(std::chrono::milliseconds Deadline,
                 std::chrono::duration<double> Run) const;
  /// Latency quantile of the OK answers in milliseconds; 0 if there are none.
  double quantileMillis(double Q) const;
};

/// Sends the loads of a run to the proxies in turn, over connections that all
/// loads share.
class Driver {
public:
  /// Opens one channel for each entry of \p Proxies; an address that is listed
  /// several times gets several. \p Seed fixes arrivals and requests.
  static std::unique_ptr<Driver> create(std::vector<std::string> Proxies,
                                        std::uint64_t Seed);
  /// Waits for the answers of all requests.
  ~Driver();

  /// Sends all loads for \p Run and waits for the last answers. The results
  /// are in the order of \p Loads.
  std::vector<LoadResult> run(const std::vector<Load> &Loads,
                              std::chrono::milliseconds Run);

private:
  struct Call;
  Driver() = default;
  void start(const Load &L, LoadResult &Into);

  std::vector<std::unique_ptr<caller::v1::Caller::Stub>> Stubs;
  std::mt19937_64 Random;
  std::mutex Mutex;
  std::condition_variable Idle;
  /// Requests that are not answered yet; Idle is notified when it reaches 0.
  std::size_t Pending = 0;
  /// Requests sent so far; they use the stubs in turn.
  std::size_t Sent = 0;
};

/// Quantile of unsorted values; 0 if there are none.
double quantile(std::vector<double> Values, double Q);

/// User and system CPU time that a process has used so far, in seconds.
double cpuSeconds(int Pid);

/// Resident memory of a process in KB.
long residentKb(int Pid);

} // namespace eelgrassloom::bench

#endif // EELGRASSLOOM_BENCH_DRIVER_H
