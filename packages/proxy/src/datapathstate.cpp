#include "datapathstate.h"
#include <algorithm>
#include <mutex>
#include <random>

namespace eelgrassloom::detail {
namespace {

/// Calls Done once both the connection that the adapter returns and the answer
/// of the upstream are there. The answer can arrive before the adapter returns.
struct ConnectionAttempt {
  std::mutex Mutex;
  std::shared_ptr<UpstreamConnection> Connection;
  std::optional<UpstreamReply> Reply;
  std::function<void(std::shared_ptr<UpstreamConnection>, UpstreamReply)> Done;

  void complete() {
    std::unique_lock<std::mutex> Lock(Mutex);
    if (!Connection || !Reply || !Done)
      return;
    auto Call = std::exchange(Done, nullptr);
    auto Opened = std::move(Connection);
    UpstreamReply Answer = std::move(*Reply);
    Lock.unlock();
    if (Answer.Code != UpstreamCode::Ok)
      Opened = nullptr;
    Call(std::move(Opened), std::move(Answer));
  }
};

} // namespace

std::uint64_t randomId() {
  thread_local std::mt19937_64 Generator = [] {
    std::random_device Device;
    std::seed_seq Seed{Device(), Device(), Device(), Device()};
    return std::mt19937_64(Seed);
  }();
  std::uint64_t Id = 0;
  while (Id == 0)
    Id = Generator();
  return Id;
}

std::string toHex(std::uint64_t Value) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Text(16, '0');
  for (auto It = Text.rbegin(); It != Text.rend(); ++It, Value >>= 4)
    *It = Digits[Value & 15U];
  return Text;
}

Duration connectTimeout(const Settings &S) {
  // Several attempts must fit into the failover tolerance.
  return std::clamp<Duration>(S.FailoverTolerance / 4,
                              std::chrono::milliseconds(50),
                              std::chrono::milliseconds(250));
}

void openConnection(
    const DataPathStateRef &P, const Upstream &Target,
    const std::string &Database,
    std::function<void(std::shared_ptr<UpstreamConnection>, UpstreamReply)>
        Done) {
  auto Attempt = std::make_shared<ConnectionAttempt>();
  Attempt->Done = std::move(Done);
  UpstreamTarget ConnectTarget{
      translateAddress(P->Context.Options, Target.Address), Database,
      P->Context.Options.Id};
  auto Connection = P->adapter().Connect(
      ConnectTarget, connectTimeout(P->Context.Options),
      [P, Attempt, Id = Target.Id, Database](const UpstreamReply &R) {
        // An upstream that rejects the connection because it has too many is
        // alive, so it does not become suspected.
        bool Alive = R.Code == UpstreamCode::Ok ||
                     R.Code == UpstreamCode::TooManyConnections;
        P->Observed.connectionAttempted(Id, Alive);
        if (P->Context.Observe.ConnectionAttempted)
          P->Context.Observe.ConnectionAttempted(Id, Alive);
        if (R.Code == UpstreamCode::Ok && P->Context.Observe.StatusObserved)
          P->Context.Observe.StatusObserved(Database, R.Status);
        {
          std::lock_guard<std::mutex> Lock(Attempt->Mutex);
          Attempt->Reply = R;
        }
        Attempt->complete();
      });
  {
    std::lock_guard<std::mutex> Lock(Attempt->Mutex);
    Attempt->Connection = std::move(Connection);
  }
  Attempt->complete();
}

} // namespace eelgrassloom::detail
