/// \file
/// Simulated database server: the upstream protocol, replication between
/// servers of a group, and a control service for tests.

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
using upstream::v1::ClientFrame;

constexpr std::uint32_t PullWaitMs = 50;
constexpr milliseconds PullTimeout = 300ms;

std::int64_t wallClockMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Slots of a server; waiters are admitted in the order of their arrival.
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

struct Knobs {
  std::atomic<std::uint32_t> LagMs{0};
  std::atomic<std::uint32_t> ServiceUs{1000};
  std::atomic<std::uint32_t> ConnectionLimit{30};
  std::atomic<std::uint32_t> OpenMs{10};
};

/// One open connection. A hung one neither answers nor closes.
struct Session {
  std::atomic<bool> Hung{false};
  std::optional<Transaction> Open;
};

class Server {
public:
  Server(std::string Id, std::map<std::string, std::string> AddressMap)
      : Db(std::move(Id), [this](const auto &R) { write(R); }),
        AddressMap(std::move(AddressMap)) {}

  /// Repeats the journal in \p File, then appends to it.
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
    // A kill may have left an incomplete record at the end.
    std::ofstream(File, std::ios::app | std::ios::binary).close();
    if (truncate(File.c_str(), Complete) != 0)
      throw std::runtime_error("cannot truncate " + File);
    JournalFile.open(File, std::ios::app | std::ios::binary);
  }

  bool fresh() { return Db.status().raised_term() == 0; }

  void startAs(std::uint64_t Term, const std::string &PrimaryAddress) {
    std::lock_guard Lock(Mutex);
    if (!PrimaryAddress.empty()) {
      Db.follow(Term, PrimaryAddress);
      return;
    }
    Db.raiseTerm(Term, "initial");
    Db.promote(Term, "initial");
  }

  ServerFrame handle(const ClientFrame &In, Session &S);

  /// Answers a pull as soon as there is something to send.
  v1::PullAnswer pull(const v1::PullRequest &Request) {
    auto Deadline = steady_clock::now() + milliseconds(Request.wait_ms());
    std::unique_lock Lock(Mutex);
    while (true) {
      v1::PullAnswer Answer =
          Db.pull(Request, monotonicUs() - Request.lag_ms() * 1000LL);
      bool Behind = Db.log().size() > Request.last_index();
      bool NewTerm =
          Answer.history_size() != Request.history_size() ||
          (Answer.history_size() > 0 && Answer.history().rbegin()->term() !=
                                            Request.history().rbegin()->term());
      if (Answer.code() != upstream::v1::CODE_OK || NewTerm ||
          Answer.entries_size() > 0 || Answer.common() < Request.last_index() ||
          steady_clock::now() >= Deadline)
        return Answer;
      // Entries that the lag holds back become due without a notification.
      auto Wake = Behind ? steady_clock::now() + 1ms : Deadline;
      Changed.wait_until(Lock, std::min(Wake, Deadline));
    }
  }

  /// Replicates from the primary until the process ends.
  void replicate();

  Session *open() {
    std::lock_guard Lock(SessionMutex);
    if (Sessions.size() >= Options.ConnectionLimit) {
      ++Refused;
      return nullptr;
    }
    return &Sessions.emplace_back();
  }
  void close(Session *S) {
    std::lock_guard Lock(SessionMutex);
    Sessions.remove_if([&](const Session &Other) { return &Other == S; });
  }

  v1::UpstreamState configure(const v1::UpstreamSettings &In);
  std::vector<v1::LogEntry> log(std::size_t From, std::size_t Count) {
    std::lock_guard Lock(Mutex);
    const auto &Log = Db.log();
    std::vector<v1::LogEntry> Out;
    for (std::size_t I = From; I < Log.size() && I < From + Count; ++I)
      Out.push_back(Log[I]);
    return Out;
  }

  Knobs Options;

private:
  void write(const v1::JournalRecord &Record) {
    if (!JournalFile.is_open())
      return;
    google::protobuf::util::SerializeDelimitedToOstream(Record, &JournalFile);
    JournalFile.flush();
  }
  ServerFrame execute(const upstream::v1::Execute &Request, Session &S);
  ServerFrame commit(const upstream::v1::Commit &Request, Session &S);
  ServerFrame confirm(const upstream::v1::ConfirmTerm &Request);
  ServerFrame control(const ClientFrame &In, Session &S);
  ServerFrame stamped(ServerFrame F) {
    *F.mutable_status() = Db.status();
    return F;
  }
  /// Runs \p Effect with the database locked, after a slot was free for the
  /// service time.
  template <typename Function>
  ServerFrame inSlot(std::uint32_t ServiceUs, Function Effect) {
    ++Statements;
    Free.acquire();
    if (ServiceUs > 0)
      std::this_thread::sleep_for(std::chrono::microseconds(ServiceUs));
    std::unique_lock Lock(Mutex);
    ServerFrame F = stamped(Effect());
    Lock.unlock();
    Free.release();
    return F;
  }

  std::mutex Mutex;
  /// Log, term or role changed.
  std::condition_variable Changed;
  std::ofstream JournalFile;
  Database Db;
  std::map<std::string, std::string> AddressMap;
  Slots Free;
  std::mutex SessionMutex;
  std::list<Session> Sessions;
  std::atomic<std::uint64_t> Refused{0};
  std::atomic<std::uint64_t> Statements{0};
  std::atomic<std::uint64_t> ControlRequests{0};
};

