#include "src/net/http_connection.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>

namespace marjoramplank {

namespace {

// Covers two round trips between data centres and one lost packet.
constexpr Duration kConnectTimeout = 400ms;
// Idle connections are not reused after this time; peers close them after 15 s.
constexpr int kKeepAliveSeconds = 12;
// A socket keeps a timeout that is too long by up to one part in this many,
// which saves system calls.
constexpr int kTimeoutTolerance = 10;

Poco::Timespan ToTimespan(Duration d) {
  return {d.count() * 1000};
}

}  // namespace

HttpConnection::HttpConnection(const std::string& address)
    : address_(address) {}
HttpConnection::~HttpConnection() = default;

Poco::Net::HTTPClientSession& HttpConnection::PrepareSession() {
  if (session_ == nullptr) {
    session_ = std::make_unique<Poco::Net::HTTPClientSession>(
        Poco::Net::SocketAddress(address_));
    session_->setKeepAlive(true);
    session_->setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
    limited_socket_ = nullptr;
  }
  return *session_;
}

void HttpConnection::LimitNextOperation(Clock::time_point end) {
  const auto left = std::chrono::duration_cast<Duration>(end - Clock::now());
  if (left <= Duration(0)) {
    throw Poco::TimeoutException("the time limit of the call has passed");
  }
  // The session applies its timeouts to new connections only.
  session_->setTimeout(ToTimespan(std::min(left, kConnectTimeout)),
                       ToTimespan(left), ToTimespan(left));
  const void* socket = session_->socket().impl();
  const bool is_close = socket == limited_socket_ && left <= socket_timeout_ &&
                        socket_timeout_ - left <= left / kTimeoutTolerance;
  if (session_->connected() && !is_close) {
    session_->socket().setSendTimeout(ToTimespan(left));
    session_->socket().setReceiveTimeout(ToTimespan(left));
    limited_socket_ = socket;
    socket_timeout_ = left;
  }
}

std::string HttpConnection::ReceiveBody(std::istream& in,
                                        std::int64_t length,
                                        Clock::time_point end) {
  std::string body;
  // Each round takes what one operation on the socket has delivered.
  while (static_cast<std::int64_t>(body.size()) != length) {
    if (in.rdbuf()->in_avail() <= 0) {
      LimitNextOperation(end);
    }
    if (in.peek() == std::istream::traits_type::eof()) {
      break;
    }
    std::string part(static_cast<std::size_t>(in.rdbuf()->in_avail()), '\0');
    in.read(part.data(), static_cast<std::streamsize>(part.size()));
    body += part;
  }
  return body;
}

HttpResult HttpConnection::Send(const Call& call) {
  bool maybe_sent = false;
  try {
    const Clock::time_point end = Clock::now() + call.limit;
    Poco::Net::HTTPClientSession& session = PrepareSession();
    LimitNextOperation(end);
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
    LimitNextOperation(end);
    Poco::Net::HTTPResponse response;
    HttpResult answer{.kind = HttpResult::Kind::kAnswered};
    std::istream& in = session.receiveResponse(response);
    const auto length = static_cast<std::int64_t>(response.getContentLength());
    answer.body = ReceiveBody(in, length, end);
    answer.status = response.getStatus();
    if (length != Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH &&
        length != static_cast<std::int64_t>(answer.body.size())) {
      session_.reset();
      return {.kind = HttpResult::Kind::kNoAnswer,
              .reason = "the answer was cut off"};
    }
    return answer;
  } catch (const Poco::Net::ConnectionRefusedException& e) {
    session_.reset();
    return {.kind = HttpResult::Kind::kRefused, .reason = e.displayText()};
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
