#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <fmt/format.h>

#include "bench/bench.h"
#include "bench/measure.h"
#include "bench/objects.h"
#include "goldcrest/admission/fair_queue.h"
#include "goldcrest/coordinator/group_coordinator.h"
#include "goldcrest/messages/codec.h"
#include "goldcrest/policy/configuration.h"
#include "goldcrest/quota/holder.h"
#include "goldcrest/session/token_sealer.h"
#include "goldcrest/types/digest.h"

namespace goldcrest::bench {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kCustomerCounts[] = {10, 1'000, 100'000};
constexpr std::size_t kMaxQueuedPerCustomer = 8;
// Being prime and no divisor of the sizes, it visits all indices in a scattered
// order.
constexpr std::size_t kIndexStride = 7919;
// Number of objects over which the memory of one is averaged.
constexpr int kMemoryItems = 10'000;

void PrintTiming(std::string_view operation,
                 std::size_t size,
                 double micros,
                 std::string_view baseline_name,
                 double baseline_micros) {
  fmt::print("{:<34} {:>8} | {:>9.3f} {:>11.0f} | {:<26} {:>9.3f} {:>7.1f}\n",
             operation, size, micros, 1e6 / micros, baseline_name,
             baseline_micros, micros / baseline_micros);
}

std::vector<std::string> MakeKeyDigests(std::size_t count) {
  std::vector<std::string> digests;
  for (std::size_t i = 0; i < count; ++i)
    digests.push_back(Sha256(KeyText(i)));
  return digests;
}

void MeasureAccessDecision(std::size_t count, int rules) {
  policy::Configuration configuration;
  AddCustomersAndKeys(configuration, count);
  AddRules(configuration, rules);
  const auto digests = MakeKeyDigests(count);
  const auto endpoints = MakeEndpoints("bookings", 3);
  std::unordered_map<std::string, std::string> baseline;
  for (const std::string& digest : digests)
    baseline[digest] = "customer";
  std::size_t index = 0;
  std::size_t found = 0;
  const double measured_micros = MicrosPerCall([&] {
    index = (index + kIndexStride) % count;
    const auto decision =
        configuration.Decide({digests[index], "bookings", false, endpoints});
    found += decision.code == ResultCode::kOk ? 1 : 0;
  });
  const double lookup_micros = MicrosPerCall([&] {
    index = (index + kIndexStride) % count;
    found += baseline.at(digests[index]).size();
  });
  if (found == 0)
    fmt::print("no access was granted\n");
  PrintTiming(fmt::format("Decide, {} rules", rules), count, measured_micros,
              "hash table look-up", lookup_micros);
}

void MeasureQuota(std::size_t count) {
  quota::Holder holder;
  const Time now = TimeFromMicros(1'000'000);
  std::vector<std::string> names;
  std::unordered_map<std::string, std::int64_t> baseline;
  std::vector<messages::ShareUpdate> updates;
  for (std::size_t i = 0; i < count; ++i) {
    names.push_back(CustomerName(i));
    baseline[names.back()] = std::int64_t{1} << 60;
    const std::int64_t amount = std::int64_t{1} << 50;
    holder.SetLimit(names.back(), quota::Limit{amount, amount});
    messages::ShareUpdate update;
    update.customer = names.back();
    update.share_sequence = static_cast<std::int64_t>(i) + 1;
    update.owner_term = 1;
    update.rate_micros = amount;
    update.capacity_micros = amount;
    update.added_micros = amount;
    update.lease_ms = 3'000;
    updates.push_back(update);
  }
  holder.Report(now);
  std::size_t taken = 0;
  const double idle_report_micros =
      MicrosPerCall([&] { taken += holder.Report(now).size(); });
  holder.OnUpdates(now, now, updates);
  std::size_t index = 0;
  const double measured_micros = MicrosPerCall([&] {
    index = (index + kIndexStride) % count;
    taken += holder.TryTake(now, names[index]) ? 1 : 0;
  });
  const double counter_micros = MicrosPerCall([&] {
    index = (index + kIndexStride) % count;
    taken += --baseline.at(names[index]) > 0 ? 1 : 0;
  });
  PrintTiming("quota take", count, measured_micros, "one counter, hash table",
              counter_micros);
  PrintTiming("quota report, no share in use", count, idle_report_micros,
              "quota take, as above", measured_micros);
  const double report_micros =
      MicrosPerCall([&] { taken += holder.Report(now).size(); });
  PrintTiming("quota report, all shares in use", count, report_micros,
              "quota take, as above", measured_micros);
}

void MeasureQueue(std::size_t count) {
  admission::FairQueue queue(kMaxQueuedPerCustomer);
  std::deque<admission::Ticket> baseline;
  std::uint64_t id = 0;
  const Time now = TimeFromMicros(1'000'000);
  const auto ticket = [&] {
    ++id;
    return admission::Ticket{id, CustomerName(id % count),
                             static_cast<std::int64_t>(id % 8 + 1),
                             now + std::chrono::seconds(5)};
  };
  for (std::size_t i = 0; i < count; ++i) {
    queue.Push(now, ticket());
    baseline.push_back(ticket());
  }
  std::size_t served = 0;
  const double measured_micros = MicrosPerCall([&] {
    queue.Push(now, ticket());
    served += queue.Pop(now) ? 1 : 0;
  });
  const double deque_micros = MicrosPerCall([&] {
    baseline.push_back(ticket());
    served += baseline.front().id != 0 ? 1 : 0;
    baseline.pop_front();
  });
  PrintTiming("FairQueue push + pop", count, measured_micros,
              "first-come deque", deque_micros);
}

void MeasureTokens(std::size_t groups) {
  session::TokenSealer::Secret secret{};
  const session::TokenSealer sealer(secret);
  session::Marks marks;
  marks.customer = CustomerName(0);
  for (std::size_t i = 0; i < groups; ++i)
    marks.groups[GroupName(i)] = {3, 123'456'789};
  std::array<std::uint8_t, session::TokenSealer::kNonceBytes> nonce{};
  // The fixed nonce yields the same text each time.
  const std::string token = sealer.Seal(marks, nonce).value();
  std::size_t total_bytes = 0;
  const double seal_micros = MicrosPerCall(
      [&] { total_bytes += sealer.Seal(marks, nonce).value().size(); });
  const double open_micros = MicrosPerCall(
      [&] { total_bytes += sealer.Open(token)->customer.size(); });
  const double digest_micros =
      MicrosPerCall([&] { total_bytes += Sha256(token).size(); });
  PrintTiming("session seal, size in groups", groups, seal_micros,
              "SHA-256 of the token", digest_micros);
  PrintTiming("session open, size in groups", groups, open_micros,
              "SHA-256 of the token", digest_micros);
  fmt::print("  a token of {} group(s) has {} bytes\n", groups, token.size());
}

// Runs a group coordinator with three endpoints that answer each call at once.
class CoordinatorHarness {
 public:
  explicit CoordinatorHarness(std::size_t keys) {
    AddCustomersAndKeys(configuration_, keys);
    AddRules(configuration_, 10);
    coordinator::CoordinatorHooks hooks;
    hooks.key_is_valid = [this](const std::string& key,
                                const std::string& customer) {
      return configuration_.KeyInForceFor(key, customer);
    };
    hooks.endpoint_allowed = [this](const std::string& rule,
                                    const messages::EndpointInfo& endpoint) {
      return configuration_.RuleAllows(rule, endpoint);
    };
    hooks.endpoint_leaving = [this](const messages::EndpointInfo& endpoint) {
      return configuration_.EndpointLeaving(endpoint.endpoint);
    };
    hooks.next_call_id = [this] { return ++last_call_id_; };
    hooks.random_name = [] { return std::string("name"); };
    state_.group = "bookings";
    state_.coordinator = "e1";
    state_.coordinator_epoch = 1;
    state_.revision = 1;
    coordinator_ = std::make_unique<coordinator::GroupCoordinator>(
        coordinator::CoordinatorOptions(), hooks, state_, kNever, now_);
    coordinator_->SetEndpoints(MakeEndpoints("bookings", 3), now_);
    while (coordinator_->phase() !=
           coordinator::GroupCoordinator::Phase::kServing)
      AdvanceAndTick();
    AdvanceAndTick();
    AdvanceAndTick();
  }

