#include "pretty_json.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace goldcrest::ctl {
namespace {

constexpr std::size_t kIndentWidth = 2;

// The recursion depth is bounded by the JSON parser's depth limit of 32.
void AppendJson(const boost::json::value& value,
                std::size_t indent,
                std::string& text) {
  const std::string line = "\n" + std::string(indent + kIndentWidth, ' ');
  const std::string end = "\n" + std::string(indent, ' ');
  std::string separator = line;
  if (value.is_object() && !value.get_object().empty()) {
    text += "{";
    for (const auto& [name, field] : value.get_object()) {
      text += separator + boost::json::serialize(name) + ": ";
      AppendJson(field, indent + kIndentWidth, text);
      separator = "," + line;
    }
    text += end + "}";
  } else if (value.is_array() && !value.get_array().empty()) {
    text += "[";
    for (const auto& element : value.get_array()) {
      text += separator;
      AppendJson(element, indent + kIndentWidth, text);
      separator = "," + line;
    }
    text += end + "]";
  } else {
    text += boost::json::serialize(value);
  }
}

}  // namespace

std::string PrettyJson(const boost::json::value& value) {
  std::string text;
  AppendJson(value, 0, text);
  return text;
}

}  // namespace goldcrest::ctl
