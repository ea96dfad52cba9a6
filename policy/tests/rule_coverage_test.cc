#include "goldcrest/policy/rule_coverage.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace goldcrest::policy {
namespace {

constexpr std::array kTexts = {"",
                               "x",
                               "!x",
                               "x=1",
                               "x in (1,2)",
                               "x=3",
                               "x!=1",
                               "x notin (1,2)",
                               "x=1,y",
                               "x=1,!x",
                               "x=1,x=2",
                               "x,x!=1",
                               "x=1,x!=1",
                               "y=1,!x",
                               "x in (1,2),x in (2,3)"};

// Every combination of values that the texts tell apart.
std::vector<Labels> AllLabels() {
  std::vector<Labels> all;
  for (const std::string x : {"", "1", "2", "3", "4"}) {
    for (const std::string y : {"", "1", "2"}) {
      Labels& labels = all.emplace_back();
      if (!x.empty())
        labels["x"] = x;
      if (!y.empty())
        labels["y"] = y;
    }
  }
  return all;
}

Selector Parse(const std::string& text) {
  auto selector = Selector::Parse(text);
  REQUIRE(selector);
  return selector.value();
}

}  // namespace

// Guards against a rule that is reported as without effect although it applies
// to some callers.
TEST_CASE("A selector covers another only if it matches all the same labels",
          "[policy]") {
  const std::vector<Labels> all = AllLabels();
  for (const std::string narrow_text : kTexts) {
    const Selector narrow = Parse(narrow_text);
    CAPTURE(narrow_text);
    const auto matched = [&](const Labels& labels) {
      return narrow.Matches(labels);
    };
    if (!CanMatch(narrow))
      CHECK(std::ranges::none_of(all, matched));
    for (const std::string wide_text : kTexts) {
      const Selector wide = Parse(wide_text);
      CAPTURE(wide_text);
      if (Covers(wide, narrow))
        CHECK(std::ranges::all_of(all, [&](const Labels& labels) {
          return !narrow.Matches(labels) || wide.Matches(labels);
        }));
    }
  }
  CHECK_FALSE(CanMatch(Parse("x=1,!x")));
  CHECK_FALSE(CanMatch(Parse("x=1,x!=1")));
  CHECK(Covers(Parse("x in (1,2),y"), Parse("y=3,x=1")));
  CHECK(Covers(Parse("x notin (1)"), Parse("x=2")));
}

}  // namespace goldcrest::policy