ServerFrame Server::handle(const ClientFrame &In, Session &S) {
  switch (In.body_case()) {
  case ClientFrame::kExecute:
    return execute(In.execute(), S);
  case ClientFrame::kCommit:
    return commit(In.commit(), S);
  case ClientFrame::kConfirmTerm:
    return confirm(In.confirm_term());
  default:
    return control(In, S);
  }
}

ServerFrame Server::execute(const upstream::v1::Execute &Request, Session &S) {
  if (Request.min_position().index() > 0) {
    std::unique_lock Lock(Mutex);
    Changed.wait_for(Lock, milliseconds(Request.wait_ms()), [&] {
      return Db.holds(Request.min_position()) != upstream::v1::CODE_BEHIND;
    });
    ServerFrame F;
    F.set_code(Db.holds(Request.min_position()));
    if (F.code() != upstream::v1::CODE_OK)
      return stamped(F);
  }
  v1::Statement Parsed;
  Parsed.ParseFromString(Request.statement());
  std::uint32_t Service =
      Parsed.service_us() > 0 ? Parsed.service_us() : Options.ServiceUs.load();
  return inSlot(Service, [&] {
    if (S.Open)
      return Db.run(*S.Open, Request);
    if (!Request.write())
      return Db.read(Request);
    ServerFrame F = Db.write(Request, wallClockMs());
    Changed.notify_all();
    return F;
  });
}

ServerFrame Server::commit(const upstream::v1::Commit &Request, Session &S) {
  if (!S.Open) {
    std::lock_guard Lock(Mutex);
    ServerFrame F;
    F.set_code(upstream::v1::CODE_NO_TRANSACTION);
    return stamped(F);
  }
  Transaction T = std::move(*S.Open);
  S.Open.reset();
  return inSlot(T.Write ? Options.ServiceUs.load() : 0, [&] {
    ServerFrame F = Db.commit(T, Request, wallClockMs());
    Changed.notify_all();
    return F;
  });
}

ServerFrame Server::confirm(const upstream::v1::ConfirmTerm &Request) {
  ++ControlRequests;
  std::unique_lock Lock(Mutex);
  Changed.wait_for(Lock, milliseconds(Request.wait_ms()), [&] {
    return Db.confirm(Request.term(), Request.position()).code() !=
           upstream::v1::CODE_BEHIND;
  });
  return stamped(Db.confirm(Request.term(), Request.position()));
}

ServerFrame Server::control(const ClientFrame &In, Session &S) {
  ++ControlRequests;
  std::lock_guard Lock(Mutex);
  ServerFrame F;
  F.set_code(upstream::v1::CODE_OK);
  switch (In.body_case()) {
  case ClientFrame::kOpen:
  case ClientFrame::kStatus:
    break;
  case ClientFrame::kBegin: {
    Transaction T;
    F = Db.begin(In.begin(), T);
    if (F.code() == upstream::v1::CODE_OK)
      S.Open = std::move(T);
    break;
  }
  case ClientFrame::kRollback:
    if (!S.Open)
      F.set_code(upstream::v1::CODE_NO_TRANSACTION);
    S.Open.reset();
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
    F.set_code(upstream::v1::CODE_ERROR);
    F.set_message("unknown operation");
  }
  Changed.notify_all();
  return stamped(F);
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
      // A shared connection could be one that no longer responds.
      Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
      Arguments.SetMaxReceiveMessageSize(-1);
      Channel = grpc::CreateCustomChannel(
          It == AddressMap.end() ? Address : It->second,
          grpc::InsecureChannelCredentials(), Arguments);
      Connected = Address;
    }
    Request.set_lag_ms(Options.LagMs);
    Request.set_wait_ms(PullWaitMs);
    grpc::ClientContext Context;
    Context.set_deadline(std::chrono::system_clock::now() + PullTimeout);
    v1::PullAnswer Answer;
    auto Stub = v1::Replication::NewStub(Channel);
    bool Received = Stub->Pull(&Context, Request, &Answer).ok();
    bool Taken = false;
    if (Received) {
      std::lock_guard Lock(Mutex);
      // A pull from before a change of the lag must not bypass it.
      Taken = Request.lag_ms() == Options.LagMs &&
              Db.replicate(Request.term(), Answer);
      Changed.notify_all();
    } else {
      Channel.reset();
    }
    if (!Taken)
      std::this_thread::sleep_for(20ms);
  }
}