  void AdvanceAndTick() {
    now_ += milliseconds(50);
    ProcessEffects(coordinator_->Tick(now_));
  }

  // Returns true if the request was answered, at the latest by a tick 10 ms
  // after it.
  bool SendRequest(messages::Operation::type operation, std::size_t customer) {
    now_ += std::chrono::microseconds(100);
    messages::ForwardRequest forward;
    forward.id = ++last_request_id_;
    forward.group = "bookings";
    forward.epoch = 1;
    forward.operation = operation;
    forward.customer = CustomerName(customer);
    forward.key_name = KeyName(customer);
    forward.rule = RuleName(9);
    forward.statement = "get facade";
    forward.timeout_ms = 5'000;
    forward.max_age_ms = 10'000;
    forward.durability = messages::Durability::MAJORITY;
    forward.weight = 1;
    const std::size_t before = answered_requests_;
    ProcessEffects(coordinator_->OnRequest("e2", forward, now_));
    if (answered_requests_ == before) {
      now_ += milliseconds(10);
      ProcessEffects(coordinator_->Tick(now_));
    }
    return answered_requests_ > before;
  }

 private:
  void ProcessEffects(const coordinator::CoordinatorEffects& effects) {
    answered_requests_ += effects.answers.size();
    for (const messages::SetPrimary& proposal : effects.proposals) {
      state_.term = proposal.term;
      state_.primary = proposal.primary;
      ++state_.revision;
      ProcessEffects(coordinator_->OnGroupState(state_, now_));
    }
    for (const coordinator::EndpointCall& call : effects.calls) {
      coordinator::CallResult result;
      result.delivery = coordinator::Delivery::kAnswered;
      result.answer.call_id = call.id;
      result.answer.endpoint = call.endpoint;
      result.answer.term = state_.term;
      result.answer.log_term = state_.term;
      if (call.kind == coordinator::StatementKind::kWrite)
        ++position_;
      result.answer.position = position_;
      ProcessEffects(coordinator_->OnCallResult(call.id, result, now_));
    }
  }

