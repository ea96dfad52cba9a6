#include "goldcrest/settings/object_json.h"

#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

#include <fmt/format.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "goldcrest/types/digest.h"

namespace goldcrest::settings {
namespace {

namespace json = boost::json;
using messages::AccessMode;
using messages::Durability;
using messages::Object;
using messages::ObjectKind;

constexpr std::size_t kMaxNameBytes = 200;
constexpr std::size_t kDigestBytes = 32;
constexpr double kMicrosPerUnit = 1e6;
// In millionths, this still fits in 64 bits.
constexpr double kMaxRequests = 1e12;

constexpr std::array<std::string_view, 6> kKindNames = {
    "customer", "key", "endpoint", "access", "quota", "objective"};

// A set of object kinds, one bit per kind.
using KindSet = unsigned;
constexpr KindSet KindBit(ObjectKind::type kind) {
  return 1U << static_cast<unsigned>(kind);
}
constexpr KindSet kCustomer = KindBit(ObjectKind::CUSTOMER);
constexpr KindSet kKey = KindBit(ObjectKind::KEY);
constexpr KindSet kEndpoint = KindBit(ObjectKind::ENDPOINT);
constexpr KindSet kAccess = KindBit(ObjectKind::ACCESS);
constexpr KindSet kQuota = KindBit(ObjectKind::QUOTA);
constexpr KindSet kObjective = KindBit(ObjectKind::OBJECTIVE);
constexpr KindSet kAllKinds =
    kCustomer | kKey | kEndpoint | kAccess | kQuota | kObjective;

struct Field {
  std::string_view name;
  KindSet kinds;     // Kinds of objects that may have the field.
  KindSet required;  // Kinds that must have it unless deleted.
  std::string_view expected;
  bool (*read)(const json::value&, Object&);  // Returns false if invalid.
  std::optional<json::value> (*write)(const Object&);
};

std::optional<std::string> ReadText(const json::value& value) {
  if (!value.is_string())
    return std::nullopt;
  return std::string(value.get_string());
}

std::optional<std::int64_t> ReadInteger(const json::value& value,
                                        std::int64_t low,
                                        std::int64_t high) {
  boost::system::error_code error;
  if (!value.is_int64() && !value.is_uint64())
    return std::nullopt;
  const auto number = value.to_number<std::int64_t>(error);
  if (error || number < low || number > high)
    return std::nullopt;
  return number;
}

// Converts a JSON number of units to millionths.
std::optional<std::int64_t> ReadMicros(const json::value& value, double high) {
  boost::system::error_code error;
  if (!value.is_number())
    return std::nullopt;
  const auto number = value.to_number<double>(error);
  if (error || !(number >= 0) || number > high)
    return std::nullopt;
  return std::llround(number * kMicrosPerUnit);
}

json::value MicrosToJson(std::int64_t micros) {
  constexpr std::int64_t whole = 1'000'000;
  if (micros % whole == 0)
    return micros / whole;
  return static_cast<double>(micros) / kMicrosPerUnit;
}

std::optional<ObjectKind::type> ReadKind(const json::value& value) {
  const auto text = ReadText(value);
  for (std::size_t i = 0; text && i < kKindNames.size(); ++i) {
    if (kKindNames[i] == *text)
      return static_cast<ObjectKind::type>(i + 1);
  }
  return std::nullopt;
}

// Passes `read` to `setter`; returns false when it is empty.
template <typename Read, typename Value>
bool StoreIfRead(Read read, Object& object, void (Object::*setter)(Value)) {
  if (!read)
    return false;
  (object.*setter)(*read);
  return true;
}

std::optional<json::value> ValueIf(bool is_set, json::value value) {
  if (!is_set)
    return std::nullopt;
  return value;
}

bool ReadName(const json::value& value, Object& object) {
  const auto text = ReadText(value);
  if (!text || text->empty() || text->size() > kMaxNameBytes)
    return false;
  object.__set_name(*text);
  return true;
}

bool ReadLabels(const json::value& value, Object& object) {
  if (!value.is_object())
    return false;
  for (const auto& [name, label] : value.get_object()) {
    if (name.empty() || !label.is_string())
      return false;
    object.labels[std::string(name)] = std::string(label.get_string());
  }
  return true;
}

bool ReadDigest(const json::value& value, Object& object) {
  const auto text = ReadText(value);
  const std::string digest = text ? FromHex(*text) : "";
  if (digest.size() != kDigestBytes)
    return false;
  object.__set_digest(digest);
  return true;
}

bool ReadMode(const json::value& value, Object& object) {
  const auto text = ReadText(value);
  if (text != "read" && text != "write")
    return false;
  object.__set_mode(text == "read" ? AccessMode::READ : AccessMode::WRITE);
  return true;
}

bool ReadDurability(const json::value& value, Object& object) {
  const auto text = ReadText(value);
  if (text != "majority" && text != "primary")
    return false;
  object.__set_durability(text == "majority" ? Durability::MAJORITY
                                             : Durability::PRIMARY);
  return true;
}

bool ReadBool(const json::value& value, bool& flag) {
  if (!value.is_bool())
    return false;
  flag = value.get_bool();
  return true;
}

json::value LabelsToJson(const Object& o) {
  json::object labels;
  for (const auto& [name, label] : o.labels)
    labels[name] = label;
  return labels;
}

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
constexpr std::string_view kExpectedSelector = "a selector as text";

constexpr std::array kFields = {
    Field{"kind", kAllKinds, kAllKinds,
          "customer, key, endpoint, access, quota or objective",
          [](const json::value& v, Object& o) {
            return StoreIfRead(ReadKind(v), o, &Object::__set_kind);
          },
          [](const Object& o) {
            return ValueIf(true, json::value(ToText(o.kind)));
          }},
    Field{"name", kAllKinds, kAllKinds, "text of 1 to 200 bytes", &ReadName,
          [](const Object& o) { return ValueIf(true, json::value(o.name)); }},
    Field{"revision", kAllKinds, 0, "an integer of at least 0",
          [](const json::value& v, Object& o) {
            return StoreIfRead(ReadInteger(v, 0, kMaxInteger), o,
                               &Object::__set_revision);
          },
          [](const Object& o) { return ValueIf(o.revision != 0, o.revision); }},
    Field{
        "deleted", kAllKinds, 0, "true or false",
        [](const json::value& v, Object& o) { return ReadBool(v, o.deleted); },
        [](const Object& o) { return ValueIf(o.deleted, o.deleted); }},
    Field{"labels", kCustomer | kKey | kEndpoint, 0,
          "a table of label names with text values", &ReadLabels,
          [](const Object& o) {
            return ValueIf(!o.labels.empty(), LabelsToJson(o));
          }},
    Field{"customer", kKey, kKey, "the name of a customer",
          [](const json::value& v, Object& o) {
            return StoreIfRead(ReadText(v), o, &Object::__set_customer);
          },
          [](const Object& o) {
            return ValueIf(o.__isset.customer, json::value(o.customer));
          }},
    Field{"digest", kKey, kKey, "64 hexadecimal digits in lower case",
          &ReadDigest,
          [](const Object& o) {
            return ValueIf(o.__isset.digest, json::value(ToHex(o.digest)));
          }},
    Field{"callers", kAccess | kQuota | kObjective, 0, kExpectedSelector,
          [](const json::value& v, Object& o) {
            return StoreIfRead(ReadText(v), o, &Object::__set_callers);
          },
          [](const Object& o) {
            return ValueIf(o.__isset.callers, json::value(o.callers));
          }},
    Field{"endpoints", kAccess, 0, kExpectedSelector,
          [](const json::value& v, Object& o) {
            return StoreIfRead(ReadText(v), o, &Object::__set_endpoints);
          },
          [](const Object& o) {
            return ValueIf(o.__isset.endpoints, json::value(o.endpoints));
          }},
    Field{"mode", kAccess, kAccess, "read or write", &ReadMode,
          [](const Object& o) {
            return ValueIf(o.__isset.mode,
                           o.mode == AccessMode::READ ? "read" : "write");
          }},
    Field{"max_age_ms", kAccess, 0, "an integer of at least 0",
          [](const json::value& v, Object& o) {
            return StoreIfRead(ReadInteger(v, 0, kMaxInteger), o,
                               &Object::__set_max_age_ms);
          },
          [](const Object& o) {
            return ValueIf(o.__isset.max_age_ms, o.max_age_ms);
          }},
    Field{"durability", kAccess, 0, "majority or primary", &ReadDurability,
          [](const Object& o) {
            return ValueIf(
                o.__isset.durability,
                o.durability == Durability::MAJORITY ? "majority" : "primary");
          }},
    Field{"open", kAccess, 0, "true or false",
          [](const json::value& v, Object& o) {
            o.__isset.open = ReadBool(v, o.open);
            return o.__isset.open;
          },
          [](const Object& o) { return ValueIf(o.__isset.open, o.open); }},
    Field{"order", kAccess | kQuota, 0, "an integer of 32 bits",
          [](const json::value& v, Object& o) {
            return StoreIfRead(ReadInteger(v, INT32_MIN, INT32_MAX), o,
                               &Object::__set_order);
          },
          [](const Object& o) { return ValueIf(o.__isset.order, o.order); }},
    Field{"rate", kQuota, kQuota, "requests per second, a number of at least 0",
          [](const json::value& v, Object& o) {
            return StoreIfRead(ReadMicros(v, kMaxRequests), o,
                               &Object::__set_rate_micros);
          },
          [](const Object& o) {
            return ValueIf(o.__isset.rate_micros, MicrosToJson(o.rate_micros));
          }},
    Field{"burst", kQuota, kQuota, "requests, a number of at least 0",
          [](const json::value& v, Object& o) {
            return StoreIfRead(ReadMicros(v, kMaxRequests), o,
                               &Object::__set_burst_micros);
          },
          [](const Object& o) {
            return ValueIf(o.__isset.burst_micros,
                           MicrosToJson(o.burst_micros));
          }},
    Field{"objective", kObjective, kObjective,
          "the share of good events, a number from 0 to 1",
          [](const json::value& v, Object& o) {
            return StoreIfRead(ReadMicros(v, 1), o,
                               &Object::__set_objective_ppm);
          },
          [](const Object& o) {
            return ValueIf(o.__isset.objective_ppm,
                           MicrosToJson(o.objective_ppm));
          }},
    Field{"latency_ms", kObjective, kObjective, "an integer of at least 1",
          [](const json::value& v, Object& o) {
            return StoreIfRead(ReadInteger(v, 1, kMaxInteger), o,
                               &Object::__set_latency_ms);
          },
          [](const Object& o) {
            return ValueIf(o.__isset.latency_ms, o.latency_ms);
          }},
};

json::object ToValue(const Object& object) {
  json::object value;
  for (const Field& field : kFields) {
    if (auto written = field.write(object))
      value[field.name] = std::move(*written);
  }
  return value;
}

json::array ToValue(const std::vector<Object>& objects) {
  json::array values;
  for (const Object& object : objects)
    values.push_back(ToValue(object));
  return values;
}

const Field* FindField(std::string_view name) {
  for (const Field& field : kFields) {
    if (field.name == name)
      return &field;
  }
  return nullptr;
}

// Reports unknown and missing fields; the values are checked by ReadObject.
void CheckFields(const json::object& value,
                 const Object& object,
                 const std::string& prefix,
                 std::vector<std::string>* errors) {
  const KindSet kind = KindBit(object.kind);
  for (const auto& [name, unused] : value) {
    const Field* field = FindField(name);
    if (!field)
      errors->push_back(fmt::format("{}{}: expected no such field", prefix,
                                    std::string_view(name)));
    else if (!(field->kinds & kind))
      errors->push_back(fmt::format("{}{}: expected no such field in {}",
                                    prefix, field->name, ToText(object.kind)));
  }
  for (const Field& field : kFields) {
    const bool needed = (field.required & kind) &&
                        (!object.deleted || field.required == kAllKinds);
    if (needed && !value.contains(field.name))
      errors->push_back(fmt::format("{}{}: missing, expected {}", prefix,
                                    field.name, field.expected));
  }
}

Object ReadObject(const json::value& value,
                  const std::string& prefix,
                  std::vector<std::string>* errors) {
  Object object;
  object.deleted = false;
  object.revision = 0;
  if (!value.is_object()) {
    errors->push_back(prefix.empty() ? "expected an object"
                                     : prefix.substr(0, prefix.size() - 1) +
                                           ": expected an object");
    return object;
  }
  const json::object& fields = value.get_object();
  bool has_kind = false;
  for (const Field& field : kFields) {
    const json::value* found = fields.if_contains(field.name);
    if (!found)
      continue;
    const bool valid = field.read(*found, object);
    if (!valid)
      errors->push_back(
          fmt::format("{}{}: expected {}", prefix, field.name, field.expected));
    has_kind |= valid && field.name == "kind";
  }
  if (has_kind)
    CheckFields(fields, object, prefix, errors);
  else if (!fields.contains("kind"))
    errors->push_back(prefix + "kind: missing, expected " +
                      std::string(kFields[0].expected));
  return object;
}

std::vector<Object> ReadObjects(const json::array& values,
                                std::vector<std::string>* errors) {
  std::vector<Object> objects;
  for (const json::value& value : values)
    objects.push_back(
        ReadObject(value, fmt::format("objects[{}].", objects.size()), errors));
  return objects;
}

std::optional<json::value> ParseText(std::string_view text,
                                     std::vector<std::string>* errors) {
  boost::system::error_code error;
  json::value value = json::parse({text.data(), text.size()}, error);
  if (!error)
    return value;
  errors->push_back("expected JSON: " + error.message());
  return std::nullopt;
}

}  // namespace

std::string ToJson(const Object& object) {
  return json::serialize(ToValue(object));
}

std::string ToJson(const std::vector<Object>& objects) {
  return json::serialize(ToValue(objects));
}

std::string ToJson(const messages::Change& change) {
  return json::serialize(json::value{{"change_id", change.change_id},
                                     {"base_revision", change.base_revision},
                                     {"author", change.author},
                                     {"objects", ToValue(change.objects)}});
}

std::vector<Object> ParseObjects(std::string_view json,
                                 std::vector<std::string>* errors) {
  const auto value = ParseText(json, errors);
  if (!value)
    return {};
  if (value->is_array())
    return ReadObjects(value->get_array(), errors);
  return {ReadObject(*value, "", errors)};
}

messages::Change ParseChange(std::string_view json,
                             std::vector<std::string>* errors) {
  messages::Change change;
  change.base_revision = 0;
  const auto value = ParseText(json, errors);
  if (!value)
    return change;
  if (!value->is_object()) {
    errors->emplace_back("expected an object");
    return change;
  }
  const json::object& body = value->get_object();
  for (const auto& [name, field] : body) {
    const auto text = ReadText(field);
    const auto number = ReadInteger(field, 0, kMaxInteger);
    if (name == "change_id" && text && !text->empty())
      change.change_id = *text;
    else if (name == "author" && text)
      change.author = *text;
    else if (name == "base_revision" && number)
      change.base_revision = *number;
    else if (name == "objects" && field.is_array())
      change.objects = ReadObjects(field.get_array(), errors);
    else
      errors->push_back(fmt::format(
          "{}: expected one of change_id (text), base_revision (integer), "
          "author (text), objects (array)",
          std::string_view(name)));
  }
  for (const char* name : {"change_id", "base_revision", "objects"}) {
    if (!body.contains(name))
      errors->push_back(fmt::format("{}: missing", name));
  }
  return change;
}

std::string_view ToText(ObjectKind::type kind) {
  const auto index = static_cast<std::size_t>(kind) - 1;
  return index < kKindNames.size() ? kKindNames[index] : "unknown";
}

}  // namespace goldcrest::settings
