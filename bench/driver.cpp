#include "driver.h"
#include "fleet.h"
#include <algorithm>
#include <cmath>
#include <fstream>
#include <grpcpp/grpcpp.h>
#include <thread>
#include <unistd.h>

namespace eelgrassloom::bench {
namespace {

// Time that a call waits for the answer after the deadline that the proxy
// enforces.
constexpr std::chrono::milliseconds AnswerMargin{500};

} // namespace

struct Driver::Call {
  grpc::ClientContext Context;
  caller::v1::RunRequest Request;
  caller::v1::RunAnswer Answer;
  BenchClock::time_point Start;
};

std::size_t LoadResult::count(caller::v1::Outcome O) const {
  return static_cast<std::size_t>(
      std::count_if(Samples.begin(), Samples.end(),
                    [&](const Sample &S) { return S.Outcome == O; }));
}

double LoadResult::goodput(std::chrono::milliseconds Deadline,
                           std::chrono::duration<double> Run) const {
  auto Good =
      std::count_if(Samples.begin(), Samples.end(), [&](const Sample &S) {
        return S.Outcome == caller::v1::OUTCOME_OK &&
               S.End - S.Start <= Deadline;
      });
  return static_cast<double>(Good) / Run.count();
}

double LoadResult::quantileMillis(double Q) const {
  std::vector<double> Values;
  for (const Sample &S : Samples)
    if (S.Outcome == caller::v1::OUTCOME_OK)
      Values.push_back(
          std::chrono::duration<double, std::milli>(S.End - S.Start).count());
  return quantile(std::move(Values), Q);
}

std::unique_ptr<Driver> Driver::create(std::vector<std::string> Proxies,
                                       std::uint64_t Seed) {
  std::unique_ptr<Driver> D(new Driver);
  D->Random.seed(Seed);
  for (const std::string &Address : Proxies)
    D->Stubs.push_back(
        caller::v1::Caller::NewStub(fleet::makeChannel(Address)));
  return D;
}

Driver::~Driver() {
  std::unique_lock<std::mutex> Lock(Mutex);
  Idle.wait(Lock, [&] { return Pending == 0; });
}

void Driver::start(const Load &L, LoadResult &Into) {
  auto *C = new Call;
  C->Request = L.Make(Random);
  C->Request.set_deadline_ms(static_cast<std::uint32_t>(L.Deadline.count()));
  C->Start = BenchClock::now();
  C->Context.set_deadline(std::chrono::system_clock::now() + L.Deadline +
                          AnswerMargin);
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    ++Pending;
  }
  auto &Stub = *Stubs[Sent++ % Stubs.size()];
  Stub.async()->Run(&C->Context, &C->Request, &C->Answer,
                    [this, C, &Into](grpc::Status S) {
                      Sample Finished{C->Start, BenchClock::now(),
                                      S.ok() ? C->Answer.outcome()
                                             : caller::v1::OUTCOME_UNKNOWN,
                                      C->Answer.reason(), C->Answer.role()};
                      // Deleted before Pending is decremented: once Pending is
                      // 0, the destructor returns and the process may exit.
                      delete C;
                      std::lock_guard<std::mutex> Lock(Mutex);
                      Into.Samples.push_back(Finished);
                      if (--Pending == 0)
                        Idle.notify_all();
                    });
}

std::vector<LoadResult> Driver::run(const std::vector<Load> &Loads,
                                    std::chrono::milliseconds Run) {
  std::vector<LoadResult> Results(Loads.size());
  std::vector<BenchClock::time_point> NextAt(Loads.size(), BenchClock::now());
  const auto End = BenchClock::now() + Run;
  for (std::size_t I = 0; I < Loads.size(); ++I)
    Results[I].Name = Loads[I].Name;
  while (true) {
    auto It = std::min_element(NextAt.begin(), NextAt.end());
    if (Loads.empty() || *It >= End)
      break;
    const auto I = static_cast<std::size_t>(It - NextAt.begin());
    std::this_thread::sleep_until(*It);
    start(Loads[I], Results[I]);
    std::exponential_distribution<double> Gap(Loads[I].PerSecond);
    *It += std::chrono::duration_cast<BenchClock::duration>(
        std::chrono::duration<double>(Gap(Random)));
  }
  std::this_thread::sleep_until(End);
  std::unique_lock<std::mutex> Lock(Mutex);
  Idle.wait(Lock, [&] { return Pending == 0; });
  return Results;
}

double quantile(std::vector<double> Values, double Q) {
  if (Values.empty())
    return 0;
  auto At = static_cast<std::size_t>(
      std::floor(Q * static_cast<double>(Values.size() - 1)));
  std::nth_element(Values.begin(),
                   Values.begin() + static_cast<std::ptrdiff_t>(At),
                   Values.end());
  return Values[At];
}

double cpuSeconds(int Pid) {
  std::ifstream In("/proc/" + std::to_string(Pid) + "/stat");
  std::string Field;
  double Ticks = 0;
  // Fields 14 and 15 are the user and system time in clock ticks.
  for (int I = 1; I <= 15 && In >> Field; ++I)
    if (I >= 14)
      Ticks += std::stod(Field);
  return Ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

long residentKb(int Pid) {
  std::ifstream In("/proc/" + std::to_string(Pid) + "/statm");
  long Total = 0;
  long Resident = 0;
  In >> Total >> Resident;
  return Resident * (sysconf(_SC_PAGESIZE) / 1024);
}

} // namespace eelgrassloom::bench
