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

// Deterministic simulation of jobs in virtual time: the real ledger, dispatcher
// and supervisors with a simulated log and simulated workers, which enforce
// leases, carry out delayed commands and list ended runs. All randomness comes
// from the seed, so the same options give the same run.
class JobSimulation {
 public:
  struct Options {
    std::uint32_t seed = 1;
    std::int32_t workers = 4;
    std::int32_t jobs = 12;
    Duration simulated_time{40'000};
    Duration max_task_run_time{3000};
    // Most ends that a worker lists at once.
    std::size_t ends_per_listing = 1;
    // Share of commands that are carried out seconds later, without a reply.
    double delayed_command_share = 0;
    // Share of replies that are lost.
    double lost_reply_share = 0;
    // Rates of faults, per second over all agents, workers or data centres.
    double agent_restarts_per_s = 0;
    double worker_crashes_per_s = 0;
    double planner_changes_per_s = 0;
    // Rate at which a worker's process dies for good; its agent lives on. Half
    // of the workers always stay.
    double worker_losses_per_s = 0;
    // When every process loses power at once; a quarter of the workers never
    // return. kNever: not.
    Time power_loss_at = kNever;
    // The first worker goes down and up by turns for 20 s, no task's doing.
    bool has_flapping_worker = false;
    // Share of jobs that are cancelled.
    double cancelled_job_share = 0;
    // Workers list the progress of tasks; else these stall after 4 s.
    bool lists_progress = false;
    // Share of runs that fail.
    double failed_run_share = 0;
    // Share of jobs of which one task crashes every worker that starts it.
    double crashing_job_share = 0;
    // Rate of heartbeats of another writer, which name another incarnation.
    double foreign_heartbeats_per_s = 0;
    // Rate at which an agent loses the log, and for how long.
    double log_outages_per_s = 0;
    Duration log_outage{6000};
    // Rate at which a worker is suspended with its agent, and the longest time.
    // Its clock does not count that time.
    double suspensions_per_s = 0;
    Duration max_suspension{20'000};
    // Suspensions between two heartbeats of an agent that reach the log do not
    // add up to more.
    Duration max_suspended_unheard = kNever;
    // From the end of a suspension to the end of runs that were given to
    // others: the log is read, the tasks are listed, and a stop takes 100 ms.
    Duration wake_bound{500};
    // Rate at which an agent's process stands still, and the longest time. Its
    // worker runs on.
    double agent_pauses_per_s = 0;
    Duration max_agent_pause{2500};
    // A worker that crashes is silent up to this long before it is back under
    // its id. 0: it answers at once.
    Duration max_crash_silence{0};
    // Rate at which a data centre is closed for 6 s.
    double closures_per_s = 0;
    // Checks that guaranteed jobs start within the bound. Holds without faults.
    bool check_guarantees = false;
    // Calls to workers take up to twice this long, beside one another and
    // beside the agent's other steps. 0: each is answered at once.
    Duration max_call_latency{0};
    // Records reach a reader up to this long after they were appended.
    Duration max_read_delay{0};
    // Records of agents are stored up to this long after they were sent.
    Duration max_append_delay{0};
    // Share of agents' records that are stored once more, up to 6 s later.
    double repeated_record_share = 0;
    // Share of agents' records that the log loses after it has confirmed them.
    double lost_record_share = 0;
    LeaseTiming leases;
    Duration stop_duration{100};
    // False: late commands are not settled, to prove that the checks can fail.
    bool settles_delayed_commands = true;
  };

  explicit JobSimulation(Options options);
  ~JobSimulation();

  // Runs to the end and returns the violated invariants, one line each.
  std::vector<std::string> Run();

  std::int32_t completed_jobs() const;
  const std::vector<LedgerRecord>& log() const { return log_; }
  const std::vector<Time>& times() const { return stored_at_; }  // Of the log.

 private:
  struct FakeWorkerRun;
  struct FakeWorker;
  struct Agent;
  struct DelayedCommand;
  struct CommandInFlight;
  struct HoldInFlight;
  struct PendingRecord;
  struct LateCopy;
  struct TaskHistory;
  struct GangRun;

  double RandomFraction();
  bool RandomBool(double probability) { return RandomFraction() < probability; }
  void Append(const LedgerRecord& record);
  void SubmitDueJobs();
  void RunPlanner();
  void ListTasks(Agent& agent);
  void StepAgent(Agent& agent);
  void DeliverCommand(Agent& agent, const TaskCommand& call);
  bool HasLatency() const { return options_.max_call_latency > Duration(0); }
  Duration RandomDuration(Duration max);
  void SendCommands(Agent& agent);
  void StepCalls(Agent& agent);
  void StepHold(Agent& agent);
  void StoreSentRecords(Agent& agent);
  void AppendFrom(Agent& agent, const LedgerRecord& record);
  void StoreLateCopies();
  void DrawReadDelay(Time& next_at, Duration& delay);
  CommandReply HandleCommand(FakeWorker& worker, const TaskCommand& call);
  HoldReply HandleHold(FakeWorker& worker, const HoldCall& call);
  void StepWorker(FakeWorker& worker);
  GangRun& GangRunOf(TaskRef task, std::int32_t run);
  std::optional<TaskOutcome> FindOutcome(const TaskRef& task,
                                         const FakeWorkerRun& run,
                                         bool lease_expired);
  void SendForeignHeartbeat(Agent& agent);
  void InjectFaults();
  void Suspend(Agent& agent);
  bool IsSuspended(const Agent& agent) const;
  // Of workers that run the task: those that are not suspended and have not
  // just woken.
  std::int64_t CountWorkersAtWork(const TaskHistory& history) const;
  void CheckOneRunAtATime();
  void UpdateClosedDataCentres();
  void CheckDataCentreOpen(const TaskRef& task,
                           const WorkerIncarnation& incarnation);
  void CheckGuarantees();
  bool HasStarted(const std::string& job, const JobRequest& request) const;
  void RestartAgent(Agent& agent);
  void CrashWorker(Agent& agent);
  void FlapWorker();
  bool CrashesWorker(const TaskRef& task) const;
  void CheckCrashBudget(const TaskRef& task);
  bool MayFail(const std::string& job) const;
  void CheckEndOfJobs();
  void LoseWorker(Agent& agent);
  void LosePower();
  void ReplacePlanner();
  void ReportViolation(const std::string& what);

  Options options_;
  std::mt19937 random_;
  Time now_{0};
  std::vector<LedgerRecord> log_;
  std::vector<Time> stored_at_;  // Of the records.
  Time next_planner_delay_at_{0};
  Duration planner_read_delay_{0};
  std::size_t planned_to_ = 0;  // End of the log after the last plan.
  Ledger planner_ledger_;
  std::size_t planner_next_record_ = 0;
  std::int64_t epoch_ = 0;
  // The planner has restarted and has not replayed the log to its end yet.
  bool replaying_history_ = false;
  Dispatcher dispatcher_;
  RulesView rules_;
  std::vector<std::unique_ptr<Agent>> agents_;
  std::vector<DelayedCommand> delayed_commands_;
  std::vector<LateCopy> late_copies_;
  std::map<TaskRef, TaskHistory> task_histories_;
  std::map<std::pair<TaskRef, std::int32_t>, GangRun> gang_runs_;
  std::map<std::string, JobRequest> requests_;
  std::map<std::string, Time> cancel_times_;
  std::map<std::string, Time> submit_times_;
  // Jobs that were beyond the guarantee at some time; their start has no bound.
  std::set<std::string> beyond_guarantee_;
  std::set<std::string> crashing_jobs_;
  std::map<std::string, std::string> data_centre_of_worker_;  // By worker name.
  std::map<std::string, Time> closed_since_;  // Closing time, by data centre.
  bool delivering_delayed_command_ = false;
  std::int32_t submitted_count_ = 0;
  std::int32_t lost_workers_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace marjoramplank
