#include "src/net/http_connection.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <algorithm>

namespace marjoramplank {

namespace {

// Covers two round trips between data centres and one lost packet.
constexpr Duration kConnectTimeout = 400ms;
// Idle connections are not reused after this time; peers close them after 15 s.
constexpr int kKeepAliveSeconds = 12;

Poco::Timespan ToTimespan(Duration d) {
  return {d.count() * 1000};
}

}  // namespace

HttpConnection::HttpConnection(const std::string& address)
    : address_(address) {}
HttpConnection::~HttpConnection() = default;

Poco::Net::HTTPClientSession& HttpConnection::PrepareSession(Duration limit) {
  if (session_ == nullptr) {
    session_ = std::make_unique<Poco::Net::HTTPClientSession>(
        Poco::Net::SocketAddress(address_));
    session_->setKeepAlive(true);
    session_->setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
  }
  session_->setTimeout(ToTimespan(std::min(limit, kConnectTimeout)),
                       ToTimespan(limit), ToTimespan(limit));
  return *session_;
}

HttpResult HttpConnection::Send(const Call& call) {
  bool maybe_sent = false;
  try {
    Poco::Net::HTTPClientSession& session = PrepareSession(call.limit);
    Poco::Net::HTTPRequest request(call.method, call.target,
                                   Poco::Net::HTTPRequest::HTTP_1_1);
    if (!call.body.empty() || call.method == "POST") {
      request.setContentType(call.content_type);
      request.setContentLength64(static_cast<std::int64_t>(call.body.size()));
    }
    for (const auto& [name, value] : call.headers) {
      request.set(name, value);
    }
    // On a reused connection the peer may have received the request even if the
    // send fails.
    maybe_sent = session.connected();
    std::ostream& out = session.sendRequest(request);
    maybe_sent = true;
    out << call.body << std::flush;
    Poco::Net::HTTPResponse response;
    HttpResult answer{.kind = HttpResult::Kind::kAnswered};
    std::istream& in = session.receiveResponse(response);
    Poco::StreamCopier::copyToString(in, answer.body);
    answer.status = response.getStatus();
    const std::streamsize length = response.getContentLength();
    if (length != Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH &&
        static_cast<std::size_t>(length) != answer.body.size()) {
      session_.reset();
      return {.kind = HttpResult::Kind::kNoAnswer,
              .reason = "the answer was cut off"};
    }
    return answer;
  } catch (const Poco::Exception& e) {
    session_.reset();
    return {.kind = maybe_sent ? HttpResult::Kind::kNoAnswer
                               : HttpResult::Kind::kNotSent,
            .reason = e.displayText()};
  } catch (const std::exception& e) {
    session_.reset();
    return {.kind = HttpResult::Kind::kNoAnswer, .reason = e.what()};
  }
}

}  // namespace marjoramplank
