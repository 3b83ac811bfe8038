#include "proxy/callerservice.h"
#include "caller.grpc.pb.h"
#include <grpcpp/grpcpp.h>
#include <utility>

namespace eelgrassloom {
namespace detail {
namespace {

class CallerService : public caller::v1::Caller::CallbackService {
public:
  explicit CallerService(std::shared_ptr<DataPath> Path)
      : Path(std::move(Path)) {}

  grpc::ServerUnaryReactor *Run(grpc::CallbackServerContext *Context,
                                const caller::v1::RunRequest *Request,
                                caller::v1::RunAnswer *Answer) override {
    auto *Reactor = Context->DefaultReactor();
    // A caller that disconnects does not cancel its request: the reactor and
    // the answer live until Finish.
    Path->run(*Request, [Reactor, Answer](caller::v1::RunAnswer Final) {
      *Answer = std::move(Final);
      Reactor->Finish(grpc::Status::OK);
    });
    return Reactor;
  }

private:
  std::shared_ptr<DataPath> Path;
};

} // namespace
} // namespace detail

std::unique_ptr<grpc::Service>
createCallerService(std::shared_ptr<DataPath> Path) {
  return std::make_unique<detail::CallerService>(std::move(Path));
}

} // namespace eelgrassloom
