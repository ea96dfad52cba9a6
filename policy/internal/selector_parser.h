#ifndef GOLDCREST_POLICY_SELECTOR_PARSER_H_
#define GOLDCREST_POLICY_SELECTOR_PARSER_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrest/policy/selector.h"

namespace goldcrest::policy {

//! Parses the requirements of one selector text.
class SelectorParser {
 public:
  explicit SelectorParser(std::string_view text) : text_(text) {}

  boost::leaf::result<std::vector<Selector::Requirement>> Parse();

 private:
  boost::leaf::result<Selector::Requirement> ParseRequirement();
  boost::leaf::result<std::vector<std::string>> ParseValues();
  boost::leaf::result<std::string> ParseWord(std::size_t limit,
                                             std::string_view expected);
  boost::leaf::error_id Error(std::size_t position,
                              std::string_view expected) const;

  void SkipBlanks();
  bool AtEnd();
  //! Skips blanks, and `token` if it follows.
  bool Consume(std::string_view token);
  //! As Consume(), if no label character follows `word`.
  bool ConsumeWord(std::string_view word);

  std::string_view text_;
  std::size_t position_ = 0;
};

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_SELECTOR_PARSER_H_
