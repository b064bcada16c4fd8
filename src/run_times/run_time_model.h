#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "marjoramplank/time.h"
#include "src/jobs/job_request.h"

namespace marjoramplank {

// Learns from runs how long tasks take, and how fast each machine is compared
// with its peers. Part of the ledger: processes that apply the same records
// have the same model, but for the times at which they read them.
//
// Runs are compared within a group: the tasks of one step of one job that run
// at the same locality. They do about the same work, so differences between
// machines show the speed of the machines. Log scale throughout: a machine that
// is twice as slow counts as much as one that is twice as fast.
class RunTimeModel {
 public:
  // What one run tells. A later sample of the same run replaces the earlier.
  struct Sample {
    TaskRef task;
    std::int32_t run = 1;
    std::string agent;  // Of the machine.
    // Away from the step's data, or a same-rack gang that is spread.
    bool is_remote = false;
    std::string queue;
    Duration declared{0};  // 0: none.
    Duration run_time{0};  // Measured, or projected from the progress.
  };

  // Ignored if its run time is not positive or beyond kMaxDuration, or if it
  // repeats a sample.
  void Add(Time now, const Sample& sample);
  // The machine has a new worker, which may be of another speed: one sample
  // remains.
  void OnNewIncarnation(const std::string& agent);

  // Run time on the machine, divided by that on the usual machine. 1 if
  // nothing is known. Fades to 1 without new samples.
  double Slowness(Time now, const std::string& agent) const;
  // Runs that compared the machine with others.
  std::size_t SampleCount(const std::string& agent) const;
  // Age of the newest sample of the machine. 0: none.
  Duration SampleAge(Time now, const std::string& agent) const;

  // Run time of a task of the step on the usual machine near its data.
  // `default_estimate`: if nothing is known and nothing is declared.
  Duration Expected(const JobRequest& request,
                    std::size_t step,
                    Duration default_estimate) const;
  // 90th percentile of the same.
  Duration Pessimistic(const JobRequest& request,
                       std::size_t step,
                       Duration default_estimate) const;
  // The queue goes on under another name: so does what was learned of it.
  void OnQueueRenamed(const std::string& before, const std::string& after);

  // True if runs of this step, or of enough others of its queue, have been
  // seen.
  bool IsLearned(const JobRequest& request, std::size_t step) const;

  // Machines, by agent, that are at least this slow.
  std::map<std::string, double> SlowMachines(Time now,
                                             double min_slowness) const;

  // Samples since the model was empty.
  std::int64_t sample_count() const { return sample_count_; }
  std::size_t machine_count() const { return machines_.size(); }
  std::size_t group_count() const { return groups_.size(); }

 private:
  friend class RunTimeSnapshot;

  struct MachineSample {
    std::uint64_t run_id = 0;
    std::uint64_t group_id = 0;
    double residual = 0;  // log2 of its run time / that of its group.
    // Its group had runs on other machines, too.
    bool is_comparison = false;
  };
  struct Machine {
    std::deque<MachineSample> samples;  // Oldest first.
    double log_slowness = 0;
    std::int64_t last_used = 0;  // Number of its newest sample.
    Time last_sample_at{0};      // By this process's clock. Not replicated.
  };
  struct GroupSample {
    std::uint64_t run_id = 0;
    std::string agent;
    double log_time = 0;  // log2 of the run time in milliseconds.
  };
  struct Group {
    std::deque<GroupSample> samples;  // Oldest first.
    std::string queue;
    double log_base = 0;      // Of a run on the usual machine.
    double log_declared = 0;  // 0: none declared.
    bool is_remote = false;
    std::int64_t last_used = 0;
  };
  // A group's result, kept for the queue's later jobs.
  struct QueueSample {
    std::string group;
    double log_base = 0;
    double log_declared = 0;
  };
  struct Queue {
    std::deque<QueueSample> samples;  // Oldest first.
  };
  // Median and spread of a queue's run times or corrections.
  struct Distribution {
    double median = 0;
    double deviation = 0;  // Estimate of the standard deviation.
  };
  struct Prediction {
    double log_time = 0;
    double deviation = 0;
    bool is_known = false;
  };

  static std::string GroupKey(const std::string& job,
                              std::int32_t step,
                              bool is_remote);
  static Distribution Describe(std::vector<double> values);
  // What one machine's runs say about the usual time of a group.
  struct Vote {
    const std::string* agent = nullptr;
    double log_time = 0;    // Less the slowness of the machine, if known.
    bool is_known = false;  // Other groups have told its speed.
  };
  static double SlownessOf(Time now, const Machine& machine);
  // Each adds the sample or replaces the earlier one of the run. Returns false
  // if it is the same.
  static bool AddToGroup(Group& group, const Sample& sample);
  Machine& AddToMachine(Time now, std::uint64_t group_id, const Sample& sample);
  // One for each machine of the group.
  std::vector<Vote> Votes(std::uint64_t group_id, const Group& group) const;
  // The time that contradicts the fewest votes.
  static double UsualTime(const std::vector<Vote>& votes);
  // After a sample of this machine.
  void UpdateGroup(const std::string& key,
                   Group& group,
                   const std::string& agent,
                   Machine& machine);
  // Updates the residuals of the machine's runs in the group.
  static void Compare(const Group& group,
                      const std::string& agent,
                      bool is_comparison,
                      Machine& machine);
  static void UpdateMachine(Machine& machine);
  void UpdateQueue(const std::string& key, const Group& group);
  // Makes the median machine the usual one.
  void Recentre();
  void EvictGroups();
  void EvictMachines();
  Prediction Predict(const JobRequest& request, std::size_t step) const;

  std::unordered_map<std::string, Machine> machines_;  // By agent.
  std::map<std::string, Group> groups_;
  std::map<std::string, Queue> queues_;
  std::int64_t sample_count_ = 0;
  std::int64_t samples_since_recentring_ = 0;
};

}  // namespace marjoramplank
