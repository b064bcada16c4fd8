#include "src/jobs/job_snapshot.h"

#include <algorithm>
#include <utility>

#include "src/jobs/ledger_wire.h"

namespace marjoramplank {

namespace {

using ledger_wire::FromWire;
using ledger_wire::ToWire;

using CrashesByAgent = std::map<std::string, std::int32_t>;

void WriteCrashes(std::int32_t index,
                  const CrashesByAgent& in,
                  ledger_wire::TaskCrashes::Builder out) {
  auto agents = out.initAgents(static_cast<unsigned>(in.size()));
  std::int32_t sum = 0;
  unsigned n = 0;
  for (const auto& [agent, workers] : in) {
    agents[n].setAgent(agent);
    agents[n++].setWorkers(workers);
    sum += workers;
  }
  out.setIndex(index);
  out.setWorkers(sum);
}

CrashesByAgent ReadCrashes(ledger_wire::TaskCrashes::Reader in) {
  CrashesByAgent out;
  for (const auto entry : in.getAgents()) {
    out[FromWire(entry.getAgent())] = entry.getWorkers();
  }
  // An earlier version does not name the agents.
  if (out.empty() && in.getWorkers() > 0) {
    out[""] = in.getWorkers();
  }
  return out;
}

void WriteUnit(const RunUnit& in, ledger_wire::Unit::Builder out) {
  out.setPhase(static_cast<std::uint8_t>(in.phase));
  out.setFailedInRun(in.failure_counted);
  out.setStopRequested(in.stop_requested);
  out.setRun(in.run);
  out.setFailures(in.failures);
  out.setUnsettled(in.unfinished_members);
  out.setCheckpoint(in.checkpoint);
  out.setDisplacements(in.displacements);
  out.setMigrations(in.migrations);
  out.setLateStarts(in.late_starts);
  auto members = out.initMembers(static_cast<unsigned>(in.members.size()));
  for (unsigned i = 0; i < members.size(); ++i) {
    ToWire(in.members[i], members[i]);
  }
  auto failed =
      out.initFailedOn(static_cast<unsigned>(in.failed_on_workers.size()));
  unsigned n = 0;
  for (const WorkerIncarnation& incarnation : in.failed_on_workers) {
    ToWire(incarnation, failed[n++]);
  }
  auto crashes = out.initCrashes(static_cast<unsigned>(in.crashes.size()));
  n = 0;
  for (const auto& [index, by_agent] : in.crashes) {
    WriteCrashes(index, by_agent, crashes[n++]);
  }
}

RunUnit ReadUnit(ledger_wire::Unit::Reader in) {
  RunUnit out{.phase = static_cast<RunUnit::Phase>(in.getPhase()),
              .failure_counted = in.getFailedInRun(),
              .stop_requested = in.getStopRequested(),
              .run = in.getRun(),
              .failures = in.getFailures(),
              .unfinished_members = in.getUnsettled(),
              .displacements = in.getDisplacements(),
              .migrations = in.getMigrations(),
              .late_starts = in.getLateStarts(),
              .checkpoint = FromWire(in.getCheckpoint()),
              .members = FromWire(in.getMembers())};
  for (const auto incarnation : in.getFailedOn()) {
    out.failed_on_workers.insert(FromWire(incarnation));
  }
  for (const auto crash : in.getCrashes()) {
    out.crashes[crash.getIndex()] = ReadCrashes(crash);
  }
  return out;
}

void WriteOccurrence(
    const std::vector<StepState>& in,
    capnp::List<capnp::List<ledger_wire::UnitRun>>::Builder out) {
  for (unsigned s = 0; s < out.size(); ++s) {
    const RunLengthVector<RunUnit>& units = in[s].units;
    auto to = out.init(s, static_cast<unsigned>(units.range_count()));
    unsigned n = 0;
    for (const auto range : units) {
      to[n].setCount(static_cast<std::int32_t>(range.count));
      WriteUnit(range.value, to[n++].initUnit());
    }
  }
}

void CountUnit(const RunUnit& unit, std::int32_t count, StepState& step) {
  step.done_units += unit.phase == RunUnit::Phase::kDone ? count : 0;
}

std::int32_t CountRunning(const std::vector<StepState>& steps) {
  std::int32_t out = 0;
  for (const StepState& step : steps) {
    for (const auto range : step.units) {
      out += range.value.phase == RunUnit::Phase::kRunning
                 ? static_cast<std::int32_t>(range.count)
                 : 0;
    }
  }
  return out;
}

// The snapshot of an earlier version lists each unit.
std::vector<StepState> ReadListedUnits(
    capnp::List<capnp::List<ledger_wire::Unit>>::Reader in) {
  std::vector<StepState> out;
  for (const auto units : in) {
    StepState& step = out.emplace_back();
    for (const auto unit : units) {
      RunUnit state = ReadUnit(unit);
      CountUnit(state, 1, step);
      step.units.Append(1, std::move(state));
    }
  }
  return out;
}

// True if `count` may be added to `sum` without more units than a job may have.
bool AddWithinLimit(std::int32_t count, std::int64_t& sum) {
  if (count < 1 || count > kMaxTasksOfJob) {
    return false;
  }
  sum += count;
  return sum <= kMaxTasksOfJob;
}

// Empty if the counts are out of range.
std::vector<StepState> ReadOccurrence(
    capnp::List<capnp::List<ledger_wire::UnitRun>>::Reader in) {
  std::vector<StepState> out;
  std::int64_t units = 0;
  for (const auto runs : in) {
    StepState& step = out.emplace_back();
    for (const auto run : runs) {
      if (!AddWithinLimit(run.getCount(), units)) {
        return {};
      }
      RunUnit unit = ReadUnit(run.getUnit());
      CountUnit(unit, run.getCount(), step);
      step.units.Append(static_cast<std::size_t>(run.getCount()),
                        std::move(unit));
    }
  }
  return out;
}

std::int64_t CountUnits(const std::vector<StepState>& steps) {
  std::int64_t out = 0;
  for (const StepState& step : steps) {
    out += std::ssize(step.units);
  }
  return out;
}

// Empty if the counts are out of range.
RunLengthVector<std::vector<StepState>> ReadOccurrences(
    capnp::List<ledger_wire::OccurrenceRun>::Reader in) {
  RunLengthVector<std::vector<StepState>> out;
  std::int64_t units = 0;
  std::int64_t occurrences = 0;
  for (const auto run : in) {
    const std::int32_t count = run.getCount();
    std::vector<StepState> steps = ReadOccurrence(run.getSteps());
    units += std::max(count, 0) * CountUnits(steps);
    if (!AddWithinLimit(count, occurrences) || units > kMaxTasksOfJob) {
      return {};
    }
    out.Append(static_cast<std::size_t>(count), std::move(steps));
  }
  return out;
}

}  // namespace

void JobSnapshot::Write(const LedgerJob& in,
                        ledger_wire::JobState::Builder out) {
  ToWire(in.request, out.initJob());
  out.setPhase(static_cast<std::uint8_t>(in.phase));
  out.setOrder(in.sequence_number);
  out.setBegun(in.has_begun);
  out.setHasMoved(in.has_moved);
  auto to = out.initOccurrenceRuns(
      static_cast<unsigned>(in.occurrences.range_count()));
  unsigned n = 0;
  for (const auto range : in.occurrences) {
    const std::vector<StepState>& steps = range.value;
    to[n].setCount(static_cast<std::int32_t>(range.count));
    WriteOccurrence(steps,
                    to[n++].initSteps(static_cast<unsigned>(steps.size())));
  }
}

LedgerJob JobSnapshot::Read(Time now, ledger_wire::JobState::Reader in) {
  LedgerJob out;
  out.request = FromWire(in.getJob());
  out.phase = static_cast<JobPhase>(in.getPhase());
  out.has_begun = in.getBegun();
  out.has_moved = in.getHasMoved();
  out.sequence_number = in.getOrder();
  out.first_seen_at = now;
  out.occurrences = ReadOccurrences(in.getOccurrenceRuns());
  for (const auto steps : in.getOccurrences()) {
    out.occurrences.Append(1, ReadListedUnits(steps));
  }
  for (const auto range : out.occurrences) {
    out.running_units +=
        CountRunning(range.value) * static_cast<std::int32_t>(range.count);
  }
  return out;
}

bool JobSnapshot::IsSound(const LedgerJob& job) {
  if (job.phase < JobPhase::kQueued || job.phase > JobPhase::kCancelled) {
    return false;
  }
  if (job.ended()) {
    return job.occurrences.empty();
  }
  const std::vector<JobStep>& steps = job.request.steps;
  const auto has_units_of_steps = [&](const std::vector<StepState>& states) {
    return std::equal(
        states.begin(), states.end(), steps.begin(), steps.end(),
        [](const StepState& state, const JobStep& step) {
          return state.units.size() ==
                 static_cast<std::size_t>(step.gang ? 1 : step.tasks);
        });
  };
  return CheckJobRequest(job.request).empty() && !job.occurrences.empty() &&
         std::all_of(job.occurrences.begin(), job.occurrences.end(),
                     [&](const auto& range) {
                       return has_units_of_steps(range.value);
                     });
}

}  // namespace marjoramplank
