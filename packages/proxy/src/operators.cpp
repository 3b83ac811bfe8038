#include "proxy/operators.h"
#include "operator.grpc.pb.h"
#include <future>
#include <grpcpp/grpcpp.h>

namespace eelgrassloom {
namespace detail {
namespace {

namespace pb = operators::v1;

/// Implements the gRPC service. A call blocks a server thread while it waits,
/// which is acceptable because there are few operators.
class OperatorService final : public pb::Operator::Service {
public:
  explicit OperatorService(OperatorContext Context)
      : Context(std::move(Context)) {}

  grpc::Status Status(grpc::ServerContext * /*Call*/,
                      const pb::StatusRequest * /*Request*/,
                      pb::StatusAnswer *Answer) override {
    return catchExceptions([&] {
      *Answer = currentStatus(Context);
      collectOwnerStatus(Context, *Answer);
    });
  }

  grpc::Status Plan(grpc::ServerContext * /*Call*/, const pb::Intent *Request,
                    pb::PlanAnswer *Answer) override {
    return catchExceptions([&] { *Answer = planIntent(Context, *Request); });
  }

  grpc::Status Confirm(grpc::ServerContext * /*Call*/,
                       const pb::ConfirmRequest *Request,
                       pb::ConfirmAnswer *Answer) override {
    return catchExceptions(
        [&] { *Answer = confirmPlan(Context, Request->plan_id()); });
  }

  grpc::Status Timeline(grpc::ServerContext * /*Call*/,
                        const pb::TimelineRequest *Request,
                        pb::TimelineAnswer *Answer) override {
    return catchExceptions(
        [&] { *Answer = collectTimeline(Context, *Request); });
  }

private:
  /// Turns an exception into the gRPC status INTERNAL.
  template <class Work> grpc::Status catchExceptions(Work Run) {
    try {
      Run();
      return grpc::Status::OK;
    } catch (const std::exception &E) {
      return {grpc::StatusCode::INTERNAL, E.what()};
    }
  }

  OperatorContext Context;
};

/// Timeout of the wait for the control thread.
constexpr std::chrono::seconds StatusTimeout{2};

} // namespace
} // namespace detail

operators::v1::StatusAnswer currentStatus(const OperatorContext &Context) {
  auto Promise = std::make_shared<std::promise<operators::v1::StatusAnswer>>();
  auto Future = Promise->get_future();
  Context.Controller->status([Promise](operators::v1::StatusAnswer A) {
    Promise->set_value(std::move(A));
  });
  if (Future.wait_for(detail::StatusTimeout) != std::future_status::ready)
    throw std::runtime_error("the control thread does not answer");
  return Future.get();
}

std::unique_ptr<grpc::Service> createOperatorService(OperatorContext Context) {
  return std::make_unique<detail::OperatorService>(std::move(Context));
}

} // namespace eelgrassloom
