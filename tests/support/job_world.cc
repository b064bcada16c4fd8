#include "tests/support/job_world.h"

#include <algorithm>
#include <utility>

#include "tests/support/job_world_parts.h"

namespace marjoramplank {

namespace {

constexpr Duration kTick = 10ms;
constexpr Duration kCallTime = 2ms;
constexpr Duration kOrderTimeout = 400ms;
constexpr Duration kCut = 6s;
constexpr Duration kDown = 1s;  // Of an agent's process that restarts.
constexpr Duration kStopTakes = 100ms;
constexpr Duration kCancelBound = 3s;
constexpr Duration kHeartbeat = 1500ms;
constexpr Duration kGangTimeout = 3s;
constexpr double kListsFirst = 0.3;  // Share of steps.

}  // namespace

JobWorld::JobWorld(Options options)
    : options_(options), random_(options.seed), dispatcher_({}) {
  rules_.loaded = true;
  rules_.rules.version = 1;
  rules_.rules.accounts.push_back({.name = "a", .guaranteed_accelerators = 8});
  for (std::int32_t n = 0; n < options_.workers; ++n) {
    auto agent = std::make_unique<Agent>();
    agent->name = "agent-" + std::to_string(n);
    agent->worker.life = {.id = "w" + std::to_string(n), .born_ms = 1};
    agent->data_centre = "d" + std::to_string(n % 2);
    data_centres_[agent->worker.life.id] = agent->data_centre;
    agents_.push_back(std::move(agent));
    Restart(*agents_.back());
    agents_.back()->down_until = Time{0};
  }
}

JobWorld::~JobWorld() = default;

double JobWorld::Chance() {
  return std::uniform_real_distribution<>(0, 1)(random_);
}

void JobWorld::Broken(const std::string& what) {
  broken_.push_back(std::to_string(now_.count()) + " ms: " + what);
}

void JobWorld::Append(const LedgerRecord& record) {
  log_.push_back(record);
}

void JobWorld::Restart(Agent& agent) {
  ++agent.process;
  agent.supervisor = std::make_unique<Supervisor>(Supervisor::Options{
      .agent = agent.name, .process = std::to_string(agent.process)});
  agent.ledger = Ledger();
  agent.read = 0;
  agent.next_beat = now_;
  agent.down_until = now_ + kDown;
}

void JobWorld::Crash(Agent& agent) {
  FakeWorker& w = agent.worker;
  for (const auto& [task, run] : w.runs) {
    facts_[task].running_on.erase(w.life.id);
    if (run.gang) {
      GangOf(task, run.run).broken = true;
    }
  }
  w = {.life = {.id = w.life.id, .born_ms = w.life.born_ms + 1}};
  agent.next_heartbeat = now_ + kDown;
}

void JobWorld::SubmitSome() {
  const double share = static_cast<double>(now_.count()) /
                       (static_cast<double>(options_.length.count()) / 2);
  while (submitted_ < options_.jobs && submitted_ < share * options_.jobs) {
    JobRequest job{.id = "j" + std::to_string(submitted_++),
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
    accepted_[job.id] = now_;
    if (Draw(options_.cancels)) {
      cancelled_[job.id] = now_ + Duration(200 + random_() % 3000);
    }
  }
  for (auto& [id, at] : cancelled_) {
    if (at <= now_ && at > now_ - kTick) {
      Append(JobCancelled{.job = id});
    }
  }
}

void JobWorld::PlanOnce() {
  if (epoch_ == 0 || Draw(options_.planner_changes * ToSeconds(kTick))) {
    ++epoch_;
    planner_ledger_ = Ledger();
    planner_read_ = 0;
    Append(
        PlannerElected{.entry = "e" + std::to_string(epoch_), .epoch = epoch_});
  }
  for (; planner_read_ < log_.size(); ++planner_read_) {
    planner_ledger_.Apply(now_, log_[planner_read_]);
  }
  const std::vector<LedgerRecord> plan =
      dispatcher_.Plan({.now = now_,
                        .epoch = epoch_,
                        .ledger = planner_ledger_,
                        .rules = rules_});
  for (const LedgerRecord& r : plan) {
    Append(r);
  }
}

OrderReply JobWorld::DoOrder(FakeWorker& w, const OrderCall& call) {
  const auto clock = now_.count();
  if (const auto* stop = std::get_if<StopCall>(&call)) {
    if (stop->fence < w.fence) {
      return {.kind = OrderReply::Kind::kOutdated, .clock_ms = clock};
    }
    w.fence = stop->fence;
    w.highest[stop->task] = std::max(w.highest[stop->task], stop->run);
    const auto it = w.runs.find(stop->task);
    if (it != w.runs.end() && it->second.run <= stop->run) {
      it->second.stopping = true;
      it->second.ends = std::min(it->second.ends, now_ + kStopTakes);
    }
    return {.kind = OrderReply::Kind::kDone, .clock_ms = clock};
  }
  const auto& start = std::get<StartCall>(call);
  if (start.life != w.life) {
    return {.kind = OrderReply::Kind::kWrongLife};
  }
  if (start.fence < w.fence || start.lease_until < clock) {
    return {.kind = OrderReply::Kind::kOutdated, .clock_ms = clock};
  }
  w.fence = start.fence;
  w.lease_until = std::max(w.lease_until, start.lease_until);
  const auto it = w.runs.find(start.task);
  if (it != w.runs.end() && it->second.run == start.run) {
    return {.kind = OrderReply::Kind::kDone, .clock_ms = clock};
  }
  const auto high = w.highest.find(start.task);
  if (high != w.highest.end() && start.run <= high->second) {
    return {.kind = OrderReply::Kind::kEndedBefore, .clock_ms = clock};
  }
  TaskFacts& facts = facts_[start.task];
  if (!facts.running_on.empty()) {
    Broken("two runs of " + ToString(start.task) + " at the same time");
  }
  facts.last_start = now_;
  if (facts.done_noted) {
    Broken(ToString(start.task) + " started after it was done");
  }
  if (facts.failed >= 3) {
    Broken(ToString(start.task) + " started beyond its attempts");
  }
  const auto cancel = cancelled_.find(start.task.job);
  if (cancel != cancelled_.end() && now_ > cancel->second + kCancelBound) {
    Broken(ToString(start.task) + " started after its job was cancelled");
  }
  CheckStart(start.task, w.life);
  facts.running_on.insert(w.life.id);
  constexpr Duration kShortest = 500ms;
  const Duration length =
      kShortest +
      Duration(random_() % (options_.longest_task - kShortest).count());
  const JobStep& step = requests_[start.task.job].steps[start.task.step];
  w.runs[start.task] = {.run = start.run,
                        .ends = step.gang ? kNever : now_ + length,
                        .fails = Draw(options_.failures),
                        .gang = step.gang,
                        .begun = now_};
  if (step.gang) {
    GangFacts& gang = GangOf(start.task, start.run);
    gang.size = step.tasks;
    gang.present.insert(start.task.index);
    if (static_cast<int>(gang.present.size()) == gang.size) {
      gang.ends = now_ + length;
    }
  }
  return {.kind = OrderReply::Kind::kDone, .clock_ms = clock};
}

HoldReply JobWorld::DoHold(FakeWorker& w, const HoldCall& call) {
  if (call.life != w.life) {
    return {.kind = HoldReply::Kind::kWrongLife};
  }
  if (call.fence < w.fence) {
    return {.kind = HoldReply::Kind::kOutdated, .clock_ms = now_.count()};
  }
  w.fence = call.fence;
  if (call.lease_until) {
    w.lease_until = std::max(w.lease_until, *call.lease_until);
  }
  std::vector<TaskEnded> left;
  for (const TaskEnded& e : w.ended) {
    if (e.number > call.seen_end) {
      left.push_back(e);
      continue;
    }
    if (e.how == TaskEnd::kDone && !w.lapsed_ends.contains(e.number)) {
      facts_[e.task].done_noted = true;
      if (facts_[e.task].last_start > w.end_times[e.number]) {
        Broken(ToString(e.task) + " began again before its end was noted");
      }
    }
  }
  w.ended = left;
  HoldReply reply{
      .kind = HoldReply::Kind::kOk, .clock_ms = now_.count(), .ended = w.ended};
  for (const auto& [task, run] : w.runs) {
    reply.running.push_back({.task = task, .run = run.run});
  }
  return reply;
}

JobWorld::GangFacts& JobWorld::GangOf(TaskRef task, std::int32_t run) {
  task.index = 0;
  return gangs_[{task, run}];
}

std::optional<TaskEnd> JobWorld::EndOf(const TaskRef& task,
                                       const FakeWorkerRun& run,
                                       bool lapsed) {
  if (lapsed) {
    return TaskEnd::kLapsed;
  }
  if (run.stopping && run.ends <= now_) {
    return TaskEnd::kStopped;
  }
  Time ends = run.ends;
  if (run.gang) {
    const GangFacts& gang = GangOf(task, run.run);
    if (gang.broken) {
      return TaskEnd::kBroken;
    }
    if (gang.ends == kNever && now_ - run.begun > kGangTimeout) {
      return TaskEnd::kAlone;
    }
    ends = gang.ends;
  }
  if (ends > now_) {
    return std::nullopt;
  }
  return run.fails ? TaskEnd::kFailed : TaskEnd::kDone;
}

void JobWorld::StepWorker(FakeWorker& w) {
  const bool lapsed = w.lease_until < now_.count();
  for (const TaskEnded& e : w.ended) {
    if (lapsed) {
      w.lapsed_ends.insert(e.number);
    }
  }
  for (auto it = w.runs.begin(); it != w.runs.end();) {
    const std::optional<TaskEnd> end = EndOf(it->first, it->second, lapsed);
    if (!end) {
      ++it;
      continue;
    }
    const TaskEnd how = *end;
    if (it->second.gang && how != TaskEnd::kDone) {
      GangOf(it->first, it->second.run).broken = true;
    }
    TaskFacts& facts = facts_[it->first];
    facts.running_on.erase(w.life.id);
    w.end_times[w.last_end + 1] = now_;
    facts.failed += how == TaskEnd::kFailed ? 1 : 0;
    w.highest[it->first] = std::max(w.highest[it->first], it->second.run);
    w.ended.push_back({.life = w.life,
                       .number = ++w.last_end,
                       .task = it->first,
                       .run = it->second.run,
                       .how = how});
    it = w.runs.erase(it);
  }
}

void JobWorld::Carry(Agent& agent, const OrderCall& call) {
  Supervisor& s = *agent.supervisor;
  OrderReply reply;
  if (Draw(options_.late_orders)) {
    delayed_.push_back({.at = now_ + Duration(2000 + random_() % 8000),
                        .agent = &agent,
                        .call = call});
  } else {
    reply = DoOrder(agent.worker, call);
    if (Draw(options_.lost_answers)) {
      reply = {};
    }
  }
  const Time answered =
      now_ +
      (reply.kind == OrderReply::Kind::kNoAnswer ? kOrderTimeout : kCallTime);
  if (const auto* start = std::get_if<StartCall>(&call)) {
    s.OnStartReply(answered, *start, reply);
  } else {
    s.OnStopReply(answered, std::get<StopCall>(call), reply);
  }
}

void JobWorld::ListTasks(Agent& agent) {
  Supervisor& s = *agent.supervisor;
  std::optional<HoldCall> hold = s.NextHold(now_);
  if (!hold) {
    return;
  }
  if (!options_.settle) {
    hold->fence = agent.worker.fence;
  }
  HoldReply reply = DoHold(agent.worker, *hold);
  if (Draw(options_.lost_answers)) {
    reply = {};
  }
  s.OnHoldReply(now_, *hold, reply);
}

void JobWorld::StepAgent(Agent& agent) {
  if (now_ < agent.down_until) {
    return;
  }
  Supervisor& s = *agent.supervisor;
  if (now_ >= agent.next_heartbeat) {
    agent.next_heartbeat = now_ + kHeartbeat;
    s.OnHeartbeat(now_, {.life = agent.worker.life,
                         .service = "s",
                         .data_centre = agent.data_centre,
                         .labels = {"a", "r1"},
                         .rack = "r1",
                         .capacity = {.cpu_milli = 64'000, .accelerators = 8},
                         .sequence = ++agent.sequence,
                         .clock_ms = now_.count()});
  }
  const bool connected = now_ >= agent.cut_until;
  if (connected) {
    for (; agent.read < log_.size(); ++agent.read) {
      agent.ledger.Apply(now_, log_[agent.read]);
    }
    if (now_ >= agent.next_beat) {
      agent.next_beat = now_ + 800ms;
      Append(AgentBeat{.agent = agent.name,
                       .process = std::to_string(agent.process)});
      s.OnBeatStored(now_);
    }
  }
  if (Draw(kListsFirst)) {
    ListTasks(agent);  // The listing thread may be ahead of the ledger's.
  }
  s.OnLedger(now_, agent.ledger, connected);
  for (const OrderCall& call : s.TakeOrders(now_)) {
    Carry(agent, call);
  }
  ListTasks(agent);
  if (connected) {
    for (const LedgerRecord& r : s.TakeRecords(now_)) {
      Append(r);
    }
  }
}

void JobWorld::Faults() {
  for (auto& agent : agents_) {
    const double share = ToSeconds(kTick) / static_cast<double>(agents_.size());
    if (Draw(options_.agent_restarts * share)) {
      Restart(*agent);
    }
    if (Draw(options_.worker_crashes * share)) {
      Crash(*agent);
    }
    if (Draw(options_.agent_cuts * share)) {
      agent->cut_until = now_ + kCut;
    }
  }
  for (auto it = delayed_.begin(); it != delayed_.end();) {
    if (it->at > now_) {
      ++it;
      continue;
    }
    carrying_late_ = true;
    DoOrder(it->agent->worker, it->call);
    carrying_late_ = false;
    it = delayed_.erase(it);
  }
}

std::vector<std::string> JobWorld::Play() {
  for (; now_ < options_.length; now_ += kTick) {
    SubmitSome();
    if (now_ < options_.length * 3 / 4) {
      Faults();
    }
    for (auto& agent : agents_) {
      StepWorker(agent->worker);
      StepAgent(*agent);
    }
    CloseSome();
    PlanOnce();
    CheckReclaim();
  }
  for (const auto& [id, job] : planner_ledger_.jobs()) {
    if (!job.ended()) {
      Broken("job " + id + " never ended");
    }
  }
  return broken_;
}

std::int32_t JobWorld::completed() const {
  std::int32_t n = 0;
  for (const auto& [id, job] : planner_ledger_.jobs()) {
    n += job.phase == JobPhase::kCompleted ? 1 : 0;
  }
  return n;
}

}  // namespace marjoramplank
