#include "src/explain/explain.h"

#include <algorithm>
#include <map>
#include <utility>

namespace marjoramplank {

namespace {

using Unit = Explanation::Unit;
using Outcome = Explanation::Unit::Outcome;

// What the plan decided and what it was based on.
struct Planned {
  std::vector<LedgerRecord> records;
  Dispatcher::Trace trace;
  std::vector<WaitingStep> order;
};

Planned Plan(const Dispatcher& dispatcher, Dispatcher::Input in) {
  Planned out;
  in.trace = &out.trace;
  in.order = &out.order;
  out.records = dispatcher.Plan(in);
  return out;
}

std::vector<Explanation::StepTime> StepTimesOf(const RunTimeModel& model,
                                               const JobRequest& request,
                                               Duration default_estimate) {
  using Source = Explanation::StepTime::Source;
  std::vector<Explanation::StepTime> out;
  for (std::size_t s = 0; s < request.steps.size(); ++s) {
    const bool is_declared = request.steps[s].estimate > Duration(0);
    out.push_back(
        {.expected = model.Expected(request, s, default_estimate),
         .pessimistic = model.Pessimistic(request, s, default_estimate),
         .source = model.IsLearned(request, s) ? Source::kLearned
                   : is_declared               ? Source::kDeclared
                                               : Source::kDefault});
  }
  return out;
}

bool HasLabel(const WorkerReported& worker, const std::string& label) {
  return label.empty() || std::find(worker.labels.begin(), worker.labels.end(),
                                    label) != worker.labels.end();
}

// Explains one step after the plan.
class StepExplainer {
 public:
  StepExplainer(const Dispatcher::Input& in,
                const Planned& planned,
                CapacityTable& table,
                const JobRequest& request,
                std::size_t step)
      : in_(in),
        planned_(planned),
        table_(table),
        request_(request),
        job_step_(request.steps[step]),
        step_(step) {}

  Explanation::Step Explain() {
    Explanation::Step out{
        .step = step_, .position = FindPosition(), .workers = CountWorkers()};
    const std::size_t units =
        job_step_.gang ? 1 : static_cast<std::size_t>(job_step_.tasks);
    for (std::size_t n = 0; n < std::min(units, kMaxListedUnits); ++n) {
      out.units.push_back(ExplainUnit(static_cast<std::int32_t>(n), out));
    }
    for (const Dispatcher::Start& start : planned_.trace.starts) {
      out.starting_units += IsOfStep(start.unit) ? 1 : 0;
    }
    return out;
  }

 private:
  bool IsOfStep(const TaskRef& task) const {
    return task.job == request_.id &&
           task.step == static_cast<std::int32_t>(step_);
  }

  Explanation::Position FindPosition() const {
    Explanation::Position out;
    for (const WaitingStep& s : planned_.order) {
      const WaitingUnit& unit = s.first;
      if (!IsOfStep(unit.first_task)) {
        out.units_ahead += out.waiting_units == 0 ? s.waiting_units : 0;
        continue;
      }
      if (out.waiting_units == 0) {
        out.is_guaranteed = unit.is_guaranteed;
        out.priority = request_.terms.priority;
        out.outlook = unit.outlook;
        out.time_to_deadline = unit.deadline - in_.now;
      }
      out.waiting_units += s.waiting_units;
      out.units_beyond_fair_share +=
          unit.exceeds_fair_share ? s.waiting_units : 0;
    }
    return out;
  }

  // The first unit of the step. Null: it doesn't wait.
  const WaitingUnit* FindWaitingUnit() const {
    for (const WaitingStep& s : planned_.order) {
      if (IsOfStep(s.first.first_task)) {
        return &s.first;
      }
    }
    return nullptr;
  }

  // Free capacity of each worker after the starts of units ahead.
  std::map<WorkerIncarnation, Resources> TakenAhead() const {
    std::map<WorkerIncarnation, Resources> out;
    for (const LedgerRecord& record : planned_.records) {
      const auto* start = std::get_if<RunStarted>(&record);
      if (start == nullptr) {
        continue;
      }
      const LedgerJob* job = in_.ledger.FindJob(start->first.job);
      const Resources need = NeedOnWorker(
          job->request.steps[static_cast<std::size_t>(start->first.step)]);
      for (const MemberPlace& m : start->members) {
        out[m.incarnation] += need;
      }
    }
    return out;
  }

