#include "programs/goldcrestd/endpoint_prober.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace goldcrest {
namespace {

using adapters::LineSocket;
using boost::asio::ip::tcp;
using fleet::ProbePurpose;
using fleet::ProbeResult;
using std::chrono::milliseconds;

constexpr std::size_t kMaxLineBytes = 1'000;

// An endpoint on loopback whose answers the test gives, and a prober.
struct ProbedEndpoint {
  ProbedEndpoint() {
    record.endpoint = "p";
    record.group = "g";
    record.address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    Accept();
  }

  void Accept() {
    acceptor.async_accept([this](boost::system::error_code error,
                                 tcp::socket socket) {
      if (error)
        return;
      auto line_socket = std::make_shared<LineSocket>(context, kMaxLineBytes);
      connections.push_back(line_socket);
      line_socket->Accept(
          std::move(socket),
          {[this, raw = line_socket.get()](std::string_view line) {
             OnLine(*raw, std::string(line));
           },
           [](const std::string&) {}});
      Accept();
    });
  }

  void OnLine(LineSocket& connection, const std::string& line) {
    lines.push_back(line);
    if (line.starts_with("STARTUP"))
      return connection.Write("READY I 1.5\r\n");
    const auto it = answers.find(line);
    if (it != answers.end())
      connection.Write(it->second);
  }

  int CountOf(const std::string& line) const {
    return static_cast<int>(std::ranges::count(lines, line));
  }

  void RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!done() && std::chrono::steady_clock::now() < end)
      context.run_one_for(milliseconds(10));
    CHECK(done());
  }

  // Probes once and returns the result.
  ProbeResult Probe(ProbePurpose purpose) {
    const std::size_t before = results.size();
    prober.Probe(record, purpose);
    RunUntil([&] { return results.size() > before; });
    return results.size() > before ? results[before] : ProbeResult{};
  }

  boost::asio::io_context context{1};
  tcp::acceptor acceptor{
      context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
  std::vector<std::shared_ptr<LineSocket>> connections;
  std::vector<std::string> lines;  // received, on all connections
  std::map<std::string, std::string> answers;
  messages::EndpointRecord record;
  std::vector<ProbeResult> results;
  adapters::Scheduler scheduler{context};
  EndpointProber prober{
      context, scheduler,
      [this](const std::string&,
             const std::string&,
             const ProbeResult& result) { results.push_back(result); }};
};

constexpr const char* kBegin = "QUERY - BEGIN";
constexpr const char* kStatus = "QUERY - STATUS";
constexpr const char* kRollback = "QUERY - ROLLBACK";

}  // namespace

// Guards against a primary that is well and counts as not leading, because its
// connection is still in the transaction of the probe before.
TEST_CASE("A probe follows the confirmed rollback of the one before",
          "[programs][guarantee]") {
  ProbedEndpoint endpoint;
  endpoint.answers[kBegin] = "COMPLETE -\r\nREADY T 1.5\r\n";

  SECTION("The answer to the rollback takes its time") {
    CHECK(endpoint.Probe(ProbePurpose::kLeadership).kind ==
          ProbeResult::Kind::kLeads);
    endpoint.prober.Probe(endpoint.record, ProbePurpose::kLeadership);
    endpoint.RunUntil([&] { return endpoint.CountOf(kRollback) == 1; });
    endpoint.context.run_for(milliseconds(50));
    CHECK(endpoint.CountOf(kBegin) == 1);
    endpoint.connections[0]->Write("COMPLETE -\r\nREADY I 1.5\r\n");
    endpoint.RunUntil([&] { return endpoint.results.size() == 2; });
    CHECK(endpoint.results.back().kind == ProbeResult::Kind::kLeads);
    CHECK(endpoint.connections.size() == 1);
  }
  SECTION("A refused rollback costs the connection, not the probe") {
    endpoint.answers[kRollback] = "ERROR BUSY p\r\nREADY T 1.5\r\n";
    for (int i = 0; i < 3; ++i) {
      CHECK(endpoint.Probe(ProbePurpose::kLeadership).kind ==
            ProbeResult::Kind::kLeads);
    }
    CHECK(endpoint.connections.size() == 3);
  }
  SECTION("A probe that waits for a refused rollback is sent") {
    endpoint.answers[kRollback] = "ERROR BUSY p\r\nREADY T 1.5\r\n";
    endpoint.Probe(ProbePurpose::kLeadership);
    endpoint.answers[kStatus] =
        "DATAROW primary 1 1.5 0 0 0 1\r\nCOMPLETE -\r\nREADY I 1.5\r\n";
    endpoint.prober.Probe(endpoint.record, ProbePurpose::kPosition);
    endpoint.RunUntil([&] { return endpoint.results.size() == 2; });
    CHECK(endpoint.results.back().purpose == ProbePurpose::kPosition);
    CHECK(endpoint.results.back().kind == ProbeResult::Kind::kFollows);
  }
  SECTION("A rollback without an answer is a failed probe") {
    endpoint.Probe(ProbePurpose::kLeadership);
    endpoint.RunUntil([&] { return endpoint.results.size() == 2; });
    CHECK(endpoint.results.back().kind == ProbeResult::Kind::kUnreachable);
  }
}

// Guards against bounded reads that all fall on the primary, because it tells
// its position only with statements that read or change its log.
TEST_CASE("A primary that tells no position with BEGIN is asked for its status",
          "[programs]") {
  ProbedEndpoint endpoint;
  endpoint.answers[kBegin] = "COMPLETE -\r\nREADY T -\r\n";
  endpoint.answers[kRollback] = "COMPLETE -\r\nREADY I -\r\n";

  SECTION("Its status has the position") {
    endpoint.answers[kStatus] =
        "DATAROW primary 3 3.1209 0 0 0 1\r\nCOMPLETE -\r\nREADY T -\r\n";
    endpoint.prober.Probe(endpoint.record, ProbePurpose::kLeadership);
    endpoint.RunUntil([&] { return endpoint.CountOf(kRollback) == 1; });
    REQUIRE(endpoint.results.size() == 2);
    CHECK(endpoint.results[0].kind == ProbeResult::Kind::kLeads);
    CHECK_FALSE(endpoint.results[0].position);
    CHECK(endpoint.results[1].kind == ProbeResult::Kind::kLeads);
    CHECK(endpoint.results[1].position == LogPosition{3, 1209});
    CHECK(endpoint.results[1].asked_at == endpoint.results[0].asked_at);
  }
  SECTION("A refused status is no failure") {
    endpoint.answers[kStatus] = "ERROR BUSY p\r\nREADY T -\r\n";
    endpoint.prober.Probe(endpoint.record, ProbePurpose::kLeadership);
    endpoint.RunUntil([&] { return endpoint.CountOf(kRollback) == 1; });
    CHECK(endpoint.results.size() == 1);
    CHECK(endpoint.results[0].kind == ProbeResult::Kind::kLeads);
  }
  SECTION("A position with BEGIN spares the question") {
    endpoint.answers[kBegin] = "COMPLETE -\r\nREADY T 3.1209\r\n";
    endpoint.Probe(ProbePurpose::kLeadership);
    endpoint.RunUntil([&] { return endpoint.CountOf(kRollback) == 1; });
    CHECK(endpoint.CountOf(kStatus) == 0);
  }
}

}  // namespace goldcrest
