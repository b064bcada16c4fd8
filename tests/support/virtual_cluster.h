#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "marjoramplank/planner.h"

namespace marjoramplank::testing {

// Executes a planner's decisions in virtual time and checks each against rules
// that are implemented independently of the planner. Simple rather than fast.
class VirtualCluster {
 public:
  struct Run {
    std::vector<TaskPlacement> placements;
    JobSpec spec;
    bool stopping = false;
    StopGang stop;
  };

  VirtualCluster(PlannerOptions options, Inventory inventory);

  void Submit(const std::string& job, JobSpec spec);
  void Cancel(const std::string& job);

  // Ends the run of a job.
  void Finish(const std::string& job,
              RunEnd end,
              const std::string& worker = "");
  void CompleteStops();  // Ends the runs for which a stop was decided.
  void SetWorker(const std::string& worker, bool up);
  void SetInventory(Inventory inventory);
  void Advance(Duration d);  // Advances the time, planning when it is due.
  void Plan();               // Executes and checks the decisions that are due.

  Time now() const { return now_; }
  Planner& planner() { return planner_; }
  const Inventory& inventory() const { return inventory_; }
  const std::map<std::string, Run>& running() const { return running_; }
  const std::map<std::string, JobSpec>& waiting() const { return waiting_; }
  const std::map<std::string, JobState>& ended() const { return ended_; }
  // Descriptions of the violated rules.
  const std::vector<std::string>& faults() const { return faults_; }
  const std::vector<std::string>& history() const { return history_; }
  bool IsUp(const std::string& worker) const {
    return workers_up_.contains(worker);
  }
  bool HasJob(const std::string& job) const;

 private:
  void Execute(const Decision& decision);
  void CheckStart(const StartGang& start, const JobSpec& spec);
  void CheckAdjacency(const StartGang& start, const JobSpec& spec);
  void AddFault(const std::string& text);

  Planner planner_;
  Inventory inventory_;
  Time now_{0};
  std::set<std::string> workers_up_;
  std::map<std::string, Run> running_;
  std::map<std::string, JobSpec> waiting_;
  std::map<std::string, JobState> ended_;
  std::map<std::string, std::int32_t> attempts_;
  std::vector<std::string> faults_;
  std::vector<std::string> history_;
};

// Returns an inventory of `dcs` data centres with `racks` racks of `workers`
// identical workers each.
Inventory MakeInventory(int dcs,
                        int racks,
                        int workers,
                        int accelerators,
                        std::vector<AccountSpec> accounts);

// Returns a job of an account, with default values for the other fields.
JobSpec MakeJob(const std::string& account, int tasks, int accelerators);

}  // namespace marjoramplank::testing
