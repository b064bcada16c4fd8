#include "src/run_times/run_time_model.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace marjoramplank {

namespace {

// A machine is judged by its newest samples only, so that a change of its speed
// shows soon.
constexpr std::size_t kMaxSamplesOfMachine = 8;
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

std::uint64_t RunId(const TaskRef& task, std::int32_t run) {
  const std::string text = ToString(task) + "#" + std::to_string(run);
  return XXH3_64bits(text.data(), text.size());
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
  return std::clamp(
      Duration(static_cast<std::int64_t>(std::llround(std::exp2(log_ms)))),
      Duration(1), kMaxDuration);
}

}  // namespace

std::string RunTimeModel::GroupKey(const std::string& job,
                                   std::int32_t step,
                                   bool is_remote) {
  return job + "." + std::to_string(step) + (is_remote ? ".remote" : "");
}

void RunTimeModel::Add(Time now, const Sample& sample) {
  if (sample.run_time <= Duration(0) || sample.run_time > kMaxDuration ||
      (!queues_.contains(sample.queue) && queues_.size() >= kMaxQueues)) {
    return;
  }
  const std::string key =
      GroupKey(sample.task.job, sample.task.step, sample.is_remote);
  Group& group = groups_[key];
  group.queue = sample.queue;
  group.is_remote = sample.is_remote;
  group.log_declared =
      sample.declared > Duration(0)
          ? std::log2(static_cast<double>(sample.declared.count()))
          : 0;
  group.last_used = ++sample_count_;
  const std::uint64_t run_id = RunId(sample.task, sample.run);
  const double log_time =
      std::log2(static_cast<double>(sample.run_time.count()));
  const auto known =
      std::find_if(group.samples.begin(), group.samples.end(),
                   [&](const GroupSample& s) { return s.run_id == run_id; });
  if (known != group.samples.end()) {
    known->log_time = log_time;
  } else {
    group.samples.push_back(
        {.run_id = run_id, .agent = sample.agent, .log_time = log_time});
    if (group.samples.size() > kMaxSamplesOfGroup) {
      group.samples.pop_front();
    }
  }
  Machine& machine = machines_[sample.agent];
  machine.last_sample_at = now;
  if (std::none_of(
          machine.samples.begin(), machine.samples.end(),
          [&](const MachineSample& s) { return s.run_id == run_id; })) {
    machine.samples.push_back({.run_id = run_id});
    if (machine.samples.size() > kMaxSamplesOfMachine) {
      machine.samples.pop_front();
    }
  }
  UpdateGroup(key, group);
  EvictGroups();
}

void RunTimeModel::UpdateGroup(const std::string& key, Group& group) {
  // One vote for each machine: many tasks of a step may share one.
  std::map<std::string, std::vector<double>> by_machine;
  for (const GroupSample& s : group.samples) {
    by_machine[s.agent].push_back(s.log_time);
  }
  std::vector<double> base_times;
  for (auto& [agent, log_times] : by_machine) {
    base_times.push_back(LowerMedian(std::move(log_times)) -
                         machines_[agent].log_slowness);
  }
  group.log_base = LowerMedian(std::move(base_times));
  const bool is_comparison = by_machine.size() > 1;
  for (const GroupSample& s : group.samples) {
    for (MachineSample& of_machine : machines_[s.agent].samples) {
      if (of_machine.run_id == s.run_id) {
        of_machine.residual = s.log_time - group.log_base;
        of_machine.is_comparison = is_comparison;
      }
    }
  }
  for (const auto& [agent, log_times] : by_machine) {
    UpdateMachine(machines_[agent]);
  }
  UpdateQueue(key, group);
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
  machine.log_slowness = residuals.size() == 1
                             ? kTrustInOneSample * residuals.front()
                             : CautiousMedian(std::move(residuals));
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
  if (samples.size() > kMaxSamplesOfQueue) {
    samples.pop_front();
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
  if (it == machines_.end()) {
    return 1;
  }
  const auto age_ms = static_cast<double>(
      std::max(Duration(now - it->second.last_sample_at), Duration(0)).count());
  return std::exp2(it->second.log_slowness *
                   std::exp2(-age_ms / kFadeHalfLifeMs));
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
