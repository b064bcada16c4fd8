// Forwards TCP connections and notes the starts that pass: the body of each
// call of run-start, as it is.
//   tap LISTEN TARGET   both "127.0.0.1:PORT"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <string>
#include <thread>

#include "tests/standins/standin.h"

namespace {

// Notes whole bodies of run-start; `text` holds what was not looked at yet.
void NoteStarts(std::string& text) {
  for (;;) {
    const std::size_t call = text.find("POST /v1/run-start");
    const std::size_t body = text.find("\r\n\r\n", call);
    const std::size_t next = text.find("POST ", call + 1);
    if (call == std::string::npos || body == std::string::npos) {
      return;
    }
    const std::size_t end = text.find('}', body);
    if (end == std::string::npos) {
      return;
    }
    if (body < next) {
      marjoramplank::standins::Note(
          "tap", "run-start " + text.substr(body + 4, end - body - 3));
    }
    text.erase(0, end + 1);
  }
}

void Pump(Poco::Net::StreamSocket from,
          Poco::Net::StreamSocket to,
          bool is_noted) {
  std::string text;
  char buf[16 * 1024];
  try {
    for (int n = 0; (n = from.receiveBytes(buf, sizeof buf)) > 0;) {
      if (is_noted) {
        text.append(buf, static_cast<std::size_t>(n));
        NoteStarts(text);
      }
      to.sendBytes(buf, n);
    }
  } catch (const Poco::Exception&) {
  }
  try {
    from.shutdown();
    to.shutdown();
  } catch (const Poco::Exception&) {
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  Poco::Net::ServerSocket server{Poco::Net::SocketAddress(argv[1])};
  for (;;) {
    Poco::Net::StreamSocket client = server.acceptConnection();
    try {
      Poco::Net::StreamSocket target{Poco::Net::SocketAddress(argv[2])};
      std::thread(Pump, client, target, true).detach();
      std::thread(Pump, target, client, false).detach();
    } catch (const Poco::Exception&) {
      client.close();
    }
  }
}
