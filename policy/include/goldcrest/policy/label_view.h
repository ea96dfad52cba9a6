#ifndef GOLDCREST_POLICY_LABEL_VIEW_H_
#define GOLDCREST_POLICY_LABEL_VIEW_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "goldcrest/types/labels.h"

namespace goldcrest::policy {

//! Layers of labels, which are not copied because every request needs a lookup.
//! A label hides the same label of layers added before, and a built-in label
//! hides those of all layers. The view must not outlive the labels and texts
//! that were added.
class LabelView {
 public:
  LabelView() = default;
  explicit LabelView(const Labels& labels) { AddLayer(labels); }

  //! At most kMaxLayers; more are ignored.
  void AddLayer(const Labels& labels);

  //! At most kMaxBuiltIns; more are ignored.
  void AddBuiltIn(std::string_view name, std::string_view value);

  std::optional<std::string_view> Find(const std::string& name) const;

 private:
  static constexpr std::size_t kMaxLayers = 2;
  static constexpr std::size_t kMaxBuiltIns = 3;
  struct BuiltIn {
    std::string_view name;
    std::string_view value;
  };

  std::array<const Labels*, kMaxLayers> layers_{};
  std::size_t layer_count_ = 0;
  std::array<BuiltIn, kMaxBuiltIns> built_ins_{};
  std::size_t built_in_count_ = 0;
};

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_LABEL_VIEW_H_
