#ifndef GOLDCREST_SESSIONS_FAKE_GROUP_H_
#define GOLDCREST_SESSIONS_FAKE_GROUP_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "goldcrest/coordinator/endpoint_call.h"
#include "goldcrest/messages/messages.h"
#include "goldcrest/types/time.h"

namespace goldcrest::sessions {

//! A database group in virtual time, with the interface of docs/stand-in.md:
//! asynchronous replication with a lag, terms, transactions and request ids.
class FakeGroup {
 public:
  struct Entry {
    std::int64_t term = 0;
    std::string request_id;
    std::string statement;
    std::string value;
    std::map<std::string, std::string> writes;
    Time added;
  };
  struct Member {
    messages::EndpointInfo info;
    std::vector<Entry> log;
    std::int64_t term = 0;
    bool primary = false;
    bool up = true;
    std::string source;
    Duration lag = std::chrono::milliseconds(5);
    bool replicates = true;        //!< False: cut off from its group.
    std::set<std::string> fenced;  //!< Request ids that may not run any more.
    std::map<std::string, std::map<std::string, std::string>> transactions;
  };

  void Add(const messages::EndpointInfo& info, Duration lag);

  Member& member(const std::string& endpoint) { return members_[endpoint]; }
  std::map<std::string, Member>& members() { return members_; }

  //! Runs a call as it arrives at its endpoint.
  coordinator::EndpointAnswer Handle(const coordinator::EndpointCall& call,
                                     Time now);

  //! Lets replicas pull what is older than their lag.
  void Replicate(Time now);

  //! The connection of a transaction was closed.
  void Rollback(const std::string& endpoint, std::uint64_t pin);

  //! How often `statement` stands in the log of `endpoint`.
  int TimesRun(const std::string& endpoint, const std::string& statement);

 private:
  coordinator::EndpointAnswer Run(Member& member,
                                  const coordinator::EndpointCall& call,
                                  Time now);
  static std::map<std::string, std::string> DataOf(const Member& member);
  static const Entry* FindRequest(const Member& member,
                                  const std::string& request_id,
                                  std::int64_t* position);

  std::map<std::string, Member> members_;
};

}  // namespace goldcrest::sessions

#endif  // GOLDCREST_SESSIONS_FAKE_GROUP_H_
