#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "marjoramplank/time.h"

namespace marjoramplank {

// An HTTP request as passed to a handler.
struct HttpRequest {
  std::string method;
  std::string path;  // Without the query.
  std::map<std::string, std::string> query;
  std::string body;
  std::string traceparent;
  std::string host;            // Host header, port included.
  std::string authorization;   // Authorization header.
  Duration client_timeout{0};  // The client's timeout. 0: not stated.
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  int retry_after_s = 0;  // Retry-After header; sent if above 0.
};

// A small HTTP server on Poco::Net. It calls one handler for all requests, on a
// thread for each open request.
class HttpServer {
 public:
  struct Options {
    std::string address;        // "IP:port"; port 0 picks a free one.
    std::int32_t threads = 16;  // Requests served at once.
    // Connections that wait for a thread; more are closed.
    std::int32_t max_queued = 256;
    std::size_t max_body_bytes = 16U << 20;  // Above: status 413.
    // Header with the client's timeout in ms. Empty: none.
    std::string client_timeout_header;
    std::int32_t idle_timeout_s = 15;  // Idle connections are closed after it.
  };
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  HttpServer(const Options& options, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::string address() const;  // "IP:port" with the port in use.

  // Starts draining: requests are still served, but each response closes its
  // connection, so that the client's next request goes to another instance.
  void StartDraining();
  // Waits until no request is open. Returns false if the limit expired first.
  bool AwaitIdle(Duration limit) const;
  // Stops accepting connections and waits until the open requests are served
  // and the idle connections are closed, which may take their idle timeout.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramplank
