#include "seen_requests.h"

#include <cstddef>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace goldcrest::testing {
namespace {

namespace json = boost::json;

// Limit for each set: about 30 MB of statements. Load tests exceed it; tests
// that search the record do not.
constexpr std::size_t kMaxTexts = 100'000;

json::array ToArray(const std::set<std::string>& texts) {
  json::array array;
  for (const std::string& text : texts)
    array.emplace_back(text);
  return array;
}

}  // namespace

std::string SeenRequests::ToJson() const {
  const std::unique_lock lock(mutex_);
  return json::serialize(json::value{{"targets", ToArray(targets_)},
                                     {"headers", ToArray(headers_)},
                                     {"bodies", ToArray(bodies_)},
                                     {"dropped", dropped_}});
}

void SeenRequests::Add(std::set<std::string>& texts, std::string text) {
  const std::unique_lock lock(mutex_);
  if (texts.size() >= kMaxTexts && !texts.contains(text)) {
    ++dropped_;
    return;
  }
  texts.insert(std::move(text));
}

}  // namespace goldcrest::testing
