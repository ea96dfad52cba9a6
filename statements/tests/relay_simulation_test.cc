// Random runs of an entry and its relay, which restart one after the other
// while messages between them arrive late, twice or at a later process.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "proxy_fixture.h"

namespace goldcrest::statements {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(5);
constexpr SessionId kCallers = 12;
constexpr const char* kEntry = "entry:1";
constexpr const char* kRelay = "relay:1";

// A process of an entry, with its callers and endpoints.
struct Node {
  explicit Node(std::int64_t process)
      : fixture(std::make_unique<ProxyFixture>(Duration::max(),
                                               Duration::max(),
                                               std::nullopt,
                                               0,
                                               process)),
        process(process) {
    fixture->proxy->OnEntryCount(100);
  }

  std::unique_ptr<ProxyFixture> fixture;
  std::int64_t process;
  std::size_t sent_messages = 0;  // taken from the fixture
};

class RelaySimulation {
 public:
  explicit RelaySimulation(std::uint32_t seed) : random_(seed) {
    StartEntry();
    StartRelay();
  }

  void Run(Duration duration) {
    for (const Time end = now_ + duration; now_ < end;) {
      Step();
      StepFaults();
      for (SessionId id = 1; id <= kCallers; ++id)
        StepCaller(id);
    }
  }

  //! No caller does anything more, and no process restarts.
  void Rest(Duration duration) {
    for (const Time end = now_ + duration; now_ < end;)
      Step();
  }

  std::size_t OpenRemoteSessions() const {
    return relay_->fixture->proxy->SessionCount();
  }

  int foreign_statements = 0;  // ran in another caller's transaction
  int wrong_answers = 0;       // to another statement
  int repeated_writes = 0;
  int false_promises = 0;
  int answered = 0;
  int relayed = 0;

 private:
  struct Caller {
    std::string operation;  // names the transaction or single statement
    int operations = 0;
    int statements = 0;
    bool in_transaction = false;
    bool waits = false;
    std::string id;  // of the last statement
    StatementKind kind = StatementKind::kRead;
    std::size_t answers = 0;
    bool open = false;
  };
  struct Connection {
    std::string operation;  // whose transaction is open
    std::size_t checked_commands = 0;
  };

  int Draw(int bound) { return static_cast<int>(random_() % bound); }
  Duration DrawDelay(Duration longest) {
    return Duration(random_() % longest.count());
  }

  void At(Time time, std::function<void()> event) {
    events_.emplace(time, std::move(event));
  }

  void StartEntry() {
    entry_ = std::make_unique<Node>(++processes_);
    entry_->fixture->now = now_;
    messages::RelayInstance relay;
    relay.instance = kRelay;
    relay.zone = "z1";
    relay.available = true;
    entry_->fixture->proxy->OnRelay(relay);
    entry_->fixture->proxy->OnRelayLink(now_, kRelay, true);
    callers_.clear();
    entry_connections_.clear();
  }

  void StartRelay() {
    relay_ = std::make_unique<Node>(++processes_);
    relay_->fixture->now = now_;
    relay_connections_.clear();
  }

  // What one side has noticed of the end of the other one.
  void ResetLink(Node& node, const std::string& peer) {
    node.fixture->proxy->OnRelayLink(now_, peer, false);
    node.fixture->proxy->OnRelayLink(now_, peer, true);
  }

  void StepFaults() {
    switch (Draw(150)) {
      case 0:
        StartEntry();
        // The relay notices it late, or by the messages of the new process.
        if (Draw(2) == 0)
          At(now_ + DrawDelay(milliseconds(800)),
             [this] { ResetLink(*relay_, kEntry); });
        break;
      case 1: {
        StartRelay();
        const std::int64_t process = entry_->process;
        At(now_ + DrawDelay(milliseconds(300)), [this, process] {
          if (entry_->process == process)
            ResetLink(*entry_, kRelay);
        });
        break;
      }
    }
  }

