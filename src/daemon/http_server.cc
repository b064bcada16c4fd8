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
#include <thread>
#include <utility>

namespace marjoramplank {

namespace {

constexpr int kPayloadTooLarge = 413;
constexpr int kBadRequest = 400;

// Reads at most `limit` bytes. Returns false if there are more.
bool ReadBody(std::istream& in,
              std::streamsize declared,
              std::size_t limit,
              std::string& out) {
  if (declared > 0 && static_cast<std::size_t>(declared) > limit) {
    return false;  // Not a byte of it is read.
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

void Send(Poco::Net::HTTPServerResponse& out, const HttpResponse& response) {
  out.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response.status));
  out.setContentType(response.content_type);
  if (response.retry_after_s > 0) {
    out.set("Retry-After", std::to_string(response.retry_after_s));
  }
  out.sendBuffer(response.body.data(), response.body.size());
}

// Requests being served, and whether the server is shutting down.
struct Load {
  std::atomic<int> open{0};
  std::atomic<bool> stopping{false};
};

class Adapter final : public Poco::Net::HTTPRequestHandler {
 public:
  Adapter(const HttpServer::Handler& handler,
          const HttpServer::Options& options,
          Load& load)
      : handler_(handler), options_(options), load_(load) {}

  void handleRequest(Poco::Net::HTTPServerRequest& in,
                     Poco::Net::HTTPServerResponse& out) override {
    ++load_.open;
    if (load_.stopping) {
      out.setKeepAlive(
          false);  // The caller's next request goes to another instance.
    }
    try {
      Serve(in, out);
    } catch (const Poco::Exception&) {
      // The caller has gone: there is nobody to answer.
    }
    --load_.open;
  }

 private:
  void Serve(Poco::Net::HTTPServerRequest& in,
             Poco::Net::HTTPServerResponse& out) {
    HttpRequest request{.method = in.getMethod(),
                        .traceparent = in.get("traceparent", ""),
                        .host = in.get("Host", ""),
                        .authorization = in.get("Authorization", ""),
                        .patience = Patience(in)};
    try {
      const Poco::URI uri(in.getURI());
      request.path = uri.getPath();
      for (const auto& [key, value] : uri.getQueryParameters()) {
        request.query[key] = value;
      }
    } catch (const Poco::SyntaxException&) {
      Send(
          out,
          {.status = kBadRequest,
           .body =
               R"({"error":{"code":"invalid_argument","message":"malformed URI"}})"});
      return;
    }
    if (!ReadBody(in.stream(), in.getContentLength(), options_.max_body_bytes,
                  request.body)) {
      out.setKeepAlive(false);
      Send(
          out,
          {.status = kPayloadTooLarge,
           .body =
               R"({"error":{"code":"invalid_argument","step":"http.read","message":"the body has more than )" +
               std::to_string(options_.max_body_bytes) +
               R"( bytes; nothing was stored"},"state":"not_run"})"});
      return;
    }
    Send(out, handler_(request));
  }

  Duration Patience(const Poco::Net::HTTPServerRequest& in) const {
    std::int64_t ms = 0;
    if (options_.patience_header.empty() ||
        !Poco::NumberParser::tryParse64(in.get(options_.patience_header, ""),
                                        ms)) {
      return Duration(0);
    }
    return Duration(std::max<std::int64_t>(0, ms));
  }

  const HttpServer::Handler& handler_;
  const HttpServer::Options& options_;
  Load& load_;
};

class Factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  Factory(const HttpServer::Handler& handler,
          const HttpServer::Options& options,
          Load& load)
      : handler_(handler), options_(options), load_(load) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest&) override {
    return new Adapter(handler_, options_, load_);
  }

 private:
  const HttpServer::Handler& handler_;
  const HttpServer::Options& options_;
  Load& load_;
};

}  // namespace

struct HttpServer::Impl {
  Options options;
  Handler handler;
  Load load;
  Poco::ThreadPool pool;
  Poco::Net::ServerSocket socket;
  std::unique_ptr<Poco::Net::HTTPServer> server;
  bool stopped = false;

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
  params->setMaxQueued(options.queue);
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(Poco::Timespan(options.idle_s, 0));
  params->setMaxKeepAliveRequests(0);
  params->setTimeout(Poco::Timespan(options.idle_s, 0));
  impl_->server = std::make_unique<Poco::Net::HTTPServer>(
      new Factory(impl_->handler, impl_->options, impl_->load), impl_->pool,
      impl_->socket, params);
  impl_->server->start();
}

HttpServer::~HttpServer() {
  Stop();
}

std::string HttpServer::address() const {
  return impl_->socket.address().toString();
}

void HttpServer::Leave() {
  impl_->load.stopping = true;
}

bool HttpServer::AwaitIdle(Duration limit) const {
  constexpr Duration kStep{10};
  constexpr int kQuietSteps = 3;  // Between two requests of one connection.
  int quiet = 0;
  for (Duration waited{0}; waited < limit; waited += kStep) {
    quiet = impl_->load.open > 0 ? 0 : quiet + 1;
    if (quiet >= kQuietSteps) {
      return true;
    }
    std::this_thread::sleep_for(kStep);
  }
  return false;
}

void HttpServer::Stop() {
  if (impl_->stopped) {
    return;
  }
  impl_->stopped = true;
  impl_->load.stopping = true;
  impl_->server->stop();
  // Connections that were accepted may still be waiting for a thread, or be
  // about to send a request.
  constexpr std::chrono::milliseconds kStep{10};
  constexpr int kQuietSteps = 20;
  for (int quiet = 0; quiet < kQuietSteps; ++quiet) {
    std::this_thread::sleep_for(kStep);
    if (impl_->load.open > 0 || impl_->server->queuedConnections() > 0) {
      quiet = 0;
    }
  }
  impl_->server->stopAll(true);
  impl_->pool.joinAll();
}

}  // namespace marjoramplank
