#include "goldcrest/adapters/http_client.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <deque>
#include <list>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "client_connection.h"
#include "goldcrest/adapters/system_clock.h"
#include "net.h"

namespace goldcrest::adapters {
namespace {

using Connection = std::shared_ptr<ClientConnection>;

// A call, or a request for a pinned connection, that waits for a connection.
struct Job {
  HttpCall call;
  HttpCallback callback;
  PinnedCallback on_pinned;  // set only when a pinned connection is requested
  Time deadline;
  bool retried = false;
  std::optional<SteadyTimer> timer;
};

void FailNotSent(Job& job, std::string cause) {
  if (job.on_pinned)
    job.on_pinned(nullptr, std::move(cause));
  else
    job.callback({.error = std::move(cause)});
}

}  // namespace

// All members run on strand_, so no lock is needed.
class HttpClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, HttpClientOptions options)
      : strand_(asio::make_strand(context)),
        options_(std::move(options)),
        idle_timer_(strand_) {}

  const Strand& Executor() const { return strand_; }
  std::size_t OpenConnections() const { return open_connections_; }

  void Submit(const std::shared_ptr<Job>& job);
  void SetMaxConnections(std::size_t maximum);
  void Close();
  //! Returns a connection to the pool.
  void ReturnToPool(const Connection& connection);
  void RemoveAndClose(const Connection& connection);
  //! Closes idle connections that received nothing since `start`, since the
  //! network fault behind a call's timeout may affect them as well.
  void CloseSilentIdleConnections(SteadyClock::time_point start);

 private:
  //! Assigns idle connections to waiting jobs and opens connections for the
  //! others, up to the maximum.
  void AssignConnections();
  std::shared_ptr<Job> TakeNextJob();
  void OpenConnection();
  void OnConnected(const Connection& connection, error_code error);
  void AssignConnection(const Connection& connection,
                        const std::shared_ptr<Job>& job);
  void OnCallDone(const Connection& connection,
                  const std::shared_ptr<Job>& job,
                  SteadyClock::time_point start,
                  HttpResult result,
                  bool reusable);
  void ArmDeadline(const std::shared_ptr<Job>& job);
  void ArmIdleTimer();
  void CloseExpiredIdleConnections();

  struct Idle {
    Connection connection;
    SteadyClock::time_point since;
  };

  const Strand strand_;
  HttpClientOptions options_;
  SteadyTimer idle_timer_;
  bool idle_timer_armed_ = false;
  bool closed_ = false;
  std::uint64_t next_epoch_ = 1;
  std::size_t connecting_count_ = 0;
  std::set<Connection> connections_;  // in any state
  std::vector<Idle> idle_;            // oldest first
  std::list<std::shared_ptr<Job>> waiting_jobs_;
  std::atomic<std::size_t> open_connections_ = 0;
};

namespace {

// Runs the calls of one pinned connection on the client's strand.
class PinnedCallQueue : public std::enable_shared_from_this<PinnedCallQueue> {
 public:
  PinnedCallQueue(std::shared_ptr<HttpClient::Impl> client,
                  Connection connection)
      : client_(std::move(client)), connection_(std::move(connection)) {}

  void Enqueue(HttpCall call, HttpCallback callback) {
    queue_.push_back({std::move(call), std::move(callback)});
    RunQueued();
  }

  void Release() {
    if (ended_)
      return;
    if (running_) {
      Close();
      return;
    }
    ended_ = true;
    client_->ReturnToPool(connection_);
  }

  void Close() {
    if (std::exchange(ended_, true))
      return;
    client_->RemoveAndClose(connection_);
  }

  const Strand& Executor() const { return client_->Executor(); }
  std::uint64_t Epoch() const { return connection_->Epoch(); }

 private:
  struct QueuedCall {
    HttpCall call;
    HttpCallback callback;
  };

  void RunQueued() {
    while (!running_ && !queue_.empty()) {
      QueuedCall next = std::move(queue_.front());
      queue_.pop_front();
      const bool deadline_passed = next.call.deadline <= SystemClock::Now();
      if (!ended_ && (deadline_passed || !connection_->IsUsable()))
        Close();
      if (ended_) {
        next.callback(
            {.error = deadline_passed ? "deadline" : "connection closed",
             .epoch = Epoch()});
        continue;
      }
      running_ = true;
      connection_->RunCall(
          std::move(next.call),
          [self = shared_from_this(), start = SteadyClock::now(),
           callback = std::move(next.callback)](HttpResult result,
                                                bool reusable) {
            self->running_ = false;
            if (!reusable)
              self->Close();
            if (result.delivery == HttpDelivery::kUnknown)
              self->client_->CloseSilentIdleConnections(start);
            callback(std::move(result));
            self->RunQueued();
          });
    }
  }

  const std::shared_ptr<HttpClient::Impl> client_;
  const Connection connection_;
  std::deque<QueuedCall> queue_;
  bool running_ = false;
  bool ended_ = false;
};

class PinnedHandle : public PinnedConnection {
 public:
  explicit PinnedHandle(std::shared_ptr<PinnedCallQueue> calls)
      : calls_(std::move(calls)) {}

