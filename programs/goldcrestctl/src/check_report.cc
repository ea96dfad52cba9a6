#include "check_report.h"

#include <fmt/format.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "pretty_json.h"

namespace goldcrest::ctl {
namespace {

namespace json = boost::json;

std::string FindingText(const char* kind, const Finding& finding) {
  std::string text = fmt::format("{}: ", kind);
  if (!finding.place.empty())
    text += finding.place + " ";
  text += finding.problem;
  if (!finding.instead.empty())
    text += "; write " + finding.instead;
  return text + "\n";
}

json::array ToJsonArray(const std::vector<Finding>& findings) {
  json::array array;
  for (const Finding& finding : findings)
    array.push_back(json::object{{"place", finding.place},
                                 {"problem", finding.problem},
                                 {"instead", finding.instead}});
  return array;
}

}  // namespace

int CheckReport::ExitCode() const {
  if (!errors.empty())
    return 2;
  return warnings.empty() ? 0 : 1;
}

std::string ToText(const CheckReport& report) {
  std::string text;
  for (const Finding& finding : report.errors)
    text += FindingText("error", finding);
  for (const Finding& finding : report.warnings)
    text += FindingText("warning", finding);
  for (const std::string& change : report.changes)
    text += "change: " + change + "\n";
  return text + fmt::format("errors: {}, warnings: {}, changes: {}\n",
                            report.errors.size(), report.warnings.size(),
                            report.changes.size());
}

std::string ToJson(const CheckReport& report) {
  json::array changes;
  for (const std::string& change : report.changes)
    changes.emplace_back(change);
  return PrettyJson(json::object{{"errors", ToJsonArray(report.errors)},
                                 {"warnings", ToJsonArray(report.warnings)},
                                 {"changes", std::move(changes)}}) +
         "\n";
}

}  // namespace goldcrest::ctl
