#ifndef GOLDCREST_BENCH_OBJECTS_H_
#define GOLDCREST_BENCH_OBJECTS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/policy/configuration.h"

namespace goldcrest::bench {

//! Configuration objects and messages with names of typical length.

std::string CustomerName(std::size_t number);
std::string KeyName(std::size_t number);
std::string KeyText(std::size_t number);
std::string RuleName(std::size_t number);
std::string GroupName(std::size_t number);
std::string EndpointName(std::size_t number);
std::string InstanceName(std::size_t number);

messages::Object Customer(const std::string& name);
//! Key `number` of the customer of that number.
messages::Object Key(std::size_t number, std::size_t customer);
//! Matches no caller.
messages::Object Rule(std::size_t number);
messages::Object Quota(int rate, int burst);

//! Endpoint `number`; three form a group.
messages::EndpointInfo Endpoint(std::size_t number);
std::vector<messages::EndpointInfo> Endpoints(const std::string& group,
                                              std::size_t count);
messages::InstanceInfo Instance(std::size_t number);

//! One change after another, each at the current revision.
void ApplyAll(policy::Configuration& configuration,
              const std::vector<messages::Object>& objects);
void AddCustomers(policy::Configuration& configuration, std::size_t count);
void AddKeys(policy::Configuration& configuration, std::size_t count);
void AddCustomersAndKeys(policy::Configuration& configuration,
                         std::size_t count);
//! Of these read and write rules only the last matches a caller.
void AddRules(policy::Configuration& configuration, std::size_t count);

// Encoded sizes of one element within its message, in bytes.
std::size_t EncodedShare();
std::size_t EncodedForward();
std::size_t EncodedEndpoint();
std::size_t EncodedGroup();
std::size_t EncodedInstance();

}  // namespace goldcrest::bench

#endif  // GOLDCREST_BENCH_OBJECTS_H_
