#include "goldcrest/adapters/log_output.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace goldcrest::adapters {
namespace {

constexpr Duration kCreditPerLine =
    Duration(std::chrono::seconds(1)) / LogOutput::kLinesPerSecond;

}  // namespace

LogOutput::LogOutput(int descriptor) : descriptor_(descriptor) {
  const int flags = ::fcntl(descriptor_, F_GETFL);
  if (flags >= 0)
    ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

bool LogOutput::Admit(Time now,
                      const std::string& kind,
                      std::uint64_t& left_out) {
  const auto [it, inserted] = buckets_.try_emplace(kind);
  Bucket& bucket = it->second;
  const Duration max_credit = kCreditPerLine * kBurstLines;
  if (inserted)
    bucket.credit = max_credit;
  else
    bucket.credit =
        std::min(max_credit, bucket.credit + (now - bucket.refilled_at));
  bucket.refilled_at = now;
  if (bucket.credit < kCreditPerLine) {
    ++bucket.left_out;
    return false;
  }
  bucket.credit -= kCreditPerLine;
  left_out = std::exchange(bucket.left_out, 0);
  return true;
}

void LogOutput::Write(std::string_view line) {
  std::string text;
  if (last_write_partial_)
    text = "\n";
  if (dropped_ != dropped_reported_)
    text += "event=log_lines_dropped count=" +
            std::to_string(dropped_ - dropped_reported_) + "\n";
  text.append(line);
  const ssize_t written = ::write(descriptor_, text.data(), text.size());
  if (written <= 0) {
    ++dropped_;
    return;
  }
  dropped_reported_ = dropped_;
  last_write_partial_ = static_cast<std::size_t>(written) < text.size();
  if (last_write_partial_)
    ++dropped_;
}

}  // namespace goldcrest::adapters