v1::UpstreamState Server::configure(const v1::UpstreamSettings &In) {
  if (In.has_service_us())
    Options.ServiceUs = In.service_us();
  if (In.has_slots())
    Free.resize(In.slots());
  if (In.has_connection_limit())
    Options.ConnectionLimit = In.connection_limit();
  if (In.has_open_ms())
    Options.OpenMs = In.open_ms();
  v1::UpstreamState State;
  {
    std::lock_guard Lock(Mutex);
    if (In.has_lag_ms())
      Options.LagMs = In.lag_ms();
    if (In.has_retention_ms())
      Db.RetentionMs = In.retention_ms();
    if (In.has_leaving())
      Db.Leaving = In.leaving();
    *State.mutable_status() = Db.status();
  }
  std::lock_guard Lock(SessionMutex);
  auto Remaining = In.hang_connections();
  for (Session &S : Sessions)
    if (Remaining > 0 && !S.Hung.exchange(true))
      --Remaining;
  State.set_connections(static_cast<std::uint32_t>(Sessions.size()));
  State.set_refused(Refused);
  State.set_statements(Statements);
  State.set_control_requests(ControlRequests);
  return State;
}

class UpstreamService final : public upstream::v1::Upstream::Service {
public:
  explicit UpstreamService(Server &Db) : Db(Db) {}

  grpc::Status
  Connect(grpc::ServerContext *Context,
          grpc::ServerReaderWriter<ServerFrame, ClientFrame> *Stream) override {
    ClientFrame In;
    if (!Stream->Read(&In))
      return grpc::Status::OK;
    Session *S = In.has_open() ? Db.open() : nullptr;
    if (!S) {
      ServerFrame F;
      F.set_exchange_id(In.exchange_id());
      F.set_code(In.has_open() ? upstream::v1::CODE_TOO_MANY_CONNECTIONS
                               : upstream::v1::CODE_ERROR);
      F.set_message(In.has_open() ? "connection limit reached"
                                  : "the first frame must be Open");
      Stream->Write(F);
      return grpc::Status::OK;
    }
    std::this_thread::sleep_for(milliseconds(Db.Options.OpenMs));
    do {
      ServerFrame F;
      if (!S->Hung)
        F = Db.handle(In, *S);
      while (S->Hung && !Context->IsCancelled())
        std::this_thread::sleep_for(10ms);
      F.set_exchange_id(In.exchange_id());
      if (Context->IsCancelled() || !Stream->Write(F))
        break;
    } while (Stream->Read(&In));
    Db.close(S);
    return grpc::Status::OK;
  }

private:
  Server &Db;
};

class ReplicationService final : public v1::Replication::Service {
public:
  explicit ReplicationService(Server &Db) : Db(Db) {}
  grpc::Status Pull(grpc::ServerContext *, const v1::PullRequest *Request,
                    v1::PullAnswer *Answer) override {
    *Answer = Db.pull(*Request);
    return grpc::Status::OK;
  }

private:
  Server &Db;
};

class ControlService final : public v1::UpstreamControl::Service {
public:
  explicit ControlService(Server &Db) : Db(Db) {}
  grpc::Status Configure(grpc::ServerContext *,
                         const v1::UpstreamSettings *Request,
                         v1::UpstreamState *Answer) override {
    *Answer = Db.configure(*Request);
    return grpc::Status::OK;
  }
  grpc::Status Log(grpc::ServerContext *, const v1::LogRequest *,
                   grpc::ServerWriter<v1::LogEntry> *Writer) override {
    constexpr std::size_t Batch = 1000;
    std::vector<v1::LogEntry> Part;
    for (std::size_t From = 0; !(Part = Db.log(From, Batch)).empty();
         From += Part.size())
      for (const v1::LogEntry &Entry : Part)
        Writer->Write(Entry);
    return grpc::Status::OK;
  }

private:
  Server &Db;
};

} // namespace
} // namespace eelgrassloom::standin

int main(int Argc, const char **Argv) {
  using namespace eelgrassloom::standin;
  // --primary is empty on the server that starts as primary of --term.
  Flags F = readFlags(Argc, Argv,
                      {{"id", "upstream"},
                       {"listen", "127.0.0.1:0"},
                       {"term", "0"},
                       {"primary", ""},
                       {"address-map", ""},
                       {"slots", "5"},
                       {"service-us", "1000"},
                       {"connection-limit", "30"},
                       {"journal", ""}});
  prepareProcess();
  Server Db(F["id"], readAddressMap(F["address-map"]));
  v1::UpstreamSettings Initial;
  Initial.set_slots(static_cast<std::uint32_t>(std::stoul(F["slots"])));
  Initial.set_service_us(
      static_cast<std::uint32_t>(std::stoul(F["service-us"])));
  Initial.set_connection_limit(
      static_cast<std::uint32_t>(std::stoul(F["connection-limit"])));
  Db.configure(Initial);
  if (!F["journal"].empty())
    Db.openJournal(F["journal"]);
  if (std::uint64_t Term = std::stoull(F["term"]); Term > 0 && Db.fresh())
    Db.startAs(Term, F["primary"]);
  std::thread([&Db] { Db.replicate(); }).detach();
  UpstreamService Upstream(Db);
  ReplicationService Replication(Db);
  ControlService Control(Db);
  int Status = serve(F["listen"], {&Upstream, &Replication, &Control});
  // The replication thread has no end of its own.
  std::quick_exit(Status);
}
