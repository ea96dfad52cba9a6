#include "faults.h"

#include <algorithm>
#include <utility>

namespace goldcrest::testing {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

bool Faults::Set(const std::string& kind, std::int64_t value) {
  const std::unique_lock lock(mutex_);
  if (kind == "delay_answer_ms")
    answer_delay_ = milliseconds(value);
  else if (kind == "drop_answer")
    drops_ = value;
  else if (kind == "cut_replication")
    cut_ = value != 0;
  else if (kind == "lag_ms")
    lag_ = milliseconds(value);
  else if (kind == "freeze_ms")
    frozen_until_ = steady_clock::now() + milliseconds(value);
  else if (kind == "cross_answers")
    crosses_ = value;
  else if (kind == "silence_connections")
    silent_up_to_ = value != 0 ? last_connection_ : 0;
  else
    return false;
  changed_.notify_all();
  return true;
}

void Faults::Stop() {
  const std::unique_lock lock(mutex_);
  stopped_ = true;
  changed_.notify_all();
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
  return cut_;
}

void Faults::WaitWhileFrozen() const {
  std::unique_lock lock(mutex_);
  while (!stopped_ && steady_clock::now() < frozen_until_)
    changed_.wait_until(lock, frozen_until_);
}

void Faults::WaitAnswerDelay() const {
  std::unique_lock lock(mutex_);
  if (answer_delay_.count() > 0)
    changed_.wait_for(lock, answer_delay_, [this] { return stopped_; });
}

void Faults::WaitIfSilent(std::uint64_t connection) const {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [&] { return stopped_ || connection > silent_up_to_; });
}

void Faults::OnConnection(std::uint64_t connection) {
  const std::unique_lock lock(mutex_);
  last_connection_ = std::max(last_connection_, connection);
}

bool Faults::TakeDrop() {
  const std::unique_lock lock(mutex_);
  if (drops_ <= 0)
    return false;
  --drops_;
  return true;
}

std::string Faults::TakeCrossed(const std::string& answer) {
  const std::unique_lock lock(mutex_);
  std::string sent = answer;
  if (crosses_ > 0 && !last_answer_.empty()) {
    --crosses_;
    sent = last_answer_;
  }
  last_answer_ = answer;
  return sent;
}

}  // namespace goldcrest::testing
