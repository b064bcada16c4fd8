#include "src/dispatch/dispatcher.h"

#include <algorithm>
#include <tuple>

#include "src/dispatch/deadline.h"

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
    const WorkerCapacity worker{
        .entry = entry,
        .free = entry->report.capacity - entry->used,
        .is_quarantined = IsQuarantined(in, agent, *entry),
        .is_settled = trials_.IsSettled(in.now, *entry)};
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
                                    std::vector<WaitingUnit>& out) const {
  const JobRequest& r = job.request;
  const Duration critical_path = CriticalPath(r, options_.default_estimate);
  const Duration objective =
      Duration(static_cast<std::int64_t>(
          static_cast<double>(critical_path.count()) * r.terms.stretch)) +
      r.terms.target;
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
      const DeadlineOutlook outlook =
          AssessDeadline(in.now, due_at, due_at + objective,
                         CriticalPathFrom(r, s, options_.default_estimate));
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
             .expected_end = ExpectedEnd(in.now, step),
             .needs_trial =
                 state.units[u].MaxCrashes() >= kTrialCrashedWorkers});
      }
    }
  }
}

std::vector<WaitingUnit> Dispatcher::SortedWaitingUnits(
    const Input& in,
    const std::set<std::string>& guaranteed_jobs) const {
  std::vector<WaitingUnit> out;
  for (const std::string& id : in.ledger.open_jobs()) {
    AppendWaitingUnits(in, in.ledger.jobs().at(id), out);
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

Time Dispatcher::ExpectedEnd(Time now, const JobStep& step) const {
  if (step.long_running) {
    return kNever;
  }
  const Duration estimate = RunTimeEstimate(step, options_.default_estimate);
  return now +
         Duration(static_cast<std::int64_t>(
             static_cast<double>(estimate.count()) * options_.backfill_margin));
}

bool Dispatcher::WaitsForRack(const Input& in,
                              const CapacityTable& table,
                              const WaitingUnit& unit) const {
  const Duration waited = in.now - unit.due_at;
  const auto estimate = static_cast<double>(
      RunTimeEstimate(*unit.step, options_.default_estimate).count());
  const bool is_same_rack_gang = unit.step->gang && unit.step->same_rack;
  const bool has_preferred_rack =
      (is_same_rack_gang && FitsInOneRack(table, unit)) ||
      (!unit.step->data_rack.empty() && CanRunInDataRack(table, unit));
  return has_preferred_rack && static_cast<double>(waited.count()) <
                                   options_.locality_wait_fraction * estimate;
}

std::optional<UnitPlacement> Dispatcher::FindPlacementWithFallback(
    const Input& in,
    const CapacityTable& table,
    const WaitingUnit& unit,
    bool allow_reserved) const {
  const bool waits_for_rack = WaitsForRack(in, table, unit);
  const bool is_same_rack_gang = unit.step->gang && unit.step->same_rack;
  const bool has_rack_preference =
      is_same_rack_gang || !unit.step->data_rack.empty();
  for (const bool allow_failed_worker : {false, true}) {
    if (allow_failed_worker && unit.unit->failed_on_workers.empty() &&
        unit.unit->crashes.empty()) {
      break;  // No worker is excluded, so the result is the same.
    }
    for (const bool allow_any_rack : {false, true}) {
      if (allow_any_rack ? waits_for_rack : !has_rack_preference) {
        continue;
      }
      std::optional<UnitPlacement> placement =
          FindUnitPlacement(table, unit,
                            {.allow_any_rack = allow_any_rack,
                             .allow_failed_worker = allow_failed_worker,
                             .allow_reserved = allow_reserved});
      if (placement) {
        return placement;
      }
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
  reservations.Reserve(unit, scope);
}

PreemptionVerdict Dispatcher::Preempt(const Input& in,
                                      CapacityTable& table,
                                      PreemptionSearch& search,
                                      const WaitingUnit& unit,
                                      std::set<TaskRef>& stopped_units,
                                      std::vector<LedgerRecord>& out) const {
  const PreemptionDecision decision =
      search.Decide(unit, options_.preemption_limit_core_seconds);
  const UnitPlacement& placement = decision.placement;
  if (decision.verdict != PreemptionVerdict::kAccepted) {
    if (in.trace != nullptr &&
        decision.verdict != PreemptionVerdict::kNoVictims) {
      in.trace->declined_preemptions.push_back(
          {.for_unit = unit.first_task,
           .verdict = decision.verdict,
           .stops = placement.victims.size(),
           .lost_core_seconds = placement.cost,
           .gain = decision.gain,
           .loss = decision.loss});
    }
    return decision.verdict;
  }
  for (const TaskRef& first : placement.victims) {
    const LedgerJob& job = in.ledger.jobs().at(first.job);
    const RunUnit& victim =
        job.occurrences[static_cast<std::size_t>(first.occurrence)]
                       [static_cast<std::size_t>(first.step)]
                           .units[static_cast<std::size_t>(first.index)];
    if (victim.stop_requested || !stopped_units.insert(first).second) {
      continue;
    }
    search.MarkStopped(first, unit.is_guaranteed);
    if (in.trace != nullptr) {
      in.trace->preemptions.push_back({.for_unit = unit.first_task,
                                       .is_guaranteed = unit.is_guaranteed,
                                       .victim = first,
                                       .lost_core_seconds = placement.cost,
                                       .gain = decision.gain,
                                       .loss = decision.loss});
    }
    out.emplace_back(RunStopped{.epoch = in.epoch,
                                .first = first,
                                .run = victim.run,
                                .cause = StopCause::kReclaim});
  }
  // Includes what is free already, so that units later in the order cannot use
  // it.
  ReservePlacement(unit, placement, table);
  return PreemptionVerdict::kAccepted;
}

void Dispatcher::StopMigrating(const Input& in,
                               const std::vector<Migration>& migrations,
                               std::vector<LedgerRecord>& out) {
  for (const Migration& m : migrations) {
    out.emplace_back(RunStopped{.epoch = in.epoch,
                                .first = m.first,
                                .run = m.run,
                                .cause = StopCause::kMigrated});
  }
  if (in.trace != nullptr) {
    in.trace->migrations = migrations;
  }
}

void Dispatcher::ReservePlacement(const WaitingUnit& unit,
                                  const UnitPlacement& placement,
                                  CapacityTable& table) {
  for (const MemberPlace& m : placement.members) {
    table.Reserve(m.incarnation, unit);
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
  std::set<TaskRef> stopped_units = StopStalledRuns(in, out);
  CapacityTable table = BuildCapacityTable(in);
  const std::set<std::string> guaranteed_jobs = JobsWithinGuarantee(in);
  const std::vector<WaitingUnit> waiting_units =
      SortedWaitingUnits(in, guaranteed_jobs);
  if (in.trace != nullptr) {
    in.trace->usable_workers = table.workers().size();
    in.trace->waiting_units = waiting_units.size();
  }
  RunForecast forecast({.default_estimate = options_.default_estimate}, in.now,
                       in.unix_ms, in.ledger);
  PreemptionSearch search(options_.preemption, forecast, table,
                          guaranteed_jobs);
  MigrationPlanner migrations(options_.migration, forecast, table);
  std::vector<const WaitingUnit*> unplaced;  // One of each step.
  for (const TaskRef& first : stopped_units) {
    search.MarkStopped(first, /*is_guaranteed=*/true);
  }
  ReservationPlanner reservations(options_.reservations, in.now, in.ledger,
                                  table);
  IdleJobs idle_jobs(in.ledger, table);
  // Steps of which a unit could not be placed. A plan only takes capacity, so
  // their other units cannot be placed either.
  std::set<TaskRef> unplaceable_steps;
  for (const WaitingUnit& unit : waiting_units) {
    const TaskRef step = FirstTaskOfStep(unit.first_task);
    if (unplaceable_steps.contains(step) ||
        (unit.needs_trial && !trials_.MayHostMore(table))) {
      continue;
    }
    migrations.ReserveBefore(unit);
    if (const std::optional<UnitPlacement> placement =
            FindPlacementWithFallback(in, table, unit,
                                      idle_jobs.MayUseReserved(unit))) {
      idle_jobs.SetRunning(unit.first_task.job);
      out.emplace_back(MakeRunStarted(in, unit, *placement));
      ReservePlacement(unit, *placement, table);
      continue;
    }
    const bool may_preempt =
        unit.is_guaranteed || unit.job->request.terms.priority == 0;
    const PreemptionVerdict verdict =
        may_preempt ? Preempt(in, table, search, unit, stopped_units, out)
                    : PreemptionVerdict::kNoVictims;
    if (verdict == PreemptionVerdict::kAccepted) {
      continue;
    }
    unplaced.push_back(&unit);
    if (unit.needs_trial) {
      TrialRules::KeepWorkerFree(unit, table);
      continue;
    }
    unplaceable_steps.insert(step);
    // Work that displaces nobody for its cost would starve among smaller tasks.
    if (!may_preempt ||
        (!unit.is_guaranteed && verdict != PreemptionVerdict::kNoVictims)) {
      ReserveForGang(in, table, unit, reservations);
    }
  }
  StopMigrating(in, migrations.Choose(unplaced, stopped_units), out);
  if (in.trace != nullptr) {
    in.trace->reservations = reservations.reservations();
    in.trace->examined_workers = table.examined_workers();
  }
  return out;
}

}  // namespace marjoramplank
