#include "tests/soak/processes.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <utility>

namespace marjoramplank::soak {
namespace {

// Runs in the child between fork and exec: async-signal-safe calls only.
[[noreturn]] void Execute(char* const* words,
                          char* const* environment,
                          const char* log) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  std::signal(SIGPIPE, SIG_DFL);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  const int fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(fd, STDOUT_FILENO);
  dup2(fd, STDERR_FILENO);
  execve(words[0], words, environment);
  _exit(127);
}

std::vector<char*> Pointers(std::vector<std::string>& texts) {
  std::vector<char*> out;
  out.reserve(texts.size() + 1);
  for (std::string& text : texts) {
    out.push_back(text.data());
  }
  out.push_back(nullptr);
  return out;
}

}  // namespace

Processes::~Processes() {
  for (const auto& [name, process] : running_) {
    kill(process.id, SIGKILL);
    waitpid(process.id, nullptr, 0);
  }
}

void Processes::Start(const std::string& name, const Command& command) {
  std::vector<std::string> words = command.words;
  std::vector<std::string> environment;
  for (char** it = environ; *it != nullptr; ++it) {
    environment.emplace_back(*it);
  }
  if (!command.boot.empty()) {
    environment.push_back("MARJORAMPLANK_BOOT=" + command.boot);
  }
  const std::vector<char*> argv = Pointers(words);
  const std::vector<char*> envp = Pointers(environment);
  const pid_t id = fork();
  if (id < 0) {
    throw std::runtime_error("cannot start " + name);
  }
  if (id == 0) {
    Execute(argv.data(), envp.data(), command.log.c_str());
  }
  running_[name] = {.id = id};
}

bool Processes::IsRunning(const std::string& name) const {
  return running_.contains(name);
}

pid_t Processes::Id(const std::string& name) const {
  const auto it = running_.find(name);
  return it == running_.end() ? 0 : it->second.id;
}

void Processes::Signal(const std::string& name, int signal) {
  const auto it = running_.find(name);
  if (it == running_.end()) {
    return;
  }
  it->second.ending = it->second.ending || signal == SIGTERM;
  kill(it->second.id, signal);
}

void Processes::Kill(const std::string& name) {
  const auto it = running_.find(name);
  if (it == running_.end()) {
    return;
  }
  int status = 0;
  if (waitpid(it->second.id, &status, WNOHANG) == it->second.id) {
    ended_.push_back(
        {.name = name, .status = status, .expected = it->second.ending});
  } else {
    kill(it->second.id, SIGKILL);
    waitpid(it->second.id, nullptr, 0);
  }
  running_.erase(it);
}

std::vector<Exit> Processes::TakeExits() {
  std::vector<Exit> out = std::exchange(ended_, {});
  for (auto it = running_.begin(); it != running_.end();) {
    int status = 0;
    if (waitpid(it->second.id, &status, WNOHANG) == it->second.id) {
      out.push_back(
          {.name = it->first, .status = status, .expected = it->second.ending});
      it = running_.erase(it);
    } else {
      ++it;
    }
  }
  return out;
}

}  // namespace marjoramplank::soak
