#include "goldcrest/adapters/json.h"

#include <fmt/format.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <deque>
#include <set>
#include <utility>

namespace goldcrest::adapters {
namespace {

namespace json = boost::json;

}  // namespace

struct JsonObject::Node {
  Document* document = nullptr;          // owns this node
  const json::object* object = nullptr;  // null if the text is invalid
  std::string path;                      // ends in a dot unless empty
  std::set<std::string, std::less<>> requested_fields;
};

// State shared by the nested objects of one JSON text.
struct JsonObject::Document {
  json::value root;
  std::vector<JsonError> errors;
  std::deque<Node> nodes;  // one for each object that was read
};

JsonObject::JsonObject(std::shared_ptr<Node> node) : node_(std::move(node)) {}

std::string ToString(const std::vector<JsonError>& errors) {
  std::string text;
  for (const JsonError& error : errors) {
    if (!text.empty())
      text += "; ";
    text +=
        error.field.empty() ? error.problem : error.field + " " + error.problem;
  }
  return text;
}

JsonObject JsonObject::Parse(std::string_view text, JsonLimits limits) {
  auto document = std::make_shared<Document>();
  Node& node = document->nodes.emplace_back(Node{.document = document.get()});
  JsonObject object(std::shared_ptr<Node>(document, &node));
  if (text.size() > limits.max_bytes) {
    object.RecordError(
        "", fmt::format("is longer than {} bytes", limits.max_bytes));
    return object;
  }
  json::parse_options options;
  options.max_depth = limits.max_depth;
  json::error_code error;
  document->root = json::parse(text, error, {}, options);
  if (error) {
    object.RecordError("", "is not valid JSON: " + error.message());
    return object;
  }
  node.object = document->root.if_object();
  if (node.object == nullptr)
    object.RecordError("", "is not a JSON object");
  return object;
}

const void* JsonObject::FindField(std::string_view name) {
  node_->requested_fields.emplace(name);
  if (node_->object == nullptr)
    return nullptr;
  const json::value* value = node_->object->if_contains(name);
  return value == nullptr || value->is_null() ? nullptr : value;
}

void JsonObject::RecordError(std::string_view name, std::string_view problem) {
  node_->document->errors.push_back(
      {node_->path + std::string(name), std::string(problem)});
}

void JsonObject::AddError(std::string_view name, std::string_view problem) {
  RecordError(name, problem);
}

bool JsonObject::Has(std::string_view name) const {
  if (node_->object == nullptr)
    return false;
  const json::value* value = node_->object->if_contains(name);
  return value != nullptr && !value->is_null();
}

std::string JsonObject::RequiredString(std::string_view name,
                                       std::size_t max_bytes) {
  if (node_->object != nullptr && !Has(name))
    RecordError(name, "is missing");
  return OptionalString(name, max_bytes).value_or("");
}

std::optional<std::string> JsonObject::OptionalString(std::string_view name,
                                                      std::size_t max_bytes) {
  const auto* value = static_cast<const json::value*>(FindField(name));
  if (value == nullptr)
    return std::nullopt;
  const json::string* text = value->if_string();
  if (text == nullptr) {
    RecordError(name, "is not a string");
    return std::nullopt;
  }
  if (text->size() > max_bytes) {
    RecordError(name, fmt::format("is longer than {} bytes", max_bytes));
    return std::nullopt;
  }
  return std::string(text->data(), text->size());
}

std::int64_t JsonObject::RequiredInteger(std::string_view name,
                                         std::int64_t minimum,
                                         std::int64_t maximum) {
  if (node_->object != nullptr && !Has(name))
    RecordError(name, "is missing");
  return OptionalInteger(name, minimum, maximum).value_or(0);
}

std::optional<std::int64_t> JsonObject::OptionalInteger(std::string_view name,
                                                        std::int64_t minimum,
                                                        std::int64_t maximum) {
  const auto* value = static_cast<const json::value*>(FindField(name));
  if (value == nullptr)
    return std::nullopt;
  json::error_code error;
  const bool is_integer = value->is_int64() || value->is_uint64();
  if (!is_integer) {
    RecordError(name, "is not an integer");
    return std::nullopt;
  }
  const auto number = value->to_number<std::int64_t>(error);
  if (error || number < minimum || number > maximum) {
    RecordError(name,
                fmt::format("is not between {} and {}", minimum, maximum));
    return std::nullopt;
  }
  return number;
}

std::optional<double> JsonObject::OptionalNumber(std::string_view name,
                                                 double minimum,
                                                 double maximum) {
  const auto* value = static_cast<const json::value*>(FindField(name));
  if (value == nullptr)
    return std::nullopt;
  if (!value->is_number()) {
    RecordError(name, "is not a number");
    return std::nullopt;
  }
  json::error_code error;
  const auto number = value->to_number<double>(error);
  if (error || !(number >= minimum && number <= maximum)) {
    RecordError(name,
                fmt::format("is not between {} and {}", minimum, maximum));
    return std::nullopt;
  }
  return number;
}

std::optional<bool> JsonObject::OptionalBool(std::string_view name) {
  const auto* value = static_cast<const json::value*>(FindField(name));
  if (value == nullptr)
    return std::nullopt;
  if (!value->is_bool()) {
    RecordError(name, "is not true or false");
    return std::nullopt;
  }
  return value->get_bool();
}

std::optional<Labels> JsonObject::OptionalLabels(std::string_view name) {
  const auto* value = static_cast<const json::value*>(FindField(name));
  if (value == nullptr)
    return std::nullopt;
  if (!value->is_object()) {
    RecordError(name, "is not an object");
    return std::nullopt;
  }
  Labels labels;
  for (const auto& member : value->get_object()) {
    if (!member.value().is_string()) {
      RecordError(fmt::format("{}.{}", name, std::string_view(member.key())),
                  "is not a string");
      continue;
    }
    labels.emplace(member.key(), std::string_view(member.value().get_string()));
  }
  return labels;
}

std::optional<JsonObject> JsonObject::OptionalObject(std::string_view name) {
  const auto* value = static_cast<const json::value*>(FindField(name));
  if (value == nullptr)
    return std::nullopt;
  if (!value->is_object()) {
    RecordError(name, "is not an object");
    return std::nullopt;
  }
  Node& node = node_->document->nodes.emplace_back(
      Node{.document = node_->document,
           .object = &value->get_object(),
           .path = fmt::format("{}{}.", node_->path, name)});
  return JsonObject(std::shared_ptr<Node>(node_, &node));
}

std::vector<JsonObject> JsonObject::OptionalObjects(std::string_view name,
                                                    std::size_t max_count) {
  const auto* value = static_cast<const json::value*>(FindField(name));
  if (value == nullptr)
    return {};
  if (!value->is_array() || value->get_array().size() > max_count) {
    RecordError(
        name, fmt::format("is not an array of at most {} objects", max_count));
    return {};
  }
  std::vector<JsonObject> objects;
  std::size_t index = 0;
  for (const json::value& element : value->get_array()) {
    const std::string path = fmt::format("{}[{}]", name, index++);
    if (!element.is_object()) {
      RecordError(path, "is not an object");
      continue;
    }
    Node& node = node_->document->nodes.emplace_back(
        Node{.document = node_->document,
             .object = &element.get_object(),
             .path = fmt::format("{}{}.", node_->path, path)});
    objects.push_back(JsonObject(std::shared_ptr<Node>(node_, &node)));
  }
  return objects;
}

std::vector<std::string> JsonObject::OptionalStrings(std::string_view name,
                                                     std::size_t max_count,
                                                     std::size_t max_bytes) {
  const auto* value = static_cast<const json::value*>(FindField(name));
  if (value == nullptr)
    return {};
  if (!value->is_array() || value->get_array().size() > max_count) {
    RecordError(
        name, fmt::format("is not an array of at most {} strings", max_count));
    return {};
  }
  std::vector<std::string> texts;
  std::size_t index = 0;
  for (const json::value& element : value->get_array()) {
    const std::string path = fmt::format("{}[{}]", name, index++);
    if (!element.is_string() || element.get_string().size() > max_bytes) {
      RecordError(
          path, fmt::format("is not a string of at most {} bytes", max_bytes));
      continue;
    }
    texts.emplace_back(std::string_view(element.get_string()));
  }
  return texts;
}

std::optional<std::string> JsonObject::OptionalRaw(std::string_view name) {
  const auto* value = static_cast<const json::value*>(FindField(name));
  if (value == nullptr)
    return std::nullopt;
  return json::serialize(*value);
}

std::vector<JsonError> JsonObject::Finish(UnknownFields unknown) {
  if (unknown == UnknownFields::kIgnore)
    return node_->document->errors;
  for (const Node& node : node_->document->nodes) {
    if (node.object == nullptr)
      continue;
    for (const auto& member : *node.object) {
      const std::string_view name = member.key();
      if (node.requested_fields.contains(name))
        continue;
      node_->document->errors.push_back(
          {node.path + std::string(name), "is unknown"});
    }
  }
  return node_->document->errors;
}

}  // namespace goldcrest::adapters
