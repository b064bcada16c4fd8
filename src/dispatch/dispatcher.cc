#include "src/dispatch/dispatcher.h"

#include <algorithm>
#include <tuple>

#include "src/dispatch/objective.h"
#include "src/dispatch/preemption.h"

namespace marjoramplank {

namespace {

RunStarted StartOf(const Dispatcher::Input& in,
                   const WaitingUnit& unit,
                   const Place& place) {
  return {.epoch = in.epoch,
          .first = unit.first,
          .run = unit.unit->run + 1,
          .members = place.members,
          .checkpoint = unit.unit->checkpoint};
}

}  // namespace

bool Dispatcher::IsDistrusted(const Input& in,
                              const WorkerEntry& worker) const {
  const Duration quiet = in.now - worker.last_trouble;
  if (worker.failed_in_row >= options_.distrust_failures &&
      quiet < options_.distrust_span) {
    return true;
  }
  if (worker.refused_in_row == 0) {
    return false;
  }
  const int doublings = std::min(worker.refused_in_row - 1, 4);
  return quiet < std::min(options_.refusal_span * (1 << doublings),
                          options_.refusal_span_max);
}

RoomTable Dispatcher::Rooms(const Input& in) const {
  RoomTable rooms;
  for (const auto& [name, agent] : in.ledger.agents()) {
    const WorkerEntry* worker = in.ledger.FindWorker(agent.life);
    if (worker == nullptr || worker->gone || !worker->report.accepting ||
        in.now - agent.beat_seen > options_.leases.SilentForNow() ||
        in.rules.closed_data_centres.contains(worker->report.data_centre)) {
      continue;
    }
    const WorkerRoom room{.worker = worker,
                          .free = worker->report.capacity - worker->used,
                          .distrusted = IsDistrusted(in, *worker)};
    rooms.Add(agent.life, room);
  }
  return rooms;
}

std::set<std::string> Dispatcher::JobsWithinGuarantee(const Input& in) const {
  // Accelerators of each account's open jobs of priority 0.
  std::map<std::string, std::int64_t> wanted;
  const auto need = [](const JobEntry& job) {
    std::int64_t n = 0;
    for (const JobStep& step : job.request.steps) {
      n = std::max(n, step.tasks * step.need.accelerators);
    }
    return n;
  };
  for (const std::string& id : in.ledger.open_jobs()) {
    const JobEntry& job = in.ledger.jobs().at(id);
    if (job.request.terms.priority == 0) {
      wanted[job.request.account] += need(job);
    }
  }
  std::set<std::string> out;
  for (const std::string& id : in.ledger.open_jobs()) {
    const JobEntry& job = in.ledger.jobs().at(id);
    const AccountRule* account =
        in.rules.rules.FindAccount(job.request.account);
    if (job.request.terms.priority == 0 && account != nullptr &&
        wanted[job.request.account] <= account->guaranteed_accelerators) {
      out.insert(id);
    }
  }
  return out;
}

void Dispatcher::AddUnits(const Input& in,
                          const JobEntry& job,
                          std::vector<WaitingUnit>& out) const {
  const JobRequest& r = job.request;
  const Duration chain = ChainOf(r, options_.unknown_estimate);
  const Duration allowed =
      Duration(static_cast<std::int64_t>(static_cast<double>(chain.count()) *
                                         r.terms.stretch)) +
      r.terms.target;
  for (std::size_t k = 0; k < job.occurrences.size(); ++k) {
    Time due = job.seen;
    if (r.recurrence.times > 0) {
      const std::int64_t due_unix =
          r.recurrence.first_due_unix_ms +
          static_cast<std::int64_t>(k) * r.recurrence.interval_ms;
      const Duration wait(due_unix - in.unix_ms);
      if (wait > options_.early) {
        continue;
      }
      due = std::max(due, in.now + wait);
    }
    for (std::size_t s = 0; s < r.steps.size(); ++s) {
      const StepState& state = job.occurrences[k][s];
      if (state.done == static_cast<std::int32_t>(state.units.size()) ||
          !Ledger::IsReady(job, k, s)) {
        continue;
      }
      const JobStep& step = r.steps[s];
      const Chance chance =
          ChanceOf(in.now, due, due + allowed,
                   ChainFrom(r, s, options_.unknown_estimate));
      Resources need = step.need;
      if (step.uses_idle_cpu) {
        need.cpu_milli = 0;
      }
      for (std::size_t u = 0; u < state.units.size(); ++u) {
        if (state.units[u].phase != RunUnit::Phase::kWaiting) {
          continue;
        }
        out.push_back({.job = &job,
                       .step = &step,
                       .unit = &state.units[u],
                       .first = {.job = r.id,
                                 .occurrence = static_cast<std::int32_t>(k),
                                 .step = static_cast<std::int32_t>(s),
                                 .index = static_cast<std::int32_t>(u)},
                       .tasks = step.gang ? step.tasks : 1,
                       .need = need,
                       .due = due,
                       .objective = due + allowed,
                       .chance = chance});
      }
    }
  }
}

std::vector<WaitingUnit> Dispatcher::Waiting(const Input& in) const {
  std::vector<WaitingUnit> out;
  for (const std::string& id : in.ledger.open_jobs()) {
    AddUnits(in, in.ledger.jobs().at(id), out);
  }
  const std::set<std::string> guaranteed = JobsWithinGuarantee(in);
  for (WaitingUnit& unit : out) {
    unit.guaranteed = guaranteed.contains(unit.first.job);
  }
  const auto rank = [](const WaitingUnit& u) {
    return std::tuple(!u.guaranteed, u.job->request.terms.priority, u.chance,
                      u.objective, u.job->order, u.first);
  };
  std::sort(out.begin(), out.end(),
            [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  return out;
}

void Dispatcher::DeclareLost(const Input& in,
                             std::vector<LedgerRecord>& out) const {
  for (const auto& [name, agent] : in.ledger.agents()) {
    const WorkerEntry* worker = in.ledger.FindWorker(agent.life);
    if (worker == nullptr || worker->runs.empty() ||
        in.now - agent.beat_seen <= options_.leases.SilentForGood()) {
      continue;
    }
    out.emplace_back(WorkerEmptied{
        .life = agent.life,
        .epoch = in.epoch,
        .reason = "no beat of its agent until every lease had run out"});
  }
}

void Dispatcher::StopStalled(const Input& in,
                             std::vector<LedgerRecord>& out) const {
  std::set<TaskRef> units;
  for (const auto& [life, worker] : in.ledger.workers()) {
    for (const auto& [task, run] : worker.runs) {
      const JobEntry* job = in.ledger.FindJob(task.job);
      if (!run.stalled || run.stop || job == nullptr || job->ended()) {
        continue;
      }
      const TaskRef first = UnitOf(*job, task);
      if (units.insert(first).second) {
        out.emplace_back(RunStopped{.epoch = in.epoch,
                                    .first = first,
                                    .run = run.run,
                                    .cause = StopCause::kStalled});
      }
    }
  }
}

std::optional<Place> Dispatcher::Search(const Input& in,
                                        const RoomTable& rooms,
                                        const WaitingUnit& unit) const {
  const Duration waited = in.now - unit.due;
  const auto estimate = static_cast<double>(
      EstimateOf(*unit.step, options_.unknown_estimate).count());
  const bool tight = unit.step->gang && unit.step->same_rack;
  const bool bound =
      (tight && FitsSomeRack(rooms, unit)) ||
      (!unit.step->data_rack.empty() && DataRackExists(rooms, unit));
  const bool patient = bound && static_cast<double>(waited.count()) <
                                    options_.rack_patience * estimate;
  for (const bool repeat : {false, true}) {
    for (const bool any_rack : {false, true}) {
      if (any_rack && patient) {
        continue;
      }
      std::optional<Place> place = FindPlace(
          rooms, unit, {.any_rack = any_rack, .repeat_worker = repeat});
      if (place) {
        return place;
      }
    }
  }
  return std::nullopt;
}

bool Dispatcher::Reclaim(const Input& in,
                         RoomTable& rooms,
                         const WaitingUnit& unit,
                         std::set<TaskRef>& stopped,
                         std::vector<LedgerRecord>& out) const {
  const bool tight = unit.step->gang && unit.step->same_rack;
  std::optional<Place> place;
  if (tight) {
    place = FindPreemption(in.now, in.ledger, rooms, unit, false);
  }
  if (!place) {
    place = FindPreemption(in.now, in.ledger, rooms, unit, true);
  }
  if (!place ||
      (!unit.guaranteed && place->cost > options_.urgent_loss_limit)) {
    return false;
  }
  for (const TaskRef& task : place->victims) {
    const JobEntry* job = in.ledger.FindJob(task.job);
    if (job == nullptr || job->ended()) {
      continue;  // Stopping already.
    }
    const TaskRef first = UnitOf(*job, task);
    const RunUnit& victim =
        job->occurrences[static_cast<std::size_t>(first.occurrence)]
                        [static_cast<std::size_t>(first.step)]
                            .units[static_cast<std::size_t>(first.index)];
    if (victim.stop_requested || !stopped.insert(first).second) {
      continue;
    }
    out.emplace_back(RunStopped{.epoch = in.epoch,
                                .first = first,
                                .run = victim.run,
                                .cause = StopCause::kReclaim});
  }
  // Keeps the room, also what is free already, from those behind.
  for (const MemberPlace& m : place->members) {
    rooms.Take(m.life, unit.first, unit.need);
  }
  return true;
}

std::vector<LedgerRecord> Dispatcher::Plan(const Input& in) const {
  std::vector<LedgerRecord> out;
  DeclareLost(in, out);
  if (!out.empty()) {
    return out;  // The next plan sees what this frees.
  }
  StopStalled(in, out);
  RoomTable rooms = Rooms(in);
  std::set<TaskRef> stopped;
  for (const WaitingUnit& unit : Waiting(in)) {
    if (const std::optional<Place> place = Search(in, rooms, unit)) {
      out.emplace_back(StartOf(in, unit, *place));
      for (const MemberPlace& m : place->members) {
        rooms.Take(m.life, unit.first, unit.need);
      }
      continue;
    }
    if (unit.guaranteed || unit.job->request.terms.priority == 0) {
      Reclaim(in, rooms, unit, stopped, out);
    }
  }
  return out;
}

}  // namespace marjoramplank