  policy::Configuration configuration_;
  messages::GroupState state_;
  std::unique_ptr<coordinator::GroupCoordinator> coordinator_;
  Time now_ = TimeFromMicros(1'000'000);
  std::uint64_t last_call_id_ = 0;
  std::int64_t last_request_id_ = 0;
  std::int64_t position_ = 1;
  std::size_t answered_requests_ = 0;
};

void MeasureCoordinator(std::size_t keys) {
  CoordinatorHarness harness(keys);
  std::unordered_map<std::uint64_t, messages::ForwardRequest> pending_calls;
  std::uint64_t last_id = 0;
  std::size_t answered = 0;
  const double table_micros = MicrosPerCall([&] {
    pending_calls[++last_id].statement = "get facade";
    answered += pending_calls.erase(last_id);
  });
  for (const auto operation :
       {messages::Operation::READ, messages::Operation::WRITE}) {
    std::size_t index = 0;
    std::size_t sent = 0;
    answered = 0;
    const double measured_micros = MicrosPerCall([&] {
      index = (index + kIndexStride) % keys;
      ++sent;
      answered += harness.SendRequest(operation, index) ? 1 : 0;
    });
    PrintTiming(operation == messages::Operation::READ
                    ? "coordinator, read from a replica"
                    : "coordinator, majority write",
                keys, measured_micros, "one table entry a call", table_micros);
    if (answered != sent)
      fmt::print("  only {} of {} were answered at once\n", answered, sent);
  }
  if (keys != kCustomerCounts[0])
    return;
  const double tick_micros = MicrosPerCall([&] { harness.AdvanceAndTick(); });
  PrintTiming("coordinator, idle tick with probes", keys, tick_micros,
              "one table entry a call", table_micros);
}

void PrintBytes(std::string_view label,
                std::size_t count,
                std::size_t heap_bytes,
                std::size_t encoded_bytes) {
  fmt::print("{:<34} {:>8} | {:>9} | {:>9}\n", label, count, heap_bytes / count,
             encoded_bytes);
}

// Heap memory in bytes that the object returned by `build` takes up.
template <typename Build>
std::size_t MeasureHeapBytes(const Build& build) {
  const std::size_t before = HeapBytes();
  const auto built = build();
  return HeapBytes() - before;
}

std::size_t EncodedObjectBytes(const messages::Object& object) {
  messages::Change change;
  const std::size_t empty_bytes = messages::Encode(change).size();
  change.objects.push_back(object);
  return messages::Encode(change).size() - empty_bytes;
}

void MeasureMemory() {
  fmt::print(
      "\nBytes of memory, beside the encoded size\n\n"
      "{:<34} {:>8} | {:>9} | {:>9}\n",
      "what", "count", "memory", "encoded");
  PrintBytes("customer", kMemoryItems, MeasureHeapBytes([] {
               auto made = std::make_unique<policy::Configuration>();
               AddCustomers(*made, kMemoryItems);
               return made;
             }),
             EncodedObjectBytes(MakeCustomer(CustomerName(1))));
  auto configuration = std::make_unique<policy::Configuration>();
  AddCustomers(*configuration, kMemoryItems);
  std::size_t before = HeapBytes();
  AddKeys(*configuration, kMemoryItems);
  PrintBytes("key", kMemoryItems, HeapBytes() - before,
             EncodedObjectBytes(MakeKey(1, 1)));
  before = HeapBytes();
  AddRules(*configuration, 1'000);
  PrintBytes("selector rule", 1'000, HeapBytes() - before,
             EncodedObjectBytes(MakeRule(1)));
  PrintBytes("quota share of an entry", kMemoryItems, MeasureHeapBytes([] {
               auto made = std::make_unique<quota::Holder>();
               for (int i = 0; i < kMemoryItems; ++i)
                 made->SetLimit(CustomerName(i), quota::Limit{1, 1});
               return made;
             }),
             EncodedShareBytes());
  PrintBytes("queued request (ticket)", kMemoryItems, MeasureHeapBytes([] {
               auto made = std::make_unique<admission::FairQueue>(kMemoryItems);
               for (int i = 1; i <= kMemoryItems; ++i)
                 made->Push(TimeFromMicros(1), {static_cast<std::uint64_t>(i),
                                                CustomerName(i % 10), 1,
                                                TimeFromMicros(5'000'000)});
               return made;
             }),
             0);
  PrintBytes("forwarded request", kMemoryItems, MeasureHeapBytes([] {
               auto made =
                   std::make_unique<std::deque<messages::ForwardRequest>>();
               for (int i = 0; i < kMemoryItems; ++i) {
                 messages::ForwardRequest request;
                 request.customer = CustomerName(i);
                 request.key_name = KeyName(i);
                 request.group = GroupName(1);
                 request.rule = RuleName(1);
                 request.statement = std::string(100, 's');
                 made->push_back(std::move(request));
               }
               return made;
             }),
             EncodedForwardRequestBytes());
  PrintBytes("endpoint in a view", kMemoryItems, MeasureHeapBytes([] {
               auto made = std::make_unique<
                   std::unordered_map<std::string, messages::EndpointInfo>>();
               for (int i = 0; i < kMemoryItems; ++i)
                 (*made)[EndpointName(i)] = MakeEndpoint(i);
               return made;
             }),
             EncodedEndpointBytes());
  PrintBytes("coordinated group", 1, MeasureHeapBytes([] {
               return std::make_unique<CoordinatorHarness>(1);
             }),
             EncodedGroupBytes());
}

}  // namespace

int RunCost() {
  fmt::print(
      "Processor time on one core, beside a baseline\n\n"
      "{:<34} {:>8} | {:>9} {:>11} | {:<26} {:>9} {:>7}\n",
      "operation", "size", "us", "a second", "baseline", "us", "ratio");
  for (const std::size_t size : kCustomerCounts) {
    MeasureAccessDecision(size, 10);
    MeasureQuota(size);
    MeasureQueue(size);
    MeasureCoordinator(size);
  }
  for (const int rules : {1, 100, 1'000})
    MeasureAccessDecision(kCustomerCounts[0], rules);
  for (const std::size_t groups : {1, 3, 64})
    MeasureTokens(groups);
  MeasureMemory();
  RunControlCost();
  return 0;
}

}  // namespace goldcrest::bench
