#include "goldcrest/routing/document_codec.h"

#include <catch2/catch.hpp>

namespace goldcrest::routing {
namespace {

// A document of `routes` routes, as large deployments have them.
std::string Document(int routes) {
  std::string text = R"({"version":7,"routes":[)";
  for (int i = 0; i < routes; ++i)
    text += R"({"name":"r-)" + std::to_string(i * 7919) + R"(","host":"h)" +
            std::to_string(i * 104'729) +
            R"(","path-prefix":"/","route-kind":"primary","timeout-ms":800,)"
            R"("target-latency-ms":150,"priority":1,"service":"s1",)"
            R"("max-attempts":2,"public":false},)";
  return text + "]}";
}

}  // namespace

TEST_CASE("A document survives compression", "[routing]") {
  for (const std::string& text :
       {std::string(), std::string("x"), Document(1), Document(1'000)})
    CHECK(DecompressDocument(CompressDocument(text)) == text);
}

// Guards against documents that arrive late because they fill slow links.
TEST_CASE("A large document takes a fifth of its size at most", "[routing]") {
  const std::string text = Document(500);
  CHECK(CompressDocument(text).size() < text.size() / 5);
}

TEST_CASE("Bytes that are no compressed document are rejected", "[routing]") {
  const std::string good = CompressDocument(Document(3));
  for (std::size_t size = 0; size < good.size(); ++size)
    CHECK_FALSE(DecompressDocument(good.substr(0, size)));
  CHECK_FALSE(DecompressDocument(good + "x"));
  std::string too_large = good;
  too_large[0] = '\x7F';
  CHECK_FALSE(DecompressDocument(too_large));
  std::string wrong_size = good;
  ++wrong_size[3];
  CHECK_FALSE(DecompressDocument(wrong_size));
}

}  // namespace goldcrest::routing