  Explanation::Workers CountWorkers() const {
    Explanation::Workers out;
    const WaitingUnit* unit = FindWaitingUnit();
    if (unit == nullptr) {
      return out;
    }
    const std::map<WorkerIncarnation, Resources> taken = TakenAhead();
    for (const auto& [name, agent] : in_.ledger.agents()) {
      const LedgerWorker* worker = in_.ledger.FindWorker(agent.incarnation);
      if (worker == nullptr || worker->incarnation_ended ||
          worker->report.service != request_.terms.service) {
        continue;
      }
      const auto ahead = taken.find(agent.incarnation);
      CountWorker(*unit, agent.incarnation, *worker,
                  ahead == taken.end() ? Resources() : ahead->second, out);
    }
    return out;
  }

  void CountWorker(const WaitingUnit& unit,
                   const WorkerIncarnation& incarnation,
                   const LedgerWorker& worker,
                   const Resources& taken,
                   Explanation::Workers& out) const {
    const WorkerReported& report = worker.report;
    ++out.known;
    if (!HasLabel(report, job_step_.required_label)) {
      ++out.without_label;
      return;
    }
    const WorkerCapacity* usable = table_.Find(incarnation);
    const WorkerCapacity any{.entry = &worker};
    const std::int32_t possible = MembersThatFit(
        unit, usable == nullptr ? any : *usable, report.capacity);
    if (possible == 0) {
      ++out.too_small;
      return;
    }
    if (usable == nullptr) {
      ++(in_.rules.closed_data_centres.contains(report.data_centre)
             ? out.closed
             : out.unavailable);
      return;
    }
    out.possible_tasks += possible;
    if (usable->is_quarantined) {
      ++out.quarantined;
      return;
    }
    out.stopping_runs += static_cast<std::size_t>(
        std::count_if(worker.runs.begin(), worker.runs.end(),
                      [](const auto& run) { return run.second.must_stop; }));
    const std::int32_t fitting =
        MembersThatFit(unit, *usable, usable->free - taken);
    out.free_tasks += fitting;
    ++(fitting > 0 ? out.with_room : out.busy);
  }

  Unit ExplainUnit(std::int32_t index, const Explanation::Step& step) {
    Unit out{.first_task = {.job = request_.id,
                            .step = static_cast<std::int32_t>(step_),
                            .index = index}};
    if (!SetStart(out) && !SetPreemption(out) && !SetFastWait(out) &&
        !SetReservation(out)) {
      out.reason = WaitReason(step.workers);
    }
    return out;
  }

  bool SetStart(Unit& out) {
    const auto record = std::find_if(
        planned_.records.begin(), planned_.records.end(),
        [&](const LedgerRecord& r) {
          const auto* start = std::get_if<RunStarted>(&r);
          return start != nullptr && start->first == out.first_task;
        });
    if (record == planned_.records.end()) {
      return false;
    }
    out.outcome = Outcome::kStarts;
    for (const MemberPlace& m : std::get<RunStarted>(*record).members) {
      AddPlace(m.incarnation, out.places);
    }
    for (const Dispatcher::Start& start : planned_.trace.starts) {
      if (start.unit == out.first_task) {
        out.expected_run_time = start.expected_run_time;
      }
    }
    return true;
  }

  void AddPlace(const WorkerIncarnation& incarnation,
                std::vector<Explanation::Place>& out) {
    for (Explanation::Place& place : out) {
      if (place.worker == incarnation.id) {
        ++place.tasks;
        return;
      }
    }
    const WorkerCapacity& worker = *table_.Find(incarnation);
    const WorkerReported& report = worker.entry->report;
    const RunTimeModel& model = in_.ledger.run_times();
    out.push_back({.worker = incarnation.id,
                   .agent = report.agent,
                   .rack = report.rack,
                   .data_centre = report.data_centre,
                   .speed_class = worker.speed_class,
                   .slowness = worker.slowness,
                   .samples = model.SampleCount(report.agent),
                   .sample_age = model.SampleAge(in_.now, report.agent),
                   .capacity = report.capacity,
                   .free = worker.free});
  }

  bool SetPreemption(Unit& out) const {
    for (const Dispatcher::Preemption& p : planned_.trace.preemptions) {
      if (p.for_unit != out.first_task) {
        continue;
      }
      const LedgerJob* job = in_.ledger.FindJob(p.victim.job);
      out.outcome = Outcome::kPreempts;
      out.lost_core_seconds = p.lost_core_seconds;
      out.victims.push_back({.unit = p.victim,
                             .queue = job->request.terms.queue,
                             .account = job->request.account});
    }
    return out.outcome == Outcome::kPreempts;
  }

  bool SetFastWait(Unit& out) {
    for (const FastWait::Wait& w : planned_.trace.fast_waits) {
      if (!IsOfStep(w.unit) || w.unit > out.first_task) {
        continue;
      }
      // It holds for the units that follow, too.
      if (waits_taken_[w.unit]++ >= w.units) {
        continue;
      }
      out.outcome = Outcome::kWaitsForFast;
      out.reason = "faster machines are expected to be free soon";
      out.expected_wait = w.expected_wait;
      out.expected_run_time = w.expected_run_time;
      out.slow_run_time = w.slow_run_time;
      return true;
    }
    return false;
  }

