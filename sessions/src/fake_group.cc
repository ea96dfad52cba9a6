#include "goldcrest/sessions/fake_group.h"

#include <algorithm>
#include <sstream>

namespace goldcrest::sessions {
namespace {

using coordinator::AnswerStatus;
using coordinator::EndpointAnswer;
using coordinator::EndpointCall;
using coordinator::EndpointOperation;
using coordinator::NotRunReason;
using coordinator::StatementKind;

struct ParsedStatement {
  std::string verb;
  std::string key;
  std::string value;
};

ParsedStatement ParseStatement(const std::string& statement) {
  ParsedStatement parsed;
  std::istringstream stream(statement);
  stream >> parsed.verb >> parsed.key >> parsed.value;
  return parsed;
}

std::string TransactionName(std::uint64_t pin) {
  return "t" + std::to_string(pin);
}

}  // namespace

void FakeGroup::AddMember(const messages::EndpointInfo& info, Duration lag) {
  Member& member = members_[info.endpoint];
  member.info = info;
  member.lag = lag;
}

EndpointAnswer FakeGroup::HandleCall(const EndpointCall& call, Time now) {
  Member& member = members_.at(call.endpoint);
  EndpointAnswer answer;
  answer.call_id = call.id;
  answer.endpoint = call.endpoint;
  switch (call.operation) {
    case EndpointOperation::kStatement:
      answer = RunStatement(member, call, now);
      break;
    case EndpointOperation::kStatus:
      break;
    case EndpointOperation::kPromote:
      if (call.term > member.term) {
        member.term = call.term;
        member.primary = true;
        member.transactions.clear();
        member.log.push_back({.term = call.term, .added = now});
      }
      break;
    case EndpointOperation::kFollow:
      if (call.term > member.term) {
        member.term = call.term;
        member.primary = false;
        member.transactions.clear();
      }
      if (!member.primary)
        member.source = call.primary;
      break;
    case EndpointOperation::kOutcome: {
      if (!member.primary || call.term != member.term) {
        answer.status = AnswerStatus::kNotRun;
        return answer;
      }
      std::int64_t position = 0;
      const LogEntry* entry = FindRequest(member, call.request_id, &position);
      answer.known = entry != nullptr;
      answer.position = position;
      if (entry != nullptr)
        answer.value = entry->value;
      else
        member.fenced_requests.insert(call.request_id);
      answer.term = member.term;
      return answer;
    }
  }
  answer.term = member.term;
  if (call.operation != EndpointOperation::kStatement) {
    answer.log_term = member.log.empty() ? 0 : member.log.back().term;
    answer.position = static_cast<std::int64_t>(member.log.size());
  }
  return answer;
}

EndpointAnswer FakeGroup::RunStatement(Member& member,
                                       const EndpointCall& call,
                                       Time now) {
  EndpointAnswer answer;
  answer.call_id = call.id;
  answer.endpoint = call.endpoint;
  const auto refuse = [&](NotRunReason reason) {
    answer.status = AnswerStatus::kNotRun;
    answer.reason = reason;
    return answer;
  };
  if (call.term < member.term)
    return refuse(NotRunReason::kStaleTerm);
  if (call.term > member.term)
    return refuse(NotRunReason::kOther);
  if (call.kind != StatementKind::kRead && !member.primary)
    return refuse(NotRunReason::kNotPrimary);
  if (!call.request_id.empty()) {
    std::int64_t position = 0;
    if (const LogEntry* entry =
            FindRequest(member, call.request_id, &position)) {
      answer.value = entry->value;
      answer.position = position;
      return answer;
    }
    if (member.fenced_requests.contains(call.request_id))
      return refuse(NotRunReason::kOther);
  }

  const std::string transaction = TransactionName(call.pin);
  if (call.kind == StatementKind::kBegin) {
    member.transactions[transaction];
    answer.transaction = transaction;
    return answer;
  }
  const bool in_transaction = call.pin != 0;
  if (in_transaction && !member.transactions.contains(transaction))
    return refuse(NotRunReason::kOther);
  std::map<std::string, std::string> data = ReplayLog(member);
  if (in_transaction) {
    for (const auto& [key, value] : member.transactions[transaction])
      data[key] = value;
  }
  const auto append = [&](std::map<std::string, std::string> writes) {
    member.log.push_back({member.term, call.request_id, call.statement,
                          answer.value, std::move(writes), now});
    answer.position = static_cast<std::int64_t>(member.log.size());
  };
  if (call.kind == StatementKind::kRollback) {
    member.transactions.erase(transaction);
    return answer;
  }
  if (call.kind == StatementKind::kCommit) {
    auto node = member.transactions.extract(transaction);
    append(node.mapped());
    return answer;
  }
  const ParsedStatement parsed = ParseStatement(call.statement);
  answer.value = data[parsed.key];
  answer.position = static_cast<std::int64_t>(member.log.size());
  if (parsed.verb == "get")
    return answer;
  if (parsed.verb == "incr")
    answer.value = std::to_string(std::atoi(answer.value.c_str()) + 1);
  else
    answer.value = parsed.value;
  if (in_transaction)
    member.transactions[transaction][parsed.key] = answer.value;
  else
    append({{parsed.key, answer.value}});
  return answer;
}

void FakeGroup::Replicate(Time now) {
  for (auto& [name, member] : members_) {
    const auto source = members_.find(member.source);
    if (member.primary || !member.up || !member.replicates ||
        source == members_.end() || !source->second.up ||
        !source->second.replicates || !source->second.primary ||
        source->second.term != member.term)
      continue;
    const std::vector<LogEntry>& log = source->second.log;
    std::size_t common_length = std::min(member.log.size(), log.size());
    while (common_length > 0 &&
           member.log[common_length - 1].term != log[common_length - 1].term)
      --common_length;
    member.log.resize(common_length);
    while (member.log.size() < log.size() &&
           log[member.log.size()].added + member.lag <= now)
      member.log.push_back(log[member.log.size()]);
  }
}

void FakeGroup::Rollback(const std::string& endpoint, std::uint64_t pin) {
  members_[endpoint].transactions.erase(TransactionName(pin));
}

int FakeGroup::CountRuns(const std::string& endpoint,
                         const std::string& statement) {
  return static_cast<int>(std::ranges::count(members_[endpoint].log, statement,
                                             &LogEntry::statement));
}

std::map<std::string, std::string> FakeGroup::ReplayLog(const Member& member) {
  std::map<std::string, std::string> data;
  for (const LogEntry& entry : member.log) {
    for (const auto& [key, value] : entry.writes)
      data[key] = value;
  }
  return data;
}

const FakeGroup::LogEntry* FakeGroup::FindRequest(const Member& member,
                                                  const std::string& request_id,
                                                  std::int64_t* position) {
  for (std::size_t i = 0; i < member.log.size(); ++i) {
    if (member.log[i].request_id != request_id)
      continue;
    *position = static_cast<std::int64_t>(i + 1);
    return &member.log[i];
  }
  return nullptr;
}

}  // namespace goldcrest::sessions
