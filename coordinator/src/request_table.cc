#include "goldcrest/coordinator/request_table.h"

#include <chrono>
#include <utility>

#include "goldcrest/types/digest.h"

namespace goldcrest::coordinator {
namespace {

// Answers kept per group. Resends of older requests are deduplicated by the
// endpoint, which records request ids itself.
constexpr std::size_t kMaxFinishedAnswers = 10'000;

// Request ids are unique only per customer.
std::string KeyOf(const messages::ForwardRequest& forward) {
  return forward.customer + '\0' + forward.request_id;
}

// Hash of all fields that determine what runs. Requests with the same id and
// fingerprint are the same request.
std::string FingerprintOf(const messages::ForwardRequest& forward) {
  std::string text = std::to_string(forward.operation);
  text += '\0';
  text += forward.transaction;
  text += '\0';
  text += forward.statement;
  return Sha256(text);
}

}  // namespace

RequestTable::Added RequestTable::Add(const Origin& origin,
                                      const messages::ForwardRequest& forward,
                                      Time now) {
  Added added;
  const bool identified = !forward.request_id.empty();
  const std::string key = identified ? KeyOf(forward) : std::string();
  if (identified) {
    if (const auto it = finished_.find(key); it != finished_.end()) {
      const bool same = it->second.fingerprint == FingerprintOf(forward);
      added.result = same ? AddResult::kFinished : AddResult::kReused;
      added.finished_answer = it->second.answer;
      added.finished_answer.id = forward.id;
      return added;
    }
    if (const auto it = running_by_key_.find(key);
        it != running_by_key_.end()) {
      Request& running = requests_.at(it->second);
      if (FingerprintOf(running.forward) != FingerprintOf(forward)) {
        added.result = AddResult::kReused;
        return added;
      }
      running.origins.push_back(origin);
      added.result = AddResult::kJoined;
      return added;
    }
  }

  const std::uint64_t id = next_id_++;
  Request& request = requests_[id];
  request.id = id;
  request.forward = forward;
  request.origins = {origin};
  request.arrival = now;
  request.deadline = now + std::chrono::milliseconds(forward.timeout_ms);
  if (identified)
    running_by_key_[key] = id;
  added.request = &request;
  return added;
}

Request* RequestTable::Find(std::uint64_t id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

void RequestTable::Finish(std::uint64_t id,
                          const messages::ForwardResponse& answer,
                          bool remember) {
  const auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  const messages::ForwardRequest& forward = it->second.forward;
  if (!forward.request_id.empty()) {
    const std::string key = KeyOf(forward);
    running_by_key_.erase(key);
    if (remember) {
      finished_[key] = Finished{FingerprintOf(forward), answer};
      finished_keys_by_age_.push_back(key);
      if (finished_keys_by_age_.size() > kMaxFinishedAnswers) {
        finished_.erase(finished_keys_by_age_.front());
        finished_keys_by_age_.pop_front();
      }
    }
  }
  requests_.erase(it);
}

}  // namespace goldcrest::coordinator
