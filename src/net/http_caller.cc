#include "src/net/http_caller.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <algorithm>

namespace marjoramplank {

namespace {

// A connection is made within this: two round trips between data centres and a
// lost packet.
constexpr Duration kConnectLimit = 400ms;
// Kept connections are not used again after this long; peers close theirs
// after 15 s.
constexpr int kKeepSeconds = 12;

Poco::Timespan Span(Duration d) {
  return {d.count() * 1000};
}

}  // namespace

HttpCaller::HttpCaller(const std::string& address) : address_(address) {}
HttpCaller::~HttpCaller() = default;

Poco::Net::HTTPClientSession& HttpCaller::Session(Duration limit) {
  if (session_ == nullptr) {
    session_ = std::make_unique<Poco::Net::HTTPClientSession>(
        Poco::Net::SocketAddress(address_));
    session_->setKeepAlive(true);
    session_->setKeepAliveTimeout(Poco::Timespan(kKeepSeconds, 0));
  }
  session_->setTimeout(Span(std::min(limit, kConnectLimit)), Span(limit),
                       Span(limit));
  return *session_;
}

HttpAnswer HttpCaller::Do(const Call& call) {
  bool sent = false;
  try {
    Poco::Net::HTTPClientSession& session = Session(call.limit);
    Poco::Net::HTTPRequest request(call.method, call.target,
                                   Poco::Net::HTTPRequest::HTTP_1_1);
    if (!call.body.empty() || call.method == "POST") {
      request.setContentType(call.content_type);
      request.setContentLength64(static_cast<std::int64_t>(call.body.size()));
    }
    for (const auto& [name, value] : call.headers) {
      request.set(name, value);
    }
    // On a kept connection even a failed send may have gone through.
    sent = session.connected();
    std::ostream& out = session.sendRequest(request);
    sent = true;
    out << call.body << std::flush;
    Poco::Net::HTTPResponse response;
    HttpAnswer answer{.kind = HttpAnswer::Kind::kAnswered};
    std::istream& in = session.receiveResponse(response);
    Poco::StreamCopier::copyToString(in, answer.body);
    answer.status = response.getStatus();
    const std::streamsize length = response.getContentLength();
    if (length != Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH &&
        static_cast<std::size_t>(length) != answer.body.size()) {
      session_.reset();
      return {.kind = HttpAnswer::Kind::kNoAnswer,
              .reason = "the answer was cut off"};
    }
    return answer;
  } catch (const Poco::Exception& e) {
    session_.reset();
    return {
        .kind = sent ? HttpAnswer::Kind::kNoAnswer : HttpAnswer::Kind::kNotSent,
        .reason = e.displayText()};
  } catch (const std::exception& e) {
    session_.reset();
    return {.kind = HttpAnswer::Kind::kNoAnswer, .reason = e.what()};
  }
}

}  // namespace marjoramplank
