#include <algorithm>
#include <bit>

#include "bench/policy/policy.h"

namespace marjoramplank::bench {

void FirstFit::SetInventory(Time /*now*/, const Inventory& inventory) {
  data_centres_.clear();
  for (const DataCentreSpec& dc : inventory.data_centres) {
    data_centres_[dc.name] = dc;
  }
  pass_needed_ = true;
  if (!workers_.empty()) {
    return;
  }
  for (const WorkerSpec& w : inventory.workers) {
    worker_index_[w.name] = workers_.size();
    workers_.push_back({.spec = w});
  }
  if (!is_partitioned_) {
    return;
  }
  // Assigns workers to accounts in proportion to their guarantees.
  std::vector<std::pair<double, std::string>> shares;
  double total_guaranteed = 0;
  for (const AccountSpec& a : inventory.accounts) {
    double guaranteed = 0;
    for (const Guarantee& g : a.guarantees) {
      guaranteed += g.accelerators * g.workers * g.count;
    }
    shares.emplace_back(guaranteed, a.name);
    total_guaranteed += guaranteed;
  }
  std::size_t next_worker = 0;
  double workers_due = 0;
  for (const auto& [guaranteed, name] : shares) {
    workers_due +=
        guaranteed / total_guaranteed * static_cast<double>(workers_.size());
    while (next_worker < workers_.size() &&
           static_cast<double>(next_worker) < workers_due - 0.5) {
      workers_[next_worker++].owner = name;
    }
  }
}

void FirstFit::SetWorkerUp(const std::string& worker, bool up) {
  workers_[worker_index_.at(worker)].up = up;
  pass_needed_ = true;
}

void FirstFit::Submit(const PlannedJob& job) {
  queue_.push_back({.job = job});
  pass_needed_ = true;
}

void FirstFit::Occupy(const JobSpec& spec,
                      const std::vector<TaskPlacement>& task_placements,
                      int direction) {
  for (const TaskPlacement& p : task_placements) {
    Worker& w = workers_[worker_index_.at(p.worker)];
    w.used_mask ^= p.accelerator_mask;
    w.cores += direction * spec.shape.cores;
    w.memory_mb += direction * spec.shape.memory_mb;
    w.slots += direction;
  }
}

bool FirstFit::TryStart(const WaitingJob& job,
                        std::vector<TaskPlacement>& out) {
  const JobSpec& spec = job.job.spec;
  std::map<std::string, std::vector<TaskPlacement>> groups;
  for (const Worker& w : workers_) {
    const DataCentreSpec& dc = data_centres_.at(w.spec.data_centre);
    if (!w.up || w.spec.cordoned || dc.out_of_service ||
        (is_partitioned_ && w.owner != spec.account)) {
      continue;
    }
    const std::string group = spec.adjacency == Adjacency::kWorker ? w.spec.name
                              : spec.adjacency == Adjacency::kRack ? w.spec.rack
                              : spec.adjacency == Adjacency::kDataCentre
                                  ? w.spec.data_centre
                                  : dc.region;
    std::vector<TaskPlacement>& placed = groups[group];
    std::uint32_t used = w.used_mask;
    std::int32_t cores = w.cores, memory_mb = w.memory_mb, slots = w.slots;
    const int size = static_cast<int>(std::bit_ceil(
        static_cast<unsigned>(std::max(spec.shape.accelerators, 1))));
    for (int i = 0; i + (spec.shape.accelerators > 0 ? size : 1) <=
                    std::max(w.spec.accelerators, 1);
         i += size) {
      const std::uint32_t mask = spec.shape.accelerators == 0
                                     ? 0
                                     : ((1U << spec.shape.accelerators) - 1)
                                           << i;
      if ((used & mask) != 0 || cores + spec.shape.cores > w.spec.cores ||
          memory_mb + spec.shape.memory_mb > w.spec.memory_mb ||
          slots + 1 > w.spec.slots) {
        continue;
      }
      used |= mask;
      cores += spec.shape.cores;
      memory_mb += spec.shape.memory_mb;
      ++slots;
      placed.push_back({.task = static_cast<std::int32_t>(placed.size()),
                        .worker = w.spec.name,
                        .accelerator_mask = mask});
      if (placed.size() == static_cast<std::size_t>(spec.tasks)) {
        out = placed;
        return true;
      }
    }
  }
  return false;
}

void FirstFit::OnEnded(const std::string& id, const RunResult& result) {
  const auto it = running_.find(id);
  RunningJob run = std::move(it->second);
  running_.erase(it);
  Occupy(run.job.job.spec, run.placements, -1);
  pass_needed_ = true;
  if (result.end == RunEnd::kSucceeded) {
    decisions_.emplace_back(
        EndJob{.job = id, .outcome = {.state = JobState::kDone}});
    return;
  }
  run.job.failures += result.end == RunEnd::kTaskFailed ? 1 : 0;
  constexpr int kMaxFailures = 4;
  if (run.job.failures >= kMaxFailures || !run.job.job.spec.idempotent) {
    decisions_.emplace_back(
        EndJob{.job = id, .outcome = {.state = JobState::kFailed}});
    return;
  }
  queue_.push_front(std::move(run.job));
}

std::vector<Decision> FirstFit::Plan(Time /*now*/) {
  if (pass_needed_) {
    pass_needed_ = false;
    std::deque<WaitingJob> still_waiting;
    std::map<std::tuple<int, TaskShape, Adjacency, std::string>, bool>
        blocked_classes;
    for (WaitingJob& job : queue_) {
      const JobSpec& spec = job.job.spec;
      // Equivalent jobs: if one does not fit in this pass, none of them does.
      const std::tuple key{spec.tasks, spec.shape, spec.adjacency,
                           is_partitioned_ ? spec.account : std::string{}};
      std::vector<TaskPlacement> task_placements;
      if (blocked_classes.contains(key) || !TryStart(job, task_placements)) {
        blocked_classes[key] = true;
        still_waiting.push_back(std::move(job));
        continue;
      }
      Occupy(spec, task_placements, 1);
      const std::string id = job.job.job;
      decisions_.emplace_back(StartGang{
          .job = id, .attempt = ++job.attempts, .placements = task_placements});
      running_[id] = {.job = std::move(job),
                      .placements = std::move(task_placements)};
    }
    queue_ = std::move(still_waiting);
  }
  return std::exchange(decisions_, {});
}

}  // namespace marjoramplank::bench
