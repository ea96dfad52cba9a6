#include "goldcrest/settings/http_client.h"

#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace goldcrest::settings {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

// Large enough for a response with all configuration objects of a cluster.
constexpr std::uint64_t kMaxAnswerBytes = std::uint64_t{64} << 20U;

std::string ToLowerCase(std::string_view text) {
  std::string lower(text);
  for (char& letter : lower)
    letter = letter >= 'A' && letter <= 'Z'
                 ? static_cast<char>(letter - 'A' + 'a')
                 : letter;
  return lower;
}

}  // namespace

// Runs asynchronous operations one at a time, because the blocking operations
// of Beast have no timeout.
class HttpClient::Connection {
 public:
  bool Open(const std::string& host,
            std::uint16_t port,
            std::chrono::milliseconds timeout) {
    error_code error;
    asio::ip::tcp::resolver resolver(context_);
    const auto addresses = resolver.resolve(host, std::to_string(port), error);
    if (error)
      return false;
    stream_.expires_after(timeout);
    stream_.async_connect(
        addresses, [&error](error_code result, const asio::ip::tcp::endpoint&) {
          error = result;
        });
    Run();
    if (error)
      return false;
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), error);
    return true;
  }

  std::optional<HttpAnswer> Call(
      const http::request<http::string_body>& request,
      std::chrono::milliseconds timeout) {
    error_code error;
    const auto on_result = [&error](error_code result, std::size_t) {
      error = result;
    };
    stream_.expires_after(timeout);
    http::async_write(stream_, request, on_result);
    Run();
    if (error)
      return std::nullopt;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxAnswerBytes);
    http::async_read(stream_, buffer_, parser, on_result);
    Run();
    if (error)
      return std::nullopt;
    keep_alive_ = parser.get().keep_alive();
    HttpAnswer answer{static_cast<int>(parser.get().result_int()),
                      std::move(parser.get().body()),
                      {}};
    for (const auto& field : parser.get())
      answer.headers[ToLowerCase(field.name_string())] =
          std::string(field.value());
    return answer;
  }

  bool keep_alive() const { return keep_alive_; }

 private:
  void Run() {
    context_.restart();
    context_.run();
  }

  asio::io_context context_;
  beast::tcp_stream stream_{context_};
  beast::flat_buffer buffer_;
  bool keep_alive_ = true;
};

HttpClient::HttpClient(std::string host, std::uint16_t port)
    : host_(std::move(host)), port_(port) {}

HttpClient::~HttpClient() = default;

std::optional<HttpAnswer> HttpClient::Call(const HttpCall& call,
                                           std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  last_call_sent_ = false;
  if (!connection_) {
    connection_ = std::make_unique<Connection>();
    if (!connection_->Open(host_, port_, timeout)) {
      Close();
      return std::nullopt;
    }
  }
  http::request<http::string_body> request(http::string_to_verb(call.method),
                                           call.target, 11);
  request.set(http::field::host, host_ + ":" + std::to_string(port_));
  if (!call.body.empty())
    request.set(http::field::content_type, "application/json");
  for (const auto& [name, value] : call.headers)
    request.set(name, value);
  request.body() = call.body;
  request.prepare_payload();
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - std::chrono::steady_clock::now());
  last_call_sent_ = true;
  auto answer = connection_->Call(request, left);
  if (!answer || !connection_->keep_alive())
    Close();
  return answer;
}

void HttpClient::Close() {
  connection_.reset();
}

}  // namespace goldcrest::settings
