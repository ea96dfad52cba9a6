#include "goldcrest/adapters/json.h"

#include <catch2/catch.hpp>

namespace goldcrest::adapters {

TEST_CASE("Typed fields are read and nothing else is accepted", "[adapters]") {
  JsonObject object = JsonObject::Parse(
      R"({"group":"bookings","age":250,"big":18446744073709551615,"flag":true,)"
      R"("none":null,"labels":{"tier":"gold","bad":1},"text":5,"long":"abcdef",)"
      R"("list":[{"name":"a","extra":1},7],"raw":{"x":[1]},"ratio":0.5})");
  CHECK(object.RequiredString("group", 64) == "bookings");
  CHECK(object.OptionalInteger("age", 0, 1000) == 250);
  CHECK_FALSE(object.OptionalInteger("big", 0, 1000).has_value());
  CHECK_FALSE(object.OptionalInteger("ratio", 0, 1000).has_value());
  CHECK(object.OptionalNumber("ratio", 0, 1) == 0.5);
  CHECK(object.OptionalBool("flag") == true);
  CHECK_FALSE(object.OptionalString("none", 9).has_value());
  CHECK(object.OptionalLabels("labels") == Labels{{"tier", "gold"}});
  CHECK(object.RequiredString("text", 9).empty());
  CHECK_FALSE(object.OptionalString("long", 5).has_value());
  CHECK(object.RequiredInteger("absent", 1, 2) == 0);
  CHECK(object.OptionalRaw("raw") == R"({"x":[1]})");
  for (JsonObject& element : object.OptionalObjects("list", 4)) {
    CHECK(element.RequiredString("name", 9) == "a");
    element.AddError("name", "is taken");
  }
  CHECK(ToString(object.Finish()) ==
        "big is not between 0 and 1000; ratio is not an integer; "
        "labels.bad is not a string; text is not a string; "
        "long is longer than 5 bytes; absent is missing; "
        "list[1] is not an object; list[0].name is taken; "
        "list[0].extra is unknown");
}

TEST_CASE("A text outside the limits yields one error", "[adapters]") {
  const auto problem = [](std::string_view text) {
    JsonObject object =
        JsonObject::Parse(text, {.max_bytes = 100, .max_depth = 3});
    CHECK(object.RequiredString("name", 9).empty());
    return ToString(object.Finish());
  };
  CHECK(problem("[1]") == "is not a JSON object");
  CHECK(problem(R"({"name":"a"} x)").starts_with("is not valid JSON"));
  CHECK(problem("{\"name\":\"\xff\"}").starts_with("is not valid JSON"));
  CHECK(problem(R"({"a":[[[1]]]})").starts_with("is not valid JSON"));
  CHECK(problem(std::string(101, ' ')) == "is longer than 100 bytes");
}

TEST_CASE("Written JSON reads back as it was", "[adapters]") {
  const std::string text = "quote \" slash \\ line \n bell \x07 é";
  JsonWriter writer;
  writer.BeginObject().Member("text", text).Member("count", 3);
  writer.Member("flag", false).Member("labels", Labels{{"a", "b"}});
  writer.BeginArray("list").Element("x").ElementRaw("null");
  writer.BeginObject().EndObject().EndArray().EndObject();
  const std::string json = writer.Take();
  JsonObject object = JsonObject::Parse(json);
  CHECK(object.RequiredString("text", 99) == text);
  CHECK(object.OptionalRaw("list") == R"(["x",null,{}])");
  CHECK(json.ends_with(
      R"("count":3,"flag":false,"labels":{"a":"b"},"list":["x",null,{}]})"));
}

}  // namespace goldcrest::adapters
