#pragma once

#include <chrono>
#include <cstdint>
#include <istream>
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
    kRefused,   // Not sent: no process listens at the address.
    kNoAnswer,  // May have been sent; no complete response was received.
  };
  Kind kind = Kind::kNoAnswer;
  int status = 0;      // HTTP status, if answered.
  std::string body;    // Response body, if answered.
  std::string reason;  // Error, if not answered.

  // The peer cannot have acted on the request.
  bool was_not_sent() const {
    return kind == Kind::kNotSent || kind == Kind::kRefused;
  }
};

// A keep-alive HTTP connection to one address, which reconnects when needed.
// Not thread-safe. A call ends within its limit and a tenth, also if the peer
// stops responding or sends its response in small parts.
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
  using Clock = std::chrono::steady_clock;

  Poco::Net::HTTPClientSession& PrepareSession();
  // Bounds the next operation on the socket by the time left until `end`.
  // Throws Poco::TimeoutException if there is none.
  void LimitNextOperation(Clock::time_point end);
  // `length`: of the whole body; negative: not stated.
  std::string ReceiveBody(std::istream& in,
                          std::int64_t length,
                          Clock::time_point end);

  const std::string address_;
  // The socket whose timeout was set last, and that timeout.
  const void* limited_socket_ = nullptr;
  Duration socket_timeout_{0};
  std::unique_ptr<Poco::Net::HTTPClientSession> session_;
};

}  // namespace marjoramplank
