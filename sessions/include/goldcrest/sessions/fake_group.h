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

//! Simulates a database group in virtual time behind the endpoint interface of
//! docs/stand-in.md: asynchronous replication with a lag, terms, transactions
//! and request ids.
class FakeGroup {
 public:
  //! One write or promotion in a member's log. Positions start at 1.
  struct LogEntry {
    std::int64_t term = 0;
    std::string request_id;
    std::string statement;
    std::string value;
    std::map<std::string, std::string> writes;
    Time added;
  };
  struct Member {
    messages::EndpointInfo info;
    std::vector<LogEntry> log;
    std::int64_t term = 0;
    bool primary = false;
    bool up = true;
    std::string source;  //!< Endpoint that a replica pulls the log from.
    Duration lag = std::chrono::milliseconds(5);
    bool replicates = true;  //!< False: partitioned from the other members.
    //! Ids of requests that were reported as not run and must never run.
    std::set<std::string> fenced_requests;
    //! Uncommitted writes by transaction name.
    std::map<std::string, std::map<std::string, std::string>> transactions;
  };

  void AddMember(const messages::EndpointInfo& info, Duration lag);

  Member& member(const std::string& endpoint) { return members_[endpoint]; }
  std::map<std::string, Member>& members() { return members_; }

  //! Handles a call that arrives at its endpoint at `now`.
  coordinator::EndpointAnswer HandleCall(const coordinator::EndpointCall& call,
                                         Time now);

  //! Copies log entries that are older than a replica's lag to that replica.
  //! Entries of the replica that differ from its primary's log are removed.
  void Replicate(Time now);

  //! Discards the open transaction of `pin`, as when its connection closes.
  void Rollback(const std::string& endpoint, std::uint64_t pin);

  //! Returns the number of entries with `statement` in the log of `endpoint`.
  int CountRuns(const std::string& endpoint, const std::string& statement);

 private:
  coordinator::EndpointAnswer
  RunStatement(Member& member, const coordinator::EndpointCall& call, Time now);
  static std::map<std::string, std::string> ReplayLog(const Member& member);
  //! Returns null if the log of `member` has no entry with `request_id`.
  static const LogEntry* FindRequest(const Member& member,
                                     const std::string& request_id,
                                     std::int64_t* position);

  std::map<std::string, Member> members_;
};

}  // namespace goldcrest::sessions

#endif  // GOLDCREST_SESSIONS_FAKE_GROUP_H_
