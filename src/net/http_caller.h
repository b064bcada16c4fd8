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

struct HttpAnswer {
  enum class Kind {
    kAnswered,
    kNotSent,   // The peer could not be reached: nothing was done.
    kNoAnswer,  // It was sent, or may have been, and nothing came back.
  };
  Kind kind = Kind::kNoAnswer;
  int status = 0;      // When answered.
  std::string body;    // When answered.
  std::string reason;  // When not.
};

// One kept HTTP connection to one address. Not thread-safe. Each call blocks
// for at most its time limit, also on a connection that went silent.
class HttpCaller {
 public:
  explicit HttpCaller(const std::string& address);  // "IP:port".
  ~HttpCaller();

  struct Call {
    std::string method;
    std::string target;  // Path and query.
    std::string body;
    std::string content_type = "application/json";
    std::map<std::string, std::string> headers;
    Duration limit{1000};
  };
  HttpAnswer Do(const Call& call);

  const std::string& address() const { return address_; }

 private:
  Poco::Net::HTTPClientSession& Session(Duration limit);

  const std::string address_;
  std::unique_ptr<Poco::Net::HTTPClientSession> session_;
};

}  // namespace marjoramplank
