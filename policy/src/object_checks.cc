#include "internal/object_checks.h"

#include <algorithm>
#include <array>
#include <boost/leaf/handle_errors.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include <fmt/format.h>

#include "goldcrest/policy/configuration.h"
#include "goldcrest/policy/selector.h"
#include "internal/label_text.h"

namespace goldcrest::policy {
namespace {

using messages::Object;
using messages::ObjectKind;

constexpr std::size_t kMaxNameBytes = 63;
constexpr std::size_t kMaxChangeIdBytes = 128;
constexpr std::size_t kMaxAuthorBytes = 128;
constexpr std::size_t kDigestBytes = 32;
constexpr std::size_t kMaxLabels = 32;

// These bounds keep sums and products of the values far from overflow.
constexpr std::int64_t kMaxOrder = 1'000'000;
constexpr std::int64_t kMaxAgeMs = 7LL * 24 * 60 * 60 * 1000;
constexpr std::int64_t kMaxRateMicros = 1'000'000'000'000'000;
constexpr std::int64_t kOneRequestMicros = 1'000'000;
constexpr std::int64_t kMaxObjectivePpm = 999'999;
constexpr std::int64_t kMaxLatencyMs = 600'000;

constexpr unsigned KindBit(ObjectKind::type kind) {
  return 1U << static_cast<unsigned>(kind);
}

constexpr unsigned kCustomer = KindBit(ObjectKind::CUSTOMER);
constexpr unsigned kKey = KindBit(ObjectKind::KEY);
constexpr unsigned kEndpoint = KindBit(ObjectKind::ENDPOINT);
constexpr unsigned kAccess = KindBit(ObjectKind::ACCESS);
constexpr unsigned kQuota = KindBit(ObjectKind::QUOTA);
constexpr unsigned kObjective = KindBit(ObjectKind::OBJECTIVE);

// A field of an object, with the kinds that may and the kinds that must have
// it.
struct FieldRule {
  std::string_view name;
  bool set;
  unsigned allowed;
  unsigned required;
};

std::array<FieldRule, 14> FieldRulesFor(const Object& object) {
  const auto& set = object.__isset;
  return {{
      {"labels", !object.labels.empty(), kCustomer | kKey | kEndpoint, 0},
      {"customer", set.customer, kKey, kKey},
      {"digest", set.digest, kKey, kKey},
      {"callers", set.callers, kAccess | kQuota | kObjective, 0},
      {"endpoints", set.endpoints, kAccess, 0},
      {"mode", set.mode, kAccess, kAccess},
      {"max_age_ms", set.max_age_ms, kAccess, 0},
      {"durability", set.durability, kAccess, 0},
      {"open", set.open, kAccess, 0},
      {"order", set.order, kAccess | kQuota, 0},
      {"rate_micros", set.rate_micros, kQuota, kQuota},
      {"burst_micros", set.burst_micros, kQuota, kQuota},
      {"objective_ppm", set.objective_ppm, kObjective, kObjective},
      {"latency_ms", set.latency_ms, kObjective, kObjective},
  }};
}

// A numeric field of an object, with its valid range.
struct NumberRange {
  std::string_view field;
  bool set;
  std::int64_t value;
  std::int64_t min;
  std::int64_t max;
};

std::array<NumberRange, 8> NumberRangesFor(const Object& object) {
  const auto& set = object.__isset;
  return {{
      {"mode", set.mode, object.mode, messages::AccessMode::READ,
       messages::AccessMode::WRITE},
      {"durability", set.durability, object.durability,
       messages::Durability::MAJORITY, messages::Durability::PRIMARY},
      {"max_age_ms", set.max_age_ms, object.max_age_ms, 1, kMaxAgeMs},
      {"order", set.order, object.order, -kMaxOrder, kMaxOrder},
      {"rate_micros", set.rate_micros, object.rate_micros, 1, kMaxRateMicros},
      // With a burst below one request, no request would ever be admitted.
      {"burst_micros", set.burst_micros, object.burst_micros, kOneRequestMicros,
       kMaxRateMicros},
      {"objective_ppm", set.objective_ppm, object.objective_ppm, 1,
       kMaxObjectivePpm},
      {"latency_ms", set.latency_ms, object.latency_ms, 1, kMaxLatencyMs},
  }};
}

constexpr bool IsPrintable(char c) {
  return c >= ' ' && c <= '~';
}

bool IsPrintableText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), IsPrintable);
}

bool HasControlCharacter(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
  });
}

std::string MaskUnprintable(std::string_view text) {
  std::string printable(text.substr(0, kMaxNameBytes));
  std::replace_if(
      printable.begin(), printable.end(),
      [](char c) { return !IsPrintable(c); }, '?');
  return printable;
}

std::string_view KindName(ObjectKind::type kind) {
  switch (kind) {
    case ObjectKind::CUSTOMER:
      return "customer";
    case ObjectKind::KEY:
      return "key";
    case ObjectKind::ENDPOINT:
      return "endpoint";
    case ObjectKind::ACCESS:
      return "access";
    case ObjectKind::QUOTA:
      return "quota";
    case ObjectKind::OBJECTIVE:
      return "objective";
  }
  return "object of unknown kind";
}

// Built-in labels are set by the proxy, so operators can't set them.
bool IsBuiltInLabel(ObjectKind::type kind, std::string_view label) {
  if (kind == ObjectKind::ENDPOINT)
    return label == "endpoint" || label == "group" || label == "zone";
  return label == "customer" || label == "key";
}

