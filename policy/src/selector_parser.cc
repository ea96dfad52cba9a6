#include "internal/selector_parser.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <utility>

#include <fmt/format.h>

#include "internal/label_text.h"

namespace goldcrest::policy {
namespace {

using Operator = Selector::Operator;
using Requirement = Selector::Requirement;

}  // namespace

boost::leaf::result<std::vector<Requirement>> SelectorParser::Parse() {
  if (text_.size() > Selector::kMaxTextBytes) {
    return Error(Selector::kMaxTextBytes,
                 fmt::format("at most {} bytes", Selector::kMaxTextBytes));
  }
  std::vector<Requirement> requirements;
  if (AtEnd())
    return requirements;
  for (;;) {
    const std::size_t start = position_;
    if (requirements.size() >= Selector::kMaxRequirements) {
      return Error(start, fmt::format("at most {} requirements",
                                      Selector::kMaxRequirements));
    }
    BOOST_LEAF_AUTO(requirement, ParseRequirement());
    requirements.push_back(std::move(requirement));
    if (AtEnd())
      return requirements;
    if (!Consume(","))
      return Error(position_, "an operator, a comma or the end");
  }
}

boost::leaf::result<Requirement> SelectorParser::ParseRequirement() {
  Requirement requirement;
  const bool negated = Consume("!");
  BOOST_LEAF_ASSIGN(requirement.label,
                    ParseWord(Selector::kMaxNameBytes, "a label name"));
  if (negated) {
    requirement.op = Operator::kNotExists;
    return requirement;
  }
  if (Consume("!=")) {
    requirement.op = Operator::kNotIn;
  } else if (Consume("==") || Consume("=")) {
    requirement.op = Operator::kIn;
  } else if (ConsumeWord("in")) {
    requirement.op = Operator::kIn;
    BOOST_LEAF_ASSIGN(requirement.values, ParseValues());
    return requirement;
  } else if (ConsumeWord("notin")) {
    requirement.op = Operator::kNotIn;
    BOOST_LEAF_ASSIGN(requirement.values, ParseValues());
    return requirement;
  } else {
    return requirement;
  }
  BOOST_LEAF_AUTO(value, ParseWord(Selector::kMaxValueBytes, "a label value"));
  requirement.values.push_back(std::move(value));
  return requirement;
}

boost::leaf::result<std::vector<std::string>> SelectorParser::ParseValues() {
  if (!Consume("("))
    return Error(position_, "an opening bracket");
  std::vector<std::string> values;
  for (;;) {
    if (values.size() >= Selector::kMaxValues) {
      return Error(position_,
                   fmt::format("at most {} values", Selector::kMaxValues));
    }
    BOOST_LEAF_AUTO(value,
                    ParseWord(Selector::kMaxValueBytes, "a label value"));
    values.push_back(std::move(value));
    if (Consume(")"))
      break;
    if (!Consume(","))
      return Error(position_, "a comma or a closing bracket");
  }
  std::sort(values.begin(), values.end());
  values.erase(std::unique(values.begin(), values.end()), values.end());
  return values;
}

boost::leaf::result<std::string> SelectorParser::ParseWord(
    std::size_t limit,
    std::string_view expected) {
  SkipBlanks();
  const std::size_t start = position_;
  while (position_ < text_.size() && IsLabelCharacter(text_[position_]))
    ++position_;
  if (position_ == start)
    return Error(start, expected);
  if (position_ - start > limit)
    return Error(start, fmt::format("{} of at most {} bytes", expected, limit));
  return std::string(text_.substr(start, position_ - start));
}

boost::leaf::error_id SelectorParser::Error(std::size_t position,
                                            std::string_view expected) const {
  return boost::leaf::new_error(SelectorError{position, std::string(expected)});
}

void SelectorParser::SkipBlanks() {
  while (position_ < text_.size() &&
         (text_[position_] == ' ' || text_[position_] == '\t')) {
    ++position_;
  }
}

bool SelectorParser::AtEnd() {
  SkipBlanks();
  return position_ == text_.size();
}

bool SelectorParser::Consume(std::string_view token) {
  SkipBlanks();
  if (!text_.substr(position_).starts_with(token))
    return false;
  position_ += token.size();
  return true;
}

bool SelectorParser::ConsumeWord(std::string_view word) {
  SkipBlanks();
  const std::string_view rest = text_.substr(position_);
  if (!rest.starts_with(word))
    return false;
  if (rest.size() > word.size() && IsLabelCharacter(rest[word.size()]))
    return false;
  position_ += word.size();
  return true;
}

}  // namespace goldcrest::policy
