#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marjoramplank::soak {

struct Command {
  std::vector<std::string> words;
  std::string boot;  // Path of the settings file; empty: none.
  std::string log;
};

struct Exit {
  std::string name;
  int status = 0;
  bool expected = false;  // This program has sent SIGTERM or SIGKILL.
};

// The processes that this program has started. Each is ended by its id.
// Not thread-safe: a process dies with the thread that started it.
class Processes {
 public:
  Processes() = default;
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;
  ~Processes();

  void Start(const std::string& name, const Command& command);
  bool IsRunning(const std::string& name) const;
  pid_t Id(const std::string& name) const;
  void Signal(const std::string& name, int signal);
  // SIGKILL; returns once the process is gone.
  void Kill(const std::string& name);
  // The processes that have ended since the last call.
  std::vector<Exit> TakeExits();

 private:
  struct Process {
    pid_t id = 0;
    bool ending = false;
  };
  std::map<std::string, Process> running_;
  std::vector<Exit> ended_;  // Found ended when they were to be killed.
};

}  // namespace marjoramplank::soak
