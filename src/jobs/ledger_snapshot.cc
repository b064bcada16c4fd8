#include "src/jobs/ledger_snapshot.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <limits>

#include "src/jobs/ledger_wire.h"
#include "src/jobs/record_limits.h"
#include "src/jobs/run_time_snapshot.h"

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

void WriteAgent(const std::string& name,
                const LedgerAgent& in,
                ledger_wire::AgentState::Builder out) {
  out.setAgent(name);
  ToWire(in.incarnation, out.initLife());
  out.setProcess(in.process);
  out.setStarts(in.process_start_count);
  out.setProcessBefore(in.process_before);
  out.setLastStatement(in.last_statement);
  out.setStatementBefore(in.last_statement_before);
  out.setBeatsBefore(in.beats_of_process_before);
  out.setCrashesInRow(in.consecutive_crashes);
  auto crashes = out.initCrashes(static_cast<unsigned>(in.crashes.size()));
  for (unsigned n = 0; n < crashes.size(); ++n) {
    const std::vector<TaskRef>& suspects = in.crashes[n];
    auto tasks = crashes.init(n, static_cast<unsigned>(suspects.size()));
    for (unsigned t = 0; t < tasks.size(); ++t) {
      ToWire(suspects[t], tasks[t]);
    }
  }
}

LedgerAgent ReadAgent(Time now, ledger_wire::AgentState::Reader in) {
  LedgerAgent out{.incarnation = FromWire(in.getLife()),
                  .process = FromWire(in.getProcess()),
                  .process_before = FromWire(in.getProcessBefore()),
                  .process_start_count = in.getStarts(),
                  .last_statement = in.getLastStatement(),
                  .last_statement_before = in.getStatementBefore(),
                  .beats_of_process_before = in.getBeatsBefore(),
                  .last_heartbeat_at = now,
                  .consecutive_crashes = in.getCrashesInRow()};
  for (const auto tasks : in.getCrashes()) {
    std::vector<TaskRef>& suspects = out.crashes.emplace_back();
    for (const auto task : tasks) {
      suspects.push_back(FromWire(task));
    }
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

void WriteJob(const LedgerJob& in, ledger_wire::JobState::Builder out) {
  ToWire(in.request, out.initJob());
  out.setPhase(static_cast<std::uint8_t>(in.phase));
  out.setOrder(in.sequence_number);
  out.setBegun(in.has_begun);
  auto occurrences =
      out.initOccurrences(static_cast<unsigned>(in.occurrences.size()));
  for (unsigned k = 0; k < occurrences.size(); ++k) {
    const std::vector<StepState>& steps = in.occurrences[k];
    auto to = occurrences.init(k, static_cast<unsigned>(steps.size()));
    for (unsigned s = 0; s < to.size(); ++s) {
      auto units = to.init(s, static_cast<unsigned>(steps[s].units.size()));
      for (unsigned u = 0; u < units.size(); ++u) {
        WriteUnit(steps[s].units[u], units[u]);
      }
    }
  }
}

LedgerJob ReadJob(Time now, ledger_wire::JobState::Reader in) {
  LedgerJob out;
  out.request = FromWire(in.getJob());
  out.phase = static_cast<JobPhase>(in.getPhase());
  out.has_begun = in.getBegun();
  out.sequence_number = in.getOrder();
  out.first_seen_at = now;
  for (const auto steps : in.getOccurrences()) {
    std::vector<StepState>& to = out.occurrences.emplace_back();
    for (const auto units : steps) {
      StepState& step = to.emplace_back();
      for (const auto unit : units) {
        step.units.push_back(ReadUnit(unit));
        const RunUnit::Phase phase = step.units.back().phase;
        step.done_units += phase == RunUnit::Phase::kDone ? 1 : 0;
        out.running_units += phase == RunUnit::Phase::kRunning ? 1 : 0;
      }
    }
  }
  return out;
}

// True if the job can be scheduled: its units are those of its steps.
bool IsSound(const LedgerJob& job) {
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
                     has_units_of_steps);
}

void WriteRun(const TaskRef& task,
              const LiveRun& in,
              ledger_wire::LiveRun::Builder out) {
  ToWire(task, out.initTask());
  out.setRun(in.run);
  ToWire(in.need, out.initNeed());
  out.setStop(in.must_stop);
  out.setGang(in.gang);
  out.setAgentProcess(in.agent_process);
  out.setPayload(in.payload);
  out.setCheckpoint(in.checkpoint);
  out.setPercent(in.percent);
  out.setStalled(in.stalled);
  out.setProjectedMs(in.projected_run_time.count());
}

void WriteWorker(const LedgerWorker& in,
                 ledger_wire::WorkerState::Builder out) {
  ToWire(in.report, out.initReport());
  out.setGone(in.incarnation_ended);
  out.setLastEnd(in.last_end_number);
  out.setFailedInRow(in.consecutive_failures);
  out.setRefusedInRow(in.consecutive_refusals);
  auto runs = out.initRuns(static_cast<unsigned>(in.runs.size()));
  unsigned n = 0;
  for (const auto& [task, run] : in.runs) {
    WriteRun(task, run, runs[n++]);
  }
}

// 0 if the number is out of range.
Duration PlausibleRunTime(std::int64_t ms) {
  return ms > 0 && ms <= kMaxDuration.count() ? Duration(ms) : Duration(0);
}

LedgerWorker ReadWorker(Time now, ledger_wire::WorkerState::Reader in) {
  LedgerWorker out;
  out.report = FromWire(in.getReport());
  if (!IsWithinLimits(out.report)) {
    out.report.accepting = false;
    out.report.capacity = {};
  }
  out.incarnation_ended = in.getGone();
  out.last_end_number = in.getLastEnd();
  out.consecutive_failures = in.getFailedInRow();
  out.consecutive_refusals = in.getRefusedInRow();
  for (const auto r : in.getRuns()) {
    LiveRun run{.run = r.getRun(),
                .need = FromWire(r.getNeed()),
                .must_stop = r.getStop(),
                .gang = r.getGang(),
                .agent_process = FromWire(r.getAgentProcess()),
                .payload = FromWire(r.getPayload()),
                .checkpoint = FromWire(r.getCheckpoint()),
                .percent = r.getPercent(),
                .stalled = r.getStalled(),
                .projected_run_time = PlausibleRunTime(r.getProjectedMs()),
                .first_seen_at = now,
                .observed_at = now};
    out.used += run.need;
    out.runs.emplace(FromWire(r.getTask()), std::move(run));
  }
  return out;
}

template <typename Texts, typename Builder>
void WriteTexts(const Texts& in, Builder out) {
  unsigned n = 0;
  for (const std::string& text : in) {
    out.set(n++, text);
  }
}

}  // namespace