std::optional<Problem> InvalidObject(const Object& object,
                                     std::string_view field,
                                     std::string_view text) {
  return ObjectProblem(ResultCode::kInvalidObject, object, field, text);
}

std::optional<Problem> CheckKindAndName(const Object& object) {
  if (object.kind < ObjectKind::CUSTOMER || object.kind > ObjectKind::OBJECTIVE)
    return InvalidObject(object, "kind", "is unknown");
  if (object.name.empty() || object.name.size() > kMaxNameBytes ||
      !IsNameText(object.name)) {
    return InvalidObject(object, "name",
                         "must be 1 to 63 bytes of [a-z0-9._-]");
  }
  return std::nullopt;
}

std::optional<Problem> CheckFields(const Object& object) {
  for (const FieldRule& field : FieldRulesFor(object)) {
    if (field.set && (field.allowed & KindBit(object.kind)) == 0)
      return InvalidObject(object, field.name, "does not belong to this kind");
    if (!field.set && (field.required & KindBit(object.kind)) != 0)
      return InvalidObject(object, field.name, "is missing");
  }
  for (const NumberRange& number : NumberRangesFor(object)) {
    if (!number.set)
      continue;
    if (number.value < number.min || number.value > number.max) {
      return InvalidObject(
          object, number.field,
          fmt::format("must be from {} to {}", number.min, number.max));
    }
  }
  if (object.__isset.digest && object.digest.size() != kDigestBytes)
    return InvalidObject(object, "digest", "must have 32 bytes");
  return std::nullopt;
}

std::optional<Problem> CheckLabels(const Object& object) {
  if (object.labels.size() > kMaxLabels) {
    return InvalidObject(object, "labels",
                         fmt::format("has more than {} labels", kMaxLabels));
  }
  for (const auto& [name, value] : object.labels) {
    if (name.empty() || name.size() > Selector::kMaxNameBytes ||
        !IsLabelText(name)) {
      return InvalidObject(object, "labels",
                           fmt::format("name '{}' must be 1 to 63 bytes of "
                                       "[A-Za-z0-9._-]",
                                       MaskUnprintable(name)));
    }
    if (value.size() > Selector::kMaxValueBytes || !IsLabelText(value)) {
      return InvalidObject(
          object, "labels",
          fmt::format("value of '{}' must be at most 63 bytes of "
                      "[A-Za-z0-9._-]",
                      name));
    }
    if (IsBuiltInLabel(object.kind, name))
      return InvalidObject(object, "labels",
                           fmt::format("'{}' is built in", name));
  }
  return std::nullopt;
}

std::optional<Problem> CheckSelector(const Object& object,
                                     std::string_view field,
                                     const std::string& text) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<Problem>> {
        BOOST_LEAF_CHECK(Selector::Parse(text));
        return std::optional<Problem>();
      },
      [&](const SelectorError& error) {
        return InvalidObject(object, field, error.ToString());
      },
      [&] { return InvalidObject(object, field, "is not a selector"); });
}

}  // namespace

std::optional<Problem> CheckObject(const Object& object) {
  std::optional<Problem> problem = CheckKindAndName(object);
  if (problem || object.deleted)
    return problem;
  if ((problem = CheckFields(object)))
    return problem;
  if ((problem = CheckLabels(object)))
    return problem;
  if ((problem = CheckSelector(object, "callers", object.callers)))
    return problem;
  return CheckSelector(object, "endpoints", object.endpoints);
}

std::optional<Problem> CheckChange(const messages::Change& change) {
  if (change.change_id.empty() || change.change_id.size() > kMaxChangeIdBytes ||
      !IsPrintableText(change.change_id)) {
    return Problem{ResultCode::kInvalidField,
                   "field 'change_id' must be 1 to 128 printable bytes"};
  }
  if (change.author.size() > kMaxAuthorBytes ||
      HasControlCharacter(change.author)) {
    return Problem{ResultCode::kInvalidField,
                   "field 'author' must be at most 128 bytes without control "
                   "characters"};
  }
  if (change.objects.empty() ||
      change.objects.size() > Configuration::kMaxObjectsPerChange) {
    return Problem{ResultCode::kInvalidField,
                   fmt::format("field 'objects' must have 1 to {} objects",
                               Configuration::kMaxObjectsPerChange)};
  }
  return std::nullopt;
}

Problem ObjectProblem(ResultCode code,
                      const Object& object,
                      std::string_view field,
                      std::string_view text) {
  return {code, fmt::format("{} '{}': field '{}': {}", KindName(object.kind),
                            MaskUnprintable(object.name), field, text)};
}

Object Normalized(const Object& object) {
  Object normalized = object;
  const auto& set = object.__isset;
  const Object defaults;
  // Thrift does not send fields that are not set, so a receiver would see
  // their defaults.
  if (!set.customer)
    normalized.customer = defaults.customer;
  if (!set.digest)
    normalized.digest = defaults.digest;
  if (!set.callers)
    normalized.callers = defaults.callers;
  if (!set.endpoints)
    normalized.endpoints = defaults.endpoints;
  if (!set.max_age_ms)
    normalized.max_age_ms = defaults.max_age_ms;
  if (!set.open)
    normalized.open = defaults.open;
  if (!set.order)
    normalized.order = defaults.order;
  if (!set.durability)
    normalized.durability = messages::Durability::MAJORITY;
  return normalized;
}

}  // namespace goldcrest::policy
