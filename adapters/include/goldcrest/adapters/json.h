#ifndef GOLDCREST_ADAPTERS_JSON_H_
#define GOLDCREST_ADAPTERS_JSON_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrest/types/labels.h"

namespace goldcrest::adapters {

struct JsonLimits {
  std::size_t max_bytes = 1 << 20;
  std::size_t max_depth = 16;
};

//! One error in a document, for instance "objects[2].name" and "is missing".
struct JsonError {
  std::string field;  //!< Empty for the whole document.
  std::string problem;

  bool operator==(const JsonError&) const = default;
};

//! "field problem; field problem", for a message to the caller.
std::string ToString(const std::vector<JsonError>& errors);

enum class UnknownFields { kReject, kIgnore };

//! Reads typed fields of a JSON object. Errors are collected, not thrown: an
//! invalid field yields the empty value and an error in Finish(). Not
//! thread-safe.
class JsonObject {
 public:
  //! Text that is not a JSON object within the limits yields one error and no
  //! fields; missing fields are then not reported.
  static JsonObject Parse(std::string_view text, JsonLimits limits = {});

  bool Has(std::string_view name) const;

  // A field that is null counts as absent.
  std::string RequiredString(std::string_view name, std::size_t max_bytes);
  std::optional<std::string> OptionalString(std::string_view name,
                                            std::size_t max_bytes);
  std::int64_t RequiredInteger(std::string_view name,
                               std::int64_t minimum,
                               std::int64_t maximum);
  std::optional<std::int64_t> OptionalInteger(std::string_view name,
                                              std::int64_t minimum,
                                              std::int64_t maximum);
  std::optional<double> OptionalNumber(std::string_view name,
                                       double minimum,
                                       double maximum);
  std::optional<bool> OptionalBool(std::string_view name);
  //! An object whose values are all strings.
  std::optional<Labels> OptionalLabels(std::string_view name);
  std::optional<JsonObject> OptionalObject(std::string_view name);
  std::vector<JsonObject> OptionalObjects(std::string_view name,
                                          std::size_t max_count);
  std::vector<std::string> OptionalStrings(std::string_view name,
                                           std::size_t max_count,
                                           std::size_t max_bytes);
  //! Any value, as JSON text.
  std::optional<std::string> OptionalRaw(std::string_view name);

  //! Records an error found by the caller, such as an unknown enumerator.
  void AddError(std::string_view name, std::string_view problem);

  //! Checks for unknown fields in all objects of the document that were read,
  //! and returns all errors of the document.
  std::vector<JsonError> Finish(UnknownFields unknown = UnknownFields::kReject);

 private:
  struct Document;
  struct Node;
  explicit JsonObject(std::shared_ptr<Node> node);
  //! The field as boost::json::value; null if it is absent or null. Finish()
  //! then treats the name as known.
  const void* FindField(std::string_view name);
  void RecordError(std::string_view name, std::string_view problem);

  std::shared_ptr<Node> node_;
};

//! Writes JSON text. The caller keeps Begin and End calls balanced, and gives a
//! name for each member of an object.
class JsonWriter {
 public:
  JsonWriter& BeginObject();
  JsonWriter& BeginObject(std::string_view name);
  JsonWriter& EndObject();
  JsonWriter& BeginArray();
  JsonWriter& BeginArray(std::string_view name);
  JsonWriter& EndArray();

  JsonWriter& Member(std::string_view name, std::string_view value);
  JsonWriter& Member(std::string_view name, const char* value);
  JsonWriter& Member(std::string_view name, std::int64_t value);
  JsonWriter& Member(std::string_view name, int value);
  JsonWriter& Member(std::string_view name, double value);
  JsonWriter& Member(std::string_view name, std::same_as<bool> auto value) {
    return MemberRaw(name, value ? "true" : "false");
  }
  JsonWriter& Member(std::string_view name, const Labels& labels);
  //! `json` is valid JSON text.
  JsonWriter& MemberRaw(std::string_view name, std::string_view json);
  JsonWriter& Element(std::string_view value);
  JsonWriter& ElementRaw(std::string_view json);

  //! Returns the text and resets the writer.
  std::string Take();

 private:
  //! Writes a comma unless the next item is the first one.
  void WriteSeparator();
  void WriteName(std::string_view name);

  std::string text_;
  bool is_first_item_ = true;
};

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_JSON_H_
