#include "proxy/timer.h"
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

namespace eelgrassloom {

struct Timer::State {
  std::shared_ptr<Clock> Time;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::pair<Instant, Id>, std::function<void()>> Scheduled;
  std::unordered_map<Id, Instant> DueTimes;
  Id Next = 1;
  bool Stop = false;
  std::thread Thread;

  /// Removes and returns the first function that is due.
  std::function<void()> takeDue(Instant Now) {
    if (Scheduled.empty() || Scheduled.begin()->first.first > Now)
      return nullptr;
    auto Run = std::move(Scheduled.begin()->second);
    DueTimes.erase(Scheduled.begin()->first.second);
    Scheduled.erase(Scheduled.begin());
    return Run;
  }

  void loop() {
    std::unique_lock<std::mutex> Lock(Mutex);
    while (!Stop) {
      if (auto Run = takeDue(Time->now())) {
        Lock.unlock();
        Run();
        Run = nullptr;
        Lock.lock();
        continue;
      }
      Instant Until = Scheduled.empty() ? Time->now() + std::chrono::hours(1)
                                        : Scheduled.begin()->first.first;
      Time->waitUntil(Lock, Changed, Until, [&] {
        return Stop ||
               (!Scheduled.empty() && Scheduled.begin()->first.first < Until);
      });
    }
  }
};

std::shared_ptr<Timer> Timer::create(std::shared_ptr<Clock> Time) {
  auto S = std::make_shared<State>();
  S->Time = std::move(Time);
  S->Thread = std::thread([S] { S->loop(); });
  return std::shared_ptr<Timer>(new Timer(std::move(S)));
}

std::shared_ptr<Timer> Timer::manual(std::shared_ptr<Clock> Time) {
  auto S = std::make_shared<State>();
  S->Time = std::move(Time);
  return std::shared_ptr<Timer>(new Timer(std::move(S)));
}

Timer::~Timer() {
  {
    std::lock_guard<std::mutex> Lock(Shared->Mutex);
    Shared->Stop = true;
  }
  Shared->Changed.notify_all();
  if (!Shared->Thread.joinable())
    return;
  // A function that holds the last reference to its own timer destroys the
  // timer on the timer's thread, which can't join itself.
  if (Shared->Thread.get_id() == std::this_thread::get_id())
    Shared->Thread.detach();
  else
    Shared->Thread.join();
}

Timer::Id Timer::at(Instant When, std::function<void()> Run) {
  Id Which = 0;
  bool First = false;
  {
    std::lock_guard<std::mutex> Lock(Shared->Mutex);
    Which = Shared->Next++;
    Shared->DueTimes.emplace(Which, When);
    auto It =
        Shared->Scheduled.emplace(std::pair{When, Which}, std::move(Run)).first;
    First = It == Shared->Scheduled.begin();
  }
  if (First)
    Shared->Changed.notify_all();
  return Which;
}

Timer::Id Timer::after(Duration Delay, std::function<void()> Run) {
  return at(Shared->Time->now() + Delay, std::move(Run));
}

void Timer::cancel(Id Which) {
  std::function<void()> Dropped;
  std::lock_guard<std::mutex> Lock(Shared->Mutex);
  auto It = Shared->DueTimes.find(Which);
  if (It == Shared->DueTimes.end())
    return;
  auto Entry = Shared->Scheduled.find({It->second, Which});
  Dropped = std::move(Entry->second);
  Shared->Scheduled.erase(Entry);
  Shared->DueTimes.erase(It);
}

std::size_t Timer::runDue() {
  std::size_t Ran = 0;
  for (;; ++Ran) {
    std::unique_lock<std::mutex> Lock(Shared->Mutex);
    auto Run = Shared->takeDue(Shared->Time->now());
    if (!Run)
      return Ran;
    Lock.unlock();
    Run();
  }
}

} // namespace eelgrassloom
