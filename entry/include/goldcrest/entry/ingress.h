#ifndef GOLDCREST_ENTRY_INGRESS_H_
#define GOLDCREST_ENTRY_INGRESS_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/entry/caller_request.h"
#include "goldcrest/entry/control_view.h"
#include "goldcrest/policy/access_decision.h"
#include "goldcrest/quota/holder.h"
#include "goldcrest/session/marks.h"
#include "goldcrest/session/token_sealer.h"

namespace goldcrest::entry {

//! First number of the requests that a process sends to others. Differs from
//! all numbers of the instance's earlier processes, since their incarnation, a
//! Unix time in milliseconds, was lower.
std::int64_t FirstRequestId(std::int64_t incarnation);

struct IngressOptions {
  std::int64_t incarnation = 0;  //!< Of this process.
  //! Longest wait for a quota token before a request is refused.
  Duration quota_wait = std::chrono::milliseconds(250);
  //! Delay before a request is forwarded again.
  Duration retry_delay = std::chrono::milliseconds(20);
  //! Time after a request's deadline in which the coordinator's answer is still
  //! accepted.
  Duration answer_grace = std::chrono::milliseconds(300);
};

struct IngressEffects {
  std::vector<std::pair<std::string, messages::ForwardRequest>> forwards;
  std::vector<CallerAnswer> answers;
};

//! Checks access, session token and rate of callers' requests, forwards them to
//! the group's coordinator and returns the answers. Not thread-safe.
class Ingress {
 public:
  //! `view` and `holder` must outlive the ingress. `random_bytes` returns the
  //! given number of random bytes.
  Ingress(const ControlView* view,
          quota::Holder* holder,
          IngressOptions options,
          std::function<std::string(std::size_t)> random_bytes);

  //! Requests with a key are served until `until`. Afterwards this instance may
  //! have missed the withdrawal of a key.
  void SetControlLease(Time until) { control_lease_until_ = until; }
  bool HasControlLease(Time now) const { return now < control_lease_until_; }

  IngressEffects OnRequest(const CallerRequest& request, Time now);
  IngressEffects OnResponse(const std::string& from,
                            const messages::ForwardResponse& response,
                            Time now);
  //! Handles a forwarded request that did not leave this instance.
  IngressEffects OnForwardNotSent(std::int64_t forward_id, Time now);

  //! Handles a change of groups, keys, rates or quota shares.
  IngressEffects OnViewChange(Time now);

  //! Call every 10 ms.
  IngressEffects Tick(Time now);

  std::size_t InFlight() const { return pending_.size(); }

 private:
  enum class State : std::uint8_t {
    kWaitingForToken,
    kWaitingForCoordinator,
    kForwarded,
  };
  struct Pending {
    CallerRequest request;
    policy::AccessDecision access;
    session::Marks marks;
    Time deadline = kNever;
    Time token_deadline = kNever;
    State state = State::kWaitingForCoordinator;
    Time retry_at;
    bool may_have_run = false;
    std::string coordinator;  // kForwarded
    std::int64_t epoch = 0;   // kForwarded
  };

  ResultCode Admit(Pending& pending, Time now);
  ResultCode OpenSession(Pending& pending) const;
  bool NeedsToken(const Pending& pending) const;
  bool IsRetryable(const CallerRequest& request) const;
  void Forward(std::int64_t id, Pending& pending, Time now);
  void ServeTokenWaiters(Time now);
  void RetryForwards(Time now);
  void CheckForwarded(Time now);
  bool KeyIsValid(const Pending& pending) const;
  void Answer(std::int64_t id, CallerAnswer answer);
  void Refuse(std::int64_t id, ResultCode code, Time now);
  std::string SealToken(const Pending& pending,
                        const messages::ForwardResponse& response);
  //! Returns a nonce that no instance has used before with the same secret.
  std::array<std::uint8_t, session::TokenSealer::kNonceBytes> NextNonce();
  IngressEffects TakeEffects();

  const ControlView* view_;
  quota::Holder* holder_;
  IngressOptions options_;
  std::function<std::string(std::size_t)> random_bytes_;
  Time control_lease_until_;
  std::int64_t next_forward_id_;
  std::string nonce_prefix_;
  std::uint32_t nonce_counter_ = 0;
  std::map<std::int64_t, Pending> pending_;  // by forward id
  // Forward ids of requests waiting for a quota token, by customer.
  std::map<std::string, std::deque<std::int64_t>> token_waiters_;
  std::set<std::int64_t> coordinator_waiters_;
  IngressEffects effects_;
};

}  // namespace goldcrest::entry

#endif  // GOLDCREST_ENTRY_INGRESS_H_
