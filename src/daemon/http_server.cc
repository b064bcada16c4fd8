#include "src/daemon/http_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/NumberParser.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <thread>
#include <utility>

namespace marjoramplank {

namespace {

constexpr int kInternalError = 500;
constexpr int kPayloadTooLarge = 413;
constexpr int kBadRequest = 400;
// A longer one counts as this: a time plus a timeout must not overflow.
constexpr Duration kMaxClientTimeout = 24h;

// Reads the body. Returns false if it is larger than `limit` bytes.
bool ReadBody(std::istream& in,
              std::streamsize content_length,
              std::size_t limit,
              std::string& out) {
  if (content_length > 0 && static_cast<std::size_t>(content_length) > limit) {
    return false;  // Rejects the body without reading it.
  }
  char buf[16 * 1024];
  while (in.read(buf, sizeof buf) || in.gcount() > 0) {
    if (out.size() + static_cast<std::size_t>(in.gcount()) > limit) {
      return false;
    }
    out.append(buf, static_cast<std::size_t>(in.gcount()));
  }
  return true;
}

void SendResponse(Poco::Net::HTTPServerResponse& out,
                  const HttpResponse& response) {
  out.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response.status));
  out.setContentType(response.content_type);
  if (response.retry_after_s > 0) {
    out.set("Retry-After", std::to_string(response.retry_after_s));
  }
  out.sendBuffer(response.body.data(), response.body.size());
}

// Shared by the server and its request handlers.
struct ServerState {
  std::atomic<int> open_requests{0};     // Requests being served.
  std::atomic<bool> is_draining{false};  // Each response closes its connection.
};

// Counts a request as open while it exists, however its handler ends.
class OpenRequest {
 public:
  explicit OpenRequest(ServerState& state) : state_(state) {
    ++state_.open_requests;
  }
  ~OpenRequest() { --state_.open_requests; }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

 private:
  ServerState& state_;
};

class RequestHandler final : public Poco::Net::HTTPRequestHandler {
 public:
  RequestHandler(const HttpServer::Handler& handler,
                 const HttpServer::Options& options,
                 ServerState& state)
      : handler_(handler), options_(options), state_(state) {}

  void handleRequest(Poco::Net::HTTPServerRequest& in,
                     Poco::Net::HTTPServerResponse& out) override {
    const OpenRequest open_request(state_);
    if (state_.is_draining) {
      // The client's next request goes to another instance.
      out.setKeepAlive(false);
    }
    try {
      ServeRequest(in, out);
    } catch (const Poco::Exception&) {
      // The client has disconnected; no response can be sent.
    }
  }

 private:
  void ServeRequest(Poco::Net::HTTPServerRequest& in,
                    Poco::Net::HTTPServerResponse& out) {
    HttpRequest request{.method = in.getMethod(),
                        .traceparent = in.get("traceparent", ""),
                        .host = in.get("Host", ""),
                        .authorization = in.get("Authorization", ""),
                        .client_timeout = ClientTimeout(in)};
    try {
      const Poco::URI uri(in.getURI());
      request.path = uri.getPath();
      for (const auto& [key, value] : uri.getQueryParameters()) {
        request.query[key] = value;
      }
    } catch (const Poco::SyntaxException&) {
      SendResponse(
          out,
          {.status = kBadRequest,
           .body =
               R"({"error":{"code":"invalid_argument","message":"malformed URI"}})"});
      return;
    }
    if (!ReadBody(in.stream(), in.getContentLength(), options_.max_body_bytes,
                  request.body)) {
      out.setKeepAlive(false);
      SendResponse(
          out,
          {.status = kPayloadTooLarge,
           .body =
               R"({"error":{"code":"invalid_argument","step":"http.read","message":"the body has more than )" +
               std::to_string(options_.max_body_bytes) +
               R"( bytes; nothing was stored"},"state":"not_run"})"});
      return;
    }
    SendResponse(out, CallHandler(request));
  }

  // An unexpected error fails its own request only.
  HttpResponse CallHandler(const HttpRequest& request) const {
    try {
      return handler_(request);
    } catch (const std::exception& e) {
      std::cerr << "http server: " << request.method << " " << request.path
                << " failed: " << e.what() << std::endl;
      return {
          .status = kInternalError,
          .body =
              R"({"error":{"code":"internal","message":"unexpected error; the outcome is not known"}})"};
    }
  }

  Duration ClientTimeout(const Poco::Net::HTTPServerRequest& in) const {
    std::int64_t ms = 0;
    if (options_.client_timeout_header.empty() ||
        !Poco::NumberParser::tryParse64(
            in.get(options_.client_timeout_header, ""), ms)) {
      return Duration(0);
    }
    return std::clamp(Duration(ms), Duration(0), kMaxClientTimeout);
  }

  const HttpServer::Handler& handler_;
  const HttpServer::Options& options_;
  ServerState& state_;
};

