#pragma once

#include <string>
#include <vector>

#include "marjoramplank/error.h"
#include "marjoramplank/time.h"

namespace marjoramplank {

// HTTP response of an entry.
struct ClientReply {
  int status = 0;  // HTTP status code.
  std::string body;
};

// HTTP client with failover: tries the entries in the given order.
class HttpClient {
 public:
  explicit HttpClient(std::vector<std::string> entries)
      : entries_(std::move(entries)) {}

  // Returns the first response, or the error of the last entry tried. `timeout`
  // applies to the attempt at each entry. A GET request fails over to the next
  // entry on any failure; other methods fail over only if the connection could
  // not be opened, so that a request is not executed twice.
  Result<ClientReply> Call(const std::string& method,
                           const std::string& path,
                           const std::string& body = "",
                           Duration timeout = 10s);

 private:
  std::vector<std::string> entries_;  // "IP:port".
};

}  // namespace marjoramplank
