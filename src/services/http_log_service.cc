#include "src/services/http_log_service.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>

#include "src/codec/object_reader.h"

namespace marjoramplank {

namespace {

using Poco::Net::HTTPRequest;
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
    : options_(std::move(options)) {}
HttpLogService::~HttpLogService() = default;

Poco::Net::HTTPClientSession& HttpLogService::Session(Duration timeout) {
  if (session_ == nullptr) {
    session_ = std::make_unique<Poco::Net::HTTPClientSession>(options_.host,
                                                              options_.port);
    session_->setKeepAlive(true);
  }
  session_->setTimeout(Poco::Timespan(timeout.count() * 1000));
  return *session_;
}

AppendOutcome HttpLogService::Append(const std::vector<std::string>& lines) {
  bool sent = false;
  try {
    Poco::Net::HTTPClientSession& session = Session(options_.timeout);
    const std::string body = RecordsBody(lines);
    HTTPRequest request(HTTPRequest::HTTP_POST, options_.stream,
                        HTTPRequest::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength64(static_cast<std::int64_t>(body.size()));
    sent = session.connected();  // On a kept connection even a failed send may
                                 // have gone through.
    std::ostream& out = session.sendRequest(request);
    sent = true;
    out << body;
    HTTPResponse response;
    std::string text;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
    switch (response.getStatus()) {
      case HTTPResponse::HTTP_OK:
        return AppendOutcome::kStored;
      case HTTPResponse::HTTP_SERVICE_UNAVAILABLE:
      case HTTPResponse::HTTP_TOO_MANY_REQUESTS:
        return AppendOutcome::kRefused;
      default:
        return AppendOutcome::kUnknown;
    }
  } catch (const Poco::Exception&) {
    session_.reset();
    return sent ? AppendOutcome::kUnknown : AppendOutcome::kRefused;
  }
}

LogRead HttpLogService::Read(Offset from,
                             std::int32_t max_records,
                             Duration wait) {
  LogRead out;
  try {
    Poco::Net::HTTPClientSession& session = Session(options_.timeout + wait);
    HTTPRequest request(HTTPRequest::HTTP_GET,
                        options_.stream + "?from=" + std::to_string(from) +
                            "&max=" + std::to_string(max_records) +
                            "&wait_ms=" + std::to_string(wait.count()),
                        HTTPRequest::HTTP_1_1);
    session.sendRequest(request);
    HTTPResponse response;
    std::string text;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
    out.ok =
        response.getStatus() == HTTPResponse::HTTP_OK && ParseRead(text, out);
  } catch (const Poco::Exception&) {
    session_.reset();
  }
  return out;
}

}  // namespace marjoramplank
