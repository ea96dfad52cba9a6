#include "pretty_json.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace goldcrest::ctl {
namespace {

constexpr std::size_t kIndent = 2;

// Recursion is bounded by the depth limit of the JSON parser, 32.
void Print(const boost::json::value& value,
           std::size_t indent,
           std::string& text) {
  const std::string line = "\n" + std::string(indent + kIndent, ' ');
  const std::string end = "\n" + std::string(indent, ' ');
  std::string separator = line;
  if (value.is_object() && !value.get_object().empty()) {
    text += "{";
    for (const auto& [name, field] : value.get_object()) {
      text += separator + boost::json::serialize(name) + ": ";
      Print(field, indent + kIndent, text);
      separator = "," + line;
    }
    text += end + "}";
  } else if (value.is_array() && !value.get_array().empty()) {
    text += "[";
    for (const auto& element : value.get_array()) {
      text += separator;
      Print(element, indent + kIndent, text);
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
  Print(value, 0, text);
  return text;
}

}  // namespace goldcrest::ctl
