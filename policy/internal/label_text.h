#ifndef GOLDCREST_POLICY_LABEL_TEXT_H_
#define GOLDCREST_POLICY_LABEL_TEXT_H_

#include <algorithm>
#include <string_view>

namespace goldcrest::policy {

//! Characters of label names and values: letters, digits, dot, underscore and
//! hyphen. Every other character ends a word in a selector.
constexpr bool IsLabelCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

//! Characters of object names: lower-case letters, digits, dot, underscore and
//! hyphen.
constexpr bool IsNameCharacter(char c) {
  return IsLabelCharacter(c) && !(c >= 'A' && c <= 'Z');
}

constexpr bool IsLabelText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), IsLabelCharacter);
}

constexpr bool IsNameText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), IsNameCharacter);
}

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_LABEL_TEXT_H_
