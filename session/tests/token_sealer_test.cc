#include "goldcrest/session/token_sealer.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <limits>
#include <string>

namespace goldcrest::session {
namespace {

constexpr std::array<std::uint8_t, TokenSealer::kNonceBytes> kNonce = {
    1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12};
constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_+/= .\n";

TokenSealer::Secret SecretOf(std::uint8_t byte) {
  TokenSealer::Secret secret;
  secret.fill(byte);
  return secret;
}

Marks MarksOf(int groups) {
  Marks marks{"atelier-gent", {}};
  for (int i = 0; i < groups; ++i)
    marks.groups["bookings-" + std::to_string(i)] = {i, 1000 + i};
  return marks;
}

std::string MustSeal(const TokenSealer& sealer, const Marks& marks) {
  auto token = sealer.Seal(marks, kNonce);
  REQUIRE(token);
  return token.value();
}

std::optional<SealError> ErrorOf(const Marks& marks) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<SealError>> {
        BOOST_LEAF_CHECK(TokenSealer(SecretOf(7)).Seal(marks, kNonce));
        return std::optional<SealError>();
      },
      [](SealError error) { return std::optional(error); },
      [] { return std::optional<SealError>(); });
}

}  // namespace

TEST_CASE("A token opens to the marks that were sealed", "[session]") {
  const TokenSealer sealer(SecretOf(7));
  Marks marks = MarksOf(3);
  marks.groups["largest"] = {std::numeric_limits<std::int64_t>::max(),
                             std::numeric_limits<std::int64_t>::max()};
  const std::string token = MustSeal(sealer, marks);
  CHECK(token.find_first_not_of(kAlphabet.substr(0, 64)) == std::string::npos);
  CHECK(token.find("gent") == std::string::npos);
  CHECK(sealer.Open(token) == marks);
  CHECK(sealer.Open(MustSeal(sealer, {})) == Marks{});
}

// Guards against a caller forging the marks or the customer of its session.
TEST_CASE("A token with any changed character is rejected",
          "[session][guarantee]") {
  const TokenSealer sealer(SecretOf(7));
  // Three sizes cover each possible number of unused bits at the end of the
  // text.
  std::vector<std::string> tokens;
  for (const char* customer : {"a", "ab", "abc"})
    tokens.push_back(MustSeal(sealer, {customer, {{"g", {1, 2}}}}));
  for (const std::string& token : tokens) {
    CHECK(sealer.Open(token));
    for (std::size_t i = 0; i < token.size(); ++i) {
      std::string forged = token;
      int opened = 0;
      for (const char c : kAlphabet) {
        forged[i] = c;
        opened += sealer.Open(forged) && forged != token ? 1 : 0;
      }
      CAPTURE(i);
      CHECK(opened == 0);
      CHECK_FALSE(sealer.Open(token.substr(0, i)));
      CHECK_FALSE(sealer.Open(token.substr(i + 1)));
    }
    for (const char c : kAlphabet) {
      CHECK_FALSE(sealer.Open(token + c));
      CHECK_FALSE(sealer.Open(c + token));
    }
    CHECK_FALSE(sealer.Open(token + token));
  }
  CHECK_FALSE(sealer.Open(std::string(100'000, 'A')));
}

TEST_CASE("A token sealed with another secret is rejected",
          "[session][guarantee]") {
  const std::string token = MustSeal(TokenSealer(SecretOf(8)), MarksOf(1));
  CHECK_FALSE(TokenSealer(SecretOf(7)).Open(token));
  CHECK_FALSE(TokenSealer(SecretOf(7), SecretOf(6)).Open(token));
}

TEST_CASE("A token stays valid after one rotation of the secret", "[session]") {
  const std::string old_token = MustSeal(TokenSealer(SecretOf(1)), MarksOf(1));
  const TokenSealer rotated(SecretOf(2), SecretOf(1));
  CHECK(rotated.Open(old_token) == MarksOf(1));
  const std::string token = MustSeal(rotated, MarksOf(1));
  CHECK(TokenSealer(SecretOf(2)).Open(token));
  CHECK_FALSE(TokenSealer(SecretOf(3), SecretOf(2)).Open(old_token));

  const auto from_bytes =
      TokenSealer::FromBytes(std::string(32, '\2') + std::string(32, '\1'));
  REQUIRE(from_bytes);
  CHECK(from_bytes->Open(old_token));
  CHECK(from_bytes->Open(token));
  CHECK(TokenSealer::FromBytes(std::string(32, '\2'))->Open(token));
  CHECK_FALSE(TokenSealer::FromBytes(std::string(33, '\2')));
}

// Guards against a session that no longer sees its oldest writes.
TEST_CASE("Marks beyond the limits are an error and are never dropped",
          "[session][guarantee]") {
  CHECK_FALSE(ErrorOf(MarksOf(64)));
  CHECK(ErrorOf(MarksOf(65)) == SealError::kTooManyGroups);
  CHECK(ErrorOf({std::string(64, 'x'), {}}) == SealError::kNameTooLong);
  CHECK(ErrorOf({"a", {{std::string(64, 'x'), {}}}}) ==
        SealError::kNameTooLong);

  Marks largest{std::string(63, 'c'), {}};
  for (int i = 0; i < 64; ++i) {
    largest.groups[std::string(61, 'g') + std::to_string(10 + i)] = {
        std::numeric_limits<std::int64_t>::min(),
        std::numeric_limits<std::int64_t>::min()};
  }
  const TokenSealer sealer(SecretOf(7));
  const std::string token = MustSeal(sealer, largest);
  CHECK(token.size() <= TokenSealer::kMaxTokenBytes);
  CHECK(sealer.Open(token) == largest);
}

}  // namespace goldcrest::session
