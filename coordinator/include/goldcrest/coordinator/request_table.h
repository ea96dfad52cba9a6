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

//! Destination of an answer: the entry instance that forwarded the request and
//! the id that it uses for the request.
struct Origin {
  std::string instance;
  std::int64_t id = 0;
};

enum class RequestState : std::uint8_t {
  kQueued,
  kSent,
  kAwaitingReplication,
};

//! A request that the coordinator has not answered yet.
struct Request {
  std::uint64_t id = 0;
  messages::ForwardRequest forward;
  std::vector<Origin> origins;  //!< More than one after a resend.
  Time arrival;
  Time deadline = kNever;
  RequestState state = RequestState::kQueued;
  bool may_have_run = false;  //!< A call was sent; its outcome is unknown.
  std::string endpoint;       //!< Endpoint of the last call.
  std::uint64_t call_id = 0;  //!< Id of the last call.
  std::int64_t term = 0;      //!< kAwaitingReplication: term of the write.
  std::int64_t position = 0;
  std::string value;
  std::uint64_t transaction = 0;  //!< Pin of its transaction; 0: none.
};

//! Open requests, and the answers of recently finished requests with a request
//! id. A resent request joins the first attempt or gets its answer instead of
//! running again.
class RequestTable {
 public:
  enum class AddResult : std::uint8_t {
    kAdded,
    kJoined,    //!< The same request is open; its answer goes to both senders.
    kFinished,  //!< The same request has been answered.
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

  //! Removes the request. `remember` keeps its answer for resends. The caller
  //! must not keep the outcomes "not run" and "unknown", so that a resend can
  //! run.
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
  std::deque<std::string> finished_keys_by_age_;
};

}  // namespace goldcrest::coordinator

#endif  // GOLDCREST_COORDINATOR_REQUEST_TABLE_H_
