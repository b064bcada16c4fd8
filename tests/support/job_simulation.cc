#include "tests/support/job_simulation.h"

#include <algorithm>
#include <utility>

#include "tests/support/job_simulation_parts.h"

namespace marjoramplank {

namespace {

constexpr Duration kTick = 10ms;
constexpr Duration kCallLatency = 2ms;
constexpr Duration kOrderTimeout = 400ms;
constexpr Duration kDowntime = 1s;  // Of a restarted agent or worker.
constexpr Duration kCancelBound = 3s;
constexpr Duration kWorkerHeartbeatInterval = 1500ms;
constexpr Duration kGangTimeout = 3s;
// At the end, without faults: a start without an answer keeps its task from
// others for up to 13.5 s.
constexpr Duration kSettlingTime = 20s;
// Share of an agent's steps in which it lists tasks before it reads the ledger.
constexpr double kListBeforeLedgerShare = 0.3;

}  // namespace

JobSimulation::JobSimulation(Options options)
    : options_(options),
      random_(options.seed),
      dispatcher_({.leases = options.leases}) {
  rules_.loaded = true;
  rules_.rules.version = 1;
  rules_.rules.accounts.push_back({.name = "a", .guaranteed_accelerators = 8});
  for (std::int32_t n = 0; n < options_.workers; ++n) {
    auto agent = std::make_unique<Agent>();
    agent->name = "agent-" + std::to_string(n);
    agent->worker.incarnation = {.id = "w" + std::to_string(n),
                                 .started_at_unix_ms = 1};
    agent->data_centre = "d" + std::to_string(n % 2);
    data_centre_of_worker_[agent->worker.incarnation.id] = agent->data_centre;
    agents_.push_back(std::move(agent));
    RestartAgent(*agents_.back());
    agents_.back()->down_until = Time{0};
  }
}

JobSimulation::~JobSimulation() = default;

double JobSimulation::RandomFraction() {
  return std::uniform_real_distribution<>(0, 1)(random_);
}

void JobSimulation::ReportViolation(const std::string& what) {
  violations_.push_back(std::to_string(now_.count()) + " ms: " + what);
}

void JobSimulation::Append(const LedgerRecord& record) {
  log_.push_back(record);
  stored_at_.push_back(now_);
}

void JobSimulation::RestartAgent(Agent& agent) {
  ++agent.process;
  agent.supervisor = std::make_unique<Supervisor>(
      Supervisor::Options{.agent = agent.name,
                          .process = std::to_string(agent.process),
                          .started_at = now_ + kDowntime,
                          .leases = options_.leases,
                          .ends_per_listing = options_.ends_per_listing});
  agent.queue.clear();
  for (const CommandInFlight& c : agent.commands) {
    if (!c.has_arrived) {  // Still on its way to the worker.
      delayed_commands_.push_back(
          {.deliver_at = c.arrives_at, .agent = &agent, .call = c.call});
    }
  }
  agent.commands.clear();
  agent.hold.reset();
  agent.ledger = Ledger();
  agent.next_record = 0;
  agent.next_agent_heartbeat_at = now_;
  agent.down_until = now_ + kDowntime;
  agent.started_at = agent.down_until;
}

void JobSimulation::CrashWorker(Agent& agent) {
  FakeWorker& w = agent.worker;
  if (w.is_lost) {
    return;
  }
  for (const auto& [task, run] : w.runs) {
    task_histories_[task].running_on.erase(w.incarnation.id);
    ++task_histories_[task].crashed_workers;
    task_histories_[task].crashed_on.insert(w.incarnation.id);
    if (run.gang) {
      GangRunOf(task, run.run).has_failed_member = true;
    }
  }
  w = {.incarnation = {
           .id = w.incarnation.id,
           .started_at_unix_ms = w.incarnation.started_at_unix_ms + 1}};
  agent.next_worker_heartbeat_at = now_ + kDowntime;
  // Its connections end.
  for (CommandInFlight& c : agent.commands) {
    c.has_arrived = true;
  }
  if (agent.hold) {
    agent.hold->arrives_at = kNever;
    agent.hold->listed_by = kNever;
  }
  if (options_.max_crash_silence > Duration(0)) {
    w.silent_until = now_ + RandomDuration(options_.max_crash_silence);
    agent.next_worker_heartbeat_at = w.silent_until + 10ms;
  }
}

bool JobSimulation::CrashesWorker(const TaskRef& task) const {
  return crashing_jobs_.contains(task.job) && task.step == 0 && task.index == 0;
}

// A task that crashes workers may be started twice more after the third crash.
void JobSimulation::CheckCrashBudget(const TaskRef& task) {
  constexpr std::int32_t kCrashes = 3;
  constexpr std::int32_t kMaxStartsAfter = 2;
  TaskHistory& history = task_histories_[task];
  if (CrashesWorker(task) && history.crashed_workers >= kCrashes &&
      ++history.starts_after_third_crash > kMaxStartsAfter) {
    ReportViolation(ToString(task) +
                    " started three times more after three workers had "
                    "crashed under it");
  }
}

// A job may fail by runs of its own that failed, or by a task under which
// workers of two machines have crashed.
bool JobSimulation::MayFail(const std::string& job) const {
  constexpr std::size_t kMachines = 2;
  for (auto it = task_histories_.lower_bound({.job = job});
       it != task_histories_.end() && it->first.job == job; ++it) {
    if (it->second.failed_runs > 0 ||
        it->second.crashed_on.size() >= kMachines) {
      return true;
    }
  }
  return false;
}

void JobSimulation::CheckEndOfJobs() {
  for (const auto& [id, job] : planner_ledger_.jobs()) {
    if (!job.ended()) {
      ReportViolation("job " + id + " never ended");
    }
    if (job.phase == JobPhase::kFailed && !MayFail(id)) {
      ReportViolation("job " + id + " failed without a cause");
    }
    // Only tasks that crash their workers do so here, so nobody else may be
    // blamed.
    if (job.phase == JobPhase::kFailed && options_.crashing_job_share > 0 &&
        options_.failed_run_share <= 0 && options_.worker_crashes_per_s <= 0 &&
        !crashing_jobs_.contains(id)) {
      ReportViolation("job " + id + " failed for the crashes of another");
    }
  }
}

void JobSimulation::FlapWorker() {
  constexpr Time kFirst = 3s;
  constexpr Time kLast = 23s;
  constexpr Duration kPeriod = 1400ms;
  if (now_ >= kFirst && now_ <= kLast && (now_ - kFirst) % kPeriod == 0ms) {
    CrashWorker(*agents_.front());
  }
}

void JobSimulation::LoseWorker(Agent& agent) {
  if (agent.worker.is_lost ||
      (lost_workers_ + 1) * 2 > static_cast<int>(agents_.size())) {
    return;
  }
  ++lost_workers_;
  CrashWorker(agent);
  // The ledger knows the incarnation that has died.
  --agent.worker.incarnation.started_at_unix_ms;
  agent.worker.is_lost = true;
}

void JobSimulation::LosePower() {
  for (std::size_t n = 0; n < agents_.size(); ++n) {
    RestartAgent(*agents_[n]);
    if (n % 4 == 0) {
      LoseWorker(*agents_[n]);
    } else if (!agents_[n]->worker.is_lost) {
      CrashWorker(*agents_[n]);
    }
  }
  ReplacePlanner();
}

void JobSimulation::ReplacePlanner() {
  ++epoch_;
  planner_ledger_ = Ledger();
  planner_next_record_ = 0;
  replaying_history_ = true;
  Append(
      PlannerElected{.entry = "e" + std::to_string(epoch_), .epoch = epoch_});
}

void JobSimulation::SubmitDueJobs() {
  const double share =
      static_cast<double>(now_.count()) /
      (static_cast<double>(options_.simulated_time.count()) / 2);
  while (submitted_count_ < options_.jobs &&
         submitted_count_ < share * options_.jobs) {
    JobRequest job{.id = "j" + std::to_string(submitted_count_++),
                   .account = "a",
                   .payload = "p",
                   .terms = {.queue = "q",
                             .service = "s",
                             .priority = static_cast<int>(random_() % 3),
                             .max_attempts = 3,
                             .stretch = 2,
                             .target = 1s}};
    const int steps = 1 + static_cast<int>(random_() % 2);
    for (int s = 0; s < steps; ++s) {
      JobStep step{
          .tasks = 1 + static_cast<int>(random_() % 3),
          .need = {.cpu_milli = 1000, .accelerators = 1 << (random_() % 3)},
          .estimate = 1500ms,
          .gang = random_() % 2 == 0};
      if (s > 0) {
        step.after = {s - 1};
      }
      job.steps.push_back(step);
    }
    Append(JobSubmitted{.request = job});
    requests_[job.id] = job;
    submit_times_[job.id] = now_;
    if (options_.crashing_job_share > 0 &&
        RandomBool(options_.crashing_job_share)) {
      crashing_jobs_.insert(job.id);
    }
    if (RandomBool(options_.cancelled_job_share)) {
      cancel_times_[job.id] = now_ + Duration(200 + random_() % 3000);
    }
  }
  for (auto& [id, at] : cancel_times_) {
    if (at <= now_ && at > now_ - kTick) {
      Append(JobCancelled{.job = id});
    }
  }
}

void JobSimulation::RunPlanner() {
  if (epoch_ == 0 ||
      RandomBool(options_.planner_changes_per_s * ToSeconds(kTick))) {
    ReplacePlanner();
  }
  DrawReadDelay(next_planner_delay_at_, planner_read_delay_);
  for (; planner_next_record_ < log_.size() &&
         stored_at_[planner_next_record_] + planner_read_delay_ <= now_;
       ++planner_next_record_) {
    planner_ledger_.Apply(now_, log_[planner_next_record_]);
  }
  if (planner_next_record_ < planned_to_) {
    return;  // It waits until it has read its own records.
  }
  if (replaying_history_) {
    planner_ledger_.ForgetLiveness();
    replaying_history_ = false;
  }
  const std::vector<LedgerRecord> plan =
      dispatcher_.Plan({.now = now_,
                        .epoch = epoch_,
                        .ledger = planner_ledger_,
                        .rules = rules_});
  for (const LedgerRecord& r : plan) {
    Append(r);
  }
  if (!plan.empty() && options_.max_read_delay > Duration(0)) {
    planned_to_ = log_.size();
  }
}

CommandReply JobSimulation::HandleCommand(FakeWorker& w,
                                          const TaskCommand& call) {
  if (w.is_lost || now_ < w.silent_until) {
    return {};
  }
  const auto clock = (now_ - w.clock_lag).count();
  if (const auto* stop = std::get_if<StopCall>(&call)) {
    if (stop->fence < w.fence) {
      return {.kind = CommandReply::Kind::kStale, .clock_ms = clock};
    }
    w.fence = stop->fence;
    w.highest_ended_run[stop->task] =
        std::max(w.highest_ended_run[stop->task], stop->run);
    const auto it = w.runs.find(stop->task);
    if (it != w.runs.end() && it->second.run <= stop->run) {
      it->second.is_stopping = true;
      it->second.ends_at =
          std::min(it->second.ends_at, now_ + options_.stop_duration);
    }
    return {.kind = CommandReply::Kind::kDone, .clock_ms = clock};
  }
  const auto& start = std::get<StartCall>(call);
  if (start.incarnation.id != w.incarnation.id) {
    return {.kind = CommandReply::Kind::kWrongIncarnation};
  }
  if (start.fence < w.fence || start.lease_until < clock) {
    return {.kind = CommandReply::Kind::kStale, .clock_ms = clock};
  }
  w.fence = start.fence;
  w.lease_until = std::max(w.lease_until, start.lease_until);
  const auto it = w.runs.find(start.task);
  if (it != w.runs.end() && it->second.run == start.run) {
    return {.kind = CommandReply::Kind::kDone, .clock_ms = clock};
  }
  const auto highest = w.highest_ended_run.find(start.task);
  if (highest != w.highest_ended_run.end() && start.run <= highest->second) {
    return {.kind = CommandReply::Kind::kAlreadyRan, .clock_ms = clock};
  }
  TaskHistory& history = task_histories_[start.task];
  if (CountWorkersAtWork(history) > 0) {
    ReportViolation("two runs of " + ToString(start.task) +
                    " at the same time");
  }
  history.last_started_at = now_;
  if (history.done_acknowledged) {
    ReportViolation(ToString(start.task) + " started after it was done: run " +
                    std::to_string(start.run) + " on " +
                    ToString(w.incarnation) + ", sent to " +
                    ToString(start.incarnation));
  }
  if (history.failed_runs >= 3) {
    ReportViolation(ToString(start.task) +
                    " started after its last permitted attempt failed");
  }
  const auto cancel = cancel_times_.find(start.task.job);
  if (cancel != cancel_times_.end() && now_ > cancel->second + kCancelBound) {
    ReportViolation(ToString(start.task) +
                    " started after its job was cancelled");
  }
  CheckCrashBudget(start.task);
  w.is_crashing = w.is_crashing || CrashesWorker(start.task);
  CheckDataCentreOpen(start.task, w.incarnation);
  history.running_on.insert(w.incarnation.id);
  constexpr Duration kMinRunTime = 500ms;
  const Duration run_time =
      kMinRunTime +
      Duration(random_() % (options_.max_task_run_time - kMinRunTime).count());
  const JobStep& step = requests_[start.task.job].steps[start.task.step];
  w.runs[start.task] = {.run = start.run,
                        .ends_at = step.gang ? kNever : now_ + run_time,
                        .will_fail = RandomBool(options_.failed_run_share),
                        .gang = step.gang,
                        .started_at = now_};
  if (step.gang) {
    GangRun& gang = GangRunOf(start.task, start.run);
    gang.size = step.tasks;
    gang.started_members.insert(start.task.index);
    if (static_cast<int>(gang.started_members.size()) == gang.size) {
      gang.ends_at = now_ + run_time;
    }
  }
  return {.kind = CommandReply::Kind::kDone, .clock_ms = clock};
}

HoldReply JobSimulation::HandleHold(FakeWorker& w, const HoldCall& call) {
  if (w.is_lost) {
    return {.kind = RandomBool(0.5) ? HoldReply::Kind::kNotSent
                                    : HoldReply::Kind::kNoAnswer};
  }
  if (now_ < w.silent_until) {
    return {};
  }
  if (call.incarnation.id != w.incarnation.id) {
    return {.kind = HoldReply::Kind::kWrongIncarnation};
  }
  if (call.fence < w.fence) {
    return {.kind = HoldReply::Kind::kStale,
            .clock_ms = (now_ - w.clock_lag).count()};
  }
  w.fence = call.fence;
  if (call.lease_until) {
    w.lease_until = std::max(w.lease_until, *call.lease_until);
  }
  std::vector<TaskEnded> unacknowledged;
  for (const TaskEnded& e : w.ended) {
    if (e.end_number > call.acked_end) {
      unacknowledged.push_back(e);
      continue;
    }
    if (e.outcome == TaskOutcome::kDone &&
        !w.ends_before_lease_expiry.contains(e.end_number)) {
      task_histories_[e.task].done_acknowledged = true;
      if (task_histories_[e.task].last_started_at >
          w.end_time_by_number[e.end_number]) {
        ReportViolation(ToString(e.task) +
                        " started again before its end was acknowledged");
      }
    }
  }
  w.ended = unacknowledged;
  HoldReply reply{.kind = HoldReply::Kind::kOk,
                  .started_at_unix_ms = w.incarnation.started_at_unix_ms,
                  .clock_ms = (now_ - w.clock_lag).count()};
  const std::size_t listed =
      std::min(w.ended.size(), options_.ends_per_listing);
  reply.ended.assign(w.ended.begin(),
                     w.ended.begin() + static_cast<std::ptrdiff_t>(listed));
  for (const auto& [task, run] : w.runs) {
    constexpr std::int64_t kMsPerPercent = 200;
    const std::int64_t percent =
        (now_ - run.started_at).count() / kMsPerPercent;
    reply.running.push_back({.task = task,
                             .run = run.run,
                             .percent = options_.lists_progress
                                            ? static_cast<std::int32_t>(percent)
                                            : 0});
  }
  return reply;
}

JobSimulation::GangRun& JobSimulation::GangRunOf(TaskRef task,
                                                 std::int32_t run) {
  task.index = 0;
  return gang_runs_[{task, run}];
}

std::optional<TaskOutcome> JobSimulation::FindOutcome(const TaskRef& task,
                                                      const FakeWorkerRun& run,
                                                      bool lease_expired) {
  if (lease_expired) {
    return TaskOutcome::kLeaseExpired;
  }
  if (run.is_stopping && run.ends_at <= now_) {
    return TaskOutcome::kStopped;
  }
  Time ends_at = run.ends_at;
  if (run.gang) {
    const GangRun& gang = GangRunOf(task, run.run);
    if (gang.has_failed_member) {
      return TaskOutcome::kAborted;
    }
    if (gang.ends_at == kNever && now_ - run.started_at > kGangTimeout) {
      return TaskOutcome::kGangTimedOut;
    }
    ends_at = gang.ends_at;
  }
  if (ends_at > now_) {
    return std::nullopt;
  }
  return run.will_fail ? TaskOutcome::kFailed : TaskOutcome::kDone;
}

void JobSimulation::StepWorker(FakeWorker& w) {
  const bool lease_expired = w.lease_until < (now_ - w.clock_lag).count();
  for (const TaskEnded& e : w.ended) {
    if (lease_expired) {
      w.ends_before_lease_expiry.insert(e.end_number);
    }
  }
  for (auto it = w.runs.begin(); it != w.runs.end();) {
    const std::optional<TaskOutcome> end =
        FindOutcome(it->first, it->second, lease_expired);
    if (!end) {
      ++it;
      continue;
    }
    const TaskOutcome outcome = *end;
    if (it->second.gang && outcome != TaskOutcome::kDone) {
      GangRunOf(it->first, it->second.run).has_failed_member = true;
    }
    TaskHistory& history = task_histories_[it->first];
    history.running_on.erase(w.incarnation.id);
    w.end_time_by_number[w.last_end_number + 1] = now_;
    history.failed_runs += outcome == TaskOutcome::kFailed ? 1 : 0;
    w.highest_ended_run[it->first] =
        std::max(w.highest_ended_run[it->first], it->second.run);
    w.ended.push_back({.incarnation = w.incarnation,
                       .end_number = ++w.last_end_number,
                       .task = it->first,
                       .run = it->second.run,
                       .outcome = outcome});
    it = w.runs.erase(it);
  }
}

void JobSimulation::DeliverCommand(Agent& agent, const TaskCommand& call) {
  Supervisor& s = *agent.supervisor;
  CommandReply reply;
  if (RandomBool(options_.delayed_command_share)) {
    delayed_commands_.push_back(
        {.deliver_at = now_ + Duration(2000 + random_() % 8000),
         .agent = &agent,
         .call = call});
  } else {
    reply = HandleCommand(agent.worker, call);
    if (RandomBool(options_.lost_reply_share)) {
      reply = {};
    }
  }
  const Time replied_at =
      now_ + (reply.kind == CommandReply::Kind::kNoAnswer ? kOrderTimeout
                                                          : kCallLatency);
  if (const auto* start = std::get_if<StartCall>(&call)) {
    s.OnStartReply(replied_at, *start, reply);
  } else {
    s.OnStopReply(replied_at, std::get<StopCall>(call), reply);
  }
}

void JobSimulation::ListTasks(Agent& agent) {
  Supervisor& s = *agent.supervisor;
  if (HasLatency()) {
    StepHold(agent);
    return;
  }
  std::optional<HoldCall> hold = s.NextHold(now_);
  if (!hold) {
    return;
  }
  if (!options_.settles_delayed_commands) {
    hold->fence = agent.worker.fence;
  }
  HoldReply reply = HandleHold(agent.worker, *hold);
  if (RandomBool(options_.lost_reply_share)) {
    reply = {};
  }
  s.OnHoldReply(now_, *hold, reply);
}

void JobSimulation::StepAgent(Agent& agent) {
  if (now_ < agent.down_until || now_ < agent.paused_until) {
    return;
  }
  Supervisor& s = *agent.supervisor;
  if (now_ >= agent.next_worker_heartbeat_at && !agent.worker.is_lost) {
    agent.next_worker_heartbeat_at = now_ + kWorkerHeartbeatInterval;
    s.OnHeartbeat(now_, {.incarnation = agent.worker.incarnation,
                         .service = "s",
                         .data_centre = agent.data_centre,
                         .labels = {"a", "r1"},
                         .rack = "r1",
                         .capacity = {.cpu_milli = 64'000, .accelerators = 8},
                         .sequence = ++agent.sequence,
                         .clock_ms = (now_ - agent.worker.clock_lag).count()});
  }
  const bool connected = now_ >= agent.log_outage_until;
  DrawReadDelay(agent.next_delay_at, agent.read_delay);
  StoreSentRecords(agent);
  if (connected) {
    for (; agent.next_record < log_.size() &&
           stored_at_[agent.next_record] + agent.read_delay <= now_;
         ++agent.next_record) {
      agent.ledger.Apply(now_, log_[agent.next_record]);
    }
    if (now_ >= agent.next_agent_heartbeat_at && s.process_number() > 0) {
      agent.next_agent_heartbeat_at = now_ + 800ms;
      agent.suspended_unheard = Duration(0);
      const auto heard = s.heard_worker(now_);
      AppendFrom(agent,
                 AgentHeartbeat{.agent = agent.name,
                                .process = std::to_string(agent.process),
                                .process_number = s.process_number(),
                                .uptime = now_ - agent.started_at,
                                .heard_worker = heard ? heard->incarnation
                                                      : WorkerIncarnation(),
                                .heard_ago = heard ? heard->age : Duration(0)});
    }
  }
  StepCalls(agent);
  if (RandomBool(kListBeforeLedgerShare)) {
    // The listing thread may run before the thread that reads the ledger.
    ListTasks(agent);
  }
  constexpr Duration kMaxLedgerAge = 1200ms;
  s.OnLedger(now_, agent.ledger, connected && agent.read_delay < kMaxLedgerAge,
             now_ - agent.read_delay);
  SendCommands(agent);
  ListTasks(agent);
  if (connected) {
    for (const LedgerRecord& r : s.TakeRecords(now_)) {
      AppendFrom(agent, r);
    }
  }
}

Duration JobSimulation::RandomDuration(Duration max) {
  return max <= Duration(0) ? Duration(0)
                            : Duration(random_() % (max.count() + 1));
}

void JobSimulation::DrawReadDelay(Time& next_at, Duration& delay) {
  if (options_.max_read_delay <= Duration(0) || now_ < next_at) {
    return;
  }
  next_at = now_ + 200ms + RandomDuration(1s);
  // Mostly short.
  delay = RandomBool(0.2) ? RandomDuration(options_.max_read_delay)
                          : RandomDuration(options_.max_read_delay / 20);
}

void JobSimulation::AppendFrom(Agent& agent, const LedgerRecord& record) {
  const Duration delay = RandomBool(0.2)
                             ? RandomDuration(options_.max_append_delay)
                             : RandomDuration(options_.max_append_delay / 20);
  const Time before =
      agent.sent_records.empty() ? now_ : agent.sent_records.back().stored_at;
  agent.sent_records.push_back({.record = record,
                                .sent_at = now_,
                                .stored_at = std::max(before, now_ + delay)});
  StoreSentRecords(agent);
}

// Also those of a process that has ended meanwhile: they were sent.
void JobSimulation::StoreSentRecords(Agent& agent) {
  while (!agent.sent_records.empty() &&
         agent.sent_records.front().stored_at <= now_) {
    const PendingRecord sent = std::move(agent.sent_records.front());
    agent.sent_records.pop_front();
    if (options_.lost_record_share <= 0 ||
        !RandomBool(options_.lost_record_share)) {
      Append(sent.record);
    }
    if (options_.repeated_record_share > 0 &&
        RandomBool(options_.repeated_record_share)) {
      late_copies_.push_back(
          {.stored_at = now_ + RandomDuration(6s), .record = sent.record});
    }
    const auto* beat = std::get_if<AgentHeartbeat>(&sent.record);
    if (beat != nullptr && beat->process == std::to_string(agent.process)) {
      agent.supervisor->OnAgentHeartbeatStored(sent.sent_at, now_);
    }
    agent.supervisor->OnRecordStored(sent.record, now_);
  }
}

void JobSimulation::StoreLateCopies() {
  for (std::size_t n = 0; n < late_copies_.size();) {
    if (late_copies_[n].stored_at > now_) {
      ++n;
      continue;
    }
    Append(late_copies_[n].record);
    late_copies_.erase(late_copies_.begin() + static_cast<std::ptrdiff_t>(n));
  }
}

void JobSimulation::SendCommands(Agent& agent) {
  Supervisor& s = *agent.supervisor;
  if (!HasLatency()) {
    for (const TaskCommand& call : s.TakeCommands(now_)) {
      DeliverCommand(agent, call);
    }
    return;
  }
  for (TaskCommand& call : s.TakeCommands(now_)) {
    agent.queue.push_back(std::move(call));
  }
  constexpr std::size_t kThreads = 2;
  while (!agent.queue.empty() && agent.commands.size() < kThreads) {
    const TaskCommand call = std::move(agent.queue.front());
    agent.queue.pop_front();
    CommandInFlight sent{.call = call};
    const auto* start = std::get_if<StartCall>(&call);
    if (start != nullptr &&
        (now_ >= start->send_before || !s.IsPresent(start->incarnation))) {
      s.OnStartReply(now_, *start, {.kind = CommandReply::Kind::kStale});
      continue;
    }
    sent.arrives_at = now_ + RandomDuration(options_.max_call_latency);
    sent.replied_at =
        sent.arrives_at + RandomDuration(options_.max_call_latency);
    if (RandomBool(options_.delayed_command_share)) {
      sent.arrives_at = now_ + Duration(2000 + random_() % 10000);
      sent.replied_at = kNever;
    }
    if (sent.replied_at - now_ > kOrderTimeout ||
        RandomBool(options_.lost_reply_share)) {
      sent.replied_at = kNever;
    }
    if (sent.replied_at == kNever) {
      sent.replied_at = now_ + kOrderTimeout;
      sent.reply = {};
      delayed_commands_.push_back(
          {.deliver_at = sent.arrives_at, .agent = &agent, .call = call});
      sent.has_arrived = true;
    }
    agent.commands.push_back(std::move(sent));
  }
}

void JobSimulation::StepCalls(Agent& agent) {
  if (!HasLatency()) {
    return;
  }
  Supervisor& s = *agent.supervisor;
  for (std::size_t n = 0; n < agent.commands.size();) {
    CommandInFlight& c = agent.commands[n];
    if (!c.has_arrived && c.arrives_at <= now_) {
      c.has_arrived = true;
      c.reply = HandleCommand(agent.worker, c.call);
    }
    if (!c.has_arrived || c.replied_at > now_) {
      ++n;
      continue;
    }
    const CommandInFlight done = std::move(c);
    agent.commands.erase(agent.commands.begin() +
                         static_cast<std::ptrdiff_t>(n));
    if (const auto* start = std::get_if<StartCall>(&done.call)) {
      s.OnStartReply(now_, *start, done.reply);
    } else {
      s.OnStopReply(now_, std::get<StopCall>(done.call), done.reply);
    }
  }
}

void JobSimulation::StepHold(Agent& agent) {
  Supervisor& s = *agent.supervisor;
  if (!agent.hold) {
    std::optional<HoldCall> call = s.NextHold(now_);
    if (!call) {
      return;
    }
    agent.hold = HoldInFlight{
        .call = *call,
        .sent_at = now_,
        .arrives_at = now_ + RandomDuration(options_.max_call_latency),
        .reply_latency = RandomDuration(options_.max_call_latency)};
    if (RandomBool(options_.delayed_command_share)) {
      agent.hold->arrives_at = kNever;
    }
  }
  HoldInFlight& h = *agent.hold;
  if (h.listed_by == kNever && h.arrives_at <= now_) {
    h.listed_by = now_ + h.call.wait;
    HoldCall first = h.call;
    h.reply = HandleHold(agent.worker, first);
  }
  if (h.listed_by != kNever && h.replied_at == kNever &&
      (h.reply.kind != HoldReply::Kind::kOk || !h.reply.ended.empty() ||
       h.listed_by <= now_ || !agent.worker.ended.empty())) {
    if (h.reply.kind == HoldReply::Kind::kOk) {
      HoldCall again = h.call;
      again.lease_until.reset();
      h.reply = HandleHold(agent.worker, again);
    }
    h.replied_at = now_ + h.reply_latency;
  }
  constexpr Duration kHoldTimeoutSlack = 500ms;
  if (now_ - h.sent_at > h.call.wait + kHoldTimeoutSlack) {
    h.reply = {};
    h.replied_at = now_;
  }
  if (h.replied_at <= now_) {
    const HoldInFlight done = std::move(h);
    agent.hold.reset();
    s.OnHoldReply(now_, done.call, done.reply);
    SendCommands(agent);
  }
}

// As the worker's own, but for the id or the start time.
void JobSimulation::SendForeignHeartbeat(Agent& agent) {
  WorkerIncarnation incarnation = agent.worker.incarnation;
  if (RandomBool(0.5)) {
    incarnation.id = "x" + std::to_string(random_() % 4);
  } else {
    incarnation.started_at_unix_ms += RandomBool(0.5) ? 1000 : -1000;
  }
  agent.supervisor->OnHeartbeat(
      now_, {.incarnation = incarnation,
             .service = RandomBool(0.5) ? "s" : "unknown",
             .data_centre = agent.data_centre,
             .labels = {"a", "r1"},
             .rack = "r1",
             .capacity = {.cpu_milli = 64'000, .accelerators = 8},
             .sequence = agent.sequence + 1,
             .clock_ms = now_.count()});
}

void JobSimulation::InjectFaults() {
  if (options_.has_flapping_worker) {
    FlapWorker();
  }
  for (auto& agent : agents_) {
    const double share = ToSeconds(kTick) / static_cast<double>(agents_.size());
    if (RandomBool(options_.agent_restarts_per_s * share)) {
      RestartAgent(*agent);
    }
    if (RandomBool(options_.worker_crashes_per_s * share)) {
      CrashWorker(*agent);
    }
    if (RandomBool(options_.worker_losses_per_s * share)) {
      LoseWorker(*agent);
    }
    if (RandomBool(options_.foreign_heartbeats_per_s * share)) {
      SendForeignHeartbeat(*agent);
    }
    if (RandomBool(options_.log_outages_per_s * share)) {
      agent->log_outage_until = now_ + options_.log_outage;
    }
    if (RandomBool(options_.suspensions_per_s * share)) {
      Suspend(*agent);
    }
    if (options_.agent_pauses_per_s > 0 &&
        RandomBool(options_.agent_pauses_per_s * share)) {
      agent->paused_until = now_ + RandomDuration(options_.max_agent_pause);
    }
  }
  for (auto it = delayed_commands_.begin(); it != delayed_commands_.end();) {
    if (it->deliver_at > now_ || IsSuspended(*it->agent)) {
      ++it;
      continue;
    }
    delivering_delayed_command_ = true;
    HandleCommand(it->agent->worker, it->call);
    delivering_delayed_command_ = false;
    it = delayed_commands_.erase(it);
  }
}

std::vector<std::string> JobSimulation::Run() {
  for (; now_ < options_.simulated_time + kSettlingTime; now_ += kTick) {
    SubmitDueJobs();
    StoreLateCopies();
    if (now_ == options_.power_loss_at) {
      LosePower();
    }
    if (now_ < options_.simulated_time * 3 / 4) {
      InjectFaults();
    }
    for (auto& agent : agents_) {
      if (IsSuspended(*agent)) {
        continue;
      }
      if (agent->worker.is_crashing) {
        CrashWorker(*agent);
      }
      StepWorker(agent->worker);
      StepAgent(*agent);
    }
    CheckOneRunAtATime();
    UpdateClosedDataCentres();
    RunPlanner();
    CheckGuarantees();
  }
  CheckEndOfJobs();
  return violations_;
}

std::int32_t JobSimulation::completed_jobs() const {
  std::int32_t n = 0;
  for (const auto& [id, job] : planner_ledger_.jobs()) {
    n += job.phase == JobPhase::kCompleted ? 1 : 0;
  }
  return n;
}

}  // namespace marjoramplank
