#include "src/jobs/ledger.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace marjoramplank {

namespace {

std::int32_t SumOf(const std::map<std::string, std::int32_t>& counts) {
  return std::accumulate(
      counts.begin(), counts.end(), std::int32_t{0},
      [](std::int32_t sum, const auto& entry) { return sum + entry.second; });
}

}  // namespace

const char* ToString(JobPhase phase) {
  switch (phase) {
    case JobPhase::kQueued:
      return "queued";
    case JobPhase::kRunning:
      return "running";
    case JobPhase::kCompleted:
      return "completed";
    case JobPhase::kFailed:
      return "failed";
    case JobPhase::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

TaskRef FirstTaskOfUnit(const LedgerJob& job, TaskRef task) {
  const auto step = static_cast<std::size_t>(task.step);
  if (step < job.request.steps.size() && job.request.steps[step].gang) {
    task.index = 0;
  }
  return task;
}

std::int32_t RunUnit::MaxCrashes() const {
  std::int32_t max = 0;
  for (const auto& [index, by_agent] : crashes) {
    max = std::max(max, SumOf(by_agent));
  }
  return max;
}

bool RunUnit::HasCrashed(const std::string& agent) const {
  return std::any_of(crashes.begin(), crashes.end(), [&](const auto& entry) {
    return entry.second.contains(agent);
  });
}

bool Ledger::Apply(Time now, const LedgerRecord& record) {
  listening_time_ = ListeningTime(now);
  last_record_at_ = std::max(last_record_at_, now);
  return std::visit([&](const auto& r) { return ApplyRecord(now, r); }, record);
}

Duration Ledger::ListeningTime(Time now) const {
  const Duration silence = last_record_at_ == Time{0}
                               ? Duration(0)
                               : std::clamp(Duration(now - last_record_at_),
                                            Duration(0), kMaxLogSilence);
  return listening_time_ + silence;
}

const LedgerJob* Ledger::FindJob(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const LedgerWorker* Ledger::FindWorker(
    const WorkerIncarnation& incarnation) const {
  const auto it = workers_.find(incarnation);
  return it == workers_.end() ? nullptr : &it->second;
}

const LedgerAgent* Ledger::FindAgent(const std::string& agent) const {
  const auto it = agents_.find(agent);
  return it == agents_.end() ? nullptr : &it->second;
}

std::map<JobQueue, std::int32_t> Ledger::QueuedJobCounts() const {
  std::map<JobQueue, std::int32_t> out;
  for (const std::string& id : open_jobs_) {
    const LedgerJob& job = jobs_.at(id);
    if (job.phase == JobPhase::kQueued) {
      ++out[QueueOf(job.request)];
    }
  }
  return out;
}

bool Ledger::IsAtServiceOfJob(const LedgerJob& job, const RunUnit& unit) const {
  return !job.has_moved || std::any_of(unit.members.begin(), unit.members.end(),
                                       [&](const MemberPlace& m) {
                                         const LedgerWorker* worker =
                                             FindWorker(m.incarnation);
                                         return worker != nullptr &&
                                                worker->report.service ==
                                                    job.request.terms.service;
                                       });
}

bool Ledger::IsReady(const LedgerJob& job,
                     std::size_t occurrence,
                     std::size_t step) {
  const std::vector<StepState>& steps = job.occurrences[occurrence];
  const std::vector<std::int32_t>& after = job.request.steps[step].after;
  return std::all_of(after.begin(), after.end(), [&](std::int32_t n) {
    return steps[static_cast<std::size_t>(n)].IsDone();
  });
}

Ledger Ledger::CopyForPlanning() const {
  // Plans only ask whether there is a checkpoint.
  const auto reduce = [](std::string& checkpoint) {
    checkpoint = checkpoint.empty() ? "" : "c";
  };
  Ledger out;
  out.open_jobs_ = open_jobs_;
  for (const std::string& id : open_jobs_) {
    LedgerJob& job = out.jobs_.emplace(id, jobs_.at(id)).first->second;
    job.request.payload = std::string();
    job.occurrences.ForEachValue([&](std::vector<StepState>& steps) {
      for (StepState& step : steps) {
        step.units.ForEachValue(
            [&](RunUnit& unit) { reduce(unit.checkpoint); });
      }
    });
  }
  for (const auto& [incarnation, worker] : workers_) {
    LedgerWorker& copy =
        out.workers_.emplace(incarnation, worker).first->second;
    for (auto& [task, run] : copy.runs) {
      run.payload = std::string();
      reduce(run.checkpoint);
    }
  }
  out.agents_ = agents_;
  out.run_times_ = run_times_;
  out.planner_ = planner_;
  out.planner_epoch_ = planner_epoch_;
  out.planner_last_seen_at_ = planner_last_seen_at_;
  out.accepted_count_ = accepted_count_;
  out.rules_version_ = rules_version_;
  out.last_record_at_ = last_record_at_;
  out.listening_time_ = listening_time_;
  return out;
}

std::size_t Ledger::OpenUnitCount() const {
  std::size_t out = 0;
  for (const std::string& id : open_jobs_) {
    for (const auto occurrences : jobs_.at(id).occurrences) {
      for (const StepState& step : occurrences.value) {
        out += step.units.range_count();
      }
    }
  }
  return out;
}

bool Ledger::ApplyRecord(Time now, const JobSubmitted& r) {
  const std::string& id = r.request.id;
  if (jobs_.contains(id)) {
    return false;
  }
  LedgerJob job;
  job.request = r.request;
  job.sequence_number = ++accepted_count_;
  job.first_seen_at = now;
  const int occurrence_count =
      std::max(1, r.request.recurrence.occurrence_count);
  std::vector<StepState> steps;
  for (const JobStep& step : r.request.steps) {
    const std::size_t n = step.gang ? 1 : static_cast<std::size_t>(step.tasks);
    steps.push_back({.units = RunLengthVector<RunUnit>(n)});
  }
  job.occurrences.Append(static_cast<std::size_t>(occurrence_count),
                         std::move(steps));
  LedgerJob& stored = jobs_.emplace(id, std::move(job)).first->second;
  open_jobs_.insert(id);
  if (early_cancels_.erase(id) > 0) {
    EndJob(stored, JobPhase::kCancelled);
  }
  return true;
}

bool Ledger::ApplyRecord(Time, const JobCancelled& r) {
  const auto it = jobs_.find(r.job);
  if (it == jobs_.end()) {
    const bool added = early_cancels_.insert(r.job).second;
    if (early_cancels_.size() > kMaxEarlyCancels) {
      early_cancels_.erase(early_cancels_.begin());
    }
    return added;
  }
  if (it->second.ended()) {
    return false;
  }
  EndJob(it->second, JobPhase::kCancelled);
  return true;
}

bool Ledger::TakeProcess(LedgerAgent& agent, const AgentHeartbeat& r) {
  if (r.process == agent.process) {
    agent.beats_of_process_before = 0;
    return true;
  }
  if (r.process_number == 0) {
    return TakeUnnumberedProcess(agent, r.process);
  }
  if (r.process_number <= agent.process_number) {
    return false;
  }
  ReplaceProcess(agent, r.process, r.process_number);
  agent.last_statement_before = std::exchange(agent.last_statement, 0);
  return true;
}

void Ledger::ReplaceProcess(LedgerAgent& agent,
                            const std::string& process,
                            std::int64_t number) {
  agent.process_before = std::exchange(agent.process, process);
  agent.process_number = number;
  agent.beats_of_process_before = 0;
  agent.earlier_uptime += std::exchange(agent.uptime, Duration(0));
  const auto set_sender_ended = [&](auto& sent) {
    if (sent.sender_ended_at < Duration(0)) {
      sent.sender_ended_at = agent.earlier_uptime;
    }
  };
  if (const auto worker = workers_.find(agent.incarnation);
      worker != workers_.end()) {
    for (auto& [task, run] : worker->second.runs) {
      set_sender_ended(run);
    }
  }
  for (auto& [run, late_start] : agent.late_starts) {
    set_sender_ended(late_start);
  }
}

bool Ledger::TakeUnnumberedProcess(LedgerAgent& agent,
                                   const std::string& process) {
  const bool was_before = !process.empty() && process == agent.process_before;
  // One heartbeat of it may have been delayed. It lives if another follows
  // before one of its successor, whose own heartbeat was the delayed one.
  constexpr std::int32_t kBeatsOfLivingProcess = 2;
  if (was_before && ++agent.beats_of_process_before < kBeatsOfLivingProcess) {
    return false;
  }
  const std::int64_t statement = was_before ? agent.last_statement_before : 0;
  ReplaceProcess(agent, process, agent.process_number + 1);
  agent.last_statement_before = std::exchange(agent.last_statement, statement);
  return true;
}

bool Ledger::ApplyRecord(Time now, const AgentHeartbeat& r) {
  LedgerAgent& agent = agents_[r.agent];
  if (!TakeProcess(agent, r)) {
    return false;
  }
  agent.uptime = std::max(agent.uptime, r.uptime);
  agent.last_heartbeat_at = now;
  agent.listening_time = listening_time_;
  const bool is_stated = r.heard_ago >= Duration(0);
  agent.heard_worker = is_stated ? r.heard_worker : agent.incarnation;
  agent.worker_heard_at = is_stated ? now - r.heard_ago : now;
  return true;
}

void Ledger::ForgetLiveness() {
  for (auto& [name, agent] : agents_) {
    agent.heard_worker = {};
    agent.last_crash_at = Time{0};
  }
}

bool Ledger::ApplyRecord(Time, const EntryStarted& r) {
  EntryStarted& entry = entries_[r.entry];
  const bool changed = entry != r;
  entry = r;
  return changed;
}

bool Ledger::TakeStatement(LedgerAgent& agent, const AgentStatement& s) {
  if (s.process != agent.process || s.number <= agent.last_statement) {
    return false;
  }
  agent.last_statement = s.number;
  return true;
}

bool Ledger::ApplyRecord(Time now, const WorkerReported& r) {
  LedgerAgent& agent = agents_[r.agent];
  const bool is_delayed = r.statement.process.empty()
                              ? agent.incarnation.started_at_unix_ms >
                                    r.incarnation.started_at_unix_ms
                              : !TakeStatement(agent, r.statement);
  if (is_delayed) {
    return false;
  }
  if (agent.incarnation != r.incarnation) {
    if (const auto old = workers_.find(agent.incarnation);
        old != workers_.end()) {
      EndRuns(old->second, RunsOf(old->second));
      workers_.erase(agent.incarnation);
    }
    run_times_.OnNewIncarnation(r.agent);
    agent.incarnation = r.incarnation;
    agent.last_heartbeat_at = now;
    agent.listening_time = listening_time_;
  }
  LedgerWorker& worker = workers_[r.incarnation];
  worker.report = r;
  worker.incarnation_ended = false;
  if (r.accepting) {
    agent.heard_worker = r.incarnation;
    agent.worker_heard_at = now;
  }
  return true;
}

bool Ledger::ApplyRecord(Time now, const WorkerEmptied& r) {
  const auto it = workers_.find(r.incarnation);
  if (it == workers_.end() || (r.epoch != 0 && r.epoch != planner_epoch_)) {
    return false;
  }
  if (!r.statement.process.empty() &&
      !TakeStatement(agents_[it->second.report.agent], r.statement)) {
    return false;
  }
  const bool is_new_crash = r.crashed && !it->second.incarnation_ended;
  if (is_new_crash) {
    CountCrash(now, it->second, r);
  }
  const std::vector<RunRef> ended = EndedRuns(it->second, r);
  // The planner cannot know what an agent did that does not respond.
  if (r.epoch == 0) {
    for (const RunRef& run : ended) {
      SetBegun(run.task.job);
    }
  } else {
    // It has waited until no start can be carried out any more.
    for (const RunRef& run : ended) {
      it->second.runs.at(run.task).start_unanswered = false;
    }
  }
  EndRuns(it->second, ended);
  if (is_new_crash) {
    FailCrashingJobs(it->second);
  }
  it->second.report.accepting = false;
  it->second.incarnation_ended = r.incarnation_ended;
  return true;
}

bool Ledger::ApplyRecord(Time now, const PlannerElected& r) {
  const bool is_heartbeat = r.epoch == planner_epoch_ && r.entry == planner_;
  if (!is_heartbeat && r.epoch <= planner_epoch_) {
    return false;
  }
  planner_ = r.entry;
  planner_epoch_ = r.epoch;
  planner_last_seen_at_ = now;
  return true;
}

bool Ledger::ApplyRecord(Time now, const PlannerResigned& r) {
  if (r.epoch != planner_epoch_ || r.entry != planner_) {
    return false;
  }
  planner_.clear();
  planner_last_seen_at_ = now;
  return true;
}

bool Ledger::MayStart(const RunStarted& r) const {
  const LedgerJob* job = FindJob(r.first.job);
  if (r.epoch != planner_epoch_ || job == nullptr || job->ended()) {
    return false;
  }
  const auto k = static_cast<std::size_t>(r.first.occurrence);
  const auto s = static_cast<std::size_t>(r.first.step);
  if (k >= job->occurrences.size() || s >= job->request.steps.size() ||
      !IsReady(*job, k, s)) {
    return false;
  }
  const JobStep& step = job->request.steps[s];
  const RunLengthVector<RunUnit>& units = job->occurrences[k][s].units;
  const std::size_t u = static_cast<std::size_t>(r.first.index);
  if (u >= units.size() || !units[u].IsStartable() ||
      r.run != units[u].run + 1 ||
      r.members.size() !=
          static_cast<std::size_t>(step.gang ? step.tasks : 1)) {
    return false;
  }
  return std::all_of(r.members.begin(), r.members.end(), [&](const auto& m) {
    const LedgerWorker* worker = FindWorker(m.incarnation);
    return worker != nullptr && !worker->incarnation_ended &&
           worker->report.accepting;
  });
}

bool Ledger::ApplyRecord(Time now, const RunStarted& r) {
  if (!MayStart(r)) {
    return false;
  }
  LedgerJob& job = jobs_.at(r.first.job);
  const JobStep& step =
      job.request.steps[static_cast<std::size_t>(r.first.step)];
  RunUnit& unit = *FindUnit(r.first);
  unit.phase = RunUnit::Phase::kRunning;
  unit.run = r.run;
  unit.failure_counted = false;
  unit.stop_requested = false;
  unit.unfinished_members = static_cast<std::int32_t>(r.members.size());
  unit.members = r.members;
  Resources need = step.need;
  if (step.uses_idle_cpu) {
    need.cpu_milli = 0;
  }
  for (const MemberPlace& m : r.members) {
    LedgerWorker& worker = workers_.at(m.incarnation);
    TaskRef task = r.first;
    task.index = m.index;
    worker.used += need;
    worker.runs[task] = {.run = r.run,
                         .need = need,
                         .gang = step.gang,
                         .agent_process = agents_[worker.report.agent].process,
                         .payload = job.request.payload,
                         .checkpoint = r.checkpoint,
                         .first_seen_at = now};
  }
  ++job.running_units;
  job.phase = JobPhase::kRunning;
  return true;
}

bool Ledger::ApplyRecord(Time /*now*/, const RunStopped& r) {
  RunUnit* unit = FindUnit(r.first);
  if (r.epoch != planner_epoch_ || unit == nullptr || unit->run != r.run ||
      unit->phase != RunUnit::Phase::kRunning) {
    return false;
  }
  if (!unit->stop_requested) {
    unit->displacements += r.cause == StopCause::kReclaim ? 1 : 0;
    unit->migrations += r.cause == StopCause::kMigrated ? 1 : 0;
  }
  unit->stop_requested = true;
  StopMembers(r.first, *unit);
  return true;
}

bool Ledger::ApplyRecord(Time now, const TaskEnded& r) {
  const auto it = workers_.find(r.incarnation);
  if (it == workers_.end()) {
    return false;
  }
  LedgerWorker& worker = it->second;
  const bool is_new = r.end_number > worker.last_end_number;
  worker.last_end_number = std::max(worker.last_end_number, r.end_number);
  if (r.outcome == TaskOutcome::kDone) {
    LearnRunTime(now, worker, r.task, r.run, r.run_time);
  }
  if (!ReleaseRun(worker, r.task, r.run)) {
    if (is_new && IsOvertaken(r)) {
      worker.last_overtaken_end = r.end_number;
    }
    return FinishGivenAwayRun(r);
  }
  if (r.outcome == TaskOutcome::kDone) {
    worker.consecutive_failures = 0;
    worker.consecutive_refusals = 0;
    agents_[worker.report.agent].consecutive_crashes = 0;
  }
  if (r.outcome == TaskOutcome::kFailed) {
    ++worker.consecutive_failures;
    worker.last_failure_at = now;
  }
  SetBegun(r.task.job);
  RecordMemberEnd(r.task, r.run, r.outcome, r.checkpoint, worker);
  return true;
}

bool Ledger::ApplyRecord(Time now, const StartRefused& r) {
  const auto it = workers_.find(r.incarnation);
  if (it == workers_.end() || !ReleaseRun(it->second, r.task, r.run)) {
    return false;
  }
  ++it->second.consecutive_refusals;
  it->second.last_failure_at = now;
  RecordMemberEnd(r.task, r.run, TaskOutcome::kAborted, "", it->second);
  return true;
}

bool Ledger::ApplyRecord(Time now, const RunObserved& r) {
  const auto it = workers_.find(r.incarnation);
  if (it == workers_.end()) {
    return false;
  }
  const auto run = it->second.runs.find(r.task);
  if (run == it->second.runs.end() || run->second.run != r.run) {
    return false;
  }
  run->second.percent = r.percent;
  run->second.stalled = r.stalled;
  run->second.observed_at = now;
  if (r.projected_run_time > Duration(0) &&
      r.projected_run_time <= kMaxDuration) {
    run->second.projected_run_time = r.projected_run_time;
  }
  LearnRunTime(now, it->second, r.task, r.run, r.projected_run_time);
  SetBegun(r.task.job);
  RunUnit* unit = FindUnit(r.task);
  if (unit != nullptr && unit->run == r.run && !r.checkpoint.empty()) {
    unit->checkpoint = r.checkpoint;
  }
  return true;
}

bool Ledger::ApplyRecord(Time /*now*/, const QueueChanged& r) {
  if (r.epoch != planner_epoch_ || r.rules_version < rules_version_) {
    return false;
  }
  rules_version_ = r.rules_version;
  bool has_jobs = false;
  for (const std::string& id : open_jobs_) {
    LedgerJob& job = jobs_.at(id);
    if (QueueOf(job.request) != r.before) {
      continue;
    }
    job.has_moved = job.has_moved || r.before.service != r.after.service;
    job.request.address = r.after.address;
    job.request.terms.queue = r.after.queue;
    job.request.terms.service = r.after.service;
    has_jobs = true;
  }
  if (has_jobs) {
    run_times_.OnQueueRenamed(r.before.queue, r.after.queue);
  }
  return has_jobs;
}

bool Ledger::ApplyRecord(Time /*now*/, const StartUnanswered& r) {
  const auto it = workers_.find(r.incarnation);
  if (it == workers_.end()) {
    return false;
  }
  const auto run = it->second.runs.find(r.task);
  if (run == it->second.runs.end() || run->second.run != r.run) {
    return false;
  }
  run->second.start_unanswered = true;
  return true;
}

bool Ledger::ApplyRecord(Time /*now*/, const StartsExpired& r) {
  const auto agent = agents_.find(r.agent);
  if (agent == agents_.end() ||
      (r.epoch == 0 ? !TakeStatement(agent->second, r.statement)
                    : r.epoch != planner_epoch_)) {
    return false;
  }
  std::map<RunRef, LateStart>& late_starts = agent->second.late_starts;
  for (const RunRef& run : r.runs) {
    const auto it = late_starts.find(run);
    if (it == late_starts.end()) {
      continue;
    }
    RunUnit* unit = it->second.holds_unit ? FindUnit(run.task) : nullptr;
    if (unit != nullptr) {
      unit->late_starts = std::max(0, unit->late_starts - 1);
    }
    late_starts.erase(it);
  }
  return true;
}

std::int32_t Ledger::CrashedWorkers(const TaskRef& task) const {
  const RunUnit* unit = FindUnit(task);
  if (unit == nullptr) {
    return 0;
  }
  const auto it = unit->crashes.find(task.index);
  return it == unit->crashes.end() ? 0 : SumOf(it->second);
}

void Ledger::SetBegun(const std::string& job) {
  const auto it = jobs_.find(job);
  if (it != jobs_.end()) {
    it->second.has_begun = true;
  }
}

void Ledger::LearnRunTime(Time now,
                          const LedgerWorker& worker,
                          const TaskRef& task,
                          std::int32_t run,
                          Duration run_time) {
  const auto live = worker.runs.find(task);
  const RunUnit* unit = FindUnit(task);
  if (run_time <= Duration(0) || live == worker.runs.end() ||
      live->second.run != run || unit == nullptr || unit->run != run) {
    return;
  }
  const JobRequest& request = jobs_.at(task.job).request;
  const JobStep& step = request.steps[static_cast<std::size_t>(task.step)];
  if (step.long_running) {
    return;
  }
  run_times_.Add(now, {.task = task,
                       .run = run,
                       .agent = worker.report.agent,
                       .is_remote = IsRemote(step, worker, *unit),
                       .queue = request.terms.queue,
                       .declared = step.estimate,
                       .run_time = run_time});
}

bool Ledger::IsRemote(const JobStep& step,
                      const LedgerWorker& worker,
                      const RunUnit& unit) const {
  if (!step.data_rack.empty() && worker.report.rack != step.data_rack) {
    return true;
  }
  return step.gang && step.same_rack &&
         std::any_of(unit.members.begin(), unit.members.end(),
                     [&](const MemberPlace& m) {
                       const LedgerWorker* other = FindWorker(m.incarnation);
                       return other != nullptr &&
                              other->report.rack != worker.report.rack;
                     });
}

RunUnit* Ledger::FindUnit(const TaskRef& task) {
  if (std::as_const(*this).FindUnit(task) == nullptr) {
    return nullptr;
  }
  LedgerJob& job = jobs_.at(task.job);
  const TaskRef first = FirstTaskOfUnit(job, task);
  return &job.occurrences
              .Isolate(static_cast<std::size_t>(
                  first.occurrence))[static_cast<std::size_t>(first.step)]
              .units.Isolate(static_cast<std::size_t>(first.index));
}

const RunUnit* Ledger::FindUnit(const TaskRef& task) const {
  const auto it = jobs_.find(task.job);
  if (it == jobs_.end()) {
    return nullptr;
  }
  const LedgerJob& job = it->second;
  const TaskRef first = FirstTaskOfUnit(job, task);
  const auto k = static_cast<std::size_t>(first.occurrence);
  const auto s = static_cast<std::size_t>(first.step);
  const auto u = static_cast<std::size_t>(first.index);
  if (k >= job.occurrences.size() || s >= job.occurrences[k].size() ||
      u >= job.occurrences[k][s].units.size()) {
    return nullptr;
  }
  return &job.occurrences[k][s].units[u];
}

bool Ledger::ReleaseRun(LedgerWorker& worker,
                        const TaskRef& task,
                        std::int32_t run) {
  const auto it = worker.runs.find(task);
  if (it == worker.runs.end() || it->second.run != run) {
    return false;
  }
  if (it->second.start_unanswered) {
    agents_[worker.report.agent].late_starts[{.task = task, .run = run}] = {
        .incarnation = worker.report.incarnation,
        .agent_process = it->second.agent_process,
        .sender_ended_at = it->second.sender_ended_at};
  }
  worker.used -= it->second.need;
  worker.runs.erase(it);
  return true;
}

void Ledger::RecordMemberEnd(const TaskRef& task,
                             std::int32_t run,
                             TaskOutcome outcome,
                             const std::string& checkpoint,
                             const LedgerWorker& worker) {
  RunUnit* unit = FindUnit(task);
  if (unit == nullptr || unit->run != run ||
      unit->phase != RunUnit::Phase::kRunning) {
    return;
  }
  LedgerJob& job = jobs_.at(task.job);
  const JobStep& step = job.request.steps[static_cast<std::size_t>(task.step)];
  --unit->unfinished_members;
  if (!checkpoint.empty()) {
    unit->checkpoint = checkpoint;
  }
  if (outcome == TaskOutcome::kDone && !step.long_running) {
    FinishUnit(job, task, *unit);
    return;
  }
  if (outcome == TaskOutcome::kFailed) {
    CountFailure(job, step, *unit, worker.report.incarnation);
    if (job.ended()) {
      return;
    }
  }
  // Copies of a speculative task may run beside one another.
  if (!step.speculative) {
    HoldUnit(agents_[worker.report.agent], {.task = task, .run = run}, *unit);
  }
  if (unit->unfinished_members > 0) {
    StopMembers(FirstTaskOfUnit(job, task), *unit);
    return;
  }
  unit->phase = RunUnit::Phase::kWaiting;
  unit->stop_requested = false;
  unit->members.clear();
  --job.running_units;
  if (job.running_units == 0 && !job.has_begun) {
    job.phase = JobPhase::kQueued;
  }
}

void Ledger::HoldUnit(LedgerAgent& agent, const RunRef& run, RunUnit& unit) {
  const auto it = agent.late_starts.find(run);
  if (it != agent.late_starts.end()) {
    it->second.holds_unit = true;
    ++unit.late_starts;
  }
}

void Ledger::CountFailure(LedgerJob& job,
                          const JobStep& step,
                          RunUnit& unit,
                          const WorkerIncarnation& incarnation) {
  unit.failed_on_workers.insert(incarnation);
  if (unit.failure_counted) {
    return;
  }
  unit.failure_counted = true;
  ++unit.failures;
  if (unit.failures >= job.request.terms.max_attempts && !step.long_running) {
    EndJob(job, JobPhase::kFailed);
  }
}

void Ledger::FinishUnit(LedgerJob& job, const TaskRef& task, RunUnit& unit) {
  // A late start may have ended as done while the unit waited.
  job.running_units -= unit.phase == RunUnit::Phase::kRunning ? 1 : 0;
  // Nobody asks for the rest of its history, so that it is equal to others.
  unit = {.phase = RunUnit::Phase::kDone,
          .run = unit.run,
          .crashes = std::move(unit.crashes)};
  const auto k = static_cast<std::size_t>(task.occurrence);
  StepState& step =
      job.occurrences.Isolate(k)[static_cast<std::size_t>(task.step)];
  ++step.done_units;
  step.units.Coalesce(
      static_cast<std::size_t>(FirstTaskOfUnit(job, task).index));
  job.occurrences.Coalesce(k);
  for (const auto occurrences : job.occurrences) {
    if (!std::all_of(occurrences.value.begin(), occurrences.value.end(),
                     [](const StepState& s) { return s.IsDone(); })) {
      return;
    }
  }
  EndJob(job, JobPhase::kCompleted);
}

bool Ledger::FinishGivenAwayRun(const TaskEnded& r) {
  RunUnit* unit = FindUnit(r.task);
  if (unit == nullptr || r.outcome != TaskOutcome::kDone || r.run > unit->run ||
      unit->phase == RunUnit::Phase::kDone) {
    return false;
  }
  LedgerJob& job = jobs_.at(r.task.job);
  if (job.request.steps[static_cast<std::size_t>(r.task.step)].long_running) {
    return false;
  }
  StopMembers(FirstTaskOfUnit(job, r.task), *unit);
  FinishUnit(job, r.task, *unit);
  return true;
}

bool Ledger::IsOvertaken(const TaskEnded& r) const {
  // Failures of given-away runs are not counted, so the task starts again.
  if (r.outcome != TaskOutcome::kDone) {
    return r.outcome == TaskOutcome::kFailed;
  }
  const RunUnit* unit = FindUnit(r.task);
  return unit == nullptr || unit->run > r.run;
}

void Ledger::StopMembers(const TaskRef& first, const RunUnit& unit) {
  for (const MemberPlace& m : unit.members) {
    const auto worker = workers_.find(m.incarnation);
    if (worker == workers_.end()) {
      continue;
    }
    TaskRef task = first;
    task.index = m.index;
    const auto it = worker->second.runs.find(task);
    if (it != worker->second.runs.end() && it->second.run == unit.run) {
      it->second.must_stop = true;
    }
  }
}

void Ledger::EndJob(LedgerJob& job, JobPhase phase) {
  job.phase = phase;
  ++ended_count_;
  const std::string& id = job.request.id;
  open_jobs_.erase(id);
  if (phase != JobPhase::kCompleted) {
    for (auto& [incarnation, worker] : workers_) {
      for (auto it = worker.runs.lower_bound({.job = id});
           it != worker.runs.end() && it->first.job == id; ++it) {
        it->second.must_stop = true;
      }
    }
  }
  job.occurrences.clear();
  job.request.payload.clear();
  job.request.steps.clear();
  ended_order_.push_back(id);
  if (ended_order_.size() > kMaxEndedJobs) {
    jobs_.erase(ended_order_.front());
    ended_order_.pop_front();
  }
}

void Ledger::CountCrash(Time now,
                        LedgerWorker& worker,
                        const WorkerEmptied& r) {
  LedgerAgent& agent = agents_[worker.report.agent];
  ++agent.consecutive_crashes;
  agent.last_crash_at = now;
  std::vector<TaskRef>& tasks = agent.crashes.emplace_back();
  worker.crash_suspects.clear();
  for (const RunRef& suspect : r.suspects) {
    const auto live = worker.runs.find(suspect.task);
    RunUnit* unit = FindUnit(suspect.task);
    if (live != worker.runs.end() && live->second.run == suspect.run &&
        unit != nullptr && unit->run == suspect.run &&
        unit->phase == RunUnit::Phase::kRunning) {
      ++unit->crashes[suspect.task.index][worker.report.agent];
      worker.crash_suspects.push_back(
          {.task = suspect.task,
           .crashed_workers = CrashedWorkers(suspect.task)});
      tasks.push_back(suspect.task);
    }
  }
  if (agent.crashes.size() > kMaxCrashHistory) {
    agent.crashes.erase(agent.crashes.begin());
  }
}

bool Ledger::HasCrashedMachines(const TaskRef& task) const {
  const LedgerJob* job = FindJob(task.job);
  if (job != nullptr && job->phase == JobPhase::kFailed) {
    return true;
  }
  const RunUnit* unit = FindUnit(task);
  if (unit == nullptr) {
    return false;
  }
  const auto it = unit->crashes.find(task.index);
  return it != unit->crashes.end() && it->second.size() > 1;
}

bool Ledger::CrashesWithout(const std::string& agent,
                            const TaskRef& task) const {
  const LedgerAgent* entry = FindAgent(agent);
  if (entry == nullptr) {
    return false;
  }
  return std::any_of(entry->crashes.begin(), entry->crashes.end(),
                     [&](const std::vector<TaskRef>& suspects) {
                       return std::none_of(suspects.begin(), suspects.end(),
                                           [&](const TaskRef& suspect) {
                                             return suspect == task ||
                                                    HasCrashedMachines(suspect);
                                           });
                     });
}

bool Ledger::IsToBlame(const TaskRef& task) const {
  const RunUnit* unit = FindUnit(task);
  if (unit == nullptr || !unit->crashes.contains(task.index)) {
    return false;
  }
  const auto& by_agent = unit->crashes.at(task.index);
  std::int32_t sound_machines = 0;
  std::int32_t workers_of_sound_machines = 0;
  for (const auto& [agent, workers] : by_agent) {
    if (!CrashesWithout(agent, task)) {
      ++sound_machines;
      workers_of_sound_machines += workers;
    }
  }
  return sound_machines >= kMaxCrashedMachines ||
         workers_of_sound_machines >= kMaxCrashedWorkers ||
         (std::ssize(by_agent) >= kMaxCrashedMachines &&
          SumOf(by_agent) >= kMaxCrashedWorkers);
}

void Ledger::FailCrashingJobs(const LedgerWorker& worker) {
  for (const CrashSuspect& suspect : worker.crash_suspects) {
    const auto it = jobs_.find(suspect.task.job);
    if (it == jobs_.end() || it->second.ended() || !IsToBlame(suspect.task)) {
      continue;
    }
    const auto step = static_cast<std::size_t>(suspect.task.step);
    if (!it->second.request.steps[step].long_running) {
      EndJob(it->second, JobPhase::kFailed);
    }
  }
}

std::vector<RunRef> Ledger::RunsOf(const LedgerWorker& worker) {
  std::vector<RunRef> out;
  for (const auto& [task, run] : worker.runs) {
    out.push_back({.task = task, .run = run.run});
  }
  return out;
}

std::vector<RunRef> Ledger::EndedRuns(const LedgerWorker& worker,
                                      const WorkerEmptied& r) {
  if (r.incarnation_ended || r.runs.empty()) {
    return RunsOf(worker);
  }
  std::vector<RunRef> out;
  std::copy_if(r.runs.begin(), r.runs.end(), std::back_inserter(out),
               [&](const RunRef& run) {
                 const auto it = worker.runs.find(run.task);
                 return it != worker.runs.end() && it->second.run == run.run;
               });
  return out;
}

void Ledger::EndRuns(LedgerWorker& worker, const std::vector<RunRef>& runs) {
  // All are released first: the end of a member stops the others of its gang.
  for (const RunRef& run : runs) {
    ReleaseRun(worker, run.task, run.run);
  }
  for (const RunRef& run : runs) {
    RecordMemberEnd(run.task, run.run, TaskOutcome::kLeaseExpired, "", worker);
  }
}

}  // namespace marjoramplank
