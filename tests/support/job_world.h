#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/dispatch/dispatcher.h"
#include "src/jobs/ledger.h"
#include "src/supervisor/supervisor.h"

namespace marjoramplank {

// Jobs of steps in virtual time: the real ledger, dispatcher and supervisors
// around a log and workers with leases, late orders and lists of ends. Faults
// are drawn from the seed; every run with the same options is the same.
class JobWorld {
 public:
  struct Options {
    std::uint32_t seed = 1;
    std::int32_t workers = 4;
    std::int32_t jobs = 12;
    Duration length{40'000};
    Duration longest_task{3000};
    double late_orders = 0;   // Share of orders done seconds later, unanswered.
    double lost_answers = 0;  // Share of answers that do not come back.
    double agent_restarts = 0;   // A second, over all agents.
    double worker_crashes = 0;   // A second, over all workers.
    double planner_changes = 0;  // A second.
    double cancels = 0;          // Share of jobs that are cancelled.
    double failures = 0;         // Share of runs that fail.
    double agent_cuts = 0;       // A second: an agent loses the log for 6 s.
    double closures = 0;         // A second: a data centre is out for 6 s.
    // Guaranteed jobs must have begun within the bound. Holds without faults.
    bool check_reclaim = false;
    bool settle = true;  // False: a broken variant, to see the checks fail.
  };

  explicit JobWorld(Options options);
  ~JobWorld();

  // Plays to the end and returns the broken rules, one line each.
  std::vector<std::string> Play();

  std::int32_t completed() const;  // Jobs.
  const std::vector<LedgerRecord>& log() const { return log_; }

 private:
  struct FakeWorkerRun;
  struct FakeWorker;
  struct Agent;
  struct Delayed;
  struct TaskFacts;
  struct GangFacts;

  double Chance();
  bool Draw(double share) { return Chance() < share; }
  void Append(const LedgerRecord& record);
  void SubmitSome();
  void PlanOnce();
  void ListTasks(Agent& agent);
  void StepAgent(Agent& agent);
  void Carry(Agent& agent, const OrderCall& call);
  OrderReply DoOrder(FakeWorker& worker, const OrderCall& call);
  HoldReply DoHold(FakeWorker& worker, const HoldCall& call);
  void StepWorker(FakeWorker& worker);
  GangFacts& GangOf(TaskRef task, std::int32_t run);
  std::optional<TaskEnd> EndOf(const TaskRef& task,
                               const FakeWorkerRun& run,
                               bool lapsed);
  void Faults();
  void CloseSome();
  void CheckStart(const TaskRef& task, const WorkerLife& life);
  void CheckReclaim();
  bool HasBegun(const std::string& job, const JobRequest& request) const;
  void Restart(Agent& agent);
  void Crash(Agent& agent);
  void Broken(const std::string& what);

  Options options_;
  std::mt19937 random_;
  Time now_{0};
  std::vector<LedgerRecord> log_;
  Ledger planner_ledger_;
  std::size_t planner_read_ = 0;
  std::int64_t epoch_ = 0;
  Dispatcher dispatcher_;
  RulesView rules_;
  std::vector<std::unique_ptr<Agent>> agents_;
  std::vector<Delayed> delayed_;
  std::map<TaskRef, TaskFacts> facts_;
  std::map<std::pair<TaskRef, std::int32_t>, GangFacts> gangs_;
  std::map<std::string, JobRequest> requests_;
  std::map<std::string, Time> cancelled_;
  std::map<std::string, Time> accepted_;
  std::set<std::string> not_owed_;  // Beyond the guarantee at some time.
  std::map<std::string, std::string> data_centres_;  // By worker name.
  std::map<std::string, Time> closed_;               // Data centres, since.
  bool carrying_late_ = false;  // An order that had no answer.
  std::int32_t submitted_ = 0;
  std::vector<std::string> broken_;
};

}  // namespace marjoramplank