  ~PinnedHandle() override {
    asio::post(calls_->Executor(), [calls = calls_] { calls->Close(); });
  }
  PinnedHandle(const PinnedHandle&) = delete;
  PinnedHandle& operator=(const PinnedHandle&) = delete;

  void Call(HttpCall call, HttpCallback callback) override {
    asio::post(calls_->Executor(), [calls = calls_, call = std::move(call),
                                    callback = std::move(callback)]() mutable {
      calls->Enqueue(std::move(call), std::move(callback));
    });
  }

  void Release() override {
    asio::post(calls_->Executor(), [calls = calls_] { calls->Release(); });
  }

  void Close() override {
    asio::post(calls_->Executor(), [calls = calls_] { calls->Close(); });
  }

  std::uint64_t Epoch() const override { return calls_->Epoch(); }

 private:
  const std::shared_ptr<PinnedCallQueue> calls_;
};

}  // namespace

void HttpClient::Impl::Submit(const std::shared_ptr<Job>& job) {
  if (closed_) {
    FailNotSent(*job, "client closed");
    return;
  }
  if (job->deadline <= SystemClock::Now()) {
    FailNotSent(*job, "deadline");
    return;
  }
  if (waiting_jobs_.size() >= options_.max_waiting) {
    FailNotSent(*job, "too many calls wait for a connection");
    return;
  }
  waiting_jobs_.push_back(job);
  AssignConnections();
  ArmDeadline(job);
}

// Has no effect if the job is no longer queued.
void HttpClient::Impl::ArmDeadline(const std::shared_ptr<Job>& job) {
  if (waiting_jobs_.empty() || waiting_jobs_.back() != job)
    return;
  job->timer.emplace(strand_);
  job->timer->expires_at(SystemClock::ToSteady(job->deadline));
  job->timer->async_wait(
      [self = shared_from_this(), job](error_code cancelled) {
        if (!cancelled && self->waiting_jobs_.remove(job) > 0)
          FailNotSent(*job, "deadline");
      });
}

std::shared_ptr<Job> HttpClient::Impl::TakeNextJob() {
  std::shared_ptr<Job> job = std::move(waiting_jobs_.front());
  waiting_jobs_.pop_front();
  if (job->timer)
    job->timer->cancel();
  return job;
}

void HttpClient::Impl::AssignConnections() {
  while (!waiting_jobs_.empty() && !idle_.empty()) {
    const Connection connection = std::move(idle_.back().connection);
    idle_.pop_back();
    if (connection->IsUsable())
      AssignConnection(connection, TakeNextJob());
    else
      RemoveAndClose(connection);
  }
  while (connecting_count_ < waiting_jobs_.size() &&
         connections_.size() < options_.max_connections)
    OpenConnection();
}

void HttpClient::Impl::OpenConnection() {
  const auto connection = std::make_shared<ClientConnection>(
      strand_, next_epoch_++, options_.max_body_bytes);
  connections_.insert(connection);
  open_connections_ = connections_.size();
  ++connecting_count_;
  error_code error;
  const auto address = asio::ip::make_address(options_.host, error);
  auto done = [self = shared_from_this(), connection](error_code failure) {
    self->OnConnected(connection, failure);
  };
  if (error) {
    asio::post(strand_, [done, error] { done(error); });
    return;
  }
  connection->Connect({address, options_.port}, options_.connect_timeout,
                      std::move(done));
}

void HttpClient::Impl::OnConnected(const Connection& connection,
                                   error_code error) {
  --connecting_count_;
  if (closed_ || error) {
    RemoveAndClose(connection);
    // Each failed connection attempt ends one call, so that calls fail before
    // their deadline while the address refuses connections.
    if (!waiting_jobs_.empty())
      FailNotSent(*TakeNextJob(), "connect failed: " + error.message());
    AssignConnections();
    return;
  }
  if (waiting_jobs_.empty() || connections_.size() > options_.max_connections) {
    ReturnToPool(connection);
    return;
  }
  AssignConnection(connection, TakeNextJob());
}

void HttpClient::Impl::AssignConnection(const Connection& connection,
                                        const std::shared_ptr<Job>& job) {
  if (job->on_pinned) {
    auto calls =
        std::make_shared<PinnedCallQueue>(shared_from_this(), connection);
    job->on_pinned(std::make_shared<PinnedHandle>(std::move(calls)), {});
    return;
  }
  const auto start = SteadyClock::now();
  // Keeps the call for a retry only on a reused connection, since a new
  // connection can't be stale.
  HttpCall call = connection->AnsweredCalls() > 0 && !job->retried
                      ? job->call
                      : std::move(job->call);
  call.deadline = job->deadline;
  connection->RunCall(
      std::move(call), [self = shared_from_this(), connection, job, start](
                           HttpResult result, bool reusable) {
        self->OnCallDone(connection, job, start, std::move(result), reusable);
      });
}

