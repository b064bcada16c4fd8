#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "marjoramplank/time.h"

namespace Poco::Net {
class HTTPClientSession;
}

namespace marjoramplank {

struct HttpResult {
  enum class Kind {
    kAnswered,
    kNotSent,   // Not sent: the peer cannot have acted on the request.
    kNoAnswer,  // May have been sent; no complete response was received.
  };
  Kind kind = Kind::kNoAnswer;
  int status = 0;      // HTTP status, if answered.
  std::string body;    // Response body, if answered.
  std::string reason;  // Error, if not answered.
};

// A keep-alive HTTP connection to one address, which reconnects when needed.
// Not thread-safe. Connecting, sending and each wait for data are bounded by
// the call's limit, also if the peer stops responding.
class HttpConnection {
 public:
  explicit HttpConnection(const std::string& address);  // "IP:port".
  ~HttpConnection();

  struct Call {
    std::string method;
    std::string target;  // Path and query.
    std::string body;
    std::string content_type = "application/json";
    std::map<std::string, std::string> headers;
    Duration limit{1000};  // Timeout.
  };
  // Sends a request and waits for the response. Does not throw.
  HttpResult Send(const Call& call);

  const std::string& address() const { return address_; }

 private:
  Poco::Net::HTTPClientSession& PrepareSession(Duration limit);

  const std::string address_;
  std::unique_ptr<Poco::Net::HTTPClientSession> session_;
};

}  // namespace marjoramplank