  bool SetReservation(Unit& out) const {
    for (const Reservation& r : planned_.trace.reservations) {
      if (r.gang == out.first_task) {
        out.outcome = Outcome::kReserved;
        out.reason = "the gang does not fit yet; workers are reserved for it";
        out.expected_wait = r.start_at - in_.now;
        out.reserved_workers = r.workers;
        return true;
      }
    }
    return false;
  }

  std::string WaitReason(const Explanation::Workers& w) const {
    const std::int32_t members = job_step_.gang ? job_step_.tasks : 1;
    if (w.known == 0) {
      return "the service has no worker";
    }
    if (w.without_label == w.known) {
      return "no worker has the label " + job_step_.required_label;
    }
    if (w.without_label + w.too_small == w.known) {
      return "no worker with its label is large enough for a task";
    }
    if (w.possible_tasks == 0) {
      return "every worker that is large enough is in a closed data centre, "
             "draining or not heard lately";
    }
    if (w.possible_tasks < members) {
      return "the gang has " + std::to_string(members) +
             " tasks, and the usable workers hold " +
             std::to_string(w.possible_tasks);
    }
    if (w.free_tasks >= members) {
      return (job_step_.gang && job_step_.same_rack) ||
                     !job_step_.data_rack.empty()
                 ? "it waits for room in its rack, or what is free is held for "
                   "others"
                 : "what is free is held for units ahead of it or for a "
                   "reservation";
    }
    if (w.busy == 0 && w.with_room == 0) {
      return "every usable worker that is large enough is quarantined";
    }
    return w.stopping_runs > 0
               ? "no room; runs are being stopped"
               : "no room: running tasks and units ahead of it take it all";
  }

  const Dispatcher::Input& in_;
  const Planned& planned_;
  CapacityTable& table_;
  const JobRequest& request_;
  const JobStep& job_step_;
  const std::size_t step_;
  std::map<TaskRef, std::size_t> waits_taken_;  // By the wait's first unit.
};

}  // namespace

const char* ToString(Explanation::StepTime::Source source) {
  using Source = Explanation::StepTime::Source;
  switch (source) {
    case Source::kLearned:
      return "learned";
    case Source::kDeclared:
      return "declared";
    case Source::kDefault:
      return "default";
  }
  return "";
}

const char* ToString(Explanation::Unit::Outcome outcome) {
  switch (outcome) {
    case Outcome::kStarts:
      return "starts";
    case Outcome::kPreempts:
      return "preempts";
    case Outcome::kWaitsForFast:
      return "waits_for_fast";
    case Outcome::kReserved:
      return "reserved";
    case Outcome::kWaits:
      return "waits";
  }
  return "";
}

const char* ToString(DeadlineOutlook outlook) {
  switch (outlook) {
    case DeadlineOutlook::kOnTime:
      return "on_time";
    case DeadlineOutlook::kLate:
      return "late";
    case DeadlineOutlook::kNoCredit:
      return "no_credit";
  }
  return "";
}

Explanation Explain(const Dispatcher::Options& options, ExplainInput in) {
  Explanation out{.admission = std::move(in.admission),
                  .ledger_age = in.ledger_age};
  out.expected_wait =
      ExpectedWait(in.ledger, in.rules,
                   MeasureLoad(in.now, in.ledger, options.default_estimate),
                   in.request.terms.service, in.request.terms.priority);
  out.step_times =
      StepTimesOf(in.ledger.run_times(), in.request, options.default_estimate);
  in.ledger.Apply(in.now, JobSubmitted{.request = in.request});

  const Dispatcher dispatcher(options);
  const Dispatcher::Input input{.now = in.now,
                                .unix_ms = in.unix_ms,
                                .epoch = in.ledger.planner_epoch(),
                                .ledger = in.ledger,
                                .rules = in.rules};
  Planned planned = Plan(dispatcher, input);
  if (!planned.trace.lost_workers.empty()) {
    // Such a plan declares the workers lost and does nothing else.
    for (const LedgerRecord& r : planned.records) {
      in.ledger.Apply(in.now, r);
    }
    planned = Plan(dispatcher, input);
  }
  CapacityTable table = dispatcher.BuildCapacityTable(input);
  for (std::size_t s = 0; s < in.request.steps.size(); ++s) {
    if (in.request.steps[s].after.empty()) {
      out.ready_steps.push_back(
          StepExplainer(input, planned, table, in.request, s).Explain());
    }
  }
  return out;
}

}  // namespace marjoramplank
