#include "src/daemon/http_server.h"

#include <catch2/catch.hpp>
#include <stdexcept>

#include "src/net/http_connection.h"

namespace marjoramplank {
namespace {

TEST_CASE("http server: a handler that throws", "[http_server]") {
  HttpServer server({.address = "127.0.0.1:0", .threads = 2},
                    [](const HttpRequest& request) -> HttpResponse {
                      if (request.path == "/throws") {
                        throw std::out_of_range("unexpected");
                      }
                      return {.body = "fine"};
                    });
  HttpConnection connection(server.address());
  const HttpResult failed =
      connection.Send({.method = "GET", .target = "/throws", .limit = 5s});

  SECTION("answers that the request failed inside the server") {
    CHECK(failed.status == 500);
  }
  SECTION("serves the next request") {
    CHECK(connection.Send({.method = "GET", .target = "/", .limit = 5s}).body ==
          "fine");
  }
  SECTION("does not count as an open request any more") {
    CHECK(server.AwaitIdle(1s));
  }
}

}  // namespace
}  // namespace marjoramplank
