#pragma once

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "marjoramplank/time.h"

namespace marjoramplank {

// A server on loopback that answers the requests of one connection by a script.
class ScriptedServer {
 public:
  struct Answer {
    Duration delay{0};
    std::string body;
    Duration delay_per_byte{0};  // Between two bytes of the body.
    int status = 200;
  };

  explicit ScriptedServer(std::vector<Answer> answers)
      : answers_(std::move(answers)),
        socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
        thread_([this] { Serve(); }) {}
  ~ScriptedServer() {
    is_closing_ = true;
    thread_.join();
  }

  std::string address() const { return socket_.address().toString(); }

 private:
  void Serve() {
    while (!is_closing_ && !socket_.poll(Poco::Timespan(0, 20'000),
                                         Poco::Net::Socket::SELECT_READ)) {
    }
    if (is_closing_) {
      return;
    }
    Poco::Net::StreamSocket peer = socket_.acceptConnection();
    try {
      for (const Answer& answer : answers_) {
        ReceiveRequest(peer);
        SendAnswer(peer, answer);
      }
    } catch (const Poco::Exception&) {
      // The client has closed the connection.
    }
  }
  static void ReceiveRequest(Poco::Net::StreamSocket& peer) {
    std::string text;
    while (text.find("\r\n\r\n") == std::string::npos) {
      char c = 0;
      if (peer.receiveBytes(&c, 1) <= 0) {
        throw Poco::IOException("closed");
      }
      text += c;
    }
    constexpr char kLength[] = "Content-Length: ";
    const std::size_t at = text.find(kLength);
    int left = at == std::string::npos
                   ? 0
                   : std::stoi(text.substr(at + sizeof kLength - 1));
    for (char c = 0; left > 0 && peer.receiveBytes(&c, 1) > 0; --left) {
    }
  }
  void SendAnswer(Poco::Net::StreamSocket& peer, const Answer& answer) const {
    std::this_thread::sleep_for(answer.delay);
    const std::string head =
        "HTTP/1.1 " + std::to_string(answer.status) +
        " Answer\r\nContent-Length: " + std::to_string(answer.body.size()) +
        "\r\n\r\n";
    peer.sendBytes(head.data(), static_cast<int>(head.size()));
    for (const char c : answer.body) {
      if (is_closing_) {
        return;
      }
      std::this_thread::sleep_for(answer.delay_per_byte);
      peer.sendBytes(&c, 1);
    }
  }

  const std::vector<Answer> answers_;
  Poco::Net::ServerSocket socket_;
  std::atomic<bool> is_closing_{false};
  std::thread thread_;
};

}  // namespace marjoramplank