class RequestHandlerFactory final
    : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  RequestHandlerFactory(const HttpServer::Handler& handler,
                        const HttpServer::Options& options,
                        ServerState& state)
      : handler_(handler), options_(options), state_(state) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest&) override {
    return new RequestHandler(handler_, options_, state_);
  }

 private:
  const HttpServer::Handler& handler_;
  const HttpServer::Options& options_;
  ServerState& state_;
};

}  // namespace

struct HttpServer::Impl {
  Options options;
  Handler handler;
  ServerState state;
  Poco::ThreadPool pool;
  Poco::Net::ServerSocket socket;
  std::unique_ptr<Poco::Net::HTTPServer> server;
  bool is_stopped = false;

  Impl(const Options& o, Handler h)
      : options(o),
        handler(std::move(h)),
        pool(2, options.threads),
        socket(Poco::Net::SocketAddress(options.address)) {}
};

HttpServer::HttpServer(const Options& options, Handler handler)
    : impl_(std::make_unique<Impl>(options, std::move(handler))) {
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(options.threads);
  params->setMaxQueued(options.max_queued);
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(Poco::Timespan(options.idle_timeout_s, 0));
  params->setMaxKeepAliveRequests(0);
  params->setTimeout(Poco::Timespan(options.idle_timeout_s, 0));
  impl_->server = std::make_unique<Poco::Net::HTTPServer>(
      new RequestHandlerFactory(impl_->handler, impl_->options, impl_->state),
      impl_->pool, impl_->socket, params);
  impl_->server->start();
}

HttpServer::~HttpServer() {
  Stop();
}

std::string HttpServer::address() const {
  return impl_->socket.address().toString();
}

void HttpServer::StartDraining() {
  impl_->state.is_draining = true;
}

bool HttpServer::AwaitIdle(Duration limit) const {
  constexpr Duration kPollInterval{10};
  // Bridges the gap between two requests of one connection.
  constexpr int kRequiredIdlePolls = 3;
  int idle_polls = 0;
  for (Duration waited{0}; waited < limit; waited += kPollInterval) {
    idle_polls = impl_->state.open_requests > 0 ? 0 : idle_polls + 1;
    if (idle_polls >= kRequiredIdlePolls) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

void HttpServer::Stop() {
  if (impl_->is_stopped) {
    return;
  }
  impl_->is_stopped = true;
  impl_->state.is_draining = true;
  impl_->server->stop();
  // Accepted connections may still wait for a thread or be about to send a
  // request.
  constexpr std::chrono::milliseconds kPollInterval{10};
  constexpr int kRequiredIdlePolls = 20;
  for (int idle_polls = 0; idle_polls < kRequiredIdlePolls; ++idle_polls) {
    std::this_thread::sleep_for(kPollInterval);
    if (impl_->state.open_requests > 0 ||
        impl_->server->queuedConnections() > 0) {
      idle_polls = 0;
    }
  }
  impl_->server->stopAll(true);
  impl_->pool.joinAll();
}

}  // namespace marjoramplank
