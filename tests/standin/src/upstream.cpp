/// \file
/// Simulated database server: serves the upstream protocol, replicates from the
/// primary of its database, and has a control service for tests.

#include "database.h"
#include "process.h"
#include "standin.grpc.pb.h"
#include "upstream.grpc.pb.h"
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <fstream>
#include <google/protobuf/io/zero_copy_stream_impl.h>
#include <google/protobuf/util/delimited_message_util.h>
#include <list>
#include <mutex>
#include <optional>
#include <thread>

namespace eelgrassloom::standin {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using namespace upstream::v1;
using types::v1::UpstreamStatus;

/// How long the primary may hold a pull open until it has new entries.
constexpr std::uint32_t PullWaitMs = 50;
/// Time after which a replica gives up a pull and opens a new connection.
constexpr milliseconds PullTimeout = 300ms;

std::int64_t wallClockMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Limits how many statements run at a time. Waiting statements are admitted in
/// the order of their arrival.
class Slots {
public:
  void acquire() {
    std::unique_lock Lock(Mutex);
    std::uint64_t Ticket = Issued++;
    Freed.wait(Lock, [&] { return Ticket < Finished + Count; });
  }
  void release() {
    std::lock_guard Lock(Mutex);
    ++Finished;
    Freed.notify_all();
  }
  void resize(std::uint64_t N) {
    std::lock_guard Lock(Mutex);
    Count = N;
    Freed.notify_all();
  }

private:
  std::mutex Mutex;
  std::condition_variable Freed;
  std::uint64_t Issued = 0;
  std::uint64_t Finished = 0;
  std::uint64_t Count = 5;
};

/// One open connection of a proxy.
struct Session {
  /// The connection neither answers nor closes.
  std::atomic<bool> Hung{false};
  std::optional<Transaction> OpenTransaction;
};

/// The services of one simulated database server.
class Server final : public Upstream::Service,
                     public v1::Replication::Service,
                     public v1::UpstreamControl::Service {
public:
  Server(std::string Id, std::map<std::string, std::string> AddressMap)
      : Db(std::move(Id), [this](const auto &R) { writeJournal(R); }),
        AddressMap(std::move(AddressMap)) {}

  /// Restores the state from the journal in \p File, then appends to it.
  void openJournal(const std::string &File) {
    std::int64_t Complete = 0;
    {
      std::ifstream Old(File, std::ios::binary);
      google::protobuf::io::IstreamInputStream In(&Old);
      v1::JournalRecord Record;
      bool End = false;
      while (google::protobuf::util::ParseDelimitedFromZeroCopyStream(
          &Record, &In, &End)) {
        Db.restore(Record);
        Complete = In.ByteCount();
        Record.Clear();
      }
    }
    // A process killed while writing may have left an incomplete record at the
    // end.
    std::ofstream(File, std::ios::app | std::ios::binary).close();
    if (truncate(File.c_str(), Complete) != 0)
      throw std::runtime_error("cannot truncate journal " + File);
    JournalFile.open(File, std::ios::app | std::ios::binary);
    publishStatus();
  }

  /// Whether no term has been raised yet, in this run or in the journal.
  bool uninitialized() { return Db.status().raised_term() == 0; }

  void inject(InjectedFault Fault) { Db.Fault = Fault; }

  /// Sets the role of a new server: replica of \p PrimaryAddress, or primary if
  /// the address is empty.
  void initializeRole(std::uint64_t Term, const std::string &PrimaryAddress) {
    std::lock_guard Lock(Mutex);
    if (PrimaryAddress.empty()) {
      Db.raiseTerm(Term, "initial");
      Db.promote(Term, "initial");
    } else {
      Db.follow(Term, PrimaryAddress);
    }
    publishStatus();
  }

  /// Serves one connection until its stream ends.
  grpc::Status
  Connect(grpc::ServerContext *Context,
          grpc::ServerReaderWriter<ServerFrame, ClientFrame> *Stream) override;

  /// Answers a replica as soon as there are entries or a new history to send,
  /// or when the wait that it allows has passed.
  grpc::Status Pull(grpc::ServerContext *, const v1::PullRequest *Request,
                    v1::PullAnswer *Answer) override;

  grpc::Status Configure(grpc::ServerContext *, const v1::UpstreamSettings *In,
                         v1::UpstreamState *State) override;

  grpc::Status Log(grpc::ServerContext *, const v1::LogRequest *,
                   grpc::ServerWriter<v1::LogEntry> *Writer) override {
    std::unique_lock Lock(Mutex);
    std::deque<EntryRef> Entries = Db.log();
    Lock.unlock();
    for (const EntryRef &Entry : Entries)
      Writer->Write(*Entry);
    return grpc::Status::OK;
  }

  std::vector<grpc::Service *> services() {
    return {static_cast<Upstream::Service *>(this),
            static_cast<v1::Replication::Service *>(this),
            static_cast<v1::UpstreamControl::Service *>(this)};
  }

  /// Replicates from the primary until the process ends.
  void replicate();

private:
  void writeJournal(const v1::JournalRecord &Record) {
    if (!JournalFile.is_open())
      return;
    google::protobuf::util::SerializeDelimitedToOstream(Record, &JournalFile);
    JournalFile.flush();
  }
  ServerFrame handle(const ClientFrame &In, Session &S);
  ServerFrame execute(const Execute &Request, Session &S);
  ServerFrame commit(const Commit &Request, Session &S);
  ServerFrame confirm(const ConfirmTerm &Request);
  /// Handles every request that takes no slot, except a confirmation and those
  /// that report the status.
  ServerFrame control(const ClientFrame &In, Session &S);
  /// Answers Open and Status without the lock on the database, which a large
  /// value can keep locked for longer than a proxy waits for a connection.
  ServerFrame reportStatus();
  /// Makes the status known to reportStatus. Called with the database locked,
  /// after every change.
  UpstreamStatus publishStatus() {
    UpstreamStatus S = Db.status();
    std::lock_guard Lock(StatusMutex);
    PublishedStatus = S;
    return S;
  }
  /// Adds the status of the server to an answer.
  ServerFrame withStatus(ServerFrame F) {
    *F.mutable_status() = publishStatus();
    return F;
  }
  /// Waits for a slot, holds it for the service time, then runs \p Effect with
  /// the database locked and releases the slot.
  template <typename Function>
  ServerFrame runInSlot(std::uint32_t ServiceUs, Function Effect) {
    ++Statements;
    FreeSlots.acquire();
    if (ServiceUs > 0)
      std::this_thread::sleep_for(std::chrono::microseconds(ServiceUs));
    std::unique_lock Lock(Mutex);
    ServerFrame F = withStatus(Effect());
    Lock.unlock();
    FreeSlots.release();
    return F;
  }

  std::mutex Mutex;
  /// Notified when the log, the term or the role may have changed.
  std::condition_variable Changed;
  std::ofstream JournalFile;
  Database Db;
  std::mutex StatusMutex;
  UpstreamStatus PublishedStatus;
  std::map<std::string, std::string> AddressMap;
  Slots FreeSlots;
  std::mutex SessionMutex;
  std::list<Session> Sessions;
  std::atomic<std::uint32_t> LagMs{0};
  std::atomic<std::uint32_t> ServiceUs{1000};
  std::atomic<std::uint32_t> ConnectionLimit{30};
  /// Time that it takes to open a connection.
  std::atomic<std::uint32_t> OpenMs{10};
  std::atomic<std::uint64_t> Refused{0};
  std::atomic<std::uint64_t> Statements{0};
  std::atomic<std::uint64_t> ControlRequests{0};
};

grpc::Status
Server::Connect(grpc::ServerContext *Context,
                grpc::ServerReaderWriter<ServerFrame, ClientFrame> *Stream) {
  ClientFrame In;
  ServerFrame F;
  if (!Stream->Read(&In))
    return grpc::Status::OK;
  auto S = Sessions.end();
  {
    std::lock_guard Lock(SessionMutex);
    if (!In.has_open())
      F.set_code(CODE_ERROR);
    else if (Sessions.size() >= ConnectionLimit)
      F.set_code(CODE_TOO_MANY_CONNECTIONS);
    else
      S = Sessions.emplace(Sessions.end());
  }
  if (F.code() != CODE_UNSPECIFIED) {
    ++Refused;
    F.set_exchange_id(In.exchange_id());
    F.set_message("the connection limit is reached, or no Open was sent");
    Stream->Write(F);
    return grpc::Status::OK;
  }
  std::this_thread::sleep_for(milliseconds(OpenMs));
  do {
    if (!S->Hung)
      F = handle(In, *S);
    while (S->Hung && !Context->IsCancelled())
      std::this_thread::sleep_for(10ms);
    F.set_exchange_id(In.exchange_id());
  } while (!Context->IsCancelled() && Stream->Write(F) && Stream->Read(&In));
  std::lock_guard Lock(SessionMutex);
  Sessions.erase(S);
  return grpc::Status::OK;
}

grpc::Status Server::Pull(grpc::ServerContext *, const v1::PullRequest *Request,
                          v1::PullAnswer *Answer) {
  auto Deadline = steady_clock::now() + milliseconds(Request->wait_ms());
  std::unique_lock Lock(Mutex);
  while (true) {
    PullResult Found =
        Db.findEntries(*Request, monotonicUs() - Request->lag_ms() * 1000LL);
    if (Found.Header.code() != CODE_OK || !Found.Entries.empty() ||
        Found.Header.common() < Request->last_index() ||
        Found.Header.history_size() != Request->history_size() ||
        steady_clock::now() >= Deadline) {
      Lock.unlock();
      *Answer = Found.message();
      return grpc::Status::OK;
    }
    // Nothing notifies Changed when an entry that the lag holds back becomes
    // due, so poll for it every millisecond.
    bool HeldBack = Db.log().size() > Request->last_index();
    auto Wake = HeldBack ? steady_clock::now() + 1ms : Deadline;
    Changed.wait_until(Lock, std::min(Wake, Deadline));
  }
}

ServerFrame Server::handle(const ClientFrame &In, Session &S) {
  switch (In.body_case()) {
  case ClientFrame::kExecute:
    return execute(In.execute(), S);
  case ClientFrame::kCommit:
    return commit(In.commit(), S);
  case ClientFrame::kConfirmTerm:
    return confirm(In.confirm_term());
  case ClientFrame::kOpen:
  case ClientFrame::kStatus:
    return reportStatus();
  default:
    return control(In, S);
  }
}

ServerFrame Server::execute(const Execute &Request, Session &S) {
  // A write checks its position itself, after the search for a recorded answer.
  bool Reads = S.OpenTransaction || !Request.write();
  if (Reads && Request.min_position().index() > 0) {
    std::unique_lock Lock(Mutex);
    Changed.wait_for(Lock, milliseconds(Request.wait_ms()), [&] {
      return Db.holds(Request.min_position()) != CODE_BEHIND;
    });
    ServerFrame F;
    F.set_code(Db.holds(Request.min_position()));
    if (F.code() != CODE_OK)
      return withStatus(F);
  }
  v1::Statement Parsed;
  Parsed.ParseFromString(Request.statement());
  std::uint32_t Service =
      Parsed.service_us() > 0 ? Parsed.service_us() : ServiceUs.load();
  return runInSlot(Service, [&] {
    if (S.OpenTransaction)
      return Db.run(*S.OpenTransaction, Request);
    if (!Request.write())
      return Db.read(Request);
    ServerFrame F = Db.write(Request, wallClockMs());
    Changed.notify_all();
    return F;
  });
}

ServerFrame Server::commit(const Commit &Request, Session &S) {
  if (!S.OpenTransaction) {
    std::lock_guard Lock(Mutex);
    ServerFrame F;
    F.set_code(CODE_NO_TRANSACTION);
    return withStatus(F);
  }
  Transaction T = std::move(*S.OpenTransaction);
  S.OpenTransaction.reset();
  return runInSlot(T.Write ? ServiceUs.load() : 0, [&] {
    ServerFrame F = Db.commit(T, Request, wallClockMs());
    Changed.notify_all();
    return F;
  });
}

ServerFrame Server::confirm(const ConfirmTerm &Request) {
  ++ControlRequests;
  std::unique_lock Lock(Mutex);
  Changed.wait_for(Lock, milliseconds(Request.wait_ms()), [&] {
    return Db.confirm(Request.term(), Request.position()).code() != CODE_BEHIND;
  });
  return withStatus(Db.confirm(Request.term(), Request.position()));
}

ServerFrame Server::reportStatus() {
  ++ControlRequests;
  ServerFrame F;
  F.set_code(CODE_OK);
  std::lock_guard Lock(StatusMutex);
  *F.mutable_status() = PublishedStatus;
  return F;
}

ServerFrame Server::control(const ClientFrame &In, Session &S) {
  ++ControlRequests;
  std::lock_guard Lock(Mutex);
  ServerFrame F;
  F.set_code(CODE_OK);
  switch (In.body_case()) {
  case ClientFrame::kBegin: {
    Transaction T;
    F = Db.begin(In.begin(), T);
    if (F.code() == CODE_OK)
      S.OpenTransaction = std::move(T);
    break;
  }
  case ClientFrame::kRollback:
    if (!S.OpenTransaction)
      F.set_code(CODE_NO_TRANSACTION);
    S.OpenTransaction.reset();
    break;
  case ClientFrame::kRaiseTerm:
    F = Db.raiseTerm(In.raise_term().term(), In.raise_term().candidate());
    break;
  case ClientFrame::kPromote:
    F = Db.promote(In.promote().term(), In.promote().candidate());
    break;
  case ClientFrame::kFollow:
    F = Db.follow(In.follow().term(), In.follow().primary_address());
    break;
  default:
    F.set_code(CODE_ERROR);
    F.set_message("unknown operation");
  }
  Changed.notify_all();
  return withStatus(F);
}

void Server::replicate() {
  std::shared_ptr<grpc::Channel> Channel;
  std::string Connected;
  while (true) {
    v1::PullRequest Request;
    std::string Address;
    {
      std::unique_lock Lock(Mutex);
      if (!Db.nextPull(Request, Address)) {
        Changed.wait_for(Lock, 20ms);
        continue;
      }
    }
    if (!Channel || Connected != Address) {
      auto It = AddressMap.find(Address);
      grpc::ChannelArguments Arguments;
      // Don't share connections between channels: a shared one may be a
      // connection that no longer responds.
      Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
      Arguments.SetMaxReceiveMessageSize(-1);
      Channel = grpc::CreateCustomChannel(
          It == AddressMap.end() ? Address : It->second,
          grpc::InsecureChannelCredentials(), Arguments);
      Connected = Address;
    }
    Request.set_lag_ms(LagMs);
    Request.set_wait_ms(PullWaitMs);
    grpc::ClientContext Context;
    Context.set_deadline(std::chrono::system_clock::now() + PullTimeout);
    v1::PullAnswer Answer;
    auto Stub = v1::Replication::NewStub(Channel);
    bool Received = Stub->Pull(&Context, Request, &Answer).ok();
    bool Applied = false;
    if (Received) {
      std::lock_guard Lock(Mutex);
      // The answer to a pull sent before the lag was changed must not bypass
      // the new lag.
      Applied = Request.lag_ms() == LagMs &&
                Db.replicate(Request.term(), std::move(Answer));
      publishStatus();
      Changed.notify_all();
    } else {
      Channel.reset();
    }
    if (!Applied)
      std::this_thread::sleep_for(20ms);
  }
}

grpc::Status Server::Configure(grpc::ServerContext *,
                               const v1::UpstreamSettings *In,
                               v1::UpstreamState *State) {
  if (In->has_service_us())
    ServiceUs = In->service_us();
  if (In->has_slots())
    FreeSlots.resize(In->slots());
  if (In->has_connection_limit())
    ConnectionLimit = In->connection_limit();
  if (In->has_open_ms())
    OpenMs = In->open_ms();
  std::unique_lock Lock(Mutex);
  if (In->has_lag_ms())
    LagMs = In->lag_ms();
  if (In->has_retention_ms())
    Db.RetentionMs = In->retention_ms();
  if (In->has_leaving())
    Db.Leaving = In->leaving();
  *State->mutable_status() = publishStatus();
  Lock.unlock();
  std::lock_guard SessionLock(SessionMutex);
  auto Remaining = In->hang_connections();
  for (Session &S : Sessions)
    if (Remaining > 0 && !S.Hung.exchange(true))
      --Remaining;
  State->set_connections(static_cast<std::uint32_t>(Sessions.size()));
  State->set_refused(Refused);
  State->set_statements(Statements);
  State->set_control_requests(ControlRequests);
  return grpc::Status::OK;
}

} // namespace
} // namespace eelgrassloom::standin

