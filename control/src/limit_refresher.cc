#include "goldcrest/control/limit_refresher.h"

#include <utility>

namespace goldcrest::control {

void LimitRefresher::Refresh(
    const policy::Configuration& configuration,
    const std::function<void(const std::string& customer,
                             std::optional<quota::Limit>)>& set_limit) {
  if (configuration.Revision() == revision_)
    return;
  revision_ = configuration.Revision();
  std::set<std::string> limited;
  for (const messages::Object& customer :
       configuration.Objects(messages::ObjectKind::CUSTOMER)) {
    const auto limit = configuration.QuotaOf(customer.name);
    if (!limit)
      continue;
    set_limit(customer.name,
              quota::Limit{limit->rate_micros, limit->burst_micros});
    limited.insert(customer.name);
  }
  for (const std::string& customer : limited_customers_) {
    if (!limited.contains(customer))
      set_limit(customer, std::nullopt);
  }
  limited_customers_ = std::move(limited);
}

}  // namespace goldcrest::control
