#include "src/dispatch/dispatcher.h"

#include <algorithm>
#include <tuple>

#include "src/dispatch/deadline.h"
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
std::optional<UnitPlacement> FindVictims(PreemptionSearch& search,
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

// True if tasks wait that need all accelerators of the largest worker.
bool AnyNeedsWholeWorkers(const std::vector<WaitingUnit>& units,
                          const CapacityTable& table) {
  std::int64_t largest = 1;
  for (const WorkerCapacity* worker : table.workers()) {
    largest = std::max(largest, worker->entry->report.capacity.accelerators);
  }
  return std::any_of(units.begin(), units.end(), [&](const WaitingUnit& u) {
    return u.member_need.accelerators >= largest;
  });
}

}  // namespace

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

void Dispatcher::AppendWaitingUnits(const Input& in,
                                    const LedgerJob& job,
                                    const StepTimes& run_times,
                                    std::vector<WaitingUnit>& out) const {
  const JobRequest& r = job.request;
  const Duration objective =
      ScaledBy(r.terms.stretch, CriticalPath(r, run_times)) + r.terms.target;
  for (std::size_t k = 0; k < job.occurrences.size(); ++k) {
    Time due_at = job.first_seen_at;
    if (r.recurrence.occurrence_count > 0) {
      const std::int64_t due_unix_ms =
          r.recurrence.first_due_unix_ms +
          static_cast<std::int64_t>(k) * r.recurrence.interval_ms;
      const Duration time_until_due(due_unix_ms - in.unix_ms);
      if (time_until_due > options_.max_early_start) {
        continue;
      }
      due_at = std::max(due_at, in.now + time_until_due);
    }
    for (std::size_t s = 0; s < r.steps.size(); ++s) {
      const StepState& state = job.occurrences[k][s];
      if (state.done_units == static_cast<std::int32_t>(state.units.size()) ||
          !Ledger::IsReady(job, k, s)) {
        continue;
      }
      const JobStep& step = r.steps[s];
      const Duration remaining = CriticalPathFrom(r, run_times, s);
      const DeadlineOutlook outlook =
          AssessDeadline(in.now, due_at, due_at + objective, remaining);
      Resources need = step.need;
      if (step.uses_idle_cpu) {
        need.cpu_milli = 0;
      }
      for (std::size_t u = 0; u < state.units.size(); ++u) {
        if (state.units[u].phase != RunUnit::Phase::kWaiting) {
          continue;
        }
        out.push_back(
            {.job = &job,
             .step = &step,
             .unit = &state.units[u],
             .first_task = {.job = r.id,
                            .occurrence = static_cast<std::int32_t>(k),
                            .step = static_cast<std::int32_t>(s),
                            .index = static_cast<std::int32_t>(u)},
             .member_count = step.gang ? step.tasks : 1,
             .member_need = need,
             .due_at = due_at,
             .deadline = due_at + objective,
             .outlook = outlook,
             .run_time = run_times[s],
             .remaining = remaining,
             .planned_at = in.now,
             .expected_end = ExpectedEnd(in.now, step, run_times[s]),
             .needs_trial =
                 state.units[u].MaxCrashes() >= kTrialCrashedWorkers});
      }
    }
  }
}

