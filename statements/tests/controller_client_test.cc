#include "goldcrest/statements/controller_client.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/routing/document_codec.h"

namespace goldcrest::statements {
namespace {

using std::chrono::milliseconds;

// An entry's client of controllers "a" and "b". Records what it sends.
class Client {
 public:
  Client() : proxy_({}, MakeProxyHooks()) {
    ControllerClientHooks hooks;
    hooks.send = [this](const std::string& to,
                        const messages::PeerMessage& message) {
      sent.emplace_back(to, message.proxy_report);
    };
    hooks.decode = [](std::string_view text) {
      auto table = std::make_shared<routing::RoutingTable>();
      table->version = std::stoll(std::string(text));
      return table;
    };
    hooks.known_controllers = [](const std::set<std::string>&) {};
    hooks.log_decision = [](std::string_view, const std::string&,
                            const std::string&) {};
    hooks.report_answered = [](Duration) {};
    client = std::make_unique<ControllerClient>(
        now, 1, std::set<std::string>{"a", "b"}, proxy_, hooks);
  }

  void Announce(const std::string& from, std::int64_t version) {
    messages::ProxyUpdate update;
    update.document_version = version;
    client->OnUpdate(now, from, update);
  }

  // Answers the report that was sent at `report_sent`.
  void Answer(const std::string& from,
              std::int64_t version,
              bool leader,
              Time report_sent) {
    messages::ProxyUpdate update;
    update.document_version = version;
    update.leader = leader;
    update.report_sent_micros = ToMicros(report_sent);
    client->OnUpdate(now, from, update);
  }

  void SendDocument(const std::string& from, std::int64_t version) {
    messages::ProxyUpdate update;
    update.document_version = version;
    update.__set_document(routing::CompressDocument(std::to_string(version)));
    client->OnUpdate(now, from, update);
  }

  // Returns which controllers were asked for the document since the last call.
  std::vector<std::string> TakeAsked() {
    std::vector<std::string> asked;
    for (const auto& [to, report] : std::exchange(sent, {})) {
      if (report.wants_document)
        asked.push_back(to);
    }
    return asked;
  }

  StatementProxy& proxy() { return proxy_; }

  Time now = TimeFromMicros(100'000'000);
  std::vector<std::pair<std::string, messages::ProxyReport>> sent;
  std::unique_ptr<ControllerClient> client;

 private:
  static ProxyHooks MakeProxyHooks() {
    ProxyHooks hooks;
    hooks.log_decision = [](const Decision&) {};
    return hooks;
  }

