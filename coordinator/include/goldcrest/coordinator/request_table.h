#ifndef GOLDCREST_COORDINATOR_REQUEST_TABLE_H_
#define GOLDCREST_COORDINATOR_REQUEST_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/types/time.h"

namespace goldcrest::coordinator {

//! Where an answer goes: the entry that forwarded the request and its id there.
struct Origin {
  std::string instance;
  std::int64_t id = 0;
};

enum class RequestState : std::uint8_t {
  kQueued,
  kSent,
  kAwaitingReplication,
};

//! One request that the coordinator has not answered yet.
struct Request {
  std::uint64_t id = 0;
  messages::ForwardRequest forward;
  std::vector<Origin> origins;  //!< More than one after a resend.
  Time arrival;
  Time deadline = kNever;
  RequestState state = RequestState::kQueued;
  bool may_have_run = false;  //!< A call for it has left, outcome unknown.
  std::string endpoint;       //!< Of the last call.
  std::uint64_t call_id = 0;  //!< Of the call in flight.
  std::int64_t term = 0;      //!< kAwaitingReplication: of the write.
  std::int64_t position = 0;
  std::string value;
  std::uint64_t transaction = 0;  //!< Coordinator's transaction; 0: none.
};

//! Requests that run, and the answers of recent requests with a request id, so
//! that a resend meets the first attempt instead of running again.
class RequestTable {
 public:
  enum class AddResult : std::uint8_t {
    kAdded,
    kJoined,    //!< The same request is running; its answer goes to both.
    kFinished,  //!< The same request has its answer.
    kReused,    //!< The request id belongs to a different request.
  };

  struct Added {
    AddResult result = AddResult::kAdded;
    Request* request = nullptr;                 //!< kAdded.
    messages::ForwardResponse finished_answer;  //!< kFinished.
  };

  Added Add(const Origin& origin,
            const messages::ForwardRequest& forward,
            Time now);

  Request* Find(std::uint64_t id);

  //! Removes the request. `remember` keeps its answer for resends; an answer
  //! that says "not run" or "unknown" is not kept, so that a resend can run.
  void Finish(std::uint64_t id,
              const messages::ForwardResponse& answer,
              bool remember);

  std::map<std::uint64_t, Request>& requests() { return requests_; }
  const std::map<std::uint64_t, Request>& requests() const { return requests_; }

 private:
  struct Finished {
    std::string fingerprint;
    messages::ForwardResponse answer;
  };

  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, Request> requests_;
  std::unordered_map<std::string, std::uint64_t> running_by_key_;
  std::unordered_map<std::string, Finished> finished_;
  std::deque<std::string> finished_order_;
};

}  // namespace goldcrest::coordinator

#endif  // GOLDCREST_COORDINATOR_REQUEST_TABLE_H_
