#include "faults.h"

#include <algorithm>
#include <utility>

namespace goldcrest::testing {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

bool Faults::Set(const std::string& kind, std::int64_t value) {
  const std::unique_lock lock(mutex_);
  if (kind == "delay_answer_ms")
    response_delay_ = milliseconds(value);
  else if (kind == "drop_answer")
    remaining_drops_ = value;
  else if (kind == "cut_replication")
    replication_cut_ = value != 0;
  else if (kind == "lag_ms")
    lag_ = milliseconds(value);
  else if (kind == "freeze_ms")
    frozen_until_ = steady_clock::now() + milliseconds(value);
  else if (kind == "cross_answers")
    remaining_substitutions_ = value;
  else if (kind == "silence_connections")
    last_silenced_connection_ = value != 0 ? last_connection_ : 0;
  else
    return false;
  state_changed_.notify_all();
  return true;
}

void Faults::Stop() {
  const std::unique_lock lock(mutex_);
  stopped_ = true;
  state_changed_.notify_all();
}

bool Faults::stopped() const {
  const std::unique_lock lock(mutex_);
  return stopped_;
}

milliseconds Faults::lag() const {
  const std::unique_lock lock(mutex_);
  return lag_;
}

bool Faults::replication_cut() const {
  const std::unique_lock lock(mutex_);
  return replication_cut_;
}

void Faults::WaitWhileFrozen() const {
  std::unique_lock lock(mutex_);
  while (!stopped_ && steady_clock::now() < frozen_until_)
    state_changed_.wait_until(lock, frozen_until_);
}

void Faults::WaitResponseDelay() const {
  std::unique_lock lock(mutex_);
  if (response_delay_.count() > 0)
    state_changed_.wait_for(lock, response_delay_, [this] { return stopped_; });
}

void Faults::WaitWhileSilenced(std::uint64_t connection) const {
  std::unique_lock lock(mutex_);
  state_changed_.wait(
      lock, [&] { return stopped_ || connection > last_silenced_connection_; });
}

void Faults::RecordConnection(std::uint64_t connection) {
  const std::unique_lock lock(mutex_);
  last_connection_ = std::max(last_connection_, connection);
}

bool Faults::ConsumeResponseDrop() {
  const std::unique_lock lock(mutex_);
  if (remaining_drops_ <= 0)
    return false;
  --remaining_drops_;
  return true;
}

std::string Faults::SubstituteResponse(const std::string& response) {
  const std::unique_lock lock(mutex_);
  std::string substitute = response;
  if (remaining_substitutions_ > 0 && !previous_response_.empty()) {
    --remaining_substitutions_;
    substitute = previous_response_;
  }
  previous_response_ = response;
  return substitute;
}

}  // namespace goldcrest::testing
