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

constexpr std::size_t kSizes[] = {10, 1'000, 100'000};
constexpr std::size_t kQueueDepth = 8;
constexpr int kManyKeys = 10'000;

void PrintRate(std::string_view what,
               std::size_t size,
               double micros,
               std::string_view baseline,
               double baseline_micros) {
  fmt::print("{:<34} {:>8} | {:>9.3f} {:>11.0f} | {:<26} {:>9.3f} {:>7.1f}\n",
             what, size, micros, 1e6 / micros, baseline, baseline_micros,
             micros / baseline_micros);
}

std::vector<std::string> Digests(std::size_t count) {
  std::vector<std::string> digests;
  for (std::size_t i = 0; i < count; ++i)
    digests.push_back(Sha256(KeyText(i)));
  return digests;
}

void MeasureDecide(std::size_t count, int rules) {
  policy::Configuration configuration;
  AddCustomersAndKeys(configuration, count);
  AddRules(configuration, rules);
  const auto digests = Digests(count);
  const auto endpoints = Endpoints("bookings", 3);
  std::unordered_map<std::string, std::string> plain;
  for (const std::string& digest : digests)
    plain[digest] = "customer";
  std::size_t next = 0;
  std::size_t found = 0;
  const double ours = MicrosPerCall([&] {
    next = (next + 7919) % count;
    const auto decision =
        configuration.Decide({digests[next], "bookings", false, endpoints});
    found += decision.code == ResultCode::kOk ? 1 : 0;
  });
  const double lookup = MicrosPerCall([&] {
    next = (next + 7919) % count;
    found += plain.at(digests[next]).size();
  });
  if (found == 0)
    fmt::print("no access was granted\n");
  PrintRate(fmt::format("Decide, {} rules", rules), count, ours,
            "hash table look-up", lookup);
}

void MeasureQuota(std::size_t count) {
  quota::Holder holder;
  const Time now = TimeFromMicros(1'000'000);
  std::vector<std::string> names;
  std::unordered_map<std::string, std::int64_t> plain;
  std::vector<messages::ShareUpdate> updates;
  for (std::size_t i = 0; i < count; ++i) {
    names.push_back(CustomerName(i));
    plain[names.back()] = std::int64_t{1} << 60;
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
  const double idle =
      MicrosPerCall([&] { taken += holder.Report(now).size(); });
  holder.OnUpdates(now, now, updates);
  std::size_t next = 0;
  const double ours = MicrosPerCall([&] {
    next = (next + 7919) % count;
    taken += holder.TryTake(now, names[next]) ? 1 : 0;
  });
  const double bucket = MicrosPerCall([&] {
    next = (next + 7919) % count;
    taken += --plain.at(names[next]) > 0 ? 1 : 0;
  });
  PrintRate("quota take", count, ours, "one counter, hash table", bucket);
  PrintRate("quota report, no share in use", count, idle,
            "quota take, as above", ours);
  const double report =
      MicrosPerCall([&] { taken += holder.Report(now).size(); });
  PrintRate("quota report, all shares in use", count, report,
            "quota take, as above", ours);
}

void MeasureQueue(std::size_t count) {
  admission::FairQueue queue(kQueueDepth);
  std::deque<admission::Ticket> plain;
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
    plain.push_back(ticket());
  }
  std::size_t served = 0;
  const double ours = MicrosPerCall([&] {
    queue.Push(now, ticket());
    served += queue.Pop(now) ? 1 : 0;
  });
  const double first_come = MicrosPerCall([&] {
    plain.push_back(ticket());
    served += plain.front().id != 0 ? 1 : 0;
    plain.pop_front();
  });
  PrintRate("FairQueue push + pop", count, ours, "first-come deque",
            first_come);
}

