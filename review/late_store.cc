// Stand-in for the way to the platform's store, for one case: it passes each
// call on, whole, and may lose the answers of appends and do them late.
//   late_store LISTEN TARGET CONTROL_FILE   LISTEN, TARGET: "127.0.0.1:PORT"
// The control file says what it does:
//   pass        passes all on.
//   hold AGENT  two appends with a heartbeat of the agent are not answered, and
//               not done yet; their connections are closed. The others pass.
//   deliver     does the appends that were held, in their order.
// It notes what it holds and delivers in the file named by RECORD, with the
// number of all appends since the word was given.

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <fstream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/standins/standin.h"

namespace {

using marjoramplank::standins::Note;
using marjoramplank::standins::SteadyMs;

struct HeldCall {
  std::string bytes;
  std::int64_t held_at = 0;
};

constexpr std::size_t kMostHeld = 2;

std::mutex mutex;  // Guards what follows.
std::vector<HeldCall> held_calls;
int appends = 0;  // While the word is "hold".

struct Control {
  std::string word;
  std::string agent;
};

Control ReadControl(const std::string& path) {
  Control out;
  std::ifstream in(path);
  in >> out.word >> out.agent;
  return out;
}

// The name as the packed form of Cap'n Proto has a text below 8 bytes: a byte
// that tells which bytes of the word are not zero, and these.
std::string PackedName(const std::string& name) {
  return static_cast<char>((1U << name.size()) - 1) + name;
}

// One message with its body. Empty: the connection has ended.
std::string Receive(Poco::Net::StreamSocket& from, std::string& rest) {
  for (;;) {
    const std::size_t head = rest.find("\r\n\r\n");
    if (head != std::string::npos) {
      const std::string name = "Content-Length: ";
      const std::size_t at = rest.find(name);
      const std::size_t length =
          at == std::string::npos || at > head
              ? 0
              : std::stoul(rest.substr(at + name.size()));
      if (rest.size() >= head + 4 + length) {
        std::string out = rest.substr(0, head + 4 + length);
        rest.erase(0, out.size());
        return out;
      }
    }
    char buf[16 * 1024];
    const int n = from.receiveBytes(buf, sizeof buf);
    if (n <= 0) {
      return "";
    }
    rest.append(buf, static_cast<std::size_t>(n));
  }
}

void Send(Poco::Net::StreamSocket& to, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    sent += static_cast<std::size_t>(to.sendBytes(
        bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
  }
}

bool HoldsBack(const std::string& call, const std::string& path) {
  const std::string line = call.substr(0, call.find("\r\n"));
  const Control control = ReadControl(path);
  if (control.word != "hold" ||
      line.find("/v1/log-append") == std::string::npos) {
    return false;
  }
  const std::lock_guard lock(mutex);
  ++appends;
  if (held_calls.size() >= kMostHeld ||
      line.find("topic=ledger&") == std::string::npos ||
      line.find("producerId=") != std::string::npos ||
      call.find(PackedName(control.agent)) == std::string::npos) {
    return false;
  }
  held_calls.push_back({.bytes = call, .held_at = SteadyMs()});
  Note("late_store", "does not answer an append with a heartbeat of " +
                         control.agent + ": " +
                         std::to_string(held_calls.size()) + " of 2");
  return true;
}

void Serve(Poco::Net::StreamSocket caller,
           const std::string& target,
           const std::string& control) {
  try {
    Poco::Net::StreamSocket store{Poco::Net::SocketAddress(target)};
    std::string from_caller;
    std::string from_store;
    for (;;) {
      const std::string call = Receive(caller, from_caller);
      if (call.empty()) {
        break;
      }
      if (HoldsBack(call, control)) {
        break;  // Not answered.
      }
      Send(store, call);
      const std::string answer = Receive(store, from_store);
      if (answer.empty()) {
        break;
      }
      Send(caller, answer);
    }
  } catch (const Poco::Exception&) {
    // One of the two has ended the connection.
  }
}

void Deliver(const std::string& target) {
  std::vector<HeldCall> calls;
  int all = 0;
  {
    const std::lock_guard lock(mutex);
    calls.swap(held_calls);
    all = appends;
  }
  if (calls.empty()) {
    return;
  }
  Poco::Net::StreamSocket store{Poco::Net::SocketAddress(target)};
  std::string rest;
  const std::int64_t now = SteadyMs();
  for (const HeldCall& call : calls) {
    Send(store, call.bytes);
    Receive(store, rest);
  }
  Note("late_store",
       "does " + std::to_string(calls.size()) + " of " + std::to_string(all) +
           " appends " + std::to_string(now - calls.back().held_at) + " to " +
           std::to_string(now - calls.front().held_at) + " ms late");
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    return 2;
  }
  const std::string target = argv[2];
  const std::string control = argv[3];
  std::thread([&] {
    for (;;) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      if (ReadControl(control).word == "deliver") {
        Deliver(target);
      }
    }
  }).detach();
  Poco::Net::ServerSocket server{Poco::Net::SocketAddress(argv[1])};
  for (;;) {
    Poco::Net::StreamSocket caller = server.acceptConnection();
    std::thread(Serve, caller, target, control).detach();
  }
}
