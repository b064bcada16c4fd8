#include "src/cli/http_client.h"

#include "src/net/http_connection.h"

namespace marjoramplank {

Result<ClientReply> HttpClient::Call(const std::string& method,
                                     const std::string& path,
                                     const std::string& body,
                                     Duration timeout) {
  Error last_error{.code = ErrorCode::kUnavailable,
                   .step = "client.call",
                   .message = "no entry address is given"};
  for (const std::string& entry : entries_) {
    HttpConnection connection(entry);
    const HttpResult result = connection.Send(
        {.method = method, .target = path, .body = body, .limit = timeout});
    if (result.kind == HttpResult::Kind::kAnswered) {
      return ClientReply{.status = result.status, .body = result.body};
    }
    const bool request_sent = result.kind == HttpResult::Kind::kNoAnswer;
    last_error.peer = entry;
    last_error.message = result.reason;
    last_error.code =
        request_sent ? ErrorCode::kDeadlineExceeded : ErrorCode::kUnavailable;
    if (request_sent && method != "GET") {
      last_error.message += "; the request may have been received";
      return last_error;
    }
  }
  return last_error;
}

}  // namespace marjoramplank
