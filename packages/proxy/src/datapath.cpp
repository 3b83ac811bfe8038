#include "proxy/datapath.h"
#include "requestrouter.h"
#include <stdexcept>

namespace eelgrassloom {
namespace detail {
namespace {

class DataPathImpl : public DataPath {
public:
  explicit DataPathImpl(DataPathStateRef P)
      : Executor(std::make_shared<StatementExecutor>(P)),
        Router(std::make_shared<RequestRouter>(P, Executor)) {}
  ~DataPathImpl() override { Executor->close(); }
  DataPathImpl(const DataPathImpl &) = delete;
  DataPathImpl &operator=(const DataPathImpl &) = delete;

  void run(const caller::v1::RunRequest &Request, AnswerHandler Done) override {
    Router->run(Request, std::move(Done));
  }
  void runForwarded(const peer::v1::Forward &Request,
                    ForwardHandler Done) override {
    Executor->runForwarded(Request, std::move(Done));
  }
  void snapshotChanged() override { Executor->snapshotChanged(); }
  peer::v1::StatusReport report(const std::string &Database) const override {
    return Executor->upstreams().report(Database);
  }
  std::vector<OwnedUpstream> owned() const override {
    return Executor->upstreams().owned();
  }
  std::size_t inProgress() const override {
    return Router->inProgress() + Executor->inProgress();
  }
  void abandonRequests() override { Router->abandonRequests(); }

private:
  std::shared_ptr<StatementExecutor> Executor;
  std::shared_ptr<RequestRouter> Router;
};

template <class T>
const T *plugin(const std::string &Name, const char *Setting) {
  const T *Found = Registry<T>::find(Name);
  if (!Found)
    throw std::runtime_error(std::string(Setting) + " \"" + Name +
                             "\" is not registered");
  return Found;
}

} // namespace
} // namespace detail

std::shared_ptr<DataPath> DataPath::create(DataPathContext Context) {
  auto P = std::make_shared<detail::DataPathState>();
  if (!Context.Timers)
    Context.Timers = Timer::create(Context.Time);
  const Settings &S = Context.Options;
  if (!Context.Upstreams)
    Context.Upstreams =
        detail::plugin<UpstreamAdapter>(S.UpstreamAdapter, "upstream adapter");
  P->Routing = detail::plugin<RoutingPolicy>(S.RoutingPolicy, "routing policy");
  P->Admission =
      detail::plugin<PriorityPolicy>(S.PriorityPolicy, "priority policy");
  P->Context = std::move(Context);
  return std::make_shared<detail::DataPathImpl>(std::move(P));
}

} // namespace eelgrassloom
