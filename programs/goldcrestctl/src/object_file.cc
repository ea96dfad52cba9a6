#include "object_file.h"

#include <algorithm>
#include <sstream>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <toml++/toml.h>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include "goldcrest/settings/object_json.h"

namespace goldcrest::ctl {
namespace {

constexpr std::string_view kBaseRevisionKey = "base_revision";

bool IsKind(std::string_view name) {
  for (int kind = messages::ObjectKind::CUSTOMER;
       kind <= messages::ObjectKind::OBJECTIVE; ++kind) {
    if (settings::ToText(static_cast<messages::ObjectKind::type>(kind)) == name)
      return true;
  }
  return false;
}

class ObjectFileReader {
 public:
  ObjectFileReader(std::string path, std::vector<std::string>* errors)
      : path_(std::move(path)), errors_(errors) {}

  ObjectFile Read() {
    ObjectFile file = ReadFile();
    std::ranges::stable_sort(faults_, {}, &Fault::line);
    for (const Fault& fault : faults_)
      errors_->push_back(
          fmt::format("{}:{}:{}", path_, fault.line, fault.text));
    return file;
  }

 private:
  struct Fault {
    std::uint32_t line = 0;
    std::string text;
  };

  ObjectFile ReadFile() {
    ObjectFile file;
    toml::table table;
    try {
      table = toml::parse_file(path_);
    } catch (const toml::parse_error& error) {
      AddFault(error.source().begin.line,
               " expected valid TOML: " + std::string(error.description()));
      return file;
    }
    for (const auto& [key, node] : table) {
      if (key.str() == kBaseRevisionKey && node.is_integer())
        file.base_revision = node.as_integer()->get();
      else if (IsKind(key.str()) && node.is_array_of_tables())
        ReadObjects(key.str(), *node.as_array(), file.objects);
      else
        AddFault(
            node.source().begin.line,
            std::string(key.str()) +
                ": expected base_revision = N or tables of objects, such as "
                "[[quota]]");
    }
    return file;
  }

  void ReadObjects(std::string_view kind,
                   const toml::array& tables,
                   std::vector<messages::Object>& objects) {
    for (std::size_t i = 0; i < tables.size(); ++i) {
      const toml::table& table = *tables[i].as_table();
      toml::table with_kind = table;
      with_kind.insert_or_assign("kind", kind);
      std::ostringstream json;
      json << toml::json_formatter(with_kind);
      std::vector<std::string> faults;
      auto read = settings::ParseObjects(json.str(), &faults);
      for (const std::string& fault : faults) {
        const toml::node* field = table.get(fault.substr(0, fault.find(':')));
        const auto& source = field ? field->source() : table.source();
        AddFault(source.begin.line, fmt::format("{}[{}].{}", kind, i, fault));
      }
      objects.insert(objects.end(), read.begin(), read.end());
    }
  }

  void AddFault(std::uint32_t line, std::string text) {
    faults_.push_back({line, std::move(text)});
  }

  std::string path_;
  std::vector<std::string>* errors_;
  std::vector<Fault> faults_;
};

// The fields of a JSON object except `kind`, which the name of the TOML table
// gives.
toml::table ToTable(const boost::json::object& object) {
  toml::table table;
  for (const auto& [name, value] : object) {
    if (name == "kind")
      continue;
    const std::string_view key = name;
    if (value.is_object()) {
      toml::table inner = ToTable(value.get_object());
      inner.is_inline(true);
      table.insert(key, std::move(inner));
    } else if (value.is_string()) {
      table.insert(key, std::string_view(value.get_string()));
    } else if (value.is_bool()) {
      table.insert(key, value.get_bool());
    } else if (value.is_double()) {
      table.insert(key, value.get_double());
    } else if (value.is_int64()) {
      table.insert(key, value.get_int64());
    }
  }
  return table;
}

}  // namespace

ObjectFile ReadObjectFile(const std::string& path,
                          std::vector<std::string>* errors) {
  return ObjectFileReader(path, errors).Read();
}

bool HasObjects(const std::string& path) {
  try {
    for (const auto& [key, node] : toml::parse_file(path)) {
      if (key.str() == kBaseRevisionKey || IsKind(key.str()))
        return true;
    }
  } catch (const toml::parse_error&) {
    return false;
  }
  return false;
}

std::string WriteObjectFile(const ObjectFile& file) {
  toml::table table;
  for (messages::Object object : file.objects) {
    object.revision = 0;  // the file has one revision, base_revision
    const std::string_view kind = settings::ToText(object.kind);
    const auto value = boost::json::parse(settings::ToJson(object));
    auto& tables = *table.insert(kind, toml::array()).first->second.as_array();
    tables.push_back(ToTable(value.get_object()));
  }
  std::ostringstream text;
  if (file.base_revision)
    text << kBaseRevisionKey << " = " << *file.base_revision << "\n\n";
  text << table << "\n";
  return text.str();
}

}  // namespace goldcrest::ctl
