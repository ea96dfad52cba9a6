#include "goldcrest/policy/selector.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <string>

namespace goldcrest::policy {
namespace {

Selector MustParse(const std::string& text) {
  CAPTURE(text);
  auto selector = Selector::Parse(text);
  REQUIRE(selector);
  return selector.value();
}

bool Matches(const std::string& text, const Labels& labels) {
  return MustParse(text).Matches(labels);
}

std::string ErrorOf(const std::string& text) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(Selector::Parse(text));
        return std::string("parsed");
      },
      [](const SelectorError& error) { return error.ToString(); },
      [] { return std::string("no details"); });
}

}  // namespace

TEST_CASE("A selector matches the labels that its requirements describe",
          "[policy]") {
  const std::string all =
      "tier=gold,region in (oyo,osun),!trial,plan!=free,site notin (a,b),vip";
  const Labels labels{{"tier", "gold"}, {"region", "osun"}, {"vip", ""}};
  CHECK(Matches(all, labels));
  CHECK(Matches("", {}));
  CHECK(Matches(" tier == gold , vip ", labels));
  for (const auto& [label, value] :
       {std::pair{"tier", "silver"}, std::pair{"region", "ekiti"},
        std::pair{"trial", ""}, std::pair{"plan", "free"},
        std::pair{"site", "b"}}) {
    CAPTURE(label);
    Labels changed = labels;
    changed[label] = value;
    CHECK_FALSE(Matches(all, changed));
  }
  Labels without_vip = labels;
  without_vip.erase("vip");
  CHECK_FALSE(Matches(all, without_vip));
}

TEST_CASE("Operator words are label names and values where one is expected",
          "[policy]") {
  CHECK(Matches("in in (in,notin)", {{"in", "notin"}}));
  CHECK(Matches("notin", {{"notin", "1"}}));
}

TEST_CASE("A selector error names the position and what was expected there",
          "[policy]") {
  CHECK(ErrorOf("tier=") == "at position 5: expected a label value");
  CHECK(ErrorOf("tier=gold,") == "at position 10: expected a label name");
  CHECK(ErrorOf("tier gold") ==
        "at position 5: expected an operator, a comma or the end");
  CHECK(ErrorOf("a in b") == "at position 5: expected an opening bracket");
  CHECK(ErrorOf("a in (b") ==
        "at position 7: expected a comma or a closing bracket");
  CHECK(ErrorOf("a in ()") == "at position 6: expected a label value");
  CHECK(ErrorOf("a\n=b") ==
        "at position 1: expected an operator, a comma or the end");
  CHECK(ErrorOf(std::string(64, 'a')) ==
        "at position 0: expected a label name of at most 63 bytes");
  CHECK(ErrorOf(std::string(5000, ' ')) ==
        "at position 4096: expected at most 4096 bytes");
}

TEST_CASE("A selector's text parses to an equal selector", "[policy]") {
  const Selector selector =
      MustParse(" b notin ( z , y,z),!c,a==1 ,d != 2,e in (x),f");
  CHECK(selector.ToString() == "b notin (y,z),!c,a=1,d!=2,e=x,f");
  CHECK(MustParse(selector.ToString()) == selector);
}

}  // namespace goldcrest::policy
