#ifndef GOLDCREST_ADAPTERS_COUNTERS_H_
#define GOLDCREST_ADAPTERS_COUNTERS_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "goldcrest/types/labels.h"
#include "goldcrest/types/time.h"

namespace goldcrest::adapters {

//! A number that only grows.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

//! A number that goes up and down.
class Gauge {
 public:
  void Set(std::int64_t value) {
    value_.store(value, std::memory_order_relaxed);
  }
  void Add(std::int64_t amount) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::int64_t Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

//! Latencies in fixed buckets from 100 us to 10 s.
class Histogram {
 public:
  static constexpr std::array<Duration, 16> kBounds = {
      Duration(100),       Duration(250),       Duration(500),
      Duration(1'000),     Duration(2'500),     Duration(5'000),
      Duration(10'000),    Duration(25'000),    Duration(50'000),
      Duration(100'000),   Duration(250'000),   Duration(500'000),
      Duration(1'000'000), Duration(2'500'000), Duration(5'000'000),
      Duration(10'000'000)};

  void Observe(Duration latency);
  //! Values in bucket `index`; the last bucket has no upper bound.
  std::uint64_t BucketCount(std::size_t index) const;
  Duration Sum() const;

 private:
  std::array<std::atomic<std::uint64_t>, kBounds.size() + 1> buckets_{};
  std::atomic<std::int64_t> sum_micros_{0};
};

//! The metrics of one process. Get...() takes a lock and returns a reference
//! that stays valid, so callers keep it; updates are single atomic operations.
//! A name has one type: a second type for it throws std::logic_error.
class Counters {
 public:
  Counters();
  ~Counters();
  Counters(const Counters&) = delete;
  Counters& operator=(const Counters&) = delete;

  Counter& GetCounter(std::string_view name, const Labels& labels = {});
  Gauge& GetGauge(std::string_view name, const Labels& labels = {});
  Histogram& GetHistogram(std::string_view name, const Labels& labels = {});

  //! The text for "# HELP name".
  void Describe(std::string_view name, std::string_view help);

  //! Prometheus text exposition format 0.0.4, sorted by name and labels.
  std::string Render() const;

  static constexpr std::string_view kContentType =
      "text/plain; version=0.0.4; charset=utf-8";

 private:
  struct Family;
  Family& FindOrCreateFamily(std::string_view name, std::string_view type);

  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Family>, std::less<>> families_;
};

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_COUNTERS_H_