  StatementProxy proxy_;
};

}  // namespace

// Guards against a request to a controller that has restarted and does not know
// the version any more that it announced before.
TEST_CASE(
    "A controller on a new link is asked only for what it announces there",
    "[statements]") {
  Client entry;
  entry.client->OnLink(entry.now, "a", true);
  entry.Announce("a", 7);
  CHECK(entry.TakeAsked() == std::vector<std::string>{"a"});
  entry.client->OnLink(entry.now, "a", false);
  entry.client->OnLink(entry.now, "a", true);
  entry.now += milliseconds(5'000);
  entry.client->Tick(entry.now);
  CHECK(entry.TakeAsked().empty());
  entry.client->OnLink(entry.now, "b", true);
  entry.Announce("b", 7);
  CHECK(entry.TakeAsked() == std::vector<std::string>{"b"});
}

// Guards against a promotion that waits for the entry's next report.
TEST_CASE("An entry confirms held writes at once, and only once",
          "[statements]") {
  Client entry;
  entry.client->OnLink(entry.now, "a", true);
  const std::string group = "g";
  messages::ProxyUpdate update;
  messages::WriteHold hold;
  hold.group = group;
  hold.number = 7;
  hold.active = true;
  update.write_holds = {hold};
  entry.sent.clear();
  entry.client->OnUpdate(entry.now, "a", update);
  const std::map<std::string, std::int64_t> confirmed = {{group, 7}};
  REQUIRE(entry.sent.size() == 1);
  CHECK(entry.sent.back().first == "a");
  CHECK(entry.sent.back().second.held_writes == confirmed);
  entry.client->OnUpdate(entry.now, "a", update);
  CHECK(entry.sent.size() == 1);
}

// Guards against an entry that is ready, or counts its set as current, before
// it has applied the set that the same answer carries.
TEST_CASE("An entry reports and applies the evacuated zones",
          "[statements][guarantee]") {
  Client entry;
  entry.client->OnLink(entry.now, "a", true);
  CHECK(entry.sent.back().second.evacuations_index == 0);
  entry.SendDocument("a", 5);
  entry.now += milliseconds(10);
  messages::ProxyUpdate update;
  update.document_version = 5;
  update.leader = true;
  update.report_sent_micros = ToMicros(entry.now);
  messages::EvacuatedZones set;
  set.index = 7;
  set.zones = {"z1"};
  update.__set_evacuated(set);
  entry.client->OnUpdate(entry.now, "a", update);
  REQUIRE(entry.client->IsReady());
  // It was evacuated before this entry heard of it for the first time.
  CHECK(entry.proxy().evacuations().IsClosed(entry.now, "z1"));
  entry.now += milliseconds(300);
  entry.client->Tick(entry.now);
  CHECK(entry.sent.back().second.evacuations_index == 7);
}

// Guards against an entry that takes callers with whatever configuration the
// first controller offers after a restart of all processes.
TEST_CASE("An entry is ready once the leader has confirmed its configuration",
          "[statements][guarantee]") {
  Client entry;
  entry.now += milliseconds(10);
  entry.client->OnLink(entry.now, "a", true);
  entry.client->OnLink(entry.now, "b", true);
  entry.SendDocument("a", 5);
  entry.Answer("a", 5, false, entry.now);
  CHECK_FALSE(entry.client->IsReady());

  SECTION("The leader has a newer version") {
    entry.Answer("b", 7, true, entry.now);
    CHECK_FALSE(entry.client->IsReady());
    entry.SendDocument("a", 7);
    CHECK(entry.client->IsReady());
  }
  SECTION("The leader has the same version") {
    entry.Answer("b", 5, true, entry.now);
    CHECK(entry.client->IsReady());
  }
  SECTION("The answer belongs to a report of a former process") {
    entry.Answer("b", 5, true, entry.now - milliseconds(20));
    CHECK_FALSE(entry.client->IsReady());
  }
  SECTION(
      "The answer belongs to a report from before the instance restarted, "
      "when its clock was ahead") {
    entry.Answer("b", 5, true, entry.now + milliseconds(60'000));
    CHECK_FALSE(entry.client->IsReady());
  }
}

// Guards against a leader of a large fleet that answers late and gets the more
// reports the later it answers: entries whose callers wait for tokens report
// every 25 ms.
TEST_CASE("An entry sends the leader one report at a time", "[statements]") {
  Client entry;
  entry.now += milliseconds(10);
  entry.client->OnLink(entry.now, "a", true);
  entry.Answer("a", 0, true, entry.now);
  entry.proxy().holder().SetLimit("customer", quota::Limit{});
  entry.proxy().holder().StartWaiting(entry.now, "customer");
  const auto reports_in = [&entry](Duration duration) {
    entry.sent.clear();
    for (const Time end = entry.now + duration; entry.now < end;) {
      entry.now += milliseconds(10);
      entry.client->Tick(entry.now);
    }
    return entry.sent.size();
  };
  CHECK(reports_in(milliseconds(100)) == 1);
  const Time sent_at = TimeFromMicros(entry.sent.back().second.sent_micros);

  SECTION("The next one follows the answer") {
    entry.Answer("a", 0, true, sent_at);
    CHECK(reports_in(milliseconds(100)) == 1);
  }
  SECTION("An answer to an earlier report is not waited for") {
    entry.Answer("a", 0, true, sent_at - milliseconds(1));
    CHECK(reports_in(milliseconds(100)) == 0);
  }
  SECTION("A lost answer is waited for no longer than 250 ms") {
    CHECK(reports_in(milliseconds(300)) == 1);
  }
  SECTION("A new leader gets a report at once") {
    entry.client->OnLink(entry.now, "b", true);
    entry.Answer("b", 0, true, entry.now);
    CHECK(reports_in(milliseconds(30)) == 1);
    CHECK(entry.sent.back().first == "b");
  }
}

// Guards against an entry that gets no tokens for two seconds whenever the
// lease of a busy leader lapses for a moment.
TEST_CASE("An entry goes on reporting to a leader whose lease has lapsed",
          "[statements]") {
  Client entry;
  entry.now += milliseconds(10);
  entry.client->OnLink(entry.now, "a", true);
  entry.client->OnLink(entry.now, "b", true);
  entry.Answer("a", 0, true, entry.now);
  entry.now += milliseconds(300);
  entry.client->Tick(entry.now);
  entry.sent.clear();
  entry.Answer("a", 0, false, entry.now);
  entry.now += milliseconds(300);
  entry.client->Tick(entry.now);
  REQUIRE(entry.sent.size() == 1);
  CHECK(entry.sent.back().first == "a");
  CHECK_FALSE(entry.sent.back().second.shares.empty());

  SECTION("It leads again: what it knows need not be repeated") {
    entry.Answer("a", 0, true, entry.now);
    entry.now += milliseconds(300);
    entry.client->Tick(entry.now);
    REQUIRE(entry.sent.size() == 2);
    CHECK(entry.sent.back().second.shares.front().partial);
  }
  SECTION("Another controller leads") {
    entry.Answer("b", 0, true, entry.now);
    entry.now += milliseconds(300);
    entry.client->Tick(entry.now);
    CHECK(entry.sent.back().first == "b");
    CHECK_FALSE(entry.sent.back().second.shares.front().partial);
  }
  SECTION("It is lost") {
    entry.sent.clear();
    entry.client->OnLink(entry.now, "a", false);
    entry.now += milliseconds(300);
    entry.client->Tick(entry.now);
    CHECK(entry.sent.empty());
  }
}

}  // namespace goldcrest::statements
