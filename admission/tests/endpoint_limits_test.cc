#include "goldcrest/admission/endpoint_limits.h"

#include <catch2/catch.hpp>

namespace goldcrest::admission {

// Guards against transactions that block all single statements of an endpoint.
TEST_CASE("Transactions leave one slot to single statements", "[admission]") {
  EndpointLimits limits(3, 4);
  CHECK(limits.TryAcquireSlot(true));
  CHECK(limits.TryAcquireSlot(true));
  CHECK_FALSE(limits.TryAcquireSlot(true));
  CHECK(limits.TryAcquireSlot(false));
  CHECK_FALSE(limits.TryAcquireSlot(false));
  limits.ReleaseSlot(true);
  CHECK(limits.TryAcquireSlot(false));
  EndpointLimits single(1, 1);
  CHECK(single.TryAcquireSlot(true));
  CHECK_FALSE(single.TryAcquireSlot(false));
}

TEST_CASE("Connections never exceed the endpoint's limit", "[admission]") {
  EndpointLimits limits(3, 2);
  CHECK(limits.TryOpenConnection());
  CHECK(limits.TryOpenConnection());
  CHECK_FALSE(limits.TryOpenConnection());
  limits.ReturnConnection();
  CHECK(limits.idle_connections() == 1);
  CHECK(limits.TryUseIdleConnection());
  CHECK_FALSE(limits.TryUseIdleConnection());
  limits.CloseConnection(false);
  CHECK(limits.TryOpenConnection());
  limits.SetLimits(3, 1);
  CHECK_FALSE(limits.TryOpenConnection());
  CHECK(limits.open_connections() == 2);
}

}  // namespace goldcrest::admission
