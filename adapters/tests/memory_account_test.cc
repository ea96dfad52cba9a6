#include "goldcrest/adapters/memory_account.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace goldcrest::adapters {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kKiB = 1'024;

}  // namespace

TEST_CASE("The connection that holds most is closed first", "[adapters]") {
  MemoryAccount account(1'000 * kKiB);
  const Time now{};
  account.Set(now, 1, 500 * kKiB);
  account.Set(now, 2, 300 * kKiB);
  account.Set(now, 3, 200 * kKiB);
  CHECK_FALSE(account.FirstToClose(now));
  account.Set(now, 3, 400 * kKiB);
  CHECK(account.FirstToClose(now) == 1);
  account.Set(now, 1, 100 * kKiB);
  account.Set(now, 4, 300 * kKiB);
  CHECK(account.FirstToClose(now) == 3);
  account.Set(now, 3, 0);
  CHECK_FALSE(account.FirstToClose(now));
  CHECK(account.total() == 700 * kKiB);
}

TEST_CASE("While memory is short, only small connections read", "[adapters]") {
  MemoryAccount account(1'000 * kKiB);
  const Time now{};
  account.Set(now, 1, 750 * kKiB);
  CHECK(account.MayRead(100 * kKiB));
  account.Set(now, 2, 100 * kKiB);
  CHECK_FALSE(account.MayRead(100 * kKiB));
  CHECK(account.MayRead(63 * kKiB));
  account.Set(now, 1, 10);
  CHECK(account.MayRead(100 * kKiB));
  CHECK(account.total() == 100 * kKiB);
}

// Guards against connections that wait for each other's memory for good.
TEST_CASE("A shortage that lasts ends with a close", "[adapters]") {
  MemoryAccount account(1'000 * kKiB);
  Time now{};
  account.Set(now, 1, 400 * kKiB);
  account.Set(now, 2, 500 * kKiB);
  now += MemoryAccount::kMaxShortage - milliseconds(1);
  account.Set(now, 1, 450 * kKiB);
  CHECK_FALSE(account.FirstToClose(now));
  now += milliseconds(1);
  CHECK(account.FirstToClose(now) == 2);
  account.Set(now, 2, 0);
  CHECK_FALSE(account.FirstToClose(now + milliseconds(5'000)));
}

}  // namespace goldcrest::adapters