void MeasureTokens(std::size_t groups) {
  session::TokenSealer::Secret secret{};
  const session::TokenSealer sealer(secret);
  session::Marks marks;
  marks.customer = CustomerName(0);
  for (std::size_t i = 0; i < groups; ++i)
    marks.groups[GroupName(i)] = {3, 123'456'789};
  std::array<std::uint8_t, session::TokenSealer::kNonceBytes> nonce{};
  const std::string token =
      sealer.Seal(marks, nonce).value();  // the same text each time
  std::size_t bytes = 0;
  const double seal =
      MicrosPerCall([&] { bytes += sealer.Seal(marks, nonce).value().size(); });
  const double open =
      MicrosPerCall([&] { bytes += sealer.Open(token)->customer.size(); });
  const double digest = MicrosPerCall([&] { bytes += Sha256(token).size(); });
  PrintRate("session seal, size in groups", groups, seal,
            "SHA-256 of the token", digest);
  PrintRate("session open, size in groups", groups, open,
            "SHA-256 of the token", digest);
  fmt::print("  a token of {} group(s) has {} bytes\n", groups, token.size());
}

// A coordinator whose calls are answered at once by three databases.
class Coordination {
 public:
  explicit Coordination(std::size_t keys) {
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
    hooks.next_call_id = [this] { return ++last_call_; };
    hooks.random_name = [] { return std::string("name"); };
    state_.group = "bookings";
    state_.coordinator = "e1";
    state_.coordinator_epoch = 1;
    state_.revision = 1;
    coordinator_ = std::make_unique<coordinator::GroupCoordinator>(
        coordinator::CoordinatorOptions(), hooks, state_, kNever, now_);
    coordinator_->SetEndpoints(Endpoints("bookings", 3), now_);
    while (coordinator_->phase() !=
           coordinator::GroupCoordinator::Phase::kServing)
      Step();
    Step();
    Step();
  }

  void Step() {
    now_ += milliseconds(50);
    Answer(coordinator_->Tick(now_));
  }

  // True when an answer came.
  bool Request(messages::Operation::type operation, std::size_t customer) {
    now_ += std::chrono::microseconds(100);
    messages::ForwardRequest forward;
    forward.id = ++last_request_;
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
    const std::size_t before = answered_;
    Answer(coordinator_->OnRequest("e2", forward, now_));
    if (answered_ == before) {
      now_ += milliseconds(10);
      Answer(coordinator_->Tick(now_));
    }
    return answered_ > before;
  }

 private:
  void Answer(const coordinator::CoordinatorEffects& effects) {
    answered_ += effects.answers.size();
    for (const messages::SetPrimary& proposal : effects.proposals) {
      state_.term = proposal.term;
      state_.primary = proposal.primary;
      ++state_.revision;
      Answer(coordinator_->OnGroupState(state_, now_));
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
      Answer(coordinator_->OnCallResult(call.id, result, now_));
    }
  }

  policy::Configuration configuration_;
  messages::GroupState state_;
  std::unique_ptr<coordinator::GroupCoordinator> coordinator_;
  Time now_ = TimeFromMicros(1'000'000);
  std::uint64_t last_call_ = 0;
  std::int64_t last_request_ = 0;
  std::int64_t position_ = 1;
  std::size_t answered_ = 0;
};

void MeasureCoordinator(std::size_t keys) {
  Coordination coordination(keys);
  std::unordered_map<std::uint64_t, messages::ForwardRequest> table;
  std::uint64_t id = 0;
  std::size_t answered = 0;
  const double direct = MicrosPerCall([&] {
    table[++id].statement = "get facade";
    answered += table.erase(id);
  });
  for (const auto operation :
       {messages::Operation::READ, messages::Operation::WRITE}) {
    std::size_t next = 0;
    std::size_t asked = 0;
    answered = 0;
    const double ours = MicrosPerCall([&] {
      next = (next + 7919) % keys;
      ++asked;
      answered += coordination.Request(operation, next) ? 1 : 0;
    });
    PrintRate(operation == messages::Operation::READ
                  ? "coordinator, read from a replica"
                  : "coordinator, majority write",
              keys, ours, "one table entry a call", direct);
    if (answered != asked)
      fmt::print("  only {} of {} were answered at once\n", answered, asked);
  }
  if (keys != kSizes[0])
    return;
  const double tick = MicrosPerCall([&] { coordination.Step(); });
  PrintRate("coordinator, idle tick with probes", keys, tick,
            "one table entry a call", direct);
}

