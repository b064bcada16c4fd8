#include "src/services/http_log_service.h"

#include <Poco/Net/HTTPResponse.h>

#include "src/codec/object_reader.h"

namespace marjoramplank {

namespace {

using Poco::Net::HTTPResponse;

std::string RecordsBody(const std::vector<std::string>& lines) {
  Poco::JSON::Array::Ptr records = new Poco::JSON::Array;
  for (const std::string& line : lines) {
    records->add(line);
  }
  Poco::JSON::Object::Ptr body = new Poco::JSON::Object;
  body->set("records", records);
  return ToText(body);
}

bool ParseRead(const std::string& text, LogRead& out) {
  const Result<Poco::JSON::Object::Ptr> parsed = ParseObject(text);
  if (!IsOk(parsed)) {
    return false;
  }
  std::vector<FieldError> errors;
  ObjectReader reader(std::get<Poco::JSON::Object::Ptr>(parsed), "", errors);
  reader.Read("first", out.first, ObjectReader::Need::kRequired);
  reader.Read("end", out.end, ObjectReader::Need::kRequired);
  reader.ReadObjects("records", [&](ObjectReader& r) {
    LogLine line;
    r.Read("offset", line.offset, ObjectReader::Need::kRequired);
    r.Read("text", line.text, ObjectReader::Need::kRequired);
    out.lines.push_back(std::move(line));
  });
  return errors.empty();
}

}  // namespace

HttpLogService::HttpLogService(Options options)
    : options_(std::move(options)),
      connection_(options_.host + ":" + std::to_string(options_.port)) {}
HttpLogService::~HttpLogService() = default;

AppendOutcome HttpLogService::Append(const std::vector<std::string>& lines) {
  const HttpResult answer = connection_.Send({.method = "POST",
                                              .target = options_.stream,
                                              .body = RecordsBody(lines),
                                              .limit = options_.timeout});
  if (answer.was_not_sent()) {
    return AppendOutcome::kRefused;
  }
  switch (answer.status) {
    case HTTPResponse::HTTP_OK:
      return AppendOutcome::kStored;
    case HTTPResponse::HTTP_SERVICE_UNAVAILABLE:
    case HTTPResponse::HTTP_TOO_MANY_REQUESTS:
      return AppendOutcome::kRefused;
    default:
      return AppendOutcome::kUnknown;
  }
}

LogRead HttpLogService::Read(Offset from,
                             std::int32_t max_records,
                             Duration wait) {
  const HttpResult answer = connection_.Send(
      {.method = "GET",
       .target = options_.stream + "?from=" + std::to_string(from) +
                 "&max=" + std::to_string(max_records) +
                 "&wait_ms=" + std::to_string(wait.count()),
       .limit = options_.timeout + wait});
  LogRead out;
  out.ok =
      answer.status == HTTPResponse::HTTP_OK && ParseRead(answer.body, out);
  return out;
}

}  // namespace marjoramplank
