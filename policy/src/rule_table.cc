#include "goldcrest/policy/rule_table.h"

#include <optional>

namespace goldcrest::policy {
namespace {

std::optional<Selector> ParseSelector(const std::string& text) {
  boost::leaf::result<Selector> selector = Selector::Parse(text);
  if (!selector)
    return std::nullopt;
  return std::move(selector.value());
}

RuleTable::Rank RankOf(const messages::Object& object) {
  return {object.order, object.name};
}

}  // namespace

void RuleTable::Update(const messages::Object* old_object,
                       const messages::Object& new_object) {
  if (new_object.kind != messages::ObjectKind::ACCESS &&
      new_object.kind != messages::ObjectKind::QUOTA) {
    return;
  }
  Rules& rules =
      new_object.kind == messages::ObjectKind::ACCESS ? access_ : quota_;
  if (old_object != nullptr)
    rules.erase(RankOf(*old_object));
  if (new_object.deleted)
    return;
  std::optional<Selector> callers = ParseSelector(new_object.callers);
  std::optional<Selector> endpoints = ParseSelector(new_object.endpoints);
  if (!callers || !endpoints)
    return;
  rules.insert_or_assign(
      RankOf(new_object),
      Rule{new_object, std::move(*callers), std::move(*endpoints)});
}

}  // namespace goldcrest::policy
