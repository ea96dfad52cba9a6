#include "goldcrest/policy/label_view.h"

namespace goldcrest::policy {

void LabelView::AddLayer(const Labels& labels) {
  if (layer_count_ < kMaxLayers)
    layers_[layer_count_++] = &labels;
}

void LabelView::AddBuiltIn(std::string_view name, std::string_view value) {
  if (built_in_count_ < kMaxBuiltIns)
    built_ins_[built_in_count_++] = {name, value};
}

std::optional<std::string_view> LabelView::Find(const std::string& name) const {
  for (std::size_t i = 0; i < built_in_count_; ++i) {
    if (built_ins_[i].name == name)
      return built_ins_[i].value;
  }
  for (std::size_t i = layer_count_; i > 0; --i) {
    const auto label = layers_[i - 1]->find(name);
    if (label != layers_[i - 1]->end())
      return label->second;
  }
  return std::nullopt;
}

}  // namespace goldcrest::policy
