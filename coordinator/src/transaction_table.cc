#include "goldcrest/coordinator/transaction_table.h"

#include <utility>

namespace goldcrest::coordinator {

Transaction& TransactionTable::Add(Transaction transaction) {
  pin_by_name_[transaction.name] = transaction.pin;
  Transaction& stored = by_pin_[transaction.pin];
  stored = std::move(transaction);
  return stored;
}

Transaction* TransactionTable::FindForCaller(const std::string& name,
                                             const std::string& customer,
                                             const std::string& key_name) {
  const auto it = pin_by_name_.find(name);
  if (it == pin_by_name_.end())
    return nullptr;
  Transaction& transaction = by_pin_.at(it->second);
  if (transaction.customer != customer || transaction.key_name != key_name)
    return nullptr;
  return &transaction;
}

Transaction* TransactionTable::FindByPin(std::uint64_t pin) {
  const auto it = by_pin_.find(pin);
  return it == by_pin_.end() ? nullptr : &it->second;
}

void TransactionTable::Remove(std::uint64_t pin) {
  const auto it = by_pin_.find(pin);
  if (it == by_pin_.end())
    return;
  pin_by_name_.erase(it->second.name);
  by_pin_.erase(it);
}

std::vector<std::uint64_t> TransactionTable::ExpiredPins(Time now) const {
  std::vector<std::uint64_t> pins;
  for (const auto& [pin, transaction] : by_pin_) {
    if (now < transaction.deadline && now < transaction.idle_deadline)
      continue;
    pins.push_back(pin);
  }
  return pins;
}

}  // namespace goldcrest::coordinator
