#ifndef GOLDCREST_BENCH_OBJECTS_H_
#define GOLDCREST_BENCH_OBJECTS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/policy/configuration.h"

namespace goldcrest::bench {

//! Builds configuration objects and messages with names of typical length.

std::string CustomerName(std::size_t number);
std::string KeyName(std::size_t number);
//! The secret text of a key, of which the configuration holds the digest.
std::string KeyText(std::size_t number);
std::string RuleName(std::size_t number);
std::string GroupName(std::size_t number);
std::string EndpointName(std::size_t number);
std::string InstanceName(std::size_t number);

messages::Object MakeCustomer(const std::string& name);
//! Key `number`, which belongs to customer number `customer`.
messages::Object MakeKey(std::size_t number, std::size_t customer);
//! A rule that permits reads and writes in group "bookings" and matches no
//! caller.
messages::Object MakeRule(std::size_t number);
//! Quota of the customers with the label plan=gold. `rate` is in requests a
//! second, `burst` in requests.
messages::Object MakeQuota(int rate, int burst);

//! Endpoint `number`; three successive endpoints form a group.
messages::EndpointInfo MakeEndpoint(std::size_t number);
//! Endpoints 0 to `count` - 1, all in `group`.
std::vector<messages::EndpointInfo> MakeEndpoints(const std::string& group,
                                                  std::size_t count);
messages::InstanceInfo MakeInstance(std::size_t number);

//! Applies the objects in as many changes as their number requires, each based
//! on the current revision. Throws std::runtime_error if a change is rejected.
void ApplyInChanges(policy::Configuration& configuration,
                    const std::vector<messages::Object>& objects);
void AddCustomers(policy::Configuration& configuration, std::size_t count);
//! Adds keys 0 to `count` - 1, each to the customer of the same number.
void AddKeys(policy::Configuration& configuration, std::size_t count);
void AddCustomersAndKeys(policy::Configuration& configuration,
                         std::size_t count);
//! Adds `count` read and write rules, of which only the last matches a caller.
void AddRules(policy::Configuration& configuration, std::size_t count);

//! Encoded sizes in bytes: of one element within its message, and of a whole
//! forward request message.
std::size_t EncodedShareBytes();
std::size_t EncodedForwardRequestBytes();
std::size_t EncodedEndpointBytes();
std::size_t EncodedGroupBytes();
std::size_t EncodedInstanceBytes();

}  // namespace goldcrest::bench

#endif  // GOLDCREST_BENCH_OBJECTS_H_
