#ifndef GOLDCREST_ADMISSION_ENDPOINT_LIMITS_H_
#define GOLDCREST_ADMISSION_ENDPOINT_LIMITS_H_

namespace goldcrest::admission {

//! Counts the slots and connections in use at one endpoint and enforces their
//! limits.
class EndpointLimits {
 public:
  EndpointLimits(int slots, int connections);

  //! Sets the limits that the endpoint announced. Slots and connections in use
  //! beyond them remain until they are released.
  void SetLimits(int slots, int connections);

  //! Acquires a slot. Returns false when none is free. Transactions hold at
  //! most all slots but one, so that one is left for single statements; the
  //! only slot of an endpoint may be held by either.
  bool TryAcquireSlot(bool transaction);

  //! Releases a slot that was acquired with the same `transaction`.
  void ReleaseSlot(bool transaction);

  //! Counts a new connection as in use. Returns false when the limit is
  //! reached.
  bool TryOpenConnection();

  //! Counts an idle connection as in use. Returns false when there is none.
  bool TryUseIdleConnection();

  //! Counts a connection that was in use as idle.
  void ReturnConnection();

  //! Counts a connection, idle or in use, as closed.
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
