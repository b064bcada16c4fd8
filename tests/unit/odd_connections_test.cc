// Headers and addresses that are odd: a call fails or ignores them, and the
// process goes on.

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>
#include <future>
#include <string>
#include <thread>

#include "src/daemon/http_server.h"
#include "src/net/http_connection.h"
#include "src/relay/relay_client.h"

namespace marjoramplank {
namespace {

// Answers one request with fixed bytes, whatever they are, and closes.
HttpResult AnswerRaw(const std::string& bytes) {
  Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
  std::thread server([&] {
    Poco::Net::StreamSocket peer = socket.acceptConnection();
    char buf[4096];
    peer.receiveBytes(buf, sizeof buf);
    try {
      peer.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    } catch (const Poco::Exception&) {
      // The client has closed the connection.
    }
  });
  HttpConnection connection(socket.address().toString());
  HttpResult out =
      connection.Send({.method = "GET", .target = "/", .limit = 1s});
  server.join();
  return out;
}

TEST_CASE("odd headers of an answer", "[http_connection][odd]") {
  SECTION("a length that is not the body's is no answer") {
    for (const char* length :
         {"99999999999999999999", "9223372036854775807", "7", "-7"}) {
      INFO(length);
      CHECK(AnswerRaw("HTTP/1.1 200 OK\r\nContent-Length: " +
                      std::string(length) + "\r\n\r\n{}")
                .kind == HttpResult::Kind::kNoAnswer);
    }
  }
  SECTION("others end no process") {
    for (const std::string bytes :
         {"", "x", "\r\n\r\n", "HTTP/1.1 OK\r\n\r\n",
          "HTTP/1.1 99999999999 OK\r\n\r\n", "HTTP/1.1 -1 OK\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n{}",
          "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=99999999999999\r\n\r\n{}",
          "HTTP/1.1 200 OK\r\nRetry-After: 1e99\r\n\r\n{}"}) {
      INFO(bytes);
      CHECK(AnswerRaw(bytes).kind != HttpResult::Kind::kRefused);
    }
    const std::string head =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const char* chunk : {"-5\r\n{}", "ffffffffffffffffff\r\n{}", "x"}) {
      INFO(chunk);
      CHECK(AnswerRaw(head + chunk).kind != HttpResult::Kind::kRefused);
    }
    CHECK(AnswerRaw("HTTP/1.1 200 OK\r\n" + std::string(1 << 20, 'h')).kind ==
          HttpResult::Kind::kNoAnswer);
  }
}

TEST_CASE("odd addresses", "[http_connection][relay][odd]") {
  for (const char* address :
       {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1",
        "127.0.0.1:99999999999999999999", "127.0.0.1:x", "[::1", "\xff:1"}) {
    INFO(address);
    SECTION(std::string("a call to ") + address) {
      HttpConnection connection(address);
      CHECK(connection.Send({.method = "GET", .target = "/", .limit = 1s})
                .was_not_sent());
    }
    SECTION(std::string("the relay of an entry at ") + address) {
      // A client is bound to its thread.
      const ReadResult read =
          std::async(std::launch::async, [&] {
            RelayClient client(address);
            return client.Read({.topic = "t"}, 0, Duration(0), 1s);
          }).get();
      CHECK(read.kind == ReadResult::Kind::kFailed);
    }
  }
}

// Guards against: a request is refused as overdue, because the time that its
// client waits overflows.
TEST_CASE("odd headers of a request", "[http_server][odd]") {
  HttpServer server(
      {.address = "127.0.0.1:0",
       .threads = 2,
       .client_timeout_header = "Timeout-Ms"},
      [](const HttpRequest& request) -> HttpResponse {
        return {.body = std::to_string(request.client_timeout.count())};
      });
  HttpConnection connection(server.address());
  const auto timeout_of = [&](const std::string& value) {
    const HttpResult answer =
        connection.Send({.method = "GET",
                         .target = "/",
                         .headers = {{"Timeout-Ms", value}},
                         .limit = 5s});
    return answer.kind == HttpResult::Kind::kAnswered
               ? Duration(std::stoll(answer.body))
               : Duration(-1);
  };
  CHECK(timeout_of("1500") == 1500ms);
  for (const char* value :
       {"", "x", "-1", "-9223372036854775808", "1e9", "99999999999999999999"}) {
    INFO(value);
    CHECK(timeout_of(value) == 0ms);
  }
  const Duration longest = timeout_of("9223372036854775807");
  CHECK(longest > 1h);
  CHECK(Time::max() - longest > 100'000h);
}

}  // namespace
}  // namespace marjoramplank
