#include "goldcrest/adapters/counters.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace goldcrest::adapters {
namespace {

constexpr std::string_view kCounter = "counter";
constexpr std::string_view kGauge = "gauge";
constexpr std::string_view kHistogram = "histogram";

// Escapes text for the exposition format, which escapes quotes only in label
// values.
std::string Escape(std::string_view text, bool in_quotes) {
  std::string escaped;
  escaped.reserve(text.size());
  for (const char c : text) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '\\' || (in_quotes && c == '"'))
      escaped.push_back('\\');
    escaped.push_back(c);
  }
  return escaped;
}

// Formats labels without braces: name="value",name="value".
std::string Format(const Labels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    if (!text.empty())
      text.push_back(',');
    text += fmt::format("{}=\"{}\"", name, Escape(value, true));
  }
  return text;
}

std::string Braced(const std::string& labels) {
  return labels.empty() ? std::string() : "{" + labels + "}";
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void Append(fmt::memory_buffer& out,
            const std::string& name,
            const std::string& labels,
            const Histogram& histogram) {
  const std::string separator = labels.empty() ? "" : ",";
  std::uint64_t total = 0;
  auto to = std::back_inserter(out);
  for (std::size_t i = 0; i < Histogram::kBounds.size(); ++i) {
    total += histogram.InBucket(i);
    fmt::format_to(to, "{}_bucket{{{}{}le=\"{}\"}} {}\n", name, labels,
                   separator, Seconds(Histogram::kBounds[i]), total);
  }
  total += histogram.InBucket(Histogram::kBounds.size());
  fmt::format_to(to, "{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels,
                 separator, total);
  fmt::format_to(to, "{}_sum{} {}\n", name, Braced(labels),
                 Seconds(histogram.Sum()));
  fmt::format_to(to, "{}_count{} {}\n", name, Braced(labels), total);
}

}  // namespace

struct Counters::Family {
  std::string_view type;
  std::string help;
  std::map<std::string, Counter> counters;
  std::map<std::string, Gauge> gauges;
  std::map<std::string, Histogram> histograms;
};

Counters::Counters() = default;
Counters::~Counters() = default;

void Histogram::Observe(Duration latency) {
  const auto bound = std::lower_bound(kBounds.begin(), kBounds.end(), latency);
  buckets_[static_cast<std::size_t>(bound - kBounds.begin())].fetch_add(
      1, std::memory_order_relaxed);
  sum_micros_.fetch_add(latency.count(), std::memory_order_relaxed);
}

std::uint64_t Histogram::InBucket(std::size_t index) const {
  return buckets_.at(index).load(std::memory_order_relaxed);
}

Duration Histogram::Sum() const {
  return Duration(sum_micros_.load(std::memory_order_relaxed));
}

Counters::Family& Counters::FamilyOf(std::string_view name,
                                     std::string_view type) {
  auto found = families_.find(name);
  if (found == families_.end())
    found = families_.emplace(name, std::make_unique<Family>()).first;
  Family& family = *found->second;
  if (family.type.empty())
    family.type = type;
  if (family.type != type)
    throw std::logic_error(
        fmt::format("metric {} is a {}, not a {}", name, family.type, type));
  return family;
}

Counter& Counters::GetCounter(std::string_view name, const Labels& labels) {
  const std::lock_guard lock(mutex_);
  return FamilyOf(name, kCounter).counters[Format(labels)];
}

Gauge& Counters::GetGauge(std::string_view name, const Labels& labels) {
  const std::lock_guard lock(mutex_);
  return FamilyOf(name, kGauge).gauges[Format(labels)];
}

Histogram& Counters::GetHistogram(std::string_view name, const Labels& labels) {
  const std::lock_guard lock(mutex_);
  return FamilyOf(name, kHistogram).histograms[Format(labels)];
}

void Counters::Describe(std::string_view name, std::string_view help) {
  const std::lock_guard lock(mutex_);
  auto& family = families_[std::string(name)];
  if (!family)
    family = std::make_unique<Family>();
  family->help = help;
}

std::string Counters::Render() const {
  const std::lock_guard lock(mutex_);
  fmt::memory_buffer out;
  auto to = std::back_inserter(out);
  for (const auto& [name, family] : families_) {
    if (family->type.empty())
      continue;
    if (!family->help.empty())
      fmt::format_to(to, "# HELP {} {}\n", name, Escape(family->help, false));
    fmt::format_to(to, "# TYPE {} {}\n", name, family->type);
    for (const auto& [labels, counter] : family->counters)
      fmt::format_to(to, "{}{} {}\n", name, Braced(labels), counter.Value());
    for (const auto& [labels, gauge] : family->gauges)
      fmt::format_to(to, "{}{} {}\n", name, Braced(labels), gauge.Value());
    for (const auto& [labels, histogram] : family->histograms)
      Append(out, name, labels, histogram);
  }
  return fmt::to_string(out);
}

}  // namespace goldcrest::adapters