  void Step() {
    now_ += kStep;
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
      TakeMessages();
    }
    for (Node* node : {entry_.get(), relay_.get()}) {
      node->fixture->now = now_;
      node->fixture->proxy->Tick(now_);
      TakeMessages();
    }
    StepEndpoints(*entry_, entry_connections_);
    StepEndpoints(*relay_, relay_connections_);
    TakeMessages();
  }

  // Messages of a process arrive in their order. Those of one that has ended
  // may arrive between those of the next one. One that arrives a second time
  // does so at the same process.
  Time ArrivalOf(std::int64_t from_process) {
    Time& last = last_arrival_[from_process];
    last = std::max(last, now_ + DrawDelay(milliseconds(30)));
    return last;
  }

  void Deliver(std::int64_t from_process,
               const std::function<std::int64_t()>& receiver,
               const std::function<void()>& deliver) {
    At(ArrivalOf(from_process), [this, receiver, deliver] {
      deliver();
      if (Draw(10) != 0)
        return;
      At(now_ + DrawDelay(milliseconds(300)),
         [receiver, deliver, process = receiver()] {
           if (receiver() == process)
             deliver();
         });
    });
  }

  void TakeMessages() {
    auto& requests = entry_->fixture->relay_requests;
    while (entry_->sent_messages < requests.size()) {
      const messages::RelayRequest request =
          requests[entry_->sent_messages++].second;
      relayed += request.__isset.session ? 1 : 0;
      Deliver(
          entry_->process, [this] { return relay_->process; },
          [this, request] {
            relay_->fixture->proxy->OnRelayRequest(now_, kEntry, request);
          });
    }
    auto& answers = relay_->fixture->relay_answers;
    while (relay_->sent_messages < answers.size()) {
      const messages::RelayAnswer answer =
          answers[relay_->sent_messages++].second;
      Deliver(
          relay_->process, [this] { return entry_->process; },
          [this, answer] {
            entry_->fixture->proxy->OnRelayAnswer(now_, kRelay, answer);
          });
    }
  }

  void StepEndpoints(Node& node, std::map<ConnectionId, Connection>& known) {
    ProxyFixture& fixture = *node.fixture;
    while (!fixture.opening_connections.empty())
      fixture.AcceptConnection();
    std::vector<ConnectionId> ids;
    for (const auto& [id, commands] : fixture.sent)
      ids.push_back(id);
    for (const ConnectionId id : ids) {
      CheckCommands(fixture.SentCommands(id), known[id]);
      if (fixture.HasOutstanding(id) && Draw(3) == 0 &&
          std::ranges::count(fixture.closed, id) == 0)
        fixture.Reply(id, LogPosition{1, ++position_});
    }
  }

  void CheckCommands(const std::vector<EndpointCommand>& commands,
                     Connection& connection) {
    for (; connection.checked_commands < commands.size();
         ++connection.checked_commands) {
      const EndpointCommand& command = commands[connection.checked_commands];
      switch (command.kind) {
        case EndpointCommand::Kind::kBegin:
        case EndpointCommand::Kind::kBeginReadOnly:
          connection.operation = "begun";
          continue;
        case EndpointCommand::Kind::kRollback:
          connection.operation.clear();
          continue;
        case EndpointCommand::Kind::kCallerStatement:
          break;
        default:
          continue;
      }
      const std::string operation = command.id.substr(0, command.id.find('/'));
      const bool writes = command.text != "READ a";
      if (writes && !run_writes_.insert(command.id).second)
        ++repeated_writes;
      if (connection.operation.empty())
        continue;
      if (connection.operation == "begun")
        connection.operation = operation;
      if (connection.operation != operation)
        ++foreign_statements;
      if (command.text == "COMMIT")
        connection.operation.clear();
    }
  }

  void StepCaller(SessionId id) {
    Caller& caller = callers_[id];
    ProxyFixture& fixture = *entry_->fixture;
    if (!caller.open) {
      fixture.OpenSession(id, "strict");
      caller.open = true;
      caller.answers = fixture.AnswerCount(id);
    }
    if (caller.waits) {
      if (fixture.AnswerCount(id) == caller.answers)
        return;
      caller.waits = false;
      caller.answers = fixture.AnswerCount(id);
      CheckAnswer(caller, fixture.LastAnswer(id));
    }
    if (Draw(20) != 0)
      return;
    if (caller.in_transaction && Draw(15) == 0) {
      fixture.proxy->OnSessionClosed(now_, id);
      fixture.answers.erase(id);
      caller = Caller{.operations = caller.operations};
      return;
    }
    SendNext(id, caller);
  }

