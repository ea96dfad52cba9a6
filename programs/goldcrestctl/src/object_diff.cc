#include "object_diff.h"

#include <map>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "goldcrest/settings/object_json.h"

namespace goldcrest::ctl {
namespace {

namespace json = boost::json;
using messages::Object;

std::string KindAndName(const Object& object) {
  return fmt::format("{} {}", settings::ToText(object.kind), object.name);
}

json::object ToJsonFields(Object object) {
  object.revision = 0;
  return json::parse(settings::ToJson(object)).as_object();
}

std::string FieldText(const json::object& fields, std::string_view name) {
  const json::value* value = fields.if_contains(name);
  return value ? json::serialize(*value) : "(none)";
}

void DiffFields(const std::string& id,
                const json::object& before,
                const json::object& after,
                std::vector<std::string>& lines) {
  json::object names = before;
  for (const auto& [name, value] : after)
    names[name] = value;
  for (const auto& [name, unused] : names) {
    const std::string old_text = FieldText(before, name);
    const std::string new_text = FieldText(after, name);
    if (old_text != new_text)
      lines.push_back(fmt::format("~ {}: {} {} -> {}", id,
                                  std::string_view(name), old_text, new_text));
  }
}

}  // namespace

std::vector<std::string> DiffObjects(const std::vector<Object>& current,
                                     const std::vector<Object>& wanted) {
  std::map<std::string, Object> existing;
  for (const Object& object : current) {
    if (!object.deleted)
      existing[KindAndName(object)] = object;
  }
  std::vector<std::string> lines;
  for (const Object& object : wanted) {
    const std::string id = KindAndName(object);
    const auto it = existing.find(id);
    if (it == existing.end()) {
      if (!object.deleted)
        lines.push_back("+ " + id);
    } else if (object.deleted) {
      lines.push_back("- " + id);
    } else {
      DiffFields(id, ToJsonFields(it->second), ToJsonFields(object), lines);
    }
  }
  return lines;
}

}  // namespace goldcrest::ctl
