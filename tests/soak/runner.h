#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/soak/checker.h"
#include "tests/soak/heartbeats.h"
#include "tests/soak/history.h"
#include "tests/soak/plan.h"
#include "tests/soak/processes.h"

namespace marjoramplank::soak {

struct RunOptions {
  std::uint64_t seed = 1;
  Shape shape;
  std::string programs;  // Folder of the programs.
  std::string folder;    // For settings, logs and the record.
};

// Starts a deployment, plays the plan and holds the record against the rules.
// All processes are started and signalled by the thread that calls Run.
class Runner {
 public:
  Runner(const RunOptions& options, const Plan& plan);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  // False if the deployment does not become ready.
  bool Run(const std::atomic<bool>& interrupted);
  const Checker& checker() const { return checker_; }

 private:
  using Action = std::function<void()>;

  void AssignAddresses();
  bool StartDeployment(const std::atomic<bool>& interrupted);
  void StartStore();
  void StartSite(const std::string& name);
  void StartWorker(int number, std::int64_t clock_offset_ms);
  WorkerIdentity Identity(int number) const;

  void Schedule();
  void At(std::int64_t ms, Action action) {
    actions_.emplace(ms, std::move(action));
  }
  void After(std::int64_t ms, Action action) {
    At(Now() + ms, std::move(action));
  }
  std::int64_t Now() const;
  void Step();
  void Play(const Fault& fault);
  void PlayHeartbeat(const Fault& fault);
  void PlayStore(const Fault& fault);
  void PlayWorkerCrash(const Fault& fault);
  void PlayWorkerVanish(const Fault& fault);
  void GiveNewId(int number);
  void StartAgain(const std::string& name);
  void KillSite(const std::string& name, std::int64_t down_ms);
  void Terminate(const std::string& name, std::int64_t down_ms);
  void Suspend(const std::string& name, std::int64_t length_ms);
  void WriteControl();
  void OnExit(const Exit& exit);
  void Submit(const Job& job);
  void RenameQueues();  // Retried while the store does not answer.
  void Restore();
  void PrintProgress() const;
  std::string Path(const std::string& name) const;

  const RunOptions options_;
  const Plan& plan_;
  Checker checker_;
  RecordReader reader_;
  std::map<std::string, std::string> addresses_;
  std::vector<std::string> entries_;
  std::map<std::string, std::string> ids_;     // Of the workers, by name.
  std::map<std::string, std::int64_t> born_;   // Of the workers, by name.
  std::map<std::string, std::int64_t> downs_;  // Pause before the next start.
  std::map<std::string, int> suspensions_;
  std::multimap<std::string, double> store_faults_;
  std::multimap<std::int64_t, Action> actions_;
  std::int64_t begin_ms_ = 0;
  int lives_ = 0;
  int starts_ = 0;  // Of workers.
  bool restored_ = false;
  std::atomic<bool> closed_{false};   // No more attempts to hand jobs in.
  std::atomic<bool> stopped_{false};  // All clients end.
  std::vector<std::thread> threads_;
  Processes processes_;  // Last: its processes end first.
};

}  // namespace marjoramplank::soak
