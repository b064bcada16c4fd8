#include "tests/support/virtual_cluster.h"

#include <bit>
#include <utility>

namespace marjoramplank::testing {

VirtualCluster::VirtualCluster(PlannerOptions options, Inventory inventory)
    : planner_(std::move(options)), inventory_(std::move(inventory)) {
  planner_.SetInventory(now_, inventory_);
  for (const WorkerSpec& w : inventory_.workers) {
    SetWorker(w.name, true);
  }
  Plan();
}

bool VirtualCluster::HasJob(const std::string& job) const {
  return running_.contains(job) || waiting_.contains(job) ||
         ended_.contains(job);
}

void VirtualCluster::AddFault(const std::string& text) {
  faults_.push_back("at " + std::to_string(now_.count()) + " ms: " + text);
}

void VirtualCluster::Submit(const std::string& job, JobSpec spec) {
  spec.request_id = job;
  waiting_[job] = spec;
  planner_.Submit(now_, {.job = job, .spec = spec});
}

void VirtualCluster::Cancel(const std::string& job) {
  planner_.Cancel(now_, job);
}

void VirtualCluster::Finish(const std::string& job,
                            RunEnd end,
                            const std::string& worker) {
  const auto it = running_.find(job);
  if (it == running_.end()) {
    return;
  }
  // Keeps the run alive: `job` and `worker` may refer to parts of it.
  const auto ended = running_.extract(it);
  // Waits until the planner decides to restart or end the job.
  waiting_[ended.key()] = ended.mapped().spec;
  planner_.OnEnded(now_, ended.key(), {.end = end, .failed_worker = worker});
}

void VirtualCluster::CompleteStops() {
  std::vector<std::pair<std::string, bool>> stopping;
  for (const auto& [job, run] : running_) {
    if (run.stopping) {
      stopping.emplace_back(job, run.stop.checkpoint);
    }
  }
  for (const auto& [job, checkpoint] : stopping) {
    Finish(job, checkpoint ? RunEnd::kCheckpointed : RunEnd::kStopped);
  }
}

void VirtualCluster::SetWorker(const std::string& worker, bool up) {
  if (up) {
    workers_up_.insert(worker);
  } else {
    workers_up_.erase(worker);
  }
  planner_.SetWorkerUp(now_, worker, up);
}

void VirtualCluster::SetInventory(Inventory inventory) {
  inventory_ = std::move(inventory);
  planner_.SetInventory(now_, inventory_);
}

void VirtualCluster::Advance(Duration d) {
  const Time until = now_ + d;
  while (true) {
    Plan();
    const Time next = planner_.NextWake();
    if (next > until) {
      break;
    }
    now_ = std::max(now_ + 1ms, next);
  }
  now_ = std::max(now_, until);
}

void VirtualCluster::Plan() {
  for (const Decision& decision : planner_.Plan(now_)) {
    Execute(decision);
  }
}

void VirtualCluster::Execute(const Decision& decision) {
  if (const StartGang* start = std::get_if<StartGang>(&decision)) {
    history_.push_back("start " + start->job);
    const auto it = waiting_.find(start->job);
    if (it == waiting_.end()) {
      AddFault("started " + start->job + ", which is not waiting");
      return;
    }
    CheckStart(*start, it->second);
    if (++attempts_[start->job] != start->attempt) {
      AddFault("attempt " + std::to_string(start->attempt) + " of " +
               start->job + " is out of order");
    }
    running_[start->job] = {.placements = start->placements,
                            .spec = it->second};
    waiting_.erase(it);
    planner_.OnStarted(now_, start->job);
    return;
  }
  if (const StopGang* stop = std::get_if<StopGang>(&decision)) {
    history_.push_back("stop " + stop->job);
    const auto it = running_.find(stop->job);
    if (it == running_.end()) {
      AddFault("stopped " + stop->job + ", which does not run");
      return;
    }
    const bool for_others = stop->reason == StopReason::kReclaimed ||
                            stop->reason == StopReason::kUrgent ||
                            stop->reason == StopReason::kMoved;
    if (for_others && !it->second.spec.idempotent &&
        !it->second.spec.checkpointable) {
      AddFault("stopped " + stop->job +
               " for others, though it can be neither repeated nor resumed");
    }
    it->second.stopping = true;
    it->second.stop = *stop;
    return;
  }
  const EndJob& end = std::get<EndJob>(decision);
  history_.push_back("end " + end.job + " " + ToString(end.outcome.state));
  if (waiting_.erase(end.job) == 0) {
    AddFault("ended " + end.job + ", which is not waiting or just over");
  }
  if (end.outcome.state == JobState::kNotRun && attempts_.contains(end.job)) {
    AddFault(end.job + " ended as not run despite an attempt");
  }
  ended_[end.job] = end.outcome.state;
}

void VirtualCluster::CheckStart(const StartGang& start, const JobSpec& spec) {
  if (start.placements.size() != static_cast<std::size_t>(spec.tasks)) {
    AddFault("partial gang of " + start.job);
  }
  struct Use {
    std::int32_t cores = 0, memory_mb = 0, slots = 0;
    std::uint32_t mask = 0;
  };
  std::map<std::string, Use> use;
  const auto add = [&](const TaskPlacement& p, const TaskShape& shape) {
    Use& u = use[p.worker];
    if ((u.mask & p.accelerator_mask) != 0) {
      AddFault("an accelerator of " + p.worker + " is granted twice, to " +
               start.job + " too");
    }
    u.mask |= p.accelerator_mask;
    u.cores += shape.cores;
    u.memory_mb += shape.memory_mb;
    ++u.slots;
  };
  for (const auto& [job, run] : running_) {
    for (const TaskPlacement& p : run.placements) {
      add(p, run.spec.shape);
    }
  }
  for (const TaskPlacement& p : start.placements) {
    add(p, spec.shape);
    const WorkerSpec* const w = inventory_.FindWorker(p.worker);
    if (w == nullptr || !workers_up_.contains(p.worker) || w->cordoned ||
        inventory_.FindDataCentre(w->data_centre)->out_of_service) {
      AddFault("started " + start.job + " on " + p.worker +
               ", which is out of service");
      continue;
    }
    if (std::popcount(p.accelerator_mask) != spec.shape.accelerators) {
      AddFault("wrong number of accelerators for " + start.job);
    }
    const Use& u = use[p.worker];
    if (u.cores > w->cores || u.memory_mb > w->memory_mb ||
        u.slots > w->slots || (u.mask >> w->accelerators) != 0) {
      AddFault(p.worker + " is overcommitted by " + start.job);
    }
  }
  CheckAdjacency(start, spec);
}

void VirtualCluster::CheckAdjacency(const StartGang& start,
                                    const JobSpec& spec) {
  std::set<std::string> groups;
  for (const TaskPlacement& p : start.placements) {
    const WorkerSpec* const w = inventory_.FindWorker(p.worker);
    if (w != nullptr) {
      groups.insert(spec.adjacency == Adjacency::kWorker ? w->name
                    : spec.adjacency == Adjacency::kRack ? w->rack
                    : spec.adjacency == Adjacency::kDataCentre
                        ? w->data_centre
                        : inventory_.FindDataCentre(w->data_centre)->region);
    }
    if (spec.shape.accelerators > 0 && p.accelerator_mask != 0) {
      const auto size = static_cast<int>(
          std::bit_ceil(static_cast<unsigned>(spec.shape.accelerators)));
      const int first = std::countr_zero(p.accelerator_mask);
      const int last = 31 - std::countl_zero(p.accelerator_mask);
      if (first / size != last / size) {
        AddFault("accelerators of a task of " + start.job +
                 " are not adjacent");
      }
    }
  }
  if (groups.size() > 1) {
    AddFault(start.job + " is spread wider than its adjacency allows");
  }
}

Inventory MakeInventory(int dcs,
                        int racks,
                        int workers,
                        int accelerators,
                        std::vector<AccountSpec> accounts) {
  Inventory out;
  int n = 0;
  for (int d = 0; d < dcs; ++d) {
    const std::string dc = "dc" + std::to_string(d);
    out.data_centres.push_back(
        {.name = dc, .region = "r", .grace_period = 60s});
    for (int r = 0; r < racks; ++r) {
      for (int w = 0; w < workers; ++w) {
        out.workers.push_back({.name = "w" + std::to_string(100 + n++),
                               .rack = dc + "-rack" + std::to_string(r),
                               .data_centre = dc,
                               .cores = accelerators * 4,
                               .memory_mb = accelerators * 4096,
                               .accelerators = accelerators,
                               .slots = 8});
      }
    }
  }
  out.accounts = std::move(accounts);
  return out;
}

JobSpec MakeJob(const std::string& account, int tasks, int accelerators) {
  return {.account = account,
          .tasks = tasks,
          .shape = {.cores = std::max(1, accelerators),
                    .memory_mb = 1024 * std::max(1, accelerators),
                    .accelerators = accelerators},
          .expected_run_time = 10min};
}

}  // namespace marjoramplank::testing