  void SendNext(SessionId id, Caller& caller) {
    const auto statement = [&](StatementKind kind, const std::string& text) {
      Statement sent;
      sent.kind = kind;
      sent.id = caller.operation + "/" + std::to_string(++caller.statements);
      sent.text = text;
      sent.writes = kind == StatementKind::kWrite;
      caller.id = sent.id;
      caller.kind = kind;
      caller.waits = true;
      entry_->fixture->proxy->OnStatement(now_, id, sent);
    };
    if (!caller.in_transaction) {
      caller.operation = std::to_string(entry_->process) + "." +
                         std::to_string(id) + "." +
                         std::to_string(++caller.operations);
      caller.statements = 0;
      if (Draw(3) == 0)
        return statement(StatementKind::kWrite, "WRITE a 1");
      caller.in_transaction = true;
      return statement(StatementKind::kBegin, "BEGIN");
    }
    if (Draw(3) > 0)
      return Draw(2) == 0 ? statement(StatementKind::kWrite, "WRITE a 1")
                          : statement(StatementKind::kRead, "READ a");
    Draw(5) == 0 ? statement(StatementKind::kRollback, "ROLLBACK")
                 : statement(StatementKind::kCommit, "COMMIT");
  }

  void CheckAnswer(Caller& caller, const Answer& answer) {
    ++answered;
    caller.in_transaction = answer.state != TransactionState::kIdle;
    const bool runs_at_endpoint = caller.kind != StatementKind::kBegin &&
                                  caller.kind != StatementKind::kRollback;
    if (answer.outcome == Outcome::kDone && runs_at_endpoint &&
        answer.signature != "signature of " + caller.id &&
        answer.signature != "-" && !answer.signature.empty())
      ++wrong_answers;
    const bool commits =
        caller.kind == StatementKind::kCommit ||
        (caller.kind == StatementKind::kWrite && caller.id.ends_with("/1"));
    if (commits &&
        (answer.outcome == Outcome::kAborted ||
         answer.outcome == Outcome::kBusy) &&
        run_writes_.contains(caller.id))
      ++false_promises;
  }

  std::mt19937 random_;
  Time now_ = TimeFromMicros(100'000'000);
  std::int64_t processes_ = 0;
  std::int64_t position_ = 0;
  std::unique_ptr<Node> entry_;
  std::unique_ptr<Node> relay_;
  std::map<SessionId, Caller> callers_;
  std::map<ConnectionId, Connection> entry_connections_;
  std::map<ConnectionId, Connection> relay_connections_;
  std::set<std::string> run_writes_;
  std::map<std::int64_t, Time> last_arrival_;  // by the sender's process
  std::multimap<Time, std::function<void()>> events_;
};

}  // namespace

// Guards against statements in another caller's transaction, answers to another
// caller, writes that run twice and false promises, when an entry or its relay
// restarts and messages of the earlier process are still under way.
TEST_CASE("Restarts of an entry and its relay mix up no operations",
          "[statements][guarantee]") {
  int answered = 0;
  int relayed = 0;
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    RelaySimulation simulation(seed);
    simulation.Run(seconds(10));
    CHECK(simulation.foreign_statements == 0);
    CHECK(simulation.wrong_answers == 0);
    CHECK(simulation.repeated_writes == 0);
    CHECK(simulation.false_promises == 0);
    // The idle timeout of transactions is the bound for what is left open.
    simulation.Rest(seconds(4));
    CHECK(simulation.OpenRemoteSessions() == 0);
    answered += simulation.answered;
    relayed += simulation.relayed;
  }
  CHECK(answered > 10'000);
  CHECK(relayed > 3'000);
}

}  // namespace goldcrest::statements
