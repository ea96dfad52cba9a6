#include "goldcrest/policy/selector.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "internal/selector_parser.h"

namespace goldcrest::policy {
namespace {

bool Contains(const std::vector<std::string>& values, std::string_view value) {
  return std::binary_search(values.begin(), values.end(), value,
                            std::less<std::string_view>());
}

bool IsSatisfied(const Selector::Requirement& requirement,
                 const LabelView& labels) {
  const std::optional<std::string_view> value = labels.Find(requirement.label);
  switch (requirement.op) {
    case Selector::Operator::kExists:
      return value.has_value();
    case Selector::Operator::kNotExists:
      return !value.has_value();
    case Selector::Operator::kIn:
      return value && Contains(requirement.values, *value);
    case Selector::Operator::kNotIn:
      return !value || !Contains(requirement.values, *value);
  }
  return false;
}

std::string Format(const Selector::Requirement& requirement) {
  const auto& [label, op, values] = requirement;
  switch (op) {
    case Selector::Operator::kExists:
      return label;
    case Selector::Operator::kNotExists:
      return "!" + label;
    case Selector::Operator::kIn:
      if (values.size() == 1)
        return fmt::format("{}={}", label, values.front());
      return fmt::format("{} in ({})", label, fmt::join(values, ","));
    case Selector::Operator::kNotIn:
      if (values.size() == 1)
        return fmt::format("{}!={}", label, values.front());
      return fmt::format("{} notin ({})", label, fmt::join(values, ","));
  }
  return {};
}

}  // namespace

std::string SelectorError::ToString() const {
  return fmt::format("at position {}: expected {}", position, expected);
}

boost::leaf::result<Selector> Selector::Parse(std::string_view text) {
  BOOST_LEAF_AUTO(requirements, SelectorParser(text).Parse());
  return Selector(std::move(requirements));
}

bool Selector::Matches(const Labels& labels) const {
  return Matches(LabelView(labels));
}

bool Selector::Matches(const LabelView& labels) const {
  return std::all_of(requirements_.begin(), requirements_.end(),
                     [&labels](const Requirement& requirement) {
                       return IsSatisfied(requirement, labels);
                     });
}

std::string Selector::ToString() const {
  std::vector<std::string> parts;
  parts.reserve(requirements_.size());
  for (const Requirement& requirement : requirements_)
    parts.push_back(Format(requirement));
  return fmt::format("{}", fmt::join(parts, ","));
}

}  // namespace goldcrest::policy
