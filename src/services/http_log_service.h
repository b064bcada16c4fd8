#pragma once

#include <memory>
#include <string>

#include "src/net/http_connection.h"
#include "src/services/log_service.h"

namespace marjoramplank {

// Client of the platform's log over HTTP/JSON:
//   POST <stream>  {"records": [text, ...]}
//     -> {"offset": first}
//   GET <stream>?from=N&max=N&wait_ms=N
//     -> {"first": N, "end": N, "records": [{"offset", "text"}]}
// The statuses 429 and 503 mean that nothing was stored. Not thread-safe.
class HttpLogService final : public LogService {
 public:
  struct Options {
    std::string host;  // IP address.
    std::uint16_t port = 0;
    std::string stream = "/v1/streams/marjoramplank/records";
    Duration timeout = 2s;  // Of a call, in addition to a read's `wait`.
  };

  explicit HttpLogService(Options options);
  ~HttpLogService() override;

  AppendOutcome Append(const std::vector<std::string>& lines) override;
  LogRead Read(Offset from, std::int32_t max_records, Duration wait) override;

 private:
  Options options_;
  HttpConnection connection_;
};

}  // namespace marjoramplank
