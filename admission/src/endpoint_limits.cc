#include "goldcrest/admission/endpoint_limits.h"

#include <algorithm>

namespace goldcrest::admission {

EndpointLimits::EndpointLimits(int slots, int connections)
    : slots_(slots), max_connections_(connections) {}

void EndpointLimits::SetLimits(int slots, int connections) {
  slots_ = slots;
  max_connections_ = connections;
}

bool EndpointLimits::TryAcquireSlot(bool transaction) {
  if (slots_in_use() >= slots_) {
    return false;
  }
  if (!transaction) {
    ++statements_;
    return true;
  }
  if (transactions_ >= std::max(slots_ - 1, 1)) {
    return false;
  }
  ++transactions_;
  return true;
}

void EndpointLimits::ReleaseSlot(bool transaction) {
  int& used = transaction ? transactions_ : statements_;
  used = std::max(used - 1, 0);
}

bool EndpointLimits::TryOpenConnection() {
  if (open_ >= max_connections_) {
    return false;
  }
  ++open_;
  return true;
}

bool EndpointLimits::TryUseIdleConnection() {
  if (idle_ == 0) {
    return false;
  }
  --idle_;
  return true;
}

void EndpointLimits::ReturnConnection() {
  idle_ = std::min(idle_ + 1, open_);
}

void EndpointLimits::CloseConnection(bool idle) {
  open_ = std::max(open_ - 1, 0);
  idle_ = std::clamp(idle ? idle_ - 1 : idle_, 0, open_);
}

}  // namespace goldcrest::admission
