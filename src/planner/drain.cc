#include "src/planner/drain.h"

#include <algorithm>
#include <optional>

#include "src/planner/occupancy.h"
#include "src/planner/start_rules.h"

namespace marjoramplank {

namespace {

constexpr Duration kReviewInterval = 60s;
// Shorter runs are left to end by themselves.
constexpr Duration kMinRemainingToMove = 5min;
constexpr std::int32_t kMaxMovesPerReview = 4;

// From `at` on, `tasks` more tasks of the gang fit on the worker.
struct CapacityGain {
  Time at{0};
  WorkerIndex worker = kNone;
  std::int32_t tasks = 0;
};

// Number of tasks of the gang that fit in `free`. Accelerators of cells in use
// (`in_use`) do not count, as their accounts start and end tasks there at any
// time. A gang that may not borrow must also keep out of idle cells.
std::int32_t CountFittingTasks(const PlannerState& s,
                               FreeCapacity free,
                               const JobRecord& gang,
                               WorkerIndex i,
                               AcceleratorMask in_use) {
  free.mask &= ~in_use;
  if (!gang.MayBorrow()) {
    const WorkerState& w = s.table.worker(i);
    const HostResources outside = w.HostCapacity() - w.reserved.host_resources +
                                  w.reserved_by_preemptible.host_resources;
    free.mask &= ~(w.reserved.mask & ~w.reserved_by_preemptible.mask);
    free.host_resources.cores =
        std::min(free.host_resources.cores, outside.cores);
    free.host_resources.memory_mb =
        std::min(free.host_resources.memory_mb, outside.memory_mb);
    free.host_resources.slots =
        std::min(free.host_resources.slots, outside.slots);
  }
  std::vector<PlacedTask> ignored;
  return PlaceTasksOnWorker(free, gang.spec.shape, gang.spec.tasks, i, ignored);
}

// Simulates the expected ends of the worker's runs and records each time at
// which more tasks of the gang fit.
void AddCapacityGains(const PlannerState& s,
                      Time now,
                      const JobRecord& gang,
                      WorkerIndex i,
                      AcceleratorMask in_use,
                      std::vector<CapacityGain>& out) {
  const WorkerState& w = s.table.worker(i);
  FreeCapacity free = s.table.FreeCapacityOf(i, CapacityScope::kAnyFree);
  std::int32_t fitting_tasks = CountFittingTasks(s, free, gang, i, in_use);
  if (fitting_tasks > 0) {
    out.push_back({.at = now, .worker = i, .tasks = fitting_tasks});
  }
  std::vector<std::pair<Time, JobIndex>> ends;
  for (const JobIndex n : std::set<JobIndex>(w.jobs.begin(), w.jobs.end())) {
    const JobRecord& job = s.job(n);
    const RunTimeEstimator& estimator = s.account(job.account).estimator;
    ends.emplace_back(now + estimator.Remaining(job.spec.expected_run_time,
                                                now - job.started_at),
                      n);
  }
  std::sort(ends.begin(), ends.end());
  for (const auto& [at, n] : ends) {
    for (const PlacedTask& task : s.job(n).tasks) {
      if (task.worker == i) {
        free.mask |= task.mask;
        free.host_resources += HostResourcesOf(s.job(n).spec.shape);
      }
    }
    const std::int32_t fitting_after =
        CountFittingTasks(s, free, gang, i, in_use);
    if (fitting_after > fitting_tasks) {
      out.push_back(
          {.at = at, .worker = i, .tasks = fitting_after - fitting_tasks});
      fitting_tasks = fitting_after;
    }
  }
}

// Accelerators of each worker that lie in cells in use.
std::vector<AcceleratorMask> CellsInUse(const PlannerState& s) {
  std::vector<AcceleratorMask> out(s.table.workers().size(), 0);
  for (const Cell& cell : s.cells) {
    for (const CellBlock& block : cell.blocks) {
      if (!cell.IsIdle() && block.worker != kNone) {
        out[static_cast<std::size_t>(block.worker)] |= block.mask;
      }
    }
  }
  return out;
}

// Finds the adjacency group in which the gang fits soonest.
std::optional<Drain> PlanDrain(const PlannerState& s, Time now, JobIndex i) {
  const JobRecord& gang = s.job(i);
  const std::vector<AcceleratorMask> in_use = CellsInUse(s);
  std::map<std::int32_t, std::vector<CapacityGain>> groups;
  for (std::size_t n = 0; n < s.table.workers().size(); ++n) {
    const auto w = static_cast<WorkerIndex>(n);
    const JobIndex drained_for = s.table.worker(w).drained_for;
    if (s.table.IsReservable(w) && !s.table.worker(w).on_probation &&
        (drained_for == kNone || drained_for == i)) {
      AddCapacityGains(
          s, now, gang, w, in_use[n],
          groups[AdjacencyGroupOf(s.table, w, gang.spec.adjacency)]);
    }
  }
  std::optional<Drain> best;
  for (auto& [group, gains] : groups) {
    std::stable_sort(gains.begin(), gains.end(),
                     [](const CapacityGain& a, const CapacityGain& b) {
                       return a.at < b.at;
                     });
    Drain drain{.job = i,
                .workers = {},
                .expected_ready_at = now,
                .reviewed_at = now,
                .begun_at = now};
    std::int32_t tasks_left = gang.spec.tasks;
    for (const CapacityGain& gain : gains) {
      if (tasks_left <= 0) {
        break;
      }
      tasks_left -= gain.tasks;
      drain.expected_ready_at = gain.at;
      if (std::find(drain.workers.begin(), drain.workers.end(), gain.worker) ==
          drain.workers.end()) {
        drain.workers.push_back(gain.worker);
      }
    }
    const bool starving = now - gang.submitted_at >= s.options.starvation_wait;
    const bool within_horizon =
        drain.expected_ready_at - now <= s.options.drain_horizon;
    if (tasks_left <= 0 && (within_horizon || starving) &&
        (!best || drain.expected_ready_at < best->expected_ready_at)) {
      best = std::move(drain);
    }
  }
  return best;
}

void SetDrainedFor(PlannerState& s, const Drain& drain, JobIndex value) {
  for (const WorkerIndex i : drain.workers) {
    if (i != kNone) {
      s.table.UpdateWorker(i, [&](WorkerState& w) { w.drained_for = value; });
    }
  }
}

Drain* FindDrain(PlannerState& s, JobIndex job) {
  const auto it = std::find_if(s.drains.begin(), s.drains.end(),
                               [&](const Drain& d) { return d.job == job; });
  return it == s.drains.end() ? nullptr : &*it;
}

// Moves idle cells off the drained workers where possible, so that their
// accounts start jobs elsewhere.
void MoveCellsOffDrainedWorkers(PlannerState& s) {
  for (std::size_t n = 0; n < s.cells.size(); ++n) {
    const Cell& cell = s.cells[n];
    const bool drained = std::any_of(
        cell.blocks.begin(), cell.blocks.end(), [&](const CellBlock& b) {
          return b.worker != kNone &&
                 s.table.worker(b.worker).drained_for != kNone;
        });
    if (!cell.IsIdle() || !drained) {
      continue;
    }
    std::vector<CellBlock> blocks = FindLocation(
        s.table, cell, LocateMode::kUnreserved, {.exclude_drained = true});
    if (!blocks.empty()) {
      MoveCell(s, static_cast<std::int32_t>(n), std::move(blocks));
    }
  }
}

void StartDrain(PlannerState& s, Drain drain) {
  SetDrainedFor(s, drain, drain.job);
  MoveCellsOffDrainedWorkers(s);
  s.job(drain.job).drained_workers =
      static_cast<std::int32_t>(drain.workers.size());
  s.timers.emplace(drain.reviewed_at + kReviewInterval,
                   Timer{.kind = TimerKind::kRunPass, .name = {}});
  s.drains.push_back(std::move(drain));
}

// True when the job may be moved off a worker drained for the gang.
bool MayMove(const PlannerState& s,
             Time now,
             const JobRecord& job,
             const JobRecord& gang) {
  const RunTimeEstimator& estimator = s.account(job.account).estimator;
  const bool move_interval_passed =
      job.last_moved_at < Time{0} ||
      now - job.last_moved_at >= s.options.min_move_interval;
  return job.phase == JobPhase::kRunning && job.spec.checkpointable &&
         move_interval_passed && job.spec.priority != Priority::kUrgent &&
         job.TotalAccelerators() * 2 <= gang.TotalAccelerators() &&
         estimator.Remaining(job.spec.expected_run_time,
                             now - job.started_at) >= kMinRemainingToMove;
}

void MoveJobsOffDrainedWorkers(PlannerState& s, Time now, const Drain& drain) {
  std::int32_t moves = 0;
  std::set<JobIndex> candidates;
  for (const WorkerIndex w : drain.workers) {
    candidates.insert(s.table.worker(w).jobs.begin(),
                      s.table.worker(w).jobs.end());
  }
  for (const JobIndex i : candidates) {
    JobRecord& job = s.job(i);
    if (moves == kMaxMovesPerReview ||
        !MayMove(s, now, job, s.job(drain.job))) {
      continue;
    }
    const SearchRequest request{.spec = &job.spec,
                                .scope = CapacityScope::kAnyFree,
                                .avoided_workers = &drain.workers};
    if (FindPlacement(s.table, request, s.counters).empty()) {
      continue;
    }
    job.last_moved_at = now;
    StopJob(s, i, StopReason::kMoved, s.options.move_checkpoint_timeout);
    ++s.counters.moves;
    ++moves;
  }
}

bool HasUnavailableWorker(const PlannerState& s, const Drain& drain) {
  return std::any_of(
      drain.workers.begin(), drain.workers.end(),
      [&](WorkerIndex i) { return i == kNone || !s.table.IsReservable(i); });
}

}  // namespace

void BeginDrains(PlannerState& s,
                 Time now,
                 const std::vector<JobIndex>& blocked) {
  for (const JobIndex i : blocked) {
    if (static_cast<std::int32_t>(s.drains.size()) >=
        s.options.max_concurrent_drains) {
      return;
    }
    JobRecord& job = s.job(i);
    const bool planned_lately = job.drain_planned_at >= Time{0} &&
                                now - job.drain_planned_at < kReviewInterval;
    if (planned_lately || job.drained_workers > 0 ||
        now - job.submitted_at < s.options.drain_wait ||
        !s.account(job.account).spec.may_borrow) {
      continue;
    }
    job.drain_planned_at = now;
    if (std::optional<Drain> drain = PlanDrain(s, now, i)) {
      ++s.counters.drains;
      StartDrain(s, std::move(*drain));
      MoveJobsOffDrainedWorkers(s, now, s.drains.back());
    }
  }
}

void ReviewDrains(PlannerState& s, Time now) {
  const std::vector<Drain> drains = s.drains;
  for (const Drain& old : drains) {
    const bool broken = HasUnavailableWorker(s, old);
    if (now - old.begun_at >= s.options.drain_timeout) {
      // The gang has not become placeable in time: its workers are released,
      // and no drain is planned for it for another drain_timeout.
      EndDrain(s, old.job);
      s.job(old.job).drain_planned_at = now + s.options.drain_timeout;
      continue;
    }
    if (!broken && now - old.reviewed_at < kReviewInterval) {
      continue;
    }
    std::optional<Drain> next = PlanDrain(s, now, old.job);
    // Switches only to a clearly earlier alternative, as the progress of the
    // current drain is lost.
    const bool better = next && (next->expected_ready_at - now) * 2 <
                                    old.expected_ready_at - now;
    if (broken || better) {
      EndDrain(s, old.job);
      if (next) {
        next->begun_at = old.begun_at;
        StartDrain(s, std::move(*next));
        MoveJobsOffDrainedWorkers(s, now, s.drains.back());
      }
      continue;
    }
    Drain* const kept = FindDrain(s, old.job);
    kept->reviewed_at = now;
    kept->expected_ready_at =
        std::max(kept->expected_ready_at, now + kReviewInterval);
    s.timers.emplace(now + kReviewInterval,
                     Timer{.kind = TimerKind::kRunPass, .name = {}});
    MoveJobsOffDrainedWorkers(s, now, *kept);
  }
}

void EndDrain(PlannerState& s, JobIndex job) {
  const auto it = std::find_if(s.drains.begin(), s.drains.end(),
                               [&](const Drain& d) { return d.job == job; });
  if (it == s.drains.end()) {
    return;
  }
  SetDrainedFor(s, *it, kNone);
  s.job(job).drained_workers = 0;
  s.drains.erase(it);
  MarkCapacityChanged(s);
}

void SuspendDrain(PlannerState& s, JobIndex job) {
  if (const Drain* drain = FindDrain(s, job)) {
    SetDrainedFor(s, *drain, kNone);
  }
}

void ResumeDrain(PlannerState& s, JobIndex job) {
  if (const Drain* drain = FindDrain(s, job)) {
    SetDrainedFor(s, *drain, job);
  }
}

}  // namespace marjoramplank