void HttpClient::Impl::OnCallDone(const Connection& connection,
                                  const std::shared_ptr<Job>& job,
                                  SteadyClock::time_point start,
                                  HttpResult result,
                                  bool reusable) {
  const bool stale = connection->AnsweredCalls() > 0 && !job->retried &&
                     result.delivery == HttpDelivery::kNotSent;
  if (reusable)
    ReturnToPool(connection);
  else
    RemoveAndClose(connection);
  if (result.delivery != HttpDelivery::kAnswered)
    CloseSilentIdleConnections(start);
  if (stale && !closed_ && job->deadline > SystemClock::Now()) {
    job->retried = true;
    CloseSilentIdleConnections(SteadyClock::time_point::max());
    waiting_jobs_.push_back(job);
    ArmDeadline(job);
    AssignConnections();
    return;
  }
  job->callback(std::move(result));
  AssignConnections();
}

void HttpClient::Impl::ReturnToPool(const Connection& connection) {
  if (closed_ || connections_.size() > options_.max_connections ||
      !connection->IsUsable()) {
    RemoveAndClose(connection);
    AssignConnections();
    return;
  }
  idle_.push_back({connection, SteadyClock::now()});
  connection->WatchIdle(
      [weak = weak_from_this(), watched = std::weak_ptr(connection)] {
        const auto self = weak.lock();
        const auto broken = watched.lock();
        if (!self || !broken)
          return;
        const auto is_broken = [&broken](const Idle& idle) {
          return idle.connection == broken;
        };
        // A pinned connection without a call is not in the idle list. Its next
        // call detects that it is unusable.
        if (std::erase_if(self->idle_, is_broken) > 0)
          self->RemoveAndClose(broken);
      });
  ArmIdleTimer();
  AssignConnections();
}

void HttpClient::Impl::RemoveAndClose(const Connection& connection) {
  connections_.erase(connection);
  open_connections_ = connections_.size();
  connection->Close();
  if (!waiting_jobs_.empty() && !closed_)
    asio::post(strand_,
               [self = shared_from_this()] { self->AssignConnections(); });
}

void HttpClient::Impl::CloseSilentIdleConnections(
    SteadyClock::time_point start) {
  std::vector<Connection> silent;
  std::erase_if(idle_, [&](const Idle& idle) {
    if (idle.connection->LastReceived() >= start)
      return false;
    silent.push_back(idle.connection);
    return true;
  });
  for (const Connection& connection : silent)
    RemoveAndClose(connection);
}

void HttpClient::Impl::ArmIdleTimer() {
  if (idle_timer_armed_ || idle_.empty())
    return;
  idle_timer_armed_ = true;
  idle_timer_.expires_at(idle_.front().since + options_.idle_timeout);
  idle_timer_.async_wait([weak = weak_from_this()](error_code cancelled) {
    const auto self = weak.lock();
    if (!cancelled && self)
      self->CloseExpiredIdleConnections();
  });
}

void HttpClient::Impl::CloseExpiredIdleConnections() {
  idle_timer_armed_ = false;
  const auto limit = SteadyClock::now() - options_.idle_timeout;
  while (!idle_.empty() && idle_.front().since <= limit) {
    const Connection connection = idle_.front().connection;
    idle_.erase(idle_.begin());
    RemoveAndClose(connection);
  }
  ArmIdleTimer();
}

void HttpClient::Impl::SetMaxConnections(std::size_t maximum) {
  options_.max_connections = maximum;
  while (connections_.size() > maximum && !idle_.empty()) {
    const Connection connection = idle_.front().connection;
    idle_.erase(idle_.begin());
    RemoveAndClose(connection);
  }
  AssignConnections();
}

void HttpClient::Impl::Close() {
  closed_ = true;
  idle_timer_.cancel();
  idle_.clear();
  while (!waiting_jobs_.empty())
    FailNotSent(*TakeNextJob(), "client closed");
  const auto connections = std::exchange(connections_, {});
  open_connections_ = 0;
  for (const Connection& connection : connections)
    connection->Close();
}

HttpClient::HttpClient(boost::asio::io_context& context,
                       HttpClientOptions options)
    : impl_(std::make_shared<Impl>(context, std::move(options))) {}

HttpClient::~HttpClient() {
  Close();
}

void HttpClient::Call(HttpCall call, HttpCallback callback) {
  auto job = std::make_shared<Job>();
  job->deadline = call.deadline;
  job->call = std::move(call);
  job->callback = std::move(callback);
  asio::post(impl_->Executor(),
             [impl = impl_, job = std::move(job)] { impl->Submit(job); });
}

void HttpClient::OpenPinned(Time deadline, PinnedCallback callback) {
  auto job = std::make_shared<Job>();
  job->deadline = deadline;
  job->on_pinned = std::move(callback);
  asio::post(impl_->Executor(),
             [impl = impl_, job = std::move(job)] { impl->Submit(job); });
}

void HttpClient::SetMaxConnections(std::size_t maximum) {
  asio::post(impl_->Executor(),
             [impl = impl_, maximum] { impl->SetMaxConnections(maximum); });
}

std::size_t HttpClient::OpenConnections() const {
  return impl_->OpenConnections();
}

void HttpClient::Close() {
  asio::post(impl_->Executor(), [impl = impl_] { impl->Close(); });
}

}  // namespace goldcrest::adapters
