#include "src/cli/http_client.h"

#include "src/net/http_caller.h"

namespace marjoramplank {

Result<ClientReply> HttpClient::Call(const std::string& method,
                                     const std::string& path,
                                     const std::string& body,
                                     Duration timeout) {
  Error last{.code = ErrorCode::kUnavailable,
             .step = "client.call",
             .message = "no entry is known"};
  for (const std::string& entry : entries_) {
    HttpCaller caller(entry);
    const HttpAnswer answer = caller.Do(
        {.method = method, .target = path, .body = body, .limit = timeout});
    if (answer.kind == HttpAnswer::Kind::kAnswered) {
      return ClientReply{.status = answer.status, .body = answer.body};
    }
    const bool sent = answer.kind == HttpAnswer::Kind::kNoAnswer;
    last.peer = entry;
    last.message = answer.reason;
    last.code = sent ? ErrorCode::kDeadlineExceeded : ErrorCode::kUnavailable;
    if (sent && method != "GET") {
      last.message += "; the request may have been received";
      return last;
    }
  }
  return last;
}

}  // namespace marjoramplank