std::vector<WaitingUnit> Dispatcher::SortedWaitingUnits(
    const Input& in,
    StepTimeCache& step_times,
    const std::set<std::string>& guaranteed_jobs) const {
  std::vector<WaitingUnit> out;
  for (const std::string& id : in.ledger.open_jobs()) {
    const LedgerJob& job = in.ledger.jobs().at(id);
    AppendWaitingUnits(in, job, step_times.Of(job), out);
  }
  for (WaitingUnit& unit : out) {
    unit.is_guaranteed = guaranteed_jobs.contains(unit.first_task.job);
  }
  using Rank = std::tuple<bool, std::int32_t, DeadlineOutlook, Time,
                          std::int64_t, const TaskRef&>;
  const auto rank = [](const WaitingUnit& u) {
    return Rank(!u.is_guaranteed, u.job->request.terms.priority, u.outlook,
                u.deadline, u.job->sequence_number, u.first_task);
  };
  std::sort(out.begin(), out.end(),
            [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  return out;
}

void Dispatcher::DeclareLostWorkers(const Input& in,
                                    std::vector<LedgerRecord>& out) const {
  for (const auto& [name, agent] : in.ledger.agents()) {
    const LedgerWorker* worker = in.ledger.FindWorker(agent.incarnation);
    const Duration silence = in.ledger.SilenceOf(agent, in.now);
    if (worker == nullptr || worker->runs.empty() ||
        silence <= options_.leases.LostAfter()) {
      continue;
    }
    if (in.trace != nullptr) {
      in.trace->lost_workers.push_back(
          {.incarnation = agent.incarnation, .silence = silence});
    }
    out.emplace_back(WorkerEmptied{
        .incarnation = agent.incarnation,
        .epoch = in.epoch,
        .reason = "no beat of its agent until every lease had run out"});
  }
}

void Dispatcher::StopStalledRuns(const Input& in,
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

struct Dispatcher::Stops {
  std::vector<LedgerRecord>& out;
  std::set<TaskRef> units;  // First tasks of the units that the plan stops.
};

double Dispatcher::GainOnFast(CapacityTable& table,
                              const WaitingUnit& unit,
                              const UnitPlacement& slow) const {
  const double factor = RunTimeFactor(table, unit, slow);
  if (!table.HasSlowWorkers() || unit.step->long_running ||
      unit.outlook != DeadlineOutlook::kOnTime ||
      OutlookAt(unit, Duration(0), factor) == DeadlineOutlook::kOnTime) {
    return 0;
  }
  return options_.fast_preemption_weight * CoreEquivalent(unit.member_need) *
         unit.member_count * ToSeconds(unit.run_time) * (factor - 1);
}

bool Dispatcher::Preempt(const Input& in,
                         CapacityTable& table,
                         PreemptionSearch& search,
                         const WaitingUnit& unit,
                         Stops& stops) const {
  const std::optional<UnitPlacement> anywhere =
      FindVictims(search, unit, kAnySpeedClass);
  if (!anywhere) {
    return false;
  }
  UnitPlacement placement = *anywhere;
  placement.slowness = SlownessOf(table, placement);
  if (const double gain = GainOnFast(table, unit, placement); gain > 0) {
    const std::optional<UnitPlacement> on_fast =
        FindVictims(search, unit, /*max_speed_class=*/0);
    if (on_fast && on_fast->urgent_victims <= placement.urgent_victims &&
        on_fast->cost <= placement.cost + gain) {
      placement = *on_fast;
    }
  }
  if (!unit.is_guaranteed &&
      placement.cost > options_.preemption_limit_core_seconds) {
    return false;
  }
  StopVictims(in, unit, placement, stops);
  // Includes what is free already, so that units later in the order cannot use
  // it.
  ReservePlacement(unit, placement, table);
  return true;
}

bool Dispatcher::PreemptOnFast(const Input& in,
                               CapacityTable& table,
                               PreemptionSearch& search,
                               const FastWait& fast_wait,
                               const WaitingUnit& unit,
                               const UnitPlacement& slow,
                               Stops& stops) const {
  if (unit.job->request.terms.priority != 0 || slow.speed_class == 0 ||
      unit.needs_trial) {
    return false;
  }
  const double gain = GainOnFast(table, unit, slow);
  if (gain <= 0 || !fast_wait.MayAwaitStops(unit, /*is_new=*/false)) {
    return false;
  }
  const std::optional<UnitPlacement> placement =
      FindVictims(search, unit, /*max_speed_class=*/0);
  // Without victims, another rule forbids what is free.
  if (!placement || placement->victims.empty() ||
      placement->urgent_victims > 0 || placement->cost > gain ||
      IsRemote(table, unit, *placement) ||
      (placement->cost > 0 &&
       !fast_wait.MayAwaitStops(unit, /*is_new=*/true))) {
    return false;
  }
  StopVictims(in, unit, *placement, stops);
  ReservePlacement(unit, *placement, table);
  return true;
}

void Dispatcher::StopVictims(const Input& in,
                             const WaitingUnit& unit,
                             const UnitPlacement& placement,
                             Stops& stops) {
  for (const TaskRef& task : placement.victims) {
    const LedgerJob* job = in.ledger.FindJob(task.job);
    if (job == nullptr || job->ended()) {
      continue;  // The job has ended, so its tasks stop already.
    }
    const TaskRef first = FirstTaskOfUnit(*job, task);
    const RunUnit& victim =
        job->occurrences[static_cast<std::size_t>(first.occurrence)]
                        [static_cast<std::size_t>(first.step)]
                            .units[static_cast<std::size_t>(first.index)];
    if (victim.stop_requested || !stops.units.insert(first).second) {
      continue;
    }
    if (in.trace != nullptr) {
      in.trace->preemptions.push_back({.for_unit = unit.first_task,
                                       .is_guaranteed = unit.is_guaranteed,
                                       .victim = first,
                                       .lost_core_seconds = placement.cost});
    }
    stops.out.emplace_back(RunStopped{.epoch = in.epoch,
                                      .first = first,
                                      .run = victim.run,
                                      .cause = StopCause::kReclaim});
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
  DeclareLostWorkers(in, out);
  if (!out.empty()) {
    return out;  // The next plan uses the capacity that this frees.
  }
  StopStalledRuns(in, out);
  CapacityTable table = BuildCapacityTable(in);
  Stops stops{.out = out};
  const std::set<std::string> guaranteed_jobs = JobsWithinGuarantee(in);
  StepTimeCache step_times(in.ledger.run_times(), options_.default_estimate);
  const std::vector<WaitingUnit> waiting_units =
      SortedWaitingUnits(in, step_times, guaranteed_jobs);
  if (in.trace != nullptr) {
    in.trace->usable_workers = table.workers().size();
    in.trace->waiting_units = waiting_units.size();
  }
  PreemptionSearch search(in.now, in.ledger, table, guaranteed_jobs);
  ReservationPlanner reservations(options_.reservations, in.now, in.ledger,
                                  step_times, table);
  IdleJobs idle_jobs(in.ledger, table);
  FastWait fast_wait(options_.fast_wait, table, reservations, idle_jobs);
  const bool keep_whole_workers = AnyNeedsWholeWorkers(waiting_units, table);
  // Steps of which a unit could not be placed. A plan only takes capacity, so
  // their other units cannot be placed either.
  std::set<TaskRef> unplaceable_steps;
  for (const WaitingUnit& unit : waiting_units) {
    const TaskRef step = FirstTaskOfStep(unit.first_task);
    if (unplaceable_steps.contains(step) ||
        (unit.needs_trial && !trials_.MayHostMore(table)) ||
        fast_wait.TakeWaitOfStep(unit)) {
      continue;
    }
    const bool may_preempt =
        unit.is_guaranteed || unit.job->request.terms.priority == 0;
    // Reservations are made for lower priorities, or by a wait for faster
    // machines, and neither comes before urgent work.
    if (const std::optional<UnitPlacement> placement =
            FindPlacementWithFallback(
                in, table, unit,
                {.allow_reserved =
                     may_preempt || idle_jobs.MayUseReserved(unit),
                 .keep_whole_workers = keep_whole_workers})) {
      if (PreemptOnFast(in, table, search, fast_wait, unit, *placement,
                        stops) ||
          fast_wait.MustWait(unit, *placement)) {
        continue;
      }
      idle_jobs.SetRunning(unit.first_task.job);
      out.emplace_back(MakeRunStarted(in, unit, *placement));
      TraceStart(in, table, unit, *placement);
      ReservePlacement(unit, *placement, table);
      continue;
    }
    const bool has_room =
        may_preempt && Preempt(in, table, search, unit, stops);
    if (has_room) {
      continue;
    }
    if (unit.needs_trial) {
      TrialRules::KeepWorkerFree(unit, table);
      continue;
    }
    unplaceable_steps.insert(step);
    if (!may_preempt) {
      ReserveForGang(in, table, unit, reservations);
    }
  }
  if (in.trace != nullptr) {
    in.trace->fast_waits = fast_wait.waits();
    in.trace->reservations = reservations.reservations();
    in.trace->examined_workers = table.examined_workers();
  }
  return out;
}

}  // namespace marjoramplank
