#ifndef GOLDCREST_POLICY_TESTS_OBJECTS_H_
#define GOLDCREST_POLICY_TESTS_OBJECTS_H_

#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/policy/configuration.h"
#include "goldcrest/types/digest.h"
#include "goldcrest/types/labels.h"

namespace goldcrest::policy {

messages::Object MakeObject(messages::ObjectKind::type kind,
                            const std::string& name,
                            const Labels& labels = {});
messages::Object Customer(const std::string& name, const Labels& labels = {});

//! A key whose secret text is its name.
messages::Object Key(const std::string& name,
                     const std::string& customer,
                     const Labels& labels = {});
messages::Object Access(const std::string& name,
                        const std::string& callers,
                        messages::AccessMode::type mode,
                        int order = 0);
messages::Object Quota(const std::string& name,
                       const std::string& callers,
                       int requests,
                       int order = 0);
messages::Object Deleted(messages::ObjectKind::type kind,
                         const std::string& name);

messages::Change MakeChange(const std::string& id,
                            std::int64_t base_revision,
                            const std::vector<messages::Object>& objects,
                            const std::string& author = "imke");

//! Applies a change to the current revision and requires that it is accepted.
void MustApply(Configuration& configuration,
               const std::vector<messages::Object>& objects);

messages::EndpointInfo Endpoint(const std::string& name,
                                const std::string& group,
                                const std::string& zone);

//! Decides for a key's text; an empty one shows no key.
AccessDecision Decide(const Configuration& configuration,
                      const std::string& key_text,
                      bool write,
                      const std::vector<messages::EndpointInfo>& endpoints);

}  // namespace goldcrest::policy

#endif  // GOLDCREST_POLICY_TESTS_OBJECTS_H_
