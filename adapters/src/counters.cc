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
std::string FormatLabels(const Labels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    if (!text.empty())
      text.push_back(',');
    text += fmt::format("{}=\"{}\"", name, Escape(value, true));
  }
  return text;
}

std::string WrapInBraces(const std::string& labels) {
  return labels.empty() ? std::string() : "{" + labels + "}";
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void AppendHistogram(fmt::memory_buffer& out,
                     const std::string& name,
                     const std::string& labels,
                     const Histogram& histogram) {
  const std::string separator = labels.empty() ? "" : ",";
  std::uint64_t cumulative_count = 0;
  auto inserter = std::back_inserter(out);
  for (std::size_t i = 0; i < Histogram::kBounds.size(); ++i) {
    cumulative_count += histogram.BucketCount(i);
    fmt::format_to(inserter, "{}_bucket{{{}{}le=\"{}\"}} {}\n", name, labels,
                   separator, ToSeconds(Histogram::kBounds[i]),
                   cumulative_count);
  }
  cumulative_count += histogram.BucketCount(Histogram::kBounds.size());
  fmt::format_to(inserter, "{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels,
                 separator, cumulative_count);
  fmt::format_to(inserter, "{}_sum{} {}\n", name, WrapInBraces(labels),
                 ToSeconds(histogram.Sum()));
  fmt::format_to(inserter, "{}_count{} {}\n", name, WrapInBraces(labels),
                 cumulative_count);
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

std::uint64_t Histogram::BucketCount(std::size_t index) const {
  return buckets_.at(index).load(std::memory_order_relaxed);
}

Duration Histogram::Sum() const {
  return Duration(sum_micros_.load(std::memory_order_relaxed));
}

Counters::Family& Counters::FindOrCreateFamily(std::string_view name,
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
  return FindOrCreateFamily(name, kCounter).counters[FormatLabels(labels)];
}

Gauge& Counters::GetGauge(std::string_view name, const Labels& labels) {
  const std::lock_guard lock(mutex_);
  return FindOrCreateFamily(name, kGauge).gauges[FormatLabels(labels)];
}

Histogram& Counters::GetHistogram(std::string_view name, const Labels& labels) {
  const std::lock_guard lock(mutex_);
  return FindOrCreateFamily(name, kHistogram).histograms[FormatLabels(labels)];
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
  auto inserter = std::back_inserter(out);
  for (const auto& [name, family] : families_) {
    if (family->type.empty())
      continue;
    if (!family->help.empty())
      fmt::format_to(inserter, "# HELP {} {}\n", name,
                     Escape(family->help, false));
    fmt::format_to(inserter, "# TYPE {} {}\n", name, family->type);
    for (const auto& [labels, counter] : family->counters)
      fmt::format_to(inserter, "{}{} {}\n", name, WrapInBraces(labels),
                     counter.Value());
    for (const auto& [labels, gauge] : family->gauges)
      fmt::format_to(inserter, "{}{} {}\n", name, WrapInBraces(labels),
                     gauge.Value());
    for (const auto& [labels, histogram] : family->histograms)
      AppendHistogram(out, name, labels, histogram);
  }
  return fmt::to_string(out);
}

}  // namespace goldcrest::adapters
