#include "goldcrest/messages/codec.h"

#include <catch2/catch.hpp>
#include <cstddef>

namespace goldcrest::messages {
namespace {

PeerMessage SampleMessage() {
  ForwardRequest request;
  request.id = 7;
  request.group = "bookings";
  request.statement = "set facade-12 booked";
  PeerMessage message;
  message.__set_forward(request);
  return message;
}

}  // namespace

TEST_CASE("A decoded message equals the encoded one", "[messages]") {
  const PeerMessage sample = SampleMessage();
  const auto decoded = DecodePeerMessage(Encode(sample));
  REQUIRE(decoded.has_value());
  CHECK(*decoded == sample);
}

TEST_CASE("Truncated messages and trailing bytes are rejected", "[messages]") {
  const std::string bytes = Encode(SampleMessage());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CAPTURE(size);
    CHECK_FALSE(DecodePeerMessage(bytes.substr(0, size)).has_value());
  }
  CHECK_FALSE(DecodePeerMessage(bytes + "x").has_value());
}

TEST_CASE("A snapshot larger than the largest message can be read",
          "[messages]") {
  // Guards against a control member that writes a snapshot which it can't read
  // at its next start.
  ControlSnapshot snapshot;
  snapshot.session_secret = std::string(kMaxEncodedBytes + 1, 's');
  const auto decoded = DecodeControlSnapshot(Encode(snapshot));
  REQUIRE(decoded.has_value());
  CHECK((*decoded == snapshot));
}

}  // namespace goldcrest::messages
