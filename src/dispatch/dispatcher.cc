#include "src/dispatch/dispatcher.h"

#include <algorithm>
#include <tuple>

#include "src/dispatch/deadline.h"
#include "src/dispatch/fair_share.h"
#include "src/dispatch/speed_choice.h"

namespace marjoramplank {

namespace {

RunStarted MakeRunStarted(const Dispatcher::Input& in,
                          const WaitingUnit& unit,
                          const UnitPlacement& placement) {
  return {.epoch = in.epoch,
          .first = unit.first_task,
          .run = unit.unit->run + 1,
          .members = placement.members,
          .checkpoint = unit.unit->checkpoint};
}

// Doubles with each of `count` events in a row. 0 events: none.
Duration Backoff(Duration first, Duration max, std::int32_t count) {
  constexpr std::int32_t kMaxDoublings = 4;
  return count == 0
             ? Duration(0)
             : std::min(first * (1 << std::min(count - 1, kMaxDoublings)), max);
}

// Of the slowest member, for which the others wait.
double SlownessOf(CapacityTable& table, const UnitPlacement& placement) {
  double out = 1;
  for (const MemberPlace& m : placement.members) {
    out = std::max(out, table.Find(m.incarnation)->RunTimeFactor());
  }
  return out;
}

// In one rack if the unit needs that and it is possible.
std::optional<UnitPlacement> FindVictimsUpTo(PreemptionSearch& search,
                                             const WaitingUnit& unit,
                                             std::int32_t max_speed_class) {
  if (unit.step->gang && unit.step->same_rack) {
    if (std::optional<UnitPlacement> placement =
            search.Find(unit, /*allow_any_rack=*/false, max_speed_class)) {
      return placement;
    }
  }
  return search.Find(unit, /*allow_any_rack=*/true, max_speed_class);
}

void TraceStart(const Dispatcher::Input& in,
                CapacityTable& table,
                const WaitingUnit& unit,
                const UnitPlacement& placement) {
  if (in.trace == nullptr) {
    return;
  }
  Duration sample_age{0};
  for (const MemberPlace& m : placement.members) {
    sample_age =
        std::max(sample_age,
                 in.ledger.run_times().SampleAge(
                     in.now, table.Find(m.incarnation)->entry->report.agent));
  }
  in.trace->starts.push_back(
      {.unit = unit.first_task,
       .expected_run_time =
           ScaledBy(RunTimeFactor(table, unit, placement), unit.run_time),
       .slowness = placement.slowness,
       .speed_class = placement.speed_class,
       .sample_age = sample_age,
       .speed_order = placement.speed_order});
}

// When the unit would have to start on machines of usual speed to end when it
// ends if it starts now and takes `factor` times its run time.
Time StartOnUsual(Time now, const WaitingUnit& unit, double factor) {
  return now + ScaledBy(factor - 1, unit.run_time);
}

// Accelerators of the largest worker, at least 1.
std::int64_t MostAccelerators(const CapacityTable& table) {
  std::int64_t out = 1;
  for (const WorkerCapacity* worker : table.workers()) {
    out = std::max(out, worker->entry->report.capacity.accelerators);
  }
  return out;
}

}  // namespace

// What the steps of one plan share.
struct Dispatcher::PlanState {
  PlanState(const Dispatcher& dispatcher,
            const Input& input,
            const std::set<std::string>& guaranteed_jobs,
            StepTimeCache& step_times,
            CapacityTable& capacity,
            std::vector<LedgerRecord>& records)
      : in(input),
        table(capacity),
        forecast({.default_estimate = dispatcher.options_.default_estimate},
                 in.now,
                 in.unix_ms,
                 in.ledger),
        search(dispatcher.options_.preemption,
               forecast,
               table,
               guaranteed_jobs),
        migrations(dispatcher.options_.migration, forecast, table),
        reservations(dispatcher.options_.reservations,
                     in.now,
                     in.ledger,
                     step_times,
                     table),
        idle_jobs(in.ledger, table),
        fast_wait(dispatcher.options_.fast_wait,
                  table,
                  reservations,
                  idle_jobs),
        out(records) {}

