#ifndef GOLDCREST_POLICY_SELECTOR_H_
#define GOLDCREST_POLICY_SELECTOR_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrest/policy/label_view.h"
#include "goldcrest/types/labels.h"

namespace goldcrest::policy {

//! Why a text is not a selector; the error object of Selector::Parse().
struct SelectorError {
  std::size_t position = 0;  //!< Byte offset at which parsing failed.
  std::string expected;

  //! For example "at position 5: expected a label value".
  std::string ToString() const;
};

//! A label expression such as "tier=gold,region in (oyo,osun),!trial". Matches
//! labels that satisfy all its requirements; a selector without requirements
//! matches everything. "!=" and "notin" also match when the label is missing.
class Selector {
 public:
  static constexpr std::size_t kMaxTextBytes = 4096;
  static constexpr std::size_t kMaxRequirements = 64;
  static constexpr std::size_t kMaxValues = 256;
  static constexpr std::size_t kMaxNameBytes = 63;
  static constexpr std::size_t kMaxValueBytes = 63;

  enum class Operator : std::uint8_t { kExists, kNotExists, kIn, kNotIn };

  struct Requirement {
    std::string label;
    Operator op = Operator::kExists;
    std::vector<std::string> values;  //!< Sorted, without duplicates.

    bool operator==(const Requirement&) const = default;
  };

  //! Matches everything.
  Selector() = default;

  //! On failure the error carries a SelectorError.
  static boost::leaf::result<Selector> Parse(std::string_view text);

  bool Matches(const Labels& labels) const;
  bool Matches(const LabelView& labels) const;

  //! Returns a text that parses to an equal selector.
  std::string ToString() const;

  const std::vector<Requirement>& Requirements() const { return requirements_; }

  bool operator==(const Selector&) const = default;

 private:
  explicit Selector(std::vector<Requirement> requirements)
      : requirements_(std::move(requirements)) {}

  std::vector<Requirement> requirements_;
};

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_SELECTOR_H_
