#include "goldcrest/types/digest.h"

#include <catch2/catch.hpp>

namespace goldcrest {

TEST_CASE("A digest has the published SHA-256 value", "[types]") {
  CHECK(ToHex(Sha256("abc")) ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("Text that is not hexadecimal decodes to an empty string",
          "[types]") {
  CHECK(FromHex("0g").empty());
  CHECK(FromHex("abc").empty());
  CHECK(FromHex("6162") == "ab");
}

}  // namespace goldcrest
