#include "src/run_times/run_time_model.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace marjoramplank {

namespace {

// A machine is judged by its newest samples only, so that a change of its speed
// shows soon.
constexpr std::size_t kMaxSamplesOfMachine = 8;
// Tasks of one step on one machine share the error of their group's base time,
// so that they must not displace what other groups have shown.
constexpr std::size_t kMaxSamplesOfMachineInGroup = 4;
// The ledger keeps an agent that is gone. Above the 19,000 workers of the
// largest deployment.
constexpr std::size_t kMaxMachines = 20'000;
// Enough for a stable median; a wide step has thousands of tasks.
constexpr std::size_t kMaxSamplesOfGroup = 64;
constexpr std::size_t kMaxGroups = 256;
constexpr std::size_t kMaxQueues = 64;
constexpr std::size_t kMaxSamplesOfQueue = 32;
// Fewer jobs of a queue say nothing about the next one.
constexpr std::size_t kMinSamplesOfQueue = 3;
// About 3% of tasks run several times as long as their siblings on any machine,
// so that one sample alone is trusted half.
constexpr double kTrustInOneSample = 0.5;
// Machines that differ less from the usual one (19%) count as usual: run times
// within a step differ as much. Without it, errors of base times and of
// machines increase each other: in a simulation of steps of 39 tasks on five
// machines each, 41 of 49 fast machines were taken for slow.
constexpr double kMinLogSlowness = 0.25;
// A machine can hardly be much faster than the usual one; rather, its group
// ran on slow machines.
constexpr double kMaxLogFastness = 0.5;
// The speed of a machine is known from this many runs of other groups: a single
// one may be inherently long.
constexpr std::ptrdiff_t kMinSamplesOfKnown = 2;
// Cost of a base time that a vote contradicts. A machine of unknown speed may
// well be slow, but its tasks do not run twice as fast by chance: most machines
// of a gang of five may be slow. In 20 simulations of 74 machines, a third of
// them slow, with 10 steps each, 3 here missed 1.0 slow machines on average and
// 6 none, with as many fast machines taken for slow.
constexpr int kCostOfUnknownSlower = 1;
constexpr int kCostOfUnknownFaster = 6;
constexpr int kCostOfKnown = 2;
// Samples between two corrections of the usual speed, and at least as many as
// there are machines, since a correction visits all of them.
constexpr std::int64_t kRecentreInterval = 64;
// Votes within this distance (27%) of a time agree with it.
constexpr double kAgreement = 0.35;
// A base time that has moved by less (1%) is left as it is, which saves the
// update of all machines of the group.
constexpr double kMinBaseChange = 0.02;
// A belief fades by half in this time: a machine that is thought to be slow may
// get no work that would show otherwise.
constexpr double kFadeHalfLifeMs = 60'000;
// Standard deviation of log2 of the run times within a group: tasks of a step
// differ by about 15%.
constexpr double kGroupDeviation = 0.25;
// Of a prediction from a declared time alone, which is off by up to 90%.
constexpr double kDeclaredDeviation = 1.0;
constexpr double kZOf90thPercentile = 1.2816;
// Median absolute deviation of a normal distribution / standard deviation.
constexpr double kMadPerDeviation = 0.6745;

std::uint64_t Hash(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

std::uint64_t RunId(const TaskRef& task, std::int32_t run) {
  return Hash(ToString(task) + "#" + std::to_string(run));
}

// The lower one of the two in the middle: of two machines, the faster one is
// taken as usual, since few machines are slow and fewer are fast.
double LowerMedian(std::vector<double> values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

double MinByMagnitude(double a, double b) {
  return std::abs(a) < std::abs(b) ? a : b;
}

// The median; of an even number, the middle one that is closer to 0.
double CautiousMedian(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  const std::size_t n = values.size();
  return MinByMagnitude(values[(n - 1) / 2], values[n / 2]);
}

Duration FromLog(double log_ms) {
  const double ms =
      std::min(std::exp2(log_ms), static_cast<double>(kMaxDuration.count()));
  return std::max(Duration(static_cast<std::int64_t>(std::llround(ms))),
                  Duration(1));
}

}  // namespace

std::string RunTimeModel::GroupKey(const std::string& job,
                                   std::int32_t step,
                                   bool is_remote) {
  return job + "." + std::to_string(step) + (is_remote ? ".remote" : "");
}

void RunTimeModel::OnQueueRenamed(const std::string& before,
                                  const std::string& after) {
  const auto it = queues_.find(before);
  if (it != queues_.end() && queues_.size() < kMaxQueues) {
    const Queue learned = it->second;
    queues_.try_emplace(after, learned);
  }
}

void RunTimeModel::Add(Time now, const Sample& sample) {
  if (sample.run_time <= Duration(0) || sample.run_time > kMaxDuration ||
      (!queues_.contains(sample.queue) && queues_.size() >= kMaxQueues)) {
    return;
  }
  const std::string key =
      GroupKey(sample.task.job, sample.task.step, sample.is_remote);
  Group& group = groups_[key];
  if (!AddToGroup(group, sample)) {
    return;  // Records may be repeated.
  }
  group.last_used = ++sample_count_;
  Machine& machine = AddToMachine(now, Hash(key), sample);
  UpdateGroup(key, group, sample.agent, machine);
  if (++samples_since_recentring_ >=
      std::max(kRecentreInterval,
               static_cast<std::int64_t>(machines_.size()))) {
    samples_since_recentring_ = 0;
    Recentre();
  }
  EvictGroups();
  EvictMachines();
}

bool RunTimeModel::AddToGroup(Group& group, const Sample& sample) {
  group.queue = sample.queue;
  group.is_remote = sample.is_remote;
  group.log_declared =
      sample.declared > Duration(0)
          ? std::log2(static_cast<double>(sample.declared.count()))
          : 0;
  const std::uint64_t run_id = RunId(sample.task, sample.run);
  const double log_time =
      std::log2(static_cast<double>(sample.run_time.count()));
  const auto known =
      std::find_if(group.samples.begin(), group.samples.end(),
                   [&](const GroupSample& s) { return s.run_id == run_id; });
  if (known != group.samples.end()) {
    const bool is_changed = known->log_time != log_time;
    known->log_time = log_time;
    return is_changed;
  }
  group.samples.push_back(
      {.run_id = run_id, .agent = sample.agent, .log_time = log_time});
  while (group.samples.size() > kMaxSamplesOfGroup) {
    group.samples.pop_front();
  }
  return true;
}

RunTimeModel::Machine& RunTimeModel::AddToMachine(Time now,
                                                  std::uint64_t group_id,
                                                  const Sample& sample) {
  Machine& machine = machines_[sample.agent];
  machine.last_sample_at = now;
  machine.last_used = sample_count_;
  std::deque<MachineSample>& samples = machine.samples;
  const std::uint64_t run_id = RunId(sample.task, sample.run);
  if (std::any_of(samples.begin(), samples.end(),
                  [&](const MachineSample& s) { return s.run_id == run_id; })) {
    return machine;
  }
  const auto is_of_group = [&](const MachineSample& s) {
    return s.group_id == group_id;
  };
  if (static_cast<std::size_t>(
          std::count_if(samples.begin(), samples.end(), is_of_group)) >=
      kMaxSamplesOfMachineInGroup) {
    samples.erase(std::find_if(samples.begin(), samples.end(), is_of_group));
  }
  samples.push_back({.run_id = run_id, .group_id = group_id});
  while (samples.size() > kMaxSamplesOfMachine) {
    samples.pop_front();
  }
  return machine;
}

std::vector<RunTimeModel::Vote> RunTimeModel::Votes(std::uint64_t group_id,
                                                    const Group& group) const {
  std::vector<Vote> runs;
  runs.reserve(group.samples.size());
  for (const GroupSample& s : group.samples) {
    runs.push_back({.agent = &s.agent, .log_time = s.log_time});
  }
  std::sort(runs.begin(), runs.end(), [](const Vote& a, const Vote& b) {
    const int order = a.agent->compare(*b.agent);
    return order != 0 ? order < 0 : a.log_time < b.log_time;
  });
  std::vector<Vote> out;
  for (std::size_t first = 0; first < runs.size();) {
    std::size_t end = first + 1;
    while (end < runs.size() && *runs[end].agent == *runs[first].agent) {
      ++end;
    }
    Vote vote = runs[first + (end - first - 1) / 2];
    const auto machine = machines_.find(*vote.agent);
    if (machine != machines_.end()) {
      const std::deque<MachineSample>& samples = machine->second.samples;
      vote.is_known =
          std::count_if(samples.begin(), samples.end(),
                        [&](const MachineSample& s) {
                          return s.is_comparison && s.group_id != group_id;
                        }) >= kMinSamplesOfKnown;
      vote.log_time -= vote.is_known ? machine->second.log_slowness : 0;
    }
    out.push_back(vote);
    first = end;
  }
  return out;
}

double RunTimeModel::UsualTime(const std::vector<Vote>& votes) {
  const auto cost_of = [&](double base) {
    int cost = 0;
    for (const Vote& vote : votes) {
      if (vote.log_time > base + kAgreement) {
        cost += vote.is_known ? kCostOfKnown : kCostOfUnknownSlower;
      } else if (vote.log_time < base - kAgreement) {
        cost += vote.is_known ? kCostOfKnown : kCostOfUnknownFaster;
      }
    }
    return cost;
  };
  double best = 0;
  int best_cost = std::numeric_limits<int>::max();
  for (const Vote& vote : votes) {
    const int cost = cost_of(vote.log_time);
    // Of equal ones the longer time: rather a machine that is believed to be
    // slow is not than that all others are.
    if (cost < best_cost || (cost == best_cost && vote.log_time > best)) {
      best = vote.log_time;
      best_cost = cost;
    }
  }
  std::vector<double> agreeing;
  for (const Vote& vote : votes) {
    if (std::abs(vote.log_time - best) <= kAgreement) {
      agreeing.push_back(vote.log_time);
    }
  }
  std::sort(agreeing.begin(), agreeing.end());
  const std::size_t n = agreeing.size();
  return (agreeing[(n - 1) / 2] + agreeing[n / 2]) / 2;
}

void RunTimeModel::UpdateGroup(const std::string& key,
                               Group& group,
                               const std::string& agent,
                               Machine& machine) {
  const std::vector<Vote> votes = Votes(Hash(key), group);
  const double base = UsualTime(votes);
  const bool is_comparison = votes.size() > 1;
  // The second machine makes the runs of the first one a comparison.
  const bool has_changed =
      std::abs(base - group.log_base) >= kMinBaseChange || votes.size() == 2;
  if (has_changed) {
    group.log_base = base;
    for (const Vote& vote : votes) {
      const auto other = machines_.find(*vote.agent);
      if (other != machines_.end()) {
        Compare(group, *vote.agent, is_comparison, other->second);
      }
    }
    UpdateQueue(key, group);
  } else {
    Compare(group, agent, is_comparison, machine);
  }
}

void RunTimeModel::Compare(const Group& group,
                           const std::string& agent,
                           bool is_comparison,
                           Machine& machine) {
  for (const GroupSample& s : group.samples) {
    if (s.agent != agent) {
      continue;
    }
    for (MachineSample& of_machine : machine.samples) {
      if (of_machine.run_id == s.run_id) {
        of_machine.residual = s.log_time - group.log_base;
        of_machine.is_comparison = is_comparison;
      }
    }
  }
  UpdateMachine(machine);
}

void RunTimeModel::UpdateMachine(Machine& machine) {
  std::vector<double> residuals;
  for (const MachineSample& s : machine.samples) {
    if (s.is_comparison) {
      residuals.push_back(s.residual);
    }
  }
  if (residuals.empty()) {
    return;  // Nothing new.
  }
  const double residual = residuals.size() == 1
                              ? kTrustInOneSample * residuals.front()
                              : CautiousMedian(std::move(residuals));
  machine.log_slowness = std::abs(residual) < kMinLogSlowness
                             ? 0
                             : std::max(residual, -kMaxLogFastness);
}

void RunTimeModel::UpdateQueue(const std::string& key, const Group& group) {
  if (group.is_remote) {
    return;
  }
  std::deque<QueueSample>& samples = queues_[group.queue].samples;
  const QueueSample sample{.group = key,
                           .log_base = group.log_base,
                           .log_declared = group.log_declared};
  const auto known =
      std::find_if(samples.begin(), samples.end(),
                   [&](const QueueSample& s) { return s.group == key; });
  if (known != samples.end()) {
    *known = sample;
    return;
  }
  samples.push_back(sample);
  while (samples.size() > kMaxSamplesOfQueue) {
    samples.pop_front();
  }
}

void RunTimeModel::Recentre() {
  std::vector<double> log_slowness;
  for (const auto& [agent, machine] : machines_) {
    if (std::any_of(machine.samples.begin(), machine.samples.end(),
                    [](const MachineSample& s) { return s.is_comparison; })) {
      log_slowness.push_back(machine.log_slowness);
    }
  }
  if (log_slowness.empty()) {
    return;
  }
  const double shift = LowerMedian(std::move(log_slowness));
  if (std::abs(shift) < kMinLogSlowness) {
    return;
  }
  for (auto& [key, group] : groups_) {
    group.log_base += shift;
  }
  for (auto& [name, queue] : queues_) {
    for (QueueSample& s : queue.samples) {
      s.log_base += shift;
    }
  }
  for (auto& [agent, machine] : machines_) {
    for (MachineSample& s : machine.samples) {
      s.residual -= shift;
    }
    UpdateMachine(machine);
  }
}

void RunTimeModel::EvictGroups() {
  while (groups_.size() > kMaxGroups) {
    groups_.erase(std::min_element(
        groups_.begin(), groups_.end(), [](const auto& a, const auto& b) {
          return a.second.last_used < b.second.last_used;
        }));
  }
}

void RunTimeModel::EvictMachines() {
  while (machines_.size() > kMaxMachines) {
    machines_.erase(std::min_element(
        machines_.begin(), machines_.end(), [](const auto& a, const auto& b) {
          return a.second.last_used < b.second.last_used;
        }));
  }
}

void RunTimeModel::OnNewIncarnation(const std::string& agent) {
  const auto it = machines_.find(agent);
  if (it == machines_.end()) {
    return;
  }
  Machine& machine = it->second;
  while (machine.samples.size() > 1) {
    machine.samples.pop_front();
  }
  machine.log_slowness *= kTrustInOneSample;
}

double RunTimeModel::Slowness(Time now, const std::string& agent) const {
  const auto it = machines_.find(agent);
  return it == machines_.end() ? 1 : SlownessOf(now, it->second);
}

double RunTimeModel::SlownessOf(Time now, const Machine& machine) {
  const auto age_ms = static_cast<double>(
      std::max(Duration(now - machine.last_sample_at), Duration(0)).count());
  return std::exp2(machine.log_slowness * std::exp2(-age_ms / kFadeHalfLifeMs));
}

std::map<std::string, double> RunTimeModel::SlowMachines(
    Time now,
    double min_slowness) const {
  std::map<std::string, double> out;
  for (const auto& [agent, machine] : machines_) {
    // Most machines are usual ones.
    const double slowness =
        machine.log_slowness > 0 ? SlownessOf(now, machine) : 1;
    if (slowness >= min_slowness) {
      out.emplace(agent, slowness);
    }
  }
  return out;
}

std::size_t RunTimeModel::SampleCount(const std::string& agent) const {
  const auto it = machines_.find(agent);
  return it == machines_.end()
             ? 0
             : static_cast<std::size_t>(std::count_if(
                   it->second.samples.begin(), it->second.samples.end(),
                   [](const MachineSample& s) { return s.is_comparison; }));
}

Duration RunTimeModel::SampleAge(Time now, const std::string& agent) const {
  const auto it = machines_.find(agent);
  return it == machines_.end() ? Duration(0)
                               : Duration(now - it->second.last_sample_at);
}

RunTimeModel::Distribution RunTimeModel::Describe(std::vector<double> values) {
  Distribution out{.median = LowerMedian(values)};
  for (double& value : values) {
    value = std::abs(value - out.median);
  }
  out.deviation = LowerMedian(std::move(values)) / kMadPerDeviation;
  return out;
}

RunTimeModel::Prediction RunTimeModel::Predict(const JobRequest& request,
                                               std::size_t step) const {
  const auto group = groups_.find(
      GroupKey(request.id, static_cast<std::int32_t>(step), false));
  if (group != groups_.end()) {
    return {.log_time = group->second.log_base,
            .deviation = kGroupDeviation,
            .is_known = true};
  }
  const Duration declared = request.steps[step].estimate;
  const double log_declared =
      declared > Duration(0) ? std::log2(static_cast<double>(declared.count()))
                             : 0;
  const Prediction by_declared{.log_time = log_declared,
                               .deviation = kDeclaredDeviation};
  const auto queue = queues_.find(request.terms.queue);
  if (queue == queues_.end()) {
    return by_declared;
  }
  std::vector<double> times;
  std::vector<double> corrections;
  for (const QueueSample& s : queue->second.samples) {
    times.push_back(s.log_base);
    if (s.log_declared > 0) {
      corrections.push_back(s.log_base - s.log_declared);
    }
  }
  if (times.size() < kMinSamplesOfQueue) {
    return by_declared;
  }
  // Either the queue's jobs are alike, or their declared times are consistent.
  const Distribution time = Describe(std::move(times));
  const Prediction by_time{
      .log_time = time.median, .deviation = time.deviation, .is_known = true};
  if (log_declared <= 0 || corrections.size() < kMinSamplesOfQueue) {
    return by_time;
  }
  const Distribution correction = Describe(std::move(corrections));
  return correction.deviation <= time.deviation
             ? Prediction{.log_time = log_declared + correction.median,
                          .deviation = correction.deviation,
                          .is_known = true}
             : by_time;
}

Duration RunTimeModel::Expected(const JobRequest& request,
                                std::size_t step,
                                Duration default_estimate) const {
  const Prediction prediction = Predict(request, step);
  return prediction.is_known || request.steps[step].estimate > Duration(0)
             ? FromLog(prediction.log_time)
             : default_estimate;
}

Duration RunTimeModel::Pessimistic(const JobRequest& request,
                                   std::size_t step,
                                   Duration default_estimate) const {
  const Prediction prediction = Predict(request, step);
  const Duration expected = Expected(request, step, default_estimate);
  return FromLog(std::log2(static_cast<double>(expected.count())) +
                 kZOf90thPercentile *
                     std::max(prediction.deviation, kGroupDeviation));
}

bool RunTimeModel::IsLearned(const JobRequest& request,
                             std::size_t step) const {
  return Predict(request, step).is_known;
}

}  // namespace marjoramplank