  const Input& in;
  CapacityTable& table;
  RunForecast forecast;
  PreemptionSearch search;
  MigrationPlanner migrations;
  ReservationPlanner reservations;
  IdleJobs idle_jobs;
  FastWait fast_wait;
  bool keep_whole_workers = false;    // For larger tasks that wait.
  std::set<TaskRef> stopped_units;    // First tasks of those that it stops.
  std::vector<WaitingUnit> unplaced;  // One of each step.
  std::vector<LedgerRecord>& out;
};

bool Dispatcher::IsQuarantined(const Input& in,
                               const LedgerAgent& agent,
                               const LedgerWorker& worker) const {
  const Duration since_trouble = in.now - worker.last_failure_at;
  if (worker.consecutive_failures >= options_.quarantine_failures &&
      since_trouble < options_.quarantine_time) {
    return true;
  }
  return since_trouble < Backoff(options_.refusal_backoff,
                                 options_.refusal_backoff_max,
                                 worker.consecutive_refusals) ||
         in.now - agent.last_crash_at < Backoff(options_.crash_backoff,
                                                options_.crash_backoff_max,
                                                agent.consecutive_crashes);
}

CapacityTable Dispatcher::BuildCapacityTable(const Input& in) const {
  CapacityTable table;
  for (const auto& [name, agent] : in.ledger.agents()) {
    const LedgerWorker* entry = in.ledger.FindWorker(agent.incarnation);
    if (entry == nullptr || entry->incarnation_ended ||
        !entry->report.accepting || agent.heard_worker != agent.incarnation ||
        in.now - agent.worker_heard_at > options_.worker_silence_limit ||
        in.now - agent.last_heartbeat_at > options_.leases.SuspectAfter() ||
        in.rules.closed_data_centres.contains(entry->report.data_centre)) {
      continue;
    }
    const double slowness = in.ledger.run_times().Slowness(in.now, name);
    const WorkerCapacity worker{
        .entry = entry,
        .free = entry->report.capacity - entry->used,
        .is_quarantined = IsQuarantined(in, agent, *entry),
        .is_settled = trials_.IsSettled(in.now, *entry),
        .slowness = slowness,
        .speed_class = SpeedClass(slowness),
        .is_known = in.ledger.run_times().SampleCount(name) > 0};
    table.Add(agent.incarnation, worker);
  }
  trials_.MarkHosts(in.now, in.ledger, table);
  return table;
}

std::set<std::string> Dispatcher::JobsWithinGuarantee(const Input& in) const {
  // Accelerators wanted by the open jobs of priority 0, by account.
  std::map<std::string, std::int64_t> wanted_accelerators;
  const auto peak_need = [](const LedgerJob& job) {
    std::int64_t n = 0;
    for (const JobStep& step : job.request.steps) {
      n = std::max(n, step.tasks * step.need.accelerators);
    }
    return n;
  };
  for (const std::string& id : in.ledger.open_jobs()) {
    const LedgerJob& job = in.ledger.jobs().at(id);
    if (job.request.terms.priority == 0) {
      wanted_accelerators[job.request.account] += peak_need(job);
    }
  }
  std::set<std::string> out;
  for (const std::string& id : in.ledger.open_jobs()) {
    const LedgerJob& job = in.ledger.jobs().at(id);
    const AccountRule* account =
        in.rules.rules.FindAccount(job.request.account);
    if (job.request.terms.priority == 0 && account != nullptr &&
        wanted_accelerators[job.request.account] <=
            account->guaranteed_accelerators) {
      out.insert(id);
    }
  }
  return out;
}

std::optional<Time> Dispatcher::DueTime(const Input& in,
                                        const LedgerJob& job,
                                        std::size_t occurrence) const {
  const Recurrence& r = job.request.recurrence;
  if (r.occurrence_count == 0) {
    return job.first_seen_at;
  }
  const Duration time_until_due(
      r.first_due_unix_ms +
      static_cast<std::int64_t>(occurrence) * r.interval_ms - in.unix_ms);
  return time_until_due > options_.max_early_start
             ? std::nullopt
             : std::optional(
                   std::max(job.first_seen_at, in.now + time_until_due));
}

void Dispatcher::AppendWaitingSteps(const Input& in,
                                    const LedgerJob& job,
                                    const StepTimes& run_times,
                                    std::vector<WaitingStep>& out) const {
  const std::size_t limit = out.size() + options_.max_waiting_steps_of_job;
  for (const auto range : job.occurrences) {
    const bool is_done =
        std::all_of(range.value.begin(), range.value.end(),
                    [](const StepState& step) { return step.IsDone(); });
    for (std::size_t n = 0; n < range.count && !is_done; ++n) {
      const std::optional<Time> due_at = DueTime(in, job, range.first + n);
      if (!due_at || out.size() >= limit) {
        return;  // The following ones are due later.
      }
      AppendWaitingStepsOf(in, job, range.first + n, range.value, *due_at,
                           run_times, out);
    }
  }
}

void Dispatcher::AppendWaitingStepsOf(const Input& in,
                                      const LedgerJob& job,
                                      std::size_t occurrence,
                                      const std::vector<StepState>& states,
                                      Time due_at,
                                      const StepTimes& run_times,
                                      std::vector<WaitingStep>& out) const {
  const JobRequest& r = job.request;
  const Time deadline = due_at +
                        ScaledBy(r.terms.stretch, CriticalPath(r, run_times)) +
                        r.terms.target;
  for (std::size_t s = 0; s < r.steps.size(); ++s) {
    const StepState& state = states[s];
    if (state.IsDone() || !Ledger::IsReady(job, occurrence, s)) {
      continue;
    }
    std::size_t waiting = 0;
    for (const auto range : state.units) {
      waiting += range.value.IsStartable() ? range.count : 0;
    }
    if (waiting == 0) {
      continue;
    }
    const JobStep& step = r.steps[s];
    const Duration remaining = CriticalPathFrom(r, run_times, s);
    Resources need = step.need;
    if (step.uses_idle_cpu) {
      need.cpu_milli = 0;
    }
    out.push_back(
        {.first = {.job = &job,
                   .step = &step,
                   .first_task = {.job = r.id,
                                  .occurrence =
                                      static_cast<std::int32_t>(occurrence),
                                  .step = static_cast<std::int32_t>(s)},
                   .member_count = step.gang ? step.tasks : 1,
                   .member_need = need,
                   .due_at = due_at,
                   .deadline = deadline,
                   .outlook =
                       AssessDeadline(in.now, due_at, deadline, remaining),
                   .run_time = run_times[s],
                   .remaining = remaining,
                   .planned_at = in.now,
                   .expected_end = ExpectedEnd(in.now, step, run_times[s])},
         .units = &state.units,
         .waiting_units = waiting});
  }
}

std::vector<WaitingStep> Dispatcher::SortedWaitingSteps(
    const Input& in,
    StepTimeCache& step_times,
    const std::set<std::string>& guaranteed_jobs,
    const std::vector<QueueChanged>& changed_queues) const {
  std::vector<WaitingStep> out;
  for (const std::string& id : in.ledger.open_jobs()) {
    const LedgerJob& job = in.ledger.jobs().at(id);
    // The next plan starts the tasks of a changed queue, by its new terms.
    const bool is_changing =
        std::any_of(changed_queues.begin(), changed_queues.end(),
                    [&](const QueueChanged& c) {
                      return c.before.service != c.after.service &&
                             c.before == QueueOf(job.request);
                    });
    if (!is_changing) {
      AppendWaitingSteps(in, job, step_times.Of(job), out);
    }
  }
  for (WaitingStep& step : out) {
    step.first.is_guaranteed =
        guaranteed_jobs.contains(step.first.first_task.job);
  }
  using Rank = std::tuple<bool, std::int32_t, DeadlineOutlook, Time,
                          std::int64_t, const TaskRef&>;
  const auto rank = [](const WaitingStep& s) {
    const WaitingUnit& u = s.first;
    return Rank(!u.is_guaranteed, u.job->request.terms.priority, u.outlook,
                u.deadline, u.job->sequence_number, u.first_task);
  };
  std::sort(out.begin(), out.end(),
            [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  OrderByFairShare(in.ledger, in.rules, out);
  return out;
}

std::vector<QueueChanged> Dispatcher::FindChangedQueues(const Input& in) {
  std::vector<QueueChanged> out;
  if (!in.rules.loaded || in.rules.rules.version < in.ledger.rules_version()) {
    return out;
  }
  std::set<JobQueue> seen;
  const JobRequest* previous = nullptr;
  for (const std::string& id : in.ledger.open_jobs()) {
    const JobRequest& request = in.ledger.jobs().at(id).request;
    const bool is_same = previous != nullptr &&
                         previous->address == request.address &&
                         previous->terms.queue == request.terms.queue &&
                         previous->terms.service == request.terms.service;
    previous = &request;
    if (is_same || !seen.insert(QueueOf(request)).second) {
      continue;
    }
    const JobQueue before = QueueOf(request);
    const QueueRule* queue = in.rules.rules.FindQueueOf(before);
    if (queue != nullptr && queue->job_queue() != before) {
      out.push_back({.epoch = in.epoch,
                     .rules_version = in.rules.rules.version,
                     .before = before,
                     .after = queue->job_queue()});
    }
  }
  return out;
}

void Dispatcher::DeclareLostWorkers(const Input& in,
                                    std::vector<LedgerRecord>& out) const {
  for (const auto& [name, agent] : in.ledger.agents()) {
    const LedgerWorker* worker = in.ledger.FindWorker(agent.incarnation);
    const Duration silence = in.ledger.SilenceOf(agent, in.now);
    if (silence <= options_.leases.LostAfter()) {
      continue;
    }
    ExpireLateStarts(in, name, agent, out);
    if (worker == nullptr || worker->runs.empty()) {
      continue;
    }
    if (in.trace != nullptr) {
      in.trace->lost_workers.push_back(
          {.incarnation = agent.incarnation, .silence = silence});
    }
    std::vector<RunRef> runs;
    for (const auto& [task, run] : worker->runs) {
      runs.push_back({.task = task, .run = run.run});
    }
    for (std::vector<RunRef>& part : SplitRuns(runs)) {
      out.emplace_back(WorkerEmptied{
          .incarnation = agent.incarnation,
          .epoch = in.epoch,
          .runs = std::move(part),
          .reason = "no beat of its agent until every lease had run out"});
    }
  }
}

void Dispatcher::ExpireLateStarts(const Input& in,
                                  const std::string& name,
                                  const LedgerAgent& agent,
                                  std::vector<LedgerRecord>& out) {
  std::vector<RunRef> runs;
  for (const auto& [run, late_start] : agent.late_starts) {
    runs.push_back(run);
  }
  for (std::vector<RunRef>& part : SplitRuns(runs)) {
    out.emplace_back(StartsExpired{
        .agent = name, .epoch = in.epoch, .runs = std::move(part)});
  }
}

std::set<TaskRef> Dispatcher::StopStalledRuns(
    const Input& in,
    std::vector<LedgerRecord>& out) const {
  std::set<TaskRef> stopped_units;
  for (const auto& [incarnation, worker] : in.ledger.workers()) {
    for (const auto& [task, run] : worker.runs) {
      const LedgerJob* job = in.ledger.FindJob(task.job);
      if (!run.stalled || run.must_stop || job == nullptr || job->ended()) {
        continue;
      }
      const TaskRef first = FirstTaskOfUnit(*job, task);
      if (stopped_units.insert(first).second) {
        out.emplace_back(RunStopped{.epoch = in.epoch,
                                    .first = first,
                                    .run = run.run,
                                    .cause = StopCause::kStalled});
      }
    }
  }
  return stopped_units;
}

Time Dispatcher::ExpectedEnd(Time now,
                             const JobStep& step,
                             Duration run_time) const {
  return step.long_running ? kNever
                           : now + ScaledBy(options_.backfill_margin, run_time);
}

bool Dispatcher::WaitsForRack(const Input& in,
                              const CapacityTable& table,
                              const WaitingUnit& unit) const {
  const Duration waited = in.now - unit.due_at;
  const bool is_same_rack_gang = unit.step->gang && unit.step->same_rack;
  const bool has_preferred_rack =
      (is_same_rack_gang && FitsInOneRack(table, unit)) ||
      (!unit.step->data_rack.empty() && CanRunInDataRack(table, unit));
  return has_preferred_rack &&
         (!unit.is_guaranteed || waited < options_.guaranteed_locality_limit) &&
         static_cast<double>(waited.count()) <
             options_.locality_wait_fraction *
                 static_cast<double>(unit.run_time.count());
}

std::optional<UnitPlacement> Dispatcher::FindPlacementWithFallback(
    const Input& in,
    const CapacityTable& table,
    const WaitingUnit& unit,
    PlacementOptions placement_options) const {
  const bool waits_for_rack = WaitsForRack(in, table, unit);
  const bool is_same_rack_gang = unit.step->gang && unit.step->same_rack;
  const bool has_rack_preference =
      is_same_rack_gang || !unit.step->data_rack.empty();
  for (const bool allow_failed_worker : {false, true}) {
    if (allow_failed_worker && unit.unit->failed_on_workers.empty() &&
        unit.unit->crashes.empty()) {
      break;  // No worker is excluded, so the result is the same.
    }
    placement_options.allow_failed_worker = allow_failed_worker;
    std::optional<UnitPlacement> best;
    for (const bool allow_any_rack : {false, true}) {
      // A slow machine near the data is better than a fast one elsewhere.
      if ((allow_any_rack ? waits_for_rack : !has_rack_preference) ||
          (best && best->slowness <= kRemoteFactor)) {
        continue;
      }
      placement_options.allow_any_rack = allow_any_rack;
      std::optional<UnitPlacement> placement = FindUnitPlacement(
          table, unit,
          ChooseSpeed(table, unit, allow_any_rack && has_rack_preference,
                      placement_options));
      if (placement &&
          (!best || placement->slowness * kRemoteFactor < best->slowness)) {
        best = std::move(placement);
      }
    }
    if (best) {
      return best;
    }
  }
  return std::nullopt;
}

void Dispatcher::ReserveForGang(const Input& in,
                                const CapacityTable& table,
                                const WaitingUnit& unit,
                                ReservationPlanner& reservations) const {
  // A gang that is too late to earn anything is not worth idle workers.
  if (!unit.step->gang || unit.outlook == DeadlineOutlook::kNoCredit ||
      !reservations.MayReserve()) {
    return;
  }
  ReservationScope scope = ReservationScope::kAnyWorker;
  if (WaitsForRack(in, table, unit)) {
    scope = unit.step->same_rack ? ReservationScope::kOneRack
                                 : ReservationScope::kDataRack;
  }
  const bool is_remote =
      scope == ReservationScope::kAnyWorker &&
      (unit.step->same_rack || !unit.step->data_rack.empty());
  const bool has_slack = ChooseSpeed(table, unit, is_remote, {}).speed_order ==
                         SpeedOrder::kSlowFirst;
  reservations.Reserve(unit, scope, has_slack);
}

bool Dispatcher::MayPreempt(const WaitingUnit& unit) {
  return unit.is_guaranteed || unit.job->request.terms.priority == 0;
}

double Dispatcher::GainOnFast(const WaitingUnit& unit,
                              double slow_factor) const {
  if (unit.step->long_running || unit.outlook != DeadlineOutlook::kOnTime ||
      OutlookAt(unit, Duration(0), slow_factor) == DeadlineOutlook::kOnTime) {
    return 0;
  }
  return options_.fast_preemption_weight * CoreEquivalent(unit.member_need) *
         unit.member_count * ToSeconds(unit.run_time) * (slow_factor - 1);
}

PreemptionDecision Dispatcher::FindVictims(PlanState& state,
                                           const WaitingUnit& unit) const {
  PreemptionDecision anywhere =
      state.search.Decide(unit, options_.preemption_limit_core_seconds);
  if (anywhere.verdict != PreemptionVerdict::kAccepted ||
      !state.table.HasSlowWorkers()) {
    return anywhere;
  }
  const double slowness = SlownessOf(state.table, anywhere.placement);
  const double gain = GainOnFast(unit, slowness);
  std::optional<UnitPlacement> on_fast =
      gain > 0 ? FindVictimsUpTo(state.search, unit, /*max_speed_class=*/0)
               : std::nullopt;
  if (!on_fast || on_fast->urgent_victims > anywhere.placement.urgent_victims ||
      on_fast->cost > anywhere.placement.cost + gain) {
    return anywhere;
  }
  PreemptionDecision fast = state.search.Weigh(
      unit, std::move(*on_fast), StartOnUsual(state.in.now, unit, slowness));
  if (unit.is_guaranteed) {
    anywhere.placement = std::move(fast.placement);
    return anywhere;
  }
  // The gain comes on top of that of a start on the slow machines.
  fast.gain += anywhere.gain;
  if (fast.gain - anywhere.gain <= fast.loss - anywhere.loss) {
    return anywhere;
  }
  fast.verdict = PreemptionVerdict::kAccepted;
  return fast;
}

PreemptionVerdict Dispatcher::Preempt(PlanState& state,
                                      const WaitingUnit& unit) const {
  const PreemptionDecision decision = FindVictims(state, unit);
  if (decision.verdict != PreemptionVerdict::kAccepted) {
    if (state.in.trace != nullptr &&
        decision.verdict != PreemptionVerdict::kNoVictims) {
      state.in.trace->declined_preemptions.push_back(
          {.for_unit = unit.first_task,
           .verdict = decision.verdict,
           .stops = decision.placement.victims.size(),
           .lost_core_seconds = decision.placement.cost,
           .gain = decision.gain,
           .loss = decision.loss});
    }
    return decision.verdict;
  }
  StopVictims(state, unit, decision);
  // Includes what is free already, so that units later in the order cannot use
  // it.
  ReservePlacement(unit, decision.placement, state.table);
  return PreemptionVerdict::kAccepted;
}

bool Dispatcher::PreemptOnFast(PlanState& state,
                               const WaitingUnit& unit,
                               const UnitPlacement& slow) const {
  if (unit.job->request.terms.priority != 0 || slow.speed_class == 0 ||
      unit.needs_trial ||
      !state.fast_wait.MayAwaitStops(unit, /*is_new=*/false)) {
    return false;
  }
  const double factor = RunTimeFactor(state.table, unit, slow);
  const double gain = GainOnFast(unit, factor);
  if (gain <= 0) {
    return false;
  }
  std::optional<UnitPlacement> placement =
      FindVictimsUpTo(state.search, unit, /*max_speed_class=*/0);
  // Without victims, another rule forbids what is free.
  if (!placement || placement->victims.empty() ||
      placement->urgent_victims > 0 || placement->cost > gain ||
      IsRemote(state.table, unit, *placement) ||
      (placement->cost > 0 &&
       !state.fast_wait.MayAwaitStops(unit, /*is_new=*/true))) {
    return false;
  }
  const PreemptionDecision decision = state.search.Weigh(
      unit, std::move(*placement), StartOnUsual(state.in.now, unit, factor));
  if (decision.verdict != PreemptionVerdict::kAccepted) {
    return false;
  }
  StopVictims(state, unit, decision);
  ReservePlacement(unit, decision.placement, state.table);
  return true;
}

void Dispatcher::StopVictims(PlanState& state,
                             const WaitingUnit& unit,
                             const PreemptionDecision& decision) {
  for (const TaskRef& first : decision.placement.victims) {
    const LedgerJob& job = state.in.ledger.jobs().at(first.job);
    const RunUnit& victim = job.UnitOf(first);
    if (victim.stop_requested || !state.stopped_units.insert(first).second) {
      continue;
    }
    state.search.MarkStopped(first, unit.is_guaranteed);
    if (state.in.trace != nullptr) {
      state.in.trace->preemptions.push_back(
          {.for_unit = unit.first_task,
           .is_guaranteed = unit.is_guaranteed,
           .victim = first,
           .lost_core_seconds = decision.placement.cost,
           .gain = decision.gain,
           .loss = decision.loss});
    }
    state.out.emplace_back(RunStopped{.epoch = state.in.epoch,
                                      .first = first,
                                      .run = victim.run,
                                      .cause = StopCause::kReclaim});
  }
}

void Dispatcher::StopMigrating(PlanState& state) {
  std::vector<const WaitingUnit*> unplaced;
  for (const WaitingUnit& unit : state.unplaced) {
    unplaced.push_back(&unit);
  }
  const std::vector<Migration> migrations =
      state.migrations.Choose(unplaced, state.stopped_units);
  for (const Migration& m : migrations) {
    state.out.emplace_back(RunStopped{.epoch = state.in.epoch,
                                      .first = m.first,
                                      .run = m.run,
                                      .cause = StopCause::kMigrated});
  }
  if (state.in.trace != nullptr) {
    state.in.trace->migrations = migrations;
  }
}

void Dispatcher::ReservePlacement(const WaitingUnit& unit,
                                  const UnitPlacement& placement,
                                  CapacityTable& table) {
  const double slowness = SlownessOf(table, placement);
  for (const MemberPlace& m : placement.members) {
    table.Reserve(m.incarnation, unit, unit.ExpectedEndAt(slowness));
    if (unit.needs_trial) {
      table.MarkTrialHost(m.incarnation);
    }
  }
}

std::vector<LedgerRecord> Dispatcher::Plan(const Input& in) const {
  std::vector<LedgerRecord> out;
  const std::vector<QueueChanged> changed_queues = FindChangedQueues(in);
  out.assign(changed_queues.begin(), changed_queues.end());
  // The units of lost workers wait from the next plan on. The others don't wait
  // for that one.
  DeclareLostWorkers(in, out);
  const std::set<TaskRef> stalled_units = StopStalledRuns(in, out);
  CapacityTable table = BuildCapacityTable(in);
  const std::set<std::string> guaranteed_jobs = JobsWithinGuarantee(in);
  StepTimeCache step_times(in.ledger.run_times(), options_.default_estimate);
  const std::vector<WaitingStep> waiting_steps =
      SortedWaitingSteps(in, step_times, guaranteed_jobs, changed_queues);
  PlanState state(*this, in, guaranteed_jobs, step_times, table, out);
  for (const TaskRef& first : stalled_units) {
    state.search.MarkStopped(first, /*is_guaranteed=*/true);
    state.stopped_units.insert(first);
  }
  const std::int64_t whole_worker = MostAccelerators(table);
  state.keep_whole_workers = std::any_of(
      waiting_steps.begin(), waiting_steps.end(), [&](const WaitingStep& s) {
        return s.first.member_need.accelerators >= whole_worker;
      });
  for (const WaitingStep& step : waiting_steps) {
    PlanStep(state, step);
  }
  StopMigrating(state);
  if (in.order != nullptr) {
    *in.order = waiting_steps;
  }
  if (in.trace != nullptr) {
    in.trace->usable_workers = table.workers().size();
    for (const WaitingStep& step : waiting_steps) {
      in.trace->waiting_units += step.waiting_units;
    }
    in.trace->fast_waits = state.fast_wait.waits();
    in.trace->reservations = state.reservations.reservations();
    in.trace->examined_workers = table.examined_workers();
  }
  return out;
}

void Dispatcher::PlanStep(PlanState& state, const WaitingStep& step) const {
  WaitingUnit unit = step.first;
  const std::size_t end = step.skipped_units + step.waiting_units;
  std::size_t seen = 0;
  for (const auto range : *step.units) {
    if (!range.value.IsStartable()) {
      continue;
    }
    unit.unit = &range.value;
    for (std::size_t n = 0; n < range.count && seen < end; ++n) {
      if (++seen <= step.skipped_units) {
        continue;
      }
      unit.first_task.index = static_cast<std::int32_t>(range.first + n);
      if (!PlanUnitOfStep(state, unit)) {
        return;
      }
    }
  }
}

bool Dispatcher::PlanUnitOfStep(PlanState& state, WaitingUnit& unit) const {
  if (state.in.excluded_units != nullptr &&
      state.in.excluded_units->contains(unit.first_task)) {
    return true;
  }
  unit.needs_trial = unit.unit->MaxCrashes() >= kTrialCrashedWorkers;
  if ((unit.needs_trial && !trials_.MayHostMore(state.table)) ||
      state.fast_wait.TakeWaitOfStep(unit)) {
    return true;
  }
  const PreemptionVerdict verdict = PlanUnit(state, unit);
  if (verdict == PreemptionVerdict::kAccepted) {
    return true;
  }
  state.unplaced.push_back(unit);
  if (unit.needs_trial) {
    TrialRules::KeepWorkerFree(unit, state.table);
    return true;
  }
  // Work that displaces nobody for its cost would starve among smaller tasks.
  if (!MayPreempt(unit) ||
      (!unit.is_guaranteed && verdict != PreemptionVerdict::kNoVictims)) {
    ReserveForGang(state.in, state.table, unit, state.reservations);
  }
  return false;
}

PreemptionVerdict Dispatcher::PlanUnit(PlanState& state,
                                       const WaitingUnit& unit) const {
  state.migrations.ReserveBefore(unit);
  // Reservations are made for lower priorities, or by a wait for faster
  // machines, and neither comes before urgent work.
  const std::optional<UnitPlacement> placement = FindPlacementWithFallback(
      state.in, state.table, unit,
      {.allow_reserved =
           MayPreempt(unit) || state.idle_jobs.MayUseReserved(unit),
       .keep_whole_workers = state.keep_whole_workers});
  if (!placement) {
    return MayPreempt(unit) ? Preempt(state, unit)
                            : PreemptionVerdict::kNoVictims;
  }
  if (PreemptOnFast(state, unit, *placement) ||
      state.fast_wait.MustWait(unit, *placement)) {
    return PreemptionVerdict::kAccepted;
  }
  state.idle_jobs.SetRunning(unit.first_task.job);
  state.out.emplace_back(MakeRunStarted(state.in, unit, *placement));
  TraceStart(state.in, state.table, unit, *placement);
  ReservePlacement(unit, *placement, state.table);
  return PreemptionVerdict::kAccepted;
}

}  // namespace marjoramplank