void PrintBytes(std::string_view what,
                std::size_t count,
                std::size_t heap,
                std::size_t encoded) {
  fmt::print("{:<34} {:>8} | {:>9} | {:>9}\n", what, count, heap / count,
             encoded);
}

template <typename Fill>
std::size_t HeapOf(const Fill& fill) {
  const std::size_t before = HeapBytes();
  const auto kept = fill();
  return HeapBytes() - before;
}

std::size_t EncodedObject(const messages::Object& object) {
  messages::Change change;
  const std::size_t empty = messages::Encode(change).size();
  change.objects.push_back(object);
  return messages::Encode(change).size() - empty;
}

void MeasureMemory() {
  fmt::print(
      "\nBytes of memory, beside the encoded size\n\n"
      "{:<34} {:>8} | {:>9} | {:>9}\n",
      "what", "count", "memory", "encoded");
  PrintBytes("customer", kManyKeys, HeapOf([] {
               auto made = std::make_unique<policy::Configuration>();
               AddCustomers(*made, kManyKeys);
               return made;
             }),
             EncodedObject(Customer(CustomerName(1))));
  auto configuration = std::make_unique<policy::Configuration>();
  AddCustomers(*configuration, kManyKeys);
  std::size_t before = HeapBytes();
  AddKeys(*configuration, kManyKeys);
  PrintBytes("key", kManyKeys, HeapBytes() - before, EncodedObject(Key(1, 1)));
  before = HeapBytes();
  AddRules(*configuration, 1'000);
  PrintBytes("selector rule", 1'000, HeapBytes() - before,
             EncodedObject(Rule(1)));
  PrintBytes("quota share of an entry", kManyKeys, HeapOf([] {
               auto made = std::make_unique<quota::Holder>();
               for (int i = 0; i < kManyKeys; ++i)
                 made->SetLimit(CustomerName(i), quota::Limit{1, 1});
               return made;
             }),
             EncodedShare());
  PrintBytes("queued request (ticket)", kManyKeys, HeapOf([] {
               auto made = std::make_unique<admission::FairQueue>(kManyKeys);
               for (int i = 1; i <= kManyKeys; ++i)
                 made->Push(TimeFromMicros(1), {static_cast<std::uint64_t>(i),
                                                CustomerName(i % 10), 1,
                                                TimeFromMicros(5'000'000)});
               return made;
             }),
             0);
  PrintBytes("forwarded request", kManyKeys, HeapOf([] {
               auto made =
                   std::make_unique<std::deque<messages::ForwardRequest>>();
               for (int i = 0; i < kManyKeys; ++i) {
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
             EncodedForward());
  PrintBytes("endpoint in a view", kManyKeys, HeapOf([] {
               auto made = std::make_unique<
                   std::unordered_map<std::string, messages::EndpointInfo>>();
               for (int i = 0; i < kManyKeys; ++i)
                 (*made)[EndpointName(i)] = Endpoint(i);
               return made;
             }),
             EncodedEndpoint());
  PrintBytes("coordinated group", 1,
             HeapOf([] { return std::make_unique<Coordination>(1); }),
             EncodedGroup());
}

}  // namespace

int RunCost() {
  fmt::print(
      "Processor time on one core, beside a baseline\n\n"
      "{:<34} {:>8} | {:>9} {:>11} | {:<26} {:>9} {:>7}\n",
      "operation", "size", "us", "a second", "baseline", "us", "ratio");
  for (const std::size_t size : kSizes) {
    MeasureDecide(size, 10);
    MeasureQuota(size);
    MeasureQueue(size);
    MeasureCoordinator(size);
  }
  for (const int rules : {1, 100, 1'000})
    MeasureDecide(kSizes[0], rules);
  for (const std::size_t groups : {1, 3, 64})
    MeasureTokens(groups);
  MeasureMemory();
  RunControlCost();
  return 0;
}

}  // namespace goldcrest::bench
