#include "programs/goldcrestd/endpoint_prober.h"

#include <chrono>
#include <utility>

#include "goldcrest/adapters/system_clock.h"
#include "goldcrest/platform/boot_settings.h"

namespace goldcrest {
namespace {

using adapters::SystemClock;
using fleet::ProbePurpose;
using fleet::ProbeResult;
using statements::EndpointCommand;
using statements::Outcome;

// An endpoint answers within a few milliseconds; a lost packet delays the
// answer by 200 ms.
constexpr std::chrono::milliseconds kAnswerTimeout{350};

constexpr Duration kMaxIdleTime = std::chrono::seconds(2);

// Probes have no customer; endpoints receive this name instead.
constexpr const char* kProbeCustomer = "goldcrestcross";

EndpointCommand CommandFor(ProbePurpose purpose, std::int64_t fence_term) {
  EndpointCommand command;
  switch (purpose) {
    case ProbePurpose::kLeadership:
      command.kind = EndpointCommand::Kind::kBegin;
      break;
    case ProbePurpose::kPosition:
      command.kind = EndpointCommand::Kind::kStatus;
      break;
    case ProbePurpose::kFence:
      command.kind = EndpointCommand::Kind::kPause;
      command.value = std::to_string(fence_term);
      break;
    case ProbePurpose::kUnfence:
      command.kind = EndpointCommand::Kind::kResume;
      break;
  }
  return command;
}

// Only the primary accepts BEGIN, and only a replica refuses it as read-only.
// An endpoint that is too busy to answer says nothing of itself.
ProbeResult ResultOf(ProbePurpose purpose, const statements::Answer& answer) {
  ProbeResult result;
  result.purpose = purpose;
  result.kind = ProbeResult::Kind::kUndetermined;
  result.position = answer.position;
  if (purpose == ProbePurpose::kLeadership) {
    if (answer.outcome == Outcome::kDone)
      result.kind = ProbeResult::Kind::kLeads;
    else if (answer.outcome == Outcome::kReadOnly)
      result.kind = ProbeResult::Kind::kFollows;
    return result;
  }
  if (answer.outcome == Outcome::kMalformed)
    result.kind = ProbeResult::Kind::kUnsupported;
  if (const auto status = platform::DecodeStatus(answer)) {
    result.kind = ProbeResult::Kind::kFollows;
    result.position = status->received;
    result.newest_term = status->term;
  }
  return result;
}

}  // namespace

EndpointProber::EndpointProber(boost::asio::io_context& context,
                               adapters::Scheduler& scheduler,
                               ResultCallback on_result)
    : context_(context),
      scheduler_(scheduler),
      on_result_(std::move(on_result)) {}

EndpointProber::~EndpointProber() {
  for (auto& [endpoint, connection] : connections_)
    connection->socket->Close();
}

void EndpointProber::Probe(const messages::EndpointRecord& record,
                           ProbePurpose purpose,
                           std::int64_t fence_term) {
  const auto it = connections_.find(record.endpoint);
  if (it == connections_.end())
    return Connect(record, purpose, fence_term);
  Connection& connection = *it->second;
  if (connection.record.address != record.address) {
    connection.socket->Close();
    connections_.erase(it);
    return Connect(record, purpose, fence_term);
  }
  switch (connection.state) {
    case Connection::State::kProbing:
    case Connection::State::kAskingPosition:
      if (connection.purpose == purpose)
        return;
      [[fallthrough]];
    case Connection::State::kRollingBack:
      connection.next_purpose = purpose;
      connection.next_fence_term = fence_term;
      return;
    case Connection::State::kStarting:
    case Connection::State::kIdle:
      connection.purpose = purpose;
      connection.fence_term = fence_term;
      connection.probe_sent_at = SystemClock::Now();
      if (connection.state == Connection::State::kIdle)
        SendProbe(connection);
      return;
  }
}

void EndpointProber::Connect(const messages::EndpointRecord& record,
                             ProbePurpose purpose,
                             std::int64_t fence_term) {
  auto& connection = connections_[record.endpoint];
  connection = std::make_unique<Connection>();
  connection->record = record;
  connection->socket =
      std::make_shared<adapters::LineSocket>(context_, platform::kMaxLineBytes);
  connection->purpose = purpose;
  connection->fence_term = fence_term;
  connection->probe_sent_at = SystemClock::Now();
  AwaitAnswer(*connection);
  const platform::SocketAddress address =
      platform::ParseAddress(record.address);
  connection->socket->Connect(
      address.host, address.port, kAnswerTimeout,
      platform::EncodeEndpointStart(record.group, kProbeCustomer,
                                    record.endpoint),
      {[this, endpoint = record.endpoint](std::string_view line) {
         OnLine(endpoint, line);
       },
       [this, endpoint = record.endpoint](const std::string&) {
         Fail(endpoint);
       }});
}

// The endpoint has failed if it has not answered in time.
void EndpointProber::AwaitAnswer(Connection& connection) {
  const std::uint64_t attempt = ++attempts_;
  connection.attempt = attempt;
  connection.last_used_at = SystemClock::Now();
  scheduler_.After(
      kAnswerTimeout, [this, endpoint = connection.record.endpoint, attempt] {
        const auto it = connections_.find(endpoint);
        if (it == connections_.end() || it->second->attempt != attempt ||
            it->second->state == Connection::State::kIdle)
          return;
        Fail(endpoint);
      });
}

void EndpointProber::SendProbe(Connection& connection) {
  connection.state = Connection::State::kProbing;
  connection.probe_sent_at = SystemClock::Now();
  AwaitAnswer(connection);
  connection.socket->Write(platform::EncodeCommand(
      CommandFor(connection.purpose, connection.fence_term)));
}

// Asks in the transaction that BEGIN has opened, which the endpoint refuses to
// continue once it no longer leads.
void EndpointProber::AskPosition(Connection& connection) {
  connection.state = Connection::State::kAskingPosition;
  AwaitAnswer(connection);
  connection.socket->Write(
      platform::EncodeCommand(CommandFor(ProbePurpose::kPosition, 0)));
}

void EndpointProber::SendRollback(Connection& connection) {
  connection.state = Connection::State::kRollingBack;
  AwaitAnswer(connection);
  EndpointCommand rollback;
  rollback.kind = EndpointCommand::Kind::kRollback;
  connection.socket->Write(platform::EncodeCommand(rollback));
}

void EndpointProber::SendNextProbe(Connection& connection) {
  connection.state = Connection::State::kIdle;
  connection.last_used_at = SystemClock::Now();
  const auto next = std::exchange(connection.next_purpose, std::nullopt);
  if (!next)
    return;
  connection.purpose = *next;
  connection.fence_term = connection.next_fence_term;
  SendProbe(connection);
}

void EndpointProber::OnLine(const std::string& endpoint,
                            std::string_view line) {
  const auto it = connections_.find(endpoint);
  if (it == connections_.end())
    return;
  Connection& connection = *it->second;
  switch (connection.decoder.OnLine(line)) {
    case platform::AnswerDecoder::Step::kMore:
      return;
    case platform::AnswerDecoder::Step::kMalformed:
      return Fail(endpoint);
    case platform::AnswerDecoder::Step::kAnswer:
      return OnAnswer(connection, connection.decoder.Take());
  }
}

void EndpointProber::OnAnswer(Connection& connection,
                              const statements::Answer& answer) {
  switch (connection.state) {
    case Connection::State::kStarting:
      return SendProbe(connection);
    case Connection::State::kIdle:
      return Fail(std::string(connection.record.endpoint));
    case Connection::State::kRollingBack:
      return OnRollbackAnswer(connection, answer);
    case Connection::State::kProbing:
    case Connection::State::kAskingPosition:
      return OnProbeAnswer(connection, answer);
  }
}

void EndpointProber::OnProbeAnswer(Connection& connection,
                                   const statements::Answer& answer) {
  const bool asked_position =
      connection.state == Connection::State::kAskingPosition;
  ProbeResult result = ResultOf(
      asked_position ? ProbePurpose::kPosition : connection.purpose, answer);
  result.asked_at = connection.probe_sent_at;
  if (asked_position) {
    // It has led after `asked_at`, as its answer to BEGIN has shown.
    result.kind = ProbeResult::Kind::kLeads;
    result.purpose = ProbePurpose::kLeadership;
  }
  const std::string group = connection.record.group;
  const std::string endpoint = connection.record.endpoint;
  if (answer.state == statements::TransactionState::kIdle)
    SendNextProbe(connection);
  else if (result.kind == ProbeResult::Kind::kLeads && !result.position &&
           !asked_position)
    AskPosition(connection);
  else
    SendRollback(connection);
  // The callback may probe the endpoint again.
  if (!asked_position || result.position)
    on_result_(group, endpoint, result);
}

// An endpoint that refuses to roll back has answered. Closing the connection
// ends the transaction.
void EndpointProber::OnRollbackAnswer(Connection& connection,
                                      const statements::Answer& answer) {
  if (answer.state == statements::TransactionState::kIdle)
    return SendNextProbe(connection);
  const messages::EndpointRecord record = connection.record;
  const auto next = connection.next_purpose;
  const std::int64_t next_fence_term = connection.next_fence_term;
  connection.socket->Close();
  connections_.erase(record.endpoint);
  if (next)
    Connect(record, *next, next_fence_term);
}

void EndpointProber::Fail(const std::string& endpoint) {
  const auto it = connections_.find(endpoint);
  if (it == connections_.end())
    return;
  const std::unique_ptr<Connection> connection = std::move(it->second);
  connections_.erase(it);
  connection->socket->Close();
  ProbeResult result;
  result.purpose = connection->purpose;
  result.asked_at = connection->probe_sent_at;
  if (connection->decoder.Partial().outcome == Outcome::kTooManyConnections)
    result.kind = ProbeResult::Kind::kUndetermined;
  on_result_(connection->record.group, endpoint, result);
}

void EndpointProber::CloseIdleConnections(Time now) {
  std::erase_if(connections_, [now](auto& item) {
    Connection& connection = *item.second;
    if (connection.state != Connection::State::kIdle ||
        now - connection.last_used_at < kMaxIdleTime)
      return false;
    connection.socket->Close();
    return true;
  });
}

}  // namespace goldcrest
