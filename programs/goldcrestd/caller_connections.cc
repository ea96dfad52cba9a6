#include "programs/goldcrestd/caller_connections.h"

#include <chrono>

#include "goldcrest/adapters/system_clock.h"
#include "goldcrest/platform/statement_codec.h"

namespace goldcrest {
namespace {

using adapters::LineSocket;
using adapters::SystemClock;
using boost::asio::ip::tcp;
using statements::SessionId;
using std::chrono::milliseconds;

// Time after the last answer in which the caller may close its side; then the
// connection is closed.
constexpr milliseconds kCallerCloseTimeout{500};

// Delay before the next accept after a failure, such as when the process has no
// free descriptor.
constexpr Duration kAcceptRetryDelay = milliseconds(100);

// While no further connection can be accepted, a caller has this time to open
// its session.
constexpr Duration kMinStartTime = std::chrono::seconds(2);

// Bounds what the kernel holds of a caller that is not read from. Ample for a
// round trip of some milliseconds.
constexpr int kReceiveBufferBytes = 64 << 10;

}  // namespace

CallerConnections::CallerConnections(boost::asio::io_context& context,
                                     const platform::SocketAddress& address,
                                     const platform::ConnectionLimits& limits,
                                     Hooks hooks)
    : context_(context),
      limits_(limits),
      hooks_(std::move(hooks)),
      acceptor_(context),
      account_(limits.caller_memory_bytes) {
  const tcp::endpoint endpoint(boost::asio::ip::make_address(address.host),
                               address.port);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  // Accepted connections inherit it.
  acceptor_.set_option(
      boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  acceptor_.bind(endpoint);
  acceptor_.listen();
}

void CallerConnections::Start() {
  accepting_ = true;
  AcceptNext();
}

void CallerConnections::StopAccepting() {
  accepting_ = false;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

bool CallerConnections::HasRoomForCaller() {
  return callers_.size() + closing_.size() < limits_.max_callers;
}

void CallerConnections::AcceptNext() {
  if (!accepting_)
    return;
  if (!HasRoomForCaller()) {
    accept_again_at_ = SystemClock::Now();
    return hooks_.log_limit("accept_paused", "connection limit",
                            callers_.size());
  }
  acceptor_.async_accept(
      [this](boost::system::error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
          return;
        if (!error || error == boost::asio::error::connection_aborted) {
          if (!error)
            OnAccepted(std::move(socket));
          return AcceptNext();
        }
        accept_again_at_ = SystemClock::Now() + kAcceptRetryDelay;
        hooks_.log_limit("accept_paused", error.message(), callers_.size());
      });
}

void CallerConnections::ResumeAccepting(Time now) {
  if (now < accept_again_at_ || !HasRoomForCaller())
    return;
  accept_again_at_ = kNever;
  AcceptNext();
}

void CallerConnections::OnAccepted(tcp::socket socket) {
  const SessionId id = next_session_++;
  auto caller = std::make_shared<LineSocket>(context_, platform::kMaxLineBytes);
  caller->SetLineTimeout(limits_.message_timeout);
  callers_[id].socket = caller;
  unstarted_.emplace_back(SystemClock::Now(), id);
  LineSocket::Hooks hooks;
  hooks.line = [this, id](std::string_view line) { OnLine(id, line); };
  hooks.closed = [this, id](const std::string&) {
    Remove(SystemClock::Now(), id);
    hooks_.closed(id);
  };
  hooks.buffers_changed = [this, id] {
    OnSessionMemory(id);
    ReportOutputRoom(id);
  };
  caller->Accept(std::move(socket), std::move(hooks));
}

void CallerConnections::OnLine(SessionId id, std::string_view line) {
  hooks_.line(id, line);
  OnSessionMemory(id);
}

void CallerConnections::OnSessionMemory(SessionId id) {
  const Time now = SystemClock::Now();
  Update(now, id);
  CloseWhileShort(now);
}

void CallerConnections::Update(Time now, SessionId id) {
  const auto it = callers_.find(id);
  if (it == callers_.end())
    return;
  Caller& caller = it->second;
  const statements::SessionMemory session = hooks_.memory(id);
  const std::size_t output = caller.socket->HeldOutput();
  const std::size_t held =
      caller.socket->HeldInput() + output + session.total_bytes;
  if (caller.recorded || held >= adapters::MemoryAccount::kMinBytes) {
    account_.Set(now, id, held);
    caller.recorded = held >= adapters::MemoryAccount::kMinBytes;
  }
  const bool read = session.queued_bytes < limits_.session_input_bytes &&
                    output < limits_.session_output_bytes &&
                    account_.MayRead(held);
  caller.socket->SetReading(read);
  if (!read)
    paused_.insert(id);
}

void CallerConnections::ReportOutputRoom(SessionId id) {
  const auto it = callers_.find(id);
  if (it == callers_.end() || !it->second.output_full ||
      it->second.socket->HeldOutput() > limits_.session_output_bytes / 2)
    return;
  it->second.output_full = false;
  hooks_.output_room(id);
}

// Continues sessions whose queues have become shorter, and all that had waited
// for memory.
void CallerConnections::UpdatePaused(Time now) {
  const std::vector<SessionId> paused(paused_.begin(), paused_.end());
  for (const SessionId id : paused) {
    Update(now, id);
    ReportOutputRoom(id);
    const auto it = callers_.find(id);
    if (it == callers_.end() || it->second.socket->IsReading())
      paused_.erase(id);
  }
}

void CallerConnections::CloseWhileShort(Time now) {
  while (const auto id = account_.FirstToClose(now))
    CloseByLimit(now, *id, "memory");
}

void CallerConnections::CloseByLimit(Time now,
                                     SessionId id,
                                     const char* cause) {
  const auto it = callers_.find(id);
  if (it == callers_.end())
    return CloseClosing(now, id);
  const std::shared_ptr<LineSocket> socket = it->second.socket;
  hooks_.log_limit("caller_closed", cause,
                   socket->HeldInput() + socket->HeldOutput() +
                       hooks_.memory(id).total_bytes);
  socket->Close();
  Remove(now, id);
  hooks_.closed(id);
}

// A connection of CloseAfterWrites() stays in the account while it is open.
void CallerConnections::CloseClosing(Time now, SessionId id) {
  account_.Set(now, id, 0);
  std::erase_if(closing_, [id](const Closing& closing) {
    const auto socket = closing.socket.lock();
    if (socket && closing.id == id)
      socket->Close();
    return closing.id == id || !socket;
  });
}

void CallerConnections::ForgetClosed(Time now) {
  std::erase_if(closing_, [&](const Closing& closing) {
    const bool closed = closing.socket.expired();
    if (closed)
      account_.Set(now, closing.id, 0);
    return closed;
  });
}

void CallerConnections::Remove(Time now, SessionId id) {
  const auto it = callers_.find(id);
  if (it == callers_.end())
    return;
  if (it->second.recorded)
    account_.Set(now, id, 0);
  callers_.erase(it);
  paused_.erase(id);
}

// A connection without a session must not hold a descriptor for good. One that
// has begun a session start is answered within 1.5 s.
void CallerConnections::CloseUnstarted(Time now) {
  const bool short_of_room = accept_again_at_ != kNever;
  const Duration limit =
      short_of_room ? std::min<Duration>(kMinStartTime, limits_.start_timeout)
                    : Duration(limits_.start_timeout);
  while (!unstarted_.empty()) {
    const auto [connected_at, id] = unstarted_.front();
    const auto it = callers_.find(id);
    const bool waits = it != callers_.end() && !it->second.started;
    if (waits && now - connected_at < limit)
      return;
    unstarted_.pop_front();
    if (waits)
      CloseByLimit(now, id, "no session");
  }
}

void CallerConnections::Tick(Time now) {
  if (!paused_.empty())
    UpdatePaused(now);
  CloseWhileShort(now);
  CloseUnstarted(now);
  if (!closing_.empty())
    ForgetClosed(now);
  ResumeAccepting(now);
}

bool CallerConnections::IsStarted(SessionId id) const {
  const auto it = callers_.find(id);
  return it != callers_.end() && it->second.started;
}

bool CallerConnections::SetStarted(SessionId id) {
  return std::exchange(callers_.at(id).started, true);
}

bool CallerConnections::HasUnreadInput(SessionId id) const {
  const auto it = callers_.find(id);
  return it != callers_.end() && it->second.socket->HasUnreadInput();
}

void CallerConnections::Write(SessionId id, std::string_view bytes) {
  const auto it = callers_.find(id);
  if (it == callers_.end())
    return;
  Caller& caller = it->second;
  caller.socket->Write(bytes);
  if (caller.recorded || caller.socket->HeldOutput() > 0)
    Update(SystemClock::Now(), id);
}

bool CallerConnections::IsOutputFull(SessionId id) const {
  const auto it = callers_.find(id);
  if (it == callers_.end())
    return false;
  const Caller& caller = it->second;
  if (caller.socket->HeldOutput() < limits_.session_output_bytes)
    return false;
  caller.output_full = true;
  return true;
}

void CallerConnections::CloseAfterWrites(SessionId id) {
  const auto it = callers_.find(id);
  if (it == callers_.end())
    return;
  const std::shared_ptr<LineSocket> socket = it->second.socket;
  socket->CloseAfterWrites(kCallerCloseTimeout);
  const Time now = SystemClock::Now();
  Remove(now, id);
  account_.Set(now, id, socket->HeldOutput());
  closing_.push_back({id, socket});
}

bool CallerConnections::HasClosing() {
  ForgetClosed(SystemClock::Now());
  return !closing_.empty();
}

}  // namespace goldcrest
