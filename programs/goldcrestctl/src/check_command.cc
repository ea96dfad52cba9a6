#include "check_command.h"

#include <fstream>
#include <iterator>
#include <vector>

#include "check_report.h"
#include "commands.h"
#include "document_check.h"
#include "object_check.h"

namespace goldcrest::ctl {
namespace {

std::string ReadText(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

// The functions below return nullopt when nothing is known of what is in force.

std::optional<CheckReport> CheckDocumentFile(const CheckOptions& options,
                                             const std::string& text,
                                             std::ostream& err) {
  if (options.against_file)
    return CheckDocument(text, ReadText(*options.against_file));
  if (!options.against_server)
    return CheckDocument(text, std::nullopt);
  const auto in_force = FetchDocument(*options.against_server, options.timeout);
  if (in_force)
    return CheckDocument(text, in_force);
  err << "no document from " << options.against_server->host << ":"
      << options.against_server->port << "\n";
  return std::nullopt;
}

CheckReport ReportErrors(const std::vector<std::string>& errors) {
  CheckReport report;
  for (const std::string& error : errors)
    report.errors.push_back({"", error, ""});
  return report;
}

std::optional<CheckReport> CheckObjectFile(const CheckOptions& options) {
  std::vector<std::string> errors;
  const ObjectFile file = ReadObjectFile(options.file, &errors);
  std::optional<ObjectFile> current;
  if (options.against_file)
    current = ReadObjectFile(*options.against_file, &errors);
  if (!errors.empty())
    return ReportErrors(errors);
  if (options.against_server) {
    current = options.fetch_objects(*options.against_server);
    if (!current)
      return std::nullopt;
  }
  if (!current)
    return CheckObjects(file.base_revision, file.objects, std::nullopt);
  return CheckObjects(
      file.base_revision, file.objects,
      ObjectsInForce{current->base_revision.value_or(0), current->objects});
}

std::optional<CheckReport> CheckFile(const CheckOptions& options,
                                     std::ostream& err) {
  const std::string text = ReadText(options.file);
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  if (first != std::string::npos && text[first] == '{')
    return CheckDocumentFile(options, text, err);
  if (HasObjects(options.file))
    return CheckObjectFile(options);
  std::vector<std::string> errors;
  for (const auto& problem : settings::CheckSettings(options.file))
    errors.push_back(settings::ToString(problem));
  return ReportErrors(errors);
}

}  // namespace

int RunCheck(const CheckOptions& options,
             std::ostream& out,
             std::ostream& err) {
  const auto report = CheckFile(options, err);
  if (!report)
    return kExitNoAnswer;
  out << (options.format == "json" ? ToJson(*report) : ToText(*report));
  return report->ExitCode();
}

}  // namespace goldcrest::ctl