std::string LedgerSnapshot::Save(const Ledger& ledger, std::int64_t position) {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<ledger_wire::Snapshot>();
  out.setPosition(position);
  auto jobs = out.initJobs(static_cast<unsigned>(ledger.jobs_.size()));
  unsigned n = 0;
  for (const auto& [id, job] : ledger.jobs_) {
    WriteJob(job, jobs[n++]);
  }
  WriteTexts(
      ledger.early_cancels_,
      out.initWithdrawn(static_cast<unsigned>(ledger.early_cancels_.size())));
  WriteTexts(
      ledger.ended_order_,
      out.initEndedOrder(static_cast<unsigned>(ledger.ended_order_.size())));
  auto workers = out.initWorkers(static_cast<unsigned>(ledger.workers_.size()));
  n = 0;
  for (const auto& [incarnation, worker] : ledger.workers_) {
    WriteWorker(worker, workers[n++]);
  }
  auto agents = out.initAgents(static_cast<unsigned>(ledger.agents_.size()));
  n = 0;
  for (const auto& [name, agent] : ledger.agents_) {
    WriteAgent(name, agent, agents[n++]);
  }
  auto entries = out.initEntries(static_cast<unsigned>(ledger.entries_.size()));
  n = 0;
  for (const auto& [name, entry] : ledger.entries_) {
    ToWire(entry, entries[n++]);
  }
  out.setPlanner(ledger.planner_);
  out.setPlannerEpoch(ledger.planner_epoch_);
  out.setAccepted(ledger.accepted_count_);
  RunTimeSnapshot::Write(ledger.run_times_, out.initRunTimes());
  return ledger_wire::ToPackedBytes(message);
}

std::optional<LedgerSnapshot::Restored> LedgerSnapshot::Load(
    Time now,
    const std::string& bytes) {
  Restored out;
  const auto exception = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream input(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = std::numeric_limits<std::uint64_t>::max();
    capnp::PackedMessageReader message(input, options);
    const auto in = message.getRoot<ledger_wire::Snapshot>();
    out.position = in.getPosition();
    Ledger& ledger = out.ledger;
    for (const auto job : in.getJobs()) {
      LedgerJob entry = ReadJob(now, job);
      if (!IsSound(entry)) {
        continue;
      }
      const std::string id = entry.request.id;
      if (!entry.ended()) {
        ledger.open_jobs_.insert(id);
      }
      ledger.jobs_.emplace(id, std::move(entry));
    }
    for (const auto id : in.getWithdrawn()) {
      ledger.early_cancels_.insert(FromWire(id));
    }
    for (const auto id : in.getEndedOrder()) {
      ledger.ended_order_.push_back(FromWire(id));
    }
    for (const auto worker : in.getWorkers()) {
      LedgerWorker entry = ReadWorker(now, worker);
      ledger.workers_.emplace(entry.report.incarnation, std::move(entry));
    }
    for (const auto agent : in.getAgents()) {
      ledger.agents_[FromWire(agent.getAgent())] = ReadAgent(now, agent);
    }
    for (const auto entry : in.getEntries()) {
      EntryStarted e = FromWire(entry);
      ledger.entries_.emplace(e.entry, std::move(e));
    }
    ledger.planner_ = FromWire(in.getPlanner());
    ledger.planner_epoch_ = in.getPlannerEpoch();
    ledger.planner_last_seen_at_ = now;
    ledger.accepted_count_ = in.getAccepted();
    ledger.run_times_ = RunTimeSnapshot::Read(now, in.getRunTimes());
  });
  if (exception != nullptr || out.position < 0 || out.position > kMaxCounter ||
      !IsWithinLimits(PlannerElected{.epoch = out.ledger.planner_epoch_})) {
    return std::nullopt;
  }
  return out;
}

}  // namespace marjoramplank
