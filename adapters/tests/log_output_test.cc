#include "goldcrest/adapters/log_output.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace goldcrest::adapters {
namespace {

constexpr Time kStart = TimeFromMicros(1'000'000);

std::string ReadAvailable(int descriptor) {
  std::string text;
  std::array<char, 65'536> buffer{};
  ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
  for (ssize_t count = 0;
       (count = ::read(descriptor, buffer.data(), buffer.size())) > 0;)
    text.append(buffer.data(), static_cast<std::size_t>(count));
  return text;
}

}  // namespace

// Guards against a process that blocks on a full log pipe that is not read.
TEST_CASE("A reader that stops reading never blocks the writer", "[adapters]") {
  std::array<int, 2> pipe_ends{};
  REQUIRE(::pipe(pipe_ends.data()) == 0);
  LogOutput output(pipe_ends[1]);
  const std::string line(1'000, 'x');
  for (int i = 0; i < 1'000; ++i)
    output.Write(line + "\n");
  CHECK(output.Dropped() > 0);
  const std::string written = ReadAvailable(pipe_ends[0]);
  CHECK(written.size() < 1'000 * line.size());
  output.Write("event=last\n");
  CHECK_THAT(ReadAvailable(pipe_ends[0]),
             Catch::Contains("event=log_lines_dropped count=") &&
                 Catch::Contains("event=last"));
  ::close(pipe_ends[0]);
  ::close(pipe_ends[1]);
}

TEST_CASE("Repeats of one kind are bounded and counted", "[adapters]") {
  LogOutput output(STDERR_FILENO);
  std::uint64_t left_out = 0;
  int admitted = 0;
  for (int i = 0; i < 100; ++i)
    admitted += output.Admit(kStart, "refused", left_out) ? 1 : 0;
  CHECK(admitted == LogOutput::kBurstLines);
  CHECK(output.Admit(kStart, "retried", left_out));
  REQUIRE(output.Admit(kStart + std::chrono::seconds(1), "refused", left_out));
  CHECK(left_out == 100 - LogOutput::kBurstLines);
}

}  // namespace goldcrest::adapters
