#include "src/dispatch/migration.h"

#include <algorithm>
#include <tuple>

namespace marjoramplank {

namespace {

const WorkerIncarnation& Id(const WorkerCapacity& worker) {
  return worker.entry->report.incarnation;
}

const RunUnit& UnitOf(const LedgerJob& job, const TaskRef& first) {
  return job.UnitOf(first);
}

// What the unit's runs use on the worker.
Resources UsedBy(const WaitingUnit& unit, const LedgerWorker& worker) {
  Resources out;
  for (const MemberPlace& m : unit.unit->members) {
    TaskRef task = unit.first_task;
    task.index = m.index;
    const auto run = m.incarnation == worker.report.incarnation
                         ? worker.runs.find(task)
                         : worker.runs.end();
    if (run != worker.runs.end()) {
      out += run->second.need;
    }
  }
  return out;
}

auto RankOf(const WaitingUnit& unit) {
  return std::tuple(unit.job->request.terms.priority, unit.deadline);
}

}  // namespace

MigrationPlanner::MigrationPlanner(const MigrationPolicy& policy,
                                   RunForecast& forecast,
                                   CapacityTable& table)
    : policy_(policy), forecast_(forecast), table_(table) {
  std::set<const RunUnit*> seen;
  for (const auto& [incarnation, worker] : forecast_.ledger().workers()) {
    for (const auto& [task, run] : worker.runs) {
      const LedgerJob* job =
          run.must_stop ? forecast_.ledger().FindJob(task.job) : nullptr;
      if (job == nullptr || job->ended()) {
        continue;
      }
      const TaskRef first = FirstTaskOfUnit(*job, task);
      const RunUnit& unit = UnitOf(*job, first);
      // Later stops of the unit are for other causes, and end as fast.
      if (unit.migrations > 0 && unit.stop_requested && unit.run == run.run &&
          seen.insert(&unit).second) {
        migrating_.push_back(MakeWaitingUnit(forecast_, *job, first));
      }
    }
  }
  std::sort(migrating_.begin(), migrating_.end(),
            [](const WaitingUnit& a, const WaitingUnit& b) {
              return std::tuple(RankOf(a), a.first_task) <
                     std::tuple(RankOf(b), b.first_task);
            });
}

WaitingUnit MakeWaitingUnit(RunForecast& forecast,
                            const LedgerJob& job,
                            const TaskRef& first) {
  const JobStep& step = job.request.steps[static_cast<std::size_t>(first.step)];
  Resources need = step.need;
  if (step.uses_idle_cpu) {
    need.cpu_milli = 0;
  }
  const JobForecast& times = forecast.Of(job);
  const Time due_at = forecast.DueAt(job, first.occurrence);
  WaitingUnit out;
  out.job = &job;
  out.step = &step;
  out.unit = &UnitOf(job, first);
  out.first_task = first;
  out.member_count = step.gang ? step.tasks : 1;
  out.member_need = need;
  out.due_at = due_at;
  out.deadline = due_at + times.objective;
  const auto s = static_cast<std::size_t>(first.step);
  out.run_time = times.run_times[s];
  out.remaining = times.path_times[s];
  out.planned_at = forecast.now();
  out.expected_end = forecast.now() + times.run_times[s];
  return out;
}

void MigrationPlanner::ReserveNext() {
  const WaitingUnit& unit = migrating_[reserved_++];
  if (const auto placement = FindFaster(unit)) {
    Reserve(unit, *placement);
  }
}

void MigrationPlanner::ReserveBefore(const WaitingUnit& next) {
  while (reserved_ < migrating_.size() && !next.is_guaranteed &&
         RankOf(migrating_[reserved_]) < RankOf(next)) {
    ReserveNext();
  }
}

double MigrationPlanner::SlownessOf(const WorkerIncarnation& incarnation) {
  const LedgerWorker* worker = forecast_.ledger().FindWorker(incarnation);
  return worker == nullptr ? 1 : forecast_.Slowness(*worker);
}

bool MigrationPlanner::IsKnownSlow(const LedgerWorker& worker) {
  return forecast_.Slowness(worker) >= policy_.min_slowness &&
         forecast_.SampleCount(worker) >= policy_.min_samples;
}

std::optional<MigrationPlanner::Candidate> MigrationPlanner::MakeCandidate(
    const TaskRef& task,
    const LiveRun& run) {
  const LedgerJob* job = forecast_.ledger().FindJob(task.job);
  if (run.must_stop || run.stalled || job == nullptr || job->ended()) {
    return std::nullopt;
  }
  const auto s = static_cast<std::size_t>(task.step);
  const TaskRef first = FirstTaskOfUnit(*job, task);
  const RunUnit& unit = UnitOf(*job, first);
  if (job->request.steps[s].long_running || unit.stop_requested ||
      unit.run != run.run || unit.migrations >= policy_.max_migrations ||
      unit.MaxCrashes() >= kTrialCrashedWorkers ||
      unit.unfinished_members !=
          static_cast<std::int32_t>(unit.members.size()) ||
      (unit.run > 1 &&
       forecast_.now() - run.first_seen_at < policy_.min_age_after_stop) ||
      !forecast_.ledger().run_times().IsLearned(job->request, s)) {
    return std::nullopt;
  }
  Candidate out{.unit = MakeWaitingUnit(forecast_, *job, first),
                .migration = {.first = first, .run = unit.run}};
  return MeasureProgress(out) ? std::optional(std::move(out)) : std::nullopt;
}

// A gang resumes from one checkpoint: its least progress counts, and its
// largest member.
bool MigrationPlanner::MeasureProgress(Candidate& candidate) {
  const WaitingUnit& unit = candidate.unit;
  const std::size_t step = static_cast<std::size_t>(unit.first_task.step);
  double least_done = 1;
  Duration largest{0};  // On a machine of usual speed.
  for (const MemberPlace& m : unit.unit->members) {
    const LedgerWorker* worker = forecast_.ledger().FindWorker(m.incarnation);
    TaskRef task = unit.first_task;
    task.index = m.index;
    if (worker == nullptr || !worker->runs.contains(task)) {
      return false;
    }
    const LiveRun& run = worker->runs.at(task);
    const double slowness = forecast_.Slowness(*worker);
    const Duration total =
        run.projected_run_time > Duration(0)
            ? run.projected_run_time
            : Scale(forecast_.Of(*unit.job).run_times[step], slowness);
    const Duration remaining =
        forecast_.ExpectedRemaining(*unit.job, *worker, task, run);
    if (remaining <= Duration(0) && run.projected_run_time <= Duration(0)) {
      return false;  // Over its estimate: how long it takes is not known.
    }
    const double done =
        1 - static_cast<double>(std::max(remaining, Duration(0)).count()) /
                static_cast<double>(total.count());
    least_done = std::min(least_done, done);
    largest = std::max(largest, Scale(total, 1 / slowness));
    candidate.migration.remaining_here =
        std::max(candidate.migration.remaining_here, remaining);
    candidate.migration.slowness_here =
        std::max(candidate.migration.slowness_here, slowness);
  }
  candidate.overhead = policy_.stop_time + policy_.travel_time;
  if (unit.step->checkpoints) {
    candidate.overhead += policy_.restore_time;
    candidate.rest_on_usual = Scale(largest, 1 - least_done);
    return true;
  }
  candidate.rest_on_usual = largest;
  return least_done < policy_.max_lost_fraction;
}

std::optional<UnitPlacement> MigrationPlanner::FindFasterAmong(
    const std::vector<const WorkerCapacity*>& workers,
    const WaitingUnit& unit) {
  struct Room {
    double slowness = 1;
    const WorkerCapacity* worker = nullptr;
    std::int32_t members = 0;
  };
  std::vector<Room> rooms;
  table_.CountExamined(workers.size());
  for (const WorkerCapacity* worker : workers) {
    const LedgerWorker& entry = *worker->entry;
    if (worker->is_quarantined || worker->hold || !MayShare(unit, *worker) ||
        forecast_.SampleCount(entry) < policy_.min_samples ||
        forecast_.Slowness(entry) >= policy_.min_slowness ||
        unit.unit->failed_on_workers.contains(Id(*worker)) ||
        unit.unit->HasCrashed(entry.report.agent) ||
        (!unit.step->data_rack.empty() &&
         entry.report.rack != unit.step->data_rack)) {
      continue;
    }
    const std::int32_t members =
        MembersThatFit(unit, *worker, worker->free + UsedBy(unit, entry));
    if (members > 0) {
      rooms.push_back({forecast_.Slowness(entry), worker, members});
    }
  }
  std::sort(rooms.begin(), rooms.end(), [](const Room& a, const Room& b) {
    return a.slowness != b.slowness ? a.slowness < b.slowness
                                    : Id(*a.worker) < Id(*b.worker);
  });
  UnitPlacement out;
  std::int32_t index = unit.first_task.index;
  for (const Room& room : rooms) {
    for (std::int32_t n = 0; n < room.members; ++n) {
      if (std::ssize(out.members) == unit.member_count) {
        return out;
      }
      out.members.push_back(
          {.index = index++, .incarnation = Id(*room.worker)});
    }
  }
  return std::ssize(out.members) == unit.member_count ? std::optional(out)
                                                      : std::nullopt;
}

std::optional<UnitPlacement> MigrationPlanner::FindFaster(
    const WaitingUnit& unit) {
  if (!unit.step->gang || !unit.step->same_rack) {
    return FindFasterAmong(table_.workers(), unit);
  }
  for (const auto& [rack, workers] : table_.workers_by_rack()) {
    if (auto placement = FindFasterAmong(workers, unit)) {
      return placement;
    }
  }
  return std::nullopt;
}

bool MigrationPlanner::IsWorthIt(Candidate& candidate) {
  Migration& m = candidate.migration;
  m.slowness_there = 0;
  for (const MemberPlace& place : candidate.placement.members) {
    m.slowness_there =
        std::max(m.slowness_there, SlownessOf(place.incarnation));
  }
  m.remaining_there =
      candidate.overhead + Scale(candidate.rest_on_usual, m.slowness_there);
  const Duration saved = m.remaining_here - m.remaining_there;
  const double min_fraction = candidate.unit.step->checkpoints
                                  ? policy_.min_saved_fraction
                                  : policy_.min_saved_fraction_anew;
  if (saved < policy_.min_saved ||
      saved < Scale(m.remaining_here, min_fraction)) {
    return false;
  }
  // Only runs that the slow machine makes late.
  const WaitingUnit& unit = candidate.unit;
  const JobForecast& times = forecast_.Of(*unit.job);
  const auto step = static_cast<std::size_t>(unit.first_task.step);
  const Duration rest = times.path_times[step] - times.run_times[step];
  const Time now = forecast_.now();
  return AssessDeadline(now, unit.due_at, unit.deadline,
                        m.remaining_there + rest) <
         AssessDeadline(now, unit.due_at, unit.deadline,
                        Scale(m.remaining_here, 1 + policy_.end_margin) + rest);
}

bool MigrationPlanner::IsWanted(
    const Candidate& candidate,
    const std::vector<const WaitingUnit*>& unplaced) {
  return std::any_of(
      unplaced.begin(), unplaced.end(), [&](const WaitingUnit* waiting) {
        if (!waiting->is_guaranteed &&
            waiting->job->request.terms.priority >
                candidate.unit.job->request.terms.priority) {
          return false;
        }
        return std::any_of(
            candidate.placement.members.begin(),
            candidate.placement.members.end(), [&](const MemberPlace& m) {
              const WorkerCapacity* worker = table_.Find(m.incarnation);
              return worker != nullptr &&
                     MembersThatFit(*waiting, *worker, worker->free) > 0;
            });
      });
}

void MigrationPlanner::Reserve(const WaitingUnit& unit,
                               const UnitPlacement& placement) {
  double slowness = 1;
  for (const MemberPlace& m : placement.members) {
    slowness = std::max(slowness, SlownessOf(m.incarnation));
  }
  for (const MemberPlace& m : placement.members) {
    table_.Reserve(m.incarnation, unit, unit.ExpectedEndAt(slowness));
  }
}

std::vector<MigrationPlanner::Candidate> MigrationPlanner::FindCandidates(
    const std::set<TaskRef>& stopped_units) {
  std::vector<Candidate> out;
  std::set<const RunUnit*> seen;
  for (const WorkerCapacity* worker : table_.workers()) {
    if (!IsKnownSlow(*worker->entry)) {
      continue;
    }
    for (const auto& [task, run] : worker->entry->runs) {
      std::optional<Candidate> candidate = MakeCandidate(task, run);
      if (candidate && !stopped_units.contains(candidate->unit.first_task) &&
          seen.insert(candidate->unit.unit).second) {
        out.push_back(std::move(*candidate));
      }
    }
  }
  std::sort(out.begin(), out.end(), [](const Candidate& a, const Candidate& b) {
    return std::tuple(RankOf(a.unit), a.unit.first_task) <
           std::tuple(RankOf(b.unit), b.unit.first_task);
  });
  return out;
}

bool MigrationPlanner::HasFreeFastWorker() {
  return std::any_of(
      table_.workers().begin(), table_.workers().end(),
      [&](const WorkerCapacity* worker) {
        return (worker->free.accelerators > 0 || worker->free.cpu_milli > 0) &&
               forecast_.Slowness(*worker->entry) < policy_.min_slowness;
      });
}

std::vector<Migration> MigrationPlanner::Choose(
    const std::vector<const WaitingUnit*>& unplaced,
    const std::set<TaskRef>& stopped_units) {
  std::vector<Migration> out;
  while (reserved_ < migrating_.size()) {
    ReserveNext();
  }
  if (!HasFreeFastWorker()) {
    return out;
  }
  for (Candidate& candidate : FindCandidates(stopped_units)) {
    if (out.size() >= policy_.max_per_plan) {
      break;
    }
    std::optional<UnitPlacement> placement = FindFaster(candidate.unit);
    if (!placement) {
      continue;
    }
    candidate.placement = std::move(*placement);
    if (IsWorthIt(candidate) && !IsWanted(candidate, unplaced)) {
      Reserve(candidate.unit, candidate.placement);
      out.push_back(candidate.migration);
    }
  }
  return out;
}

}  // namespace marjoramplank
