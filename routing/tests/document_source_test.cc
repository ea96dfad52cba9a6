#include "goldcrest/routing/document_source.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <set>

namespace goldcrest::routing {
namespace {

using std::chrono::milliseconds;

constexpr Time kStart = TimeFromMicros(10'000'000);
const std::vector<DocumentSource::Candidate> kConnected = {{"a", 7},
                                                           {"b", 7},
                                                           {"c", 7},
                                                           {"d", 5}};

}  // namespace

// Guards against all entries requesting a large document from one controller.
TEST_CASE("Entries spread over the controllers that have the newest document",
          "[routing]") {
  std::map<std::string, int> asked;
  for (int salt = 0; salt < 90; ++salt)
    ++asked[DocumentSource(salt).NextController(kStart, 5, kConnected)];
  REQUIRE(asked.size() == 3);
  for (const auto& [controller, count] : asked)
    CHECK(count >= 15);
}

// Guards against a second request for a document that is still crossing a slow
// link.
TEST_CASE("Another controller is asked only after a large document can arrive",
          "[routing]") {
  DocumentSource source(1);
  const std::string first = source.NextController(kStart, 5, kConnected);
  CHECK(
      source.NextController(kStart + milliseconds(900), 5, kConnected).empty());
  const std::string second =
      source.NextController(kStart + milliseconds(1'000), 5, kConnected);
  CHECK(second != first);
  CHECK(source.NextController(kStart + milliseconds(2'900), 5, kConnected)
            .empty());
  CHECK_FALSE(source.NextController(kStart + milliseconds(3'000), 5, kConnected)
                  .empty());

  SECTION("An arrived document ends the delay") {
    source.OnDocumentReceived();
    CHECK_FALSE(
        source.NextController(kStart + milliseconds(3'010), 7, {{"a", 9}})
            .empty());
  }
  SECTION("No controller is asked without a newer version") {
    CHECK(source.NextController(kStart + milliseconds(9'000), 7, kConnected)
              .empty());
  }
}

// Guards against an entry that waits for another controller when only one has
// the document.
TEST_CASE("The only controller with a document is asked again", "[routing]") {
  DocumentSource source(1);
  CHECK(source.NextController(kStart, 5, {{"a", 6}, {"b", 5}}) == "a");
  CHECK(source.NextController(kStart + milliseconds(1'000), 5,
                              {{"a", 6}, {"b", 5}}) == "a");
}

// Guards against an entry that asks two controllers in turns while both don't
// answer, and never a third that would.
TEST_CASE("Each controller that has the document is asked in turn",
          "[routing]") {
  DocumentSource source(1);
  std::set<std::string> asked;
  for (const int at : {0, 1'000, 3'000})
    asked.insert(
        source.NextController(kStart + milliseconds(at), 5, kConnected));
  CHECK(asked == std::set<std::string>{"a", "b", "c"});
}

// Guards against an entry that waits for the answer of a controller that it has
// lost.
TEST_CASE("Another controller is asked at once when the asked one is lost",
          "[routing]") {
  DocumentSource source(1);
  const std::string first = source.NextController(kStart, 5, kConnected);
  std::vector<DocumentSource::Candidate> left = kConnected;
  std::erase_if(left, [&](const auto& candidate) {
    return candidate.controller == first;
  });
  CHECK_FALSE(
      source.NextController(kStart + milliseconds(100), 5, left).empty());
}

// Guards against all entries requesting a new document from the leader, which
// announces it first: its link is then busy for longer than the other members
// wait for its messages.
TEST_CASE("A new document is requested once half of the controllers have it",
          "[routing]") {
  std::map<std::string, int> asked;
  for (int salt = 0; salt < 90; ++salt) {
    DocumentSource source(salt);
    CHECK(source.NextController(kStart, 5, {{"a", 7}, {"b", 5}, {"c", 5}})
              .empty());
    ++asked[source.NextController(kStart + milliseconds(80), 5,
                                  {{"a", 7}, {"b", 7}, {"c", 5}})];
  }
  CHECK(asked.size() == 2);
  CHECK(asked["b"] >= 15);

  SECTION("It is not waited for long") {
    DocumentSource source(1);
    CHECK(source.NextController(kStart, 5, {{"a", 7}, {"b", 5}, {"c", 5}})
              .empty());
    CHECK(source.NextController(kStart + milliseconds(150), 5,
                                {{"a", 7}, {"b", 5}, {"c", 5}}) == "a");
  }
}

// Guards against an entry that gets no document while versions follow each
// other faster than the other controllers get them.
TEST_CASE("New versions do not put the request off", "[routing]") {
  DocumentSource source(1);
  std::string asked;
  for (int version = 6; version < 9; ++version)
    asked = source.NextController(kStart + milliseconds(100) * (version - 6), 5,
                                  {{"a", version}, {"b", 5}, {"c", 5}});
  CHECK(asked == "a");
}

}  // namespace goldcrest::routing
