#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "marjoramplank/time.h"

namespace marjoramplank {

// A request as the daemons' handlers see it.
struct HttpRequest {
  std::string method;
  std::string path;  // Without the query.
  std::map<std::string, std::string> query;
  std::string body;
  std::string traceparent;
  std::string host;           // Host header, port included.
  std::string authorization;  // Authorization header.
  Duration patience{0};       // How long the caller waits. 0: it did not say.
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  int retry_after_s = 0;  // Retry-After header, when above 0.
};

// Small HTTP server on Poco::Net: one handler, one thread for each open
// request.
class HttpServer {
 public:
  struct Options {
    std::string address;        // "IP:port"; port 0 picks a free one.
    std::int32_t threads = 16;  // Requests served at once.
    std::int32_t queue = 256;   // Connections that wait beyond that.
    std::size_t max_body_bytes =
        16U << 20;  // Larger bodies are refused with status 413.
    // Header that says how many ms the caller waits. Empty: none.
    std::string patience_header;
    std::int32_t idle_s = 15;  // Seconds until an idle connection is closed.
  };
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  HttpServer(const Options& options, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::string address() const;  // "IP:port" with the port in use.

  // From here on each answer closes its connection, so that callers turn to
  // another instance. Requests are served on.
  void Leave();
  // Waits until no request is open, or the time has passed. Returns true if
  // none is.
  bool AwaitIdle(Duration limit) const;
  // Stops to accept connections and waits for the open requests and for idle
  // connections to end, which may take as long as their idle time.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramplank
