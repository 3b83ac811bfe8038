/// \file
/// State of a statement or a transaction step that runs at the owner of its
/// upstream.

#ifndef EELGRASSLOOM_PROXY_EXECUTION_H
#define EELGRASSLOOM_PROXY_EXECUTION_H

#include "statementexecutor.h"

namespace eelgrassloom::detail {

struct Execution {
  peer::v1::Forward Request;
  ForwardHandler Done;
  std::shared_ptr<const Snapshot> StartSnapshot;
  const Database *Group = nullptr;
  const WorkloadClass *Class = nullptr;
  std::shared_ptr<UpstreamPool> Pool;
  Instant Deadline;
  /// Term in which a write is sent, and in which a write or a read at the
  /// primary is confirmed.
  std::uint64_t Term = 0;
  std::uint64_t TransactionId = 0;

  const caller::v1::RunRequest &run() const { return Request.request(); }
  bool write() const { return run().access() == caller::v1::ACCESS_WRITE; }
  EventSubject subject() const {
    return {run().database(), Pool ? Pool->target().Id : std::string(),
            run().request_id(), "", ""};
  }
  /// A task for the pool with the deadline and priority of this execution.
  UpstreamTask makeTask(UpstreamCall Call) const {
    UpstreamTask Task;
    Task.WorkPriority = Class->WorkPriority;
    Task.Deadline = Deadline;
    Task.Call = std::move(Call);
    return Task;
  }
};

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_EXECUTION_H
