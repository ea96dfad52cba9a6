#ifndef GOLDCREST_COORDINATOR_TRANSACTION_TABLE_H_
#define GOLDCREST_COORDINATOR_TRANSACTION_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "goldcrest/types/time.h"

namespace goldcrest::coordinator {

//! An open transaction. Until it ends it holds one slot and one connection of
//! the primary exclusively.
struct Transaction {
  std::uint64_t pin = 0;  //!< Id of the reserved connection.
  std::string name;       //!< Name that the caller gets; unguessable.
  std::string customer;
  std::string key_name;
  std::string rule;
  std::string endpoint;
  std::string endpoint_transaction;  //!< Id that the endpoint assigned.
  Time deadline = kNever;            //!< Latest end of the transaction.
  Time idle_deadline = kNever;       //!< Renewed by each statement.
  bool statement_in_flight = false;
};

class TransactionTable {
 public:
  Transaction& Add(Transaction transaction);

  //! Returns the transaction `name` if it belongs to this customer and key,
  //! else nullptr. Callers can't distinguish another caller's transaction from
  //! one that does not exist.
  Transaction* FindForCaller(const std::string& name,
                             const std::string& customer,
                             const std::string& key_name);
  Transaction* FindByPin(std::uint64_t pin);

  void Remove(std::uint64_t pin);

  //! Returns the pins of transactions past their deadline or idle deadline.
  std::vector<std::uint64_t> ExpiredPins(Time now) const;

  const std::map<std::uint64_t, Transaction>& transactions() const {
    return by_pin_;
  }

 private:
  std::map<std::uint64_t, Transaction> by_pin_;
  std::map<std::string, std::uint64_t> pin_by_name_;
};

}  // namespace goldcrest::coordinator

#endif  // GOLDCREST_COORDINATOR_TRANSACTION_TABLE_H_
