#ifndef GOLDCREST_ADMISSION_ENDPOINT_LIMITS_H_
#define GOLDCREST_ADMISSION_ENDPOINT_LIMITS_H_

namespace goldcrest::admission {

//! Counts the slots and connections of one endpoint against its limits.
class EndpointLimits {
 public:
  EndpointLimits(int slots, int connections);

  //! New limits, as announced. What is in use above them stays until released.
  void SetLimits(int slots, int connections);

  //! Takes a slot. Transactions hold at most all slots but one, so that one is
  //! left for single statements; an endpoint with one slot shares it.
  bool TryAcquireSlot(bool transaction);

  //! Releases a slot that was taken with the same `transaction`.
  void ReleaseSlot(bool transaction);

  //! Counts a new connection, in use. False when the maximum is reached.
  bool TryOpenConnection();

  //! Puts an idle connection to use. False when there is none.
  bool TryUseIdleConnection();

  //! A connection in use becomes idle.
  void ReturnConnection();

  //! A connection, idle or in use, was closed.
  void CloseConnection(bool idle);

  int slots() const { return slots_; }
  int slots_in_use() const { return statements_ + transactions_; }
  int transactions() const { return transactions_; }
  int max_connections() const { return max_connections_; }
  int open_connections() const { return open_; }
  int idle_connections() const { return idle_; }

 private:
  int slots_;
  int max_connections_;
  int statements_ = 0;
  int transactions_ = 0;
  int open_ = 0;
  int idle_ = 0;
};

}  // namespace goldcrest::admission

#endif  // GOLDCREST_ADMISSION_ENDPOINT_LIMITS_H_
