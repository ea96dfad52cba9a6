#include <fmt/format.h>

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <cmath>
#include <utility>

#include "goldcrest/adapters/json.h"

namespace goldcrest::adapters {
namespace {

std::string Quote(std::string_view text) {
  return boost::json::serialize(boost::json::string(text));
}

}  // namespace

void JsonWriter::WriteSeparator() {
  if (!is_first_item_)
    text_.push_back(',');
  is_first_item_ = false;
}

void JsonWriter::WriteName(std::string_view name) {
  WriteSeparator();
  text_ += Quote(name);
  text_.push_back(':');
}

JsonWriter& JsonWriter::BeginObject() {
  WriteSeparator();
  text_.push_back('{');
  is_first_item_ = true;
  return *this;
}

JsonWriter& JsonWriter::BeginObject(std::string_view name) {
  WriteName(name);
  text_.push_back('{');
  is_first_item_ = true;
  return *this;
}

JsonWriter& JsonWriter::EndObject() {
  text_.push_back('}');
  is_first_item_ = false;
  return *this;
}

JsonWriter& JsonWriter::BeginArray() {
  WriteSeparator();
  text_.push_back('[');
  is_first_item_ = true;
  return *this;
}

JsonWriter& JsonWriter::BeginArray(std::string_view name) {
  WriteName(name);
  text_.push_back('[');
  is_first_item_ = true;
  return *this;
}

JsonWriter& JsonWriter::EndArray() {
  text_.push_back(']');
  is_first_item_ = false;
  return *this;
}

JsonWriter& JsonWriter::Member(std::string_view name, std::string_view value) {
  return MemberRaw(name, Quote(value));
}

JsonWriter& JsonWriter::Member(std::string_view name, const char* value) {
  return Member(name, std::string_view(value));
}

JsonWriter& JsonWriter::Member(std::string_view name, std::int64_t value) {
  return MemberRaw(name, std::to_string(value));
}

JsonWriter& JsonWriter::Member(std::string_view name, int value) {
  return Member(name, std::int64_t{value});
}

JsonWriter& JsonWriter::Member(std::string_view name, double value) {
  // JSON cannot represent infinity or NaN.
  return MemberRaw(name, std::isfinite(value) ? fmt::format("{}", value)
                                              : std::string("null"));
}

JsonWriter& JsonWriter::Member(std::string_view name, const Labels& labels) {
  BeginObject(name);
  for (const auto& [label, value] : labels)
    Member(label, value);
  return EndObject();
}

JsonWriter& JsonWriter::MemberRaw(std::string_view name,
                                  std::string_view json) {
  WriteName(name);
  text_ += json;
  return *this;
}

JsonWriter& JsonWriter::Element(std::string_view value) {
  return ElementRaw(Quote(value));
}

JsonWriter& JsonWriter::ElementRaw(std::string_view json) {
  WriteSeparator();
  text_ += json;
  return *this;
}

std::string JsonWriter::Take() {
  is_first_item_ = true;
  return std::exchange(text_, {});
}

}  // namespace goldcrest::adapters
