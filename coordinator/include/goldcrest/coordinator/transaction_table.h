#ifndef GOLDCREST_COORDINATOR_TRANSACTION_TABLE_H_
#define GOLDCREST_COORDINATOR_TRANSACTION_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "goldcrest/types/time.h"

namespace goldcrest::coordinator {

//! An open transaction. It holds one slot and one connection of the primary
//! until it ends; no other caller's statement uses them.
struct Transaction {
  std::uint64_t pin = 0;  //!< Name of the reserved connection.
  std::string name;       //!< What the caller is given; not guessable from
                          //!< another caller's.
  std::string customer;
  std::string key_name;
  std::string rule;
  std::string endpoint;
  std::string endpoint_transaction;  //!< The endpoint's own name.
  Time deadline = kNever;            //!< The transaction ends by then.
  Time idle_deadline = kNever;       //!< Renewed by each statement.
  bool statement_in_flight = false;
};

class TransactionTable {
 public:
  Transaction& Add(Transaction transaction);

  //! The transaction `name` if it belongs to this customer and key; nullptr
  //! otherwise, also when it exists: another caller learns nothing of it.
  Transaction* FindFor(const std::string& name,
                       const std::string& customer,
                       const std::string& key_name);
  Transaction* FindByPin(std::uint64_t pin);

  void Remove(std::uint64_t pin);

  //! Pins of transactions past their deadline or idle limit.
  std::vector<std::uint64_t> Overdue(Time now) const;

  const std::map<std::uint64_t, Transaction>& transactions() const {
    return by_pin_;
  }

 private:
  std::map<std::uint64_t, Transaction> by_pin_;
  std::map<std::string, std::uint64_t> pin_by_name_;
};

}  // namespace goldcrest::coordinator

#endif  // GOLDCREST_COORDINATOR_TRANSACTION_TABLE_H_