int main(int Argc, const char **Argv) {
  using namespace eelgrassloom::standin;
  // --primary is empty on the server that starts as the primary of --term. With
  // --term=0 the server starts without a role.
  Flags F = readFlags(Argc, Argv,
                      {{"id", "upstream"},
                       {"listen", "127.0.0.1:0"},
                       {"term", "0"},
                       {"primary", ""},
                       {"address-map", ""},
                       {"slots", "5"},
                       {"service-us", "1000"},
                       {"connection-limit", "30"},
                       {"journal", ""},
                       {"inject-fault", "0"}});
  prepareProcess();
  Server Db(F["id"], readAddressMap(F["address-map"]));
  auto Number = [&](const char *Name) {
    return static_cast<std::uint32_t>(std::stoul(F[Name]));
  };
  v1::UpstreamSettings Initial;
  v1::UpstreamState Unused;
  Initial.set_slots(Number("slots"));
  Initial.set_service_us(Number("service-us"));
  Initial.set_connection_limit(Number("connection-limit"));
  Db.Configure(nullptr, &Initial, &Unused);
  Db.inject(static_cast<InjectedFault>(Number("inject-fault")));
  if (!F["journal"].empty())
    Db.openJournal(F["journal"]);
  if (Number("term") > 0 && Db.uninitialized())
    Db.initializeRole(Number("term"), F["primary"]);
  std::thread([&Db] { Db.replicate(); }).detach();
  int Status = serve(F["listen"], Db.services());
  // The replication thread never returns, so the process ends without joining
  // it.
  std::quick_exit(Status);
}
