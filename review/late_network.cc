// Stand-in for the network between an agent and its worker, for one case. It
// listens where the agent calls its worker and passes each call on, whole.
//   late_network LISTEN_PORT WORKER_PORT CONTROL_FILE
// The first word of the control file says what it does:
//   pass  passes all on. Where no process listens at the worker's port, nobody
//         listens here either: connections are refused.
//   hold  the next /v1/run-start is not answered. It stays under way, and gets
//         to the first process that listens at the worker's port not less than
//         2 s later.
// It notes what it holds and delivers in the file named by RECORD.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr auto kLeastDelay = 2s;

std::mutex mutex;
std::set<int> agent_sockets;
std::atomic<bool> has_held{false};

void Note(const std::string& text) {
  static const int fd =
      open(std::getenv("RECORD"), O_WRONLY | O_CREAT | O_APPEND, 0644);
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  const std::string line = std::to_string(ms) + " network " + text + "\n";
  if (write(fd, line.data(), line.size()) < 0) {
    std::abort();
  }
}

sockaddr_in Address(int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return out;
}

// -1: refused.
int Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in to = Address(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

int Listen(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in at = Address(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
      listen(fd, 64) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

void Reset(int fd) {
  const linger off{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &off, sizeof off);
  close(fd);
}

bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// One message with its body. Empty: the connection has ended.
std::string ReceiveMessage(int fd, std::string& rest) {
  for (;;) {
    const std::size_t head = rest.find("\r\n\r\n");
    if (head != std::string::npos) {
      const std::size_t at = rest.find("Content-Length: ");
      const std::size_t length =
          at == std::string::npos || at > head
              ? 0
              : std::strtoul(rest.c_str() + at + 16, nullptr, 10);
      if (rest.size() >= head + 4 + length) {
        std::string out = rest.substr(0, head + 4 + length);
        rest.erase(0, out.size());
        return out;
      }
    }
    char buffer[16384];
    const ssize_t n = recv(fd, buffer, sizeof buffer, 0);
    if (n <= 0) {
      return "";
    }
    rest.append(buffer, static_cast<std::size_t>(n));
  }
}

std::string BodyOf(const std::string& message) {
  return message.substr(message.find("\r\n\r\n") + 4);
}

void DeliverLate(const std::string& call, int worker_port) {
  std::this_thread::sleep_for(kLeastDelay);
  int fd = -1;
  while ((fd = Connect(worker_port)) < 0) {
    std::this_thread::sleep_for(1ms);
  }
  SendAll(fd, call);
  std::string rest;
  const std::string answer = ReceiveMessage(fd, rest);
  Note("delivered late: " + BodyOf(call) + " -> " + answer.substr(9, 3) + " " +
       BodyOf(answer));
  close(fd);
}

void Serve(int agent, int worker_port, const std::string& control) {
  std::string from_agent;
  std::string from_worker;
  int worker = -1;
  for (;;) {
    const std::string call = ReceiveMessage(agent, from_agent);
    if (call.empty()) {
      break;
    }
    std::string word;
    std::ifstream(control) >> word;
    if (word == "hold" && call.find("/v1/run-start") < 40 &&
        !has_held.exchange(true)) {
      Note("holds: " + BodyOf(call));
      std::thread(DeliverLate, call, worker_port).detach();
      continue;  // Not answered.
    }
    worker = worker < 0 ? Connect(worker_port) : worker;
    if (worker < 0 || !SendAll(worker, call)) {
      break;
    }
    const std::string answer = ReceiveMessage(worker, from_worker);
    if (answer.empty() || !SendAll(agent, answer)) {
      break;
    }
  }
  {
    const std::lock_guard lock(mutex);
    agent_sockets.erase(agent);
  }
  Reset(agent);
  if (worker >= 0) {
    close(worker);
  }
}

bool HasListener(int port) {
  // Looks without a connection, which the worker would see.
  std::ifstream in("/proc/net/tcp");
  char wanted[16];
  std::snprintf(wanted, sizeof wanted, "0100007F:%04X", port);
  for (std::string line; std::getline(in, line);) {
    if (line.find(wanted) < 20 && line.find(" 0A ") != std::string::npos) {
      return true;
    }
  }
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const int port = std::atoi(argv[1]);
  const int worker_port = std::atoi(argv[2]);
  const std::string control = argv[3];
  int listener = -1;
  for (;;) {
    const bool is_up = HasListener(worker_port);
    if (is_up && listener < 0) {
      listener = Listen(port);
    } else if (!is_up && listener >= 0) {
      close(listener);
      listener = -1;
    }
    if (listener < 0) {
      std::this_thread::sleep_for(1ms);
      continue;
    }
    pollfd p{.fd = listener, .events = POLLIN};
    if (poll(&p, 1, 2) <= 0) {
      continue;
    }
    const int agent = accept(listener, nullptr, nullptr);
    if (agent < 0) {
      continue;
    }
    {
      const std::lock_guard lock(mutex);
      agent_sockets.insert(agent);
    }
    std::thread(Serve, agent, worker_port, control).detach();
  }
}
