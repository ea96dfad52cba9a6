#include "document_check.h"

#include <boost/url/parse.hpp>
#include <utility>
#include <vector>

#include "goldcrest/platform/http_requests.h"
#include "goldcrest/platform/routing_document_check.h"
#include "goldcrest/settings/http_client.h"

namespace goldcrest::ctl {
namespace {

constexpr int kMaxRedirects = 3;
constexpr int kOk = 200;
constexpr int kTemporaryRedirect = 307;

std::vector<Finding> ToFindings(
    const std::vector<platform::DocumentProblem>& problems) {
  std::vector<Finding> findings;
  findings.reserve(problems.size());
  for (const platform::DocumentProblem& problem : problems)
    findings.push_back({problem.place, problem.problem, problem.instead});
  return findings;
}

}  // namespace

CheckReport CheckDocument(const std::string& document,
                          const std::optional<std::string>& in_force) {
  const platform::DocumentCheck check =
      platform::CheckRoutingDocument(document);
  CheckReport report{ToFindings(check.errors), ToFindings(check.warnings), {}};
  if (!in_force)
    return report;
  const auto before = platform::DecodeRoutingDocument(*in_force);
  if (!before.table) {
    report.errors.push_back({"the document in force", before.problem, ""});
    return report;
  }
  const auto after = platform::DecodeRoutingDocument(document);
  if (!after.table)
    return report;
  report.changes = platform::CompareRoutingTables(*before.table, *after.table);
  if (after.table->version <= before.table->version && !report.changes.empty())
    report.warnings.push_back(
        {"version", "is not above the version in force: nothing changes",
         std::to_string(before.table->version + 1) + " or higher"});
  return report;
}

std::optional<std::string> FetchDocument(settings::Address server,
                                         std::chrono::milliseconds timeout) {
  settings::HttpCall call;
  call.target = std::string(platform::ConfigurationPath(
      platform::HttpRequestKind::kGetConfiguration));
  for (int redirects = 0; redirects <= kMaxRedirects; ++redirects) {
    settings::HttpClient client(server.host, server.port);
    const auto answer = client.Call(call, timeout);
    if (!answer)
      return std::nullopt;
    if (answer->status == kOk)
      return answer->body;
    const auto location = answer->headers.find("location");
    if (answer->status != kTemporaryRedirect ||
        location == answer->headers.end())
      return std::nullopt;
    const auto url = boost::urls::parse_uri(location->second);
    if (!url || url->port_number() == 0)
      return std::nullopt;
    server = {std::string(url->encoded_host()), url->port_number()};
  }
  return std::nullopt;
}

}  // namespace goldcrest::ctl
