#include "goldcrest/adapters/counters.h"

#include <catch2/catch.hpp>
#include <thread>
#include <vector>

namespace goldcrest::adapters {

TEST_CASE("Metrics are written in the exposition format", "[adapters]") {
  Counters counters;
  counters.Describe("requests_total", "Requests\nby customer");
  counters.GetCounter("requests_total", {{"customer", "a\"b"}}).Add(2);
  counters.GetCounter("requests_total").Add();
  counters.GetGauge("open").Set(-3);
  CHECK(counters.Render() ==
        "# TYPE open gauge\nopen -3\n"
        "# HELP requests_total Requests\\nby customer\n"
        "# TYPE requests_total counter\nrequests_total 1\n"
        "requests_total{customer=\"a\\\"b\"} 2\n");
  CHECK_THROWS_AS(counters.GetGauge("requests_total"), std::logic_error);
}

TEST_CASE("Histogram buckets are cumulative and bounds inclusive",
          "[adapters]") {
  Counters counters;
  Histogram& histogram = counters.GetHistogram("wait_seconds", {{"z", "a"}});
  histogram.Observe(Duration(250));
  histogram.Observe(Duration(251));
  histogram.Observe(Duration(20'000'000));
  const std::string text = counters.Render();
  CHECK(text.find("wait_seconds_bucket{z=\"a\",le=\"0.0001\"} 0\n"
                  "wait_seconds_bucket{z=\"a\",le=\"0.00025\"} 1\n"
                  "wait_seconds_bucket{z=\"a\",le=\"0.0005\"} 2\n") !=
        std::string::npos);
  CHECK(
      text.ends_with("wait_seconds_bucket{z=\"a\",le=\"10\"} 2\n"
                     "wait_seconds_bucket{z=\"a\",le=\"+Inf\"} 3\n"
                     "wait_seconds_sum{z=\"a\"} 20.000501\n"
                     "wait_seconds_count{z=\"a\"} 3\n"));
}

TEST_CASE("Updates of several threads are all counted", "[adapters]") {
  Counters counters;
  std::vector<std::jthread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&counters] {
      for (int n = 0; n < 1000; ++n)
        counters.GetCounter("n").Add();
    });
  }
  threads.clear();
  CHECK(counters.GetCounter("n").Value() == 4000);
}

}  // namespace goldcrest::adapters
