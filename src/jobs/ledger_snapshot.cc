#include "src/jobs/ledger_snapshot.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <limits>

#include "src/jobs/ledger_wire.h"

namespace marjoramplank {

namespace {

using ledger_wire::Get;
using ledger_wire::Put;

void PutUnit(const RunUnit& in, ledger_wire::Unit::Builder out) {
  out.setPhase(static_cast<std::uint8_t>(in.phase));
  out.setFailedInRun(in.failed_in_run);
  out.setStopRequested(in.stop_requested);
  out.setRun(in.run);
  out.setFailures(in.failures);
  out.setUnsettled(in.unsettled);
  out.setCheckpoint(in.checkpoint);
  auto members = out.initMembers(static_cast<unsigned>(in.members.size()));
  for (unsigned i = 0; i < members.size(); ++i) {
    Put(in.members[i], members[i]);
  }
  auto failed = out.initFailedOn(static_cast<unsigned>(in.failed_on.size()));
  unsigned n = 0;
  for (const WorkerLife& life : in.failed_on) {
    Put(life, failed[n++]);
  }
}

RunUnit GetUnit(ledger_wire::Unit::Reader in) {
  RunUnit out{.phase = static_cast<RunUnit::Phase>(in.getPhase()),
              .failed_in_run = in.getFailedInRun(),
              .stop_requested = in.getStopRequested(),
              .run = in.getRun(),
              .failures = in.getFailures(),
              .unsettled = in.getUnsettled(),
              .checkpoint = Get(in.getCheckpoint()),
              .members = Get(in.getMembers())};
  for (const auto life : in.getFailedOn()) {
    out.failed_on.insert(Get(life));
  }
  return out;
}

void PutJob(const JobEntry& in, ledger_wire::JobState::Builder out) {
  Put(in.request, out.initJob());
  out.setPhase(static_cast<std::uint8_t>(in.phase));
  out.setOrder(in.order);
  auto occurrences =
      out.initOccurrences(static_cast<unsigned>(in.occurrences.size()));
  for (unsigned k = 0; k < occurrences.size(); ++k) {
    const std::vector<StepState>& steps = in.occurrences[k];
    auto to = occurrences.init(k, static_cast<unsigned>(steps.size()));
    for (unsigned s = 0; s < to.size(); ++s) {
      auto units = to.init(s, static_cast<unsigned>(steps[s].units.size()));
      for (unsigned u = 0; u < units.size(); ++u) {
        PutUnit(steps[s].units[u], units[u]);
      }
    }
  }
}

JobEntry GetJob(Time now, ledger_wire::JobState::Reader in) {
  JobEntry out;
  out.request = Get(in.getJob());
  out.phase = static_cast<JobPhase>(in.getPhase());
  out.order = in.getOrder();
  out.seen = now;
  for (const auto steps : in.getOccurrences()) {
    std::vector<StepState>& to = out.occurrences.emplace_back();
    for (const auto units : steps) {
      StepState& step = to.emplace_back();
      for (const auto unit : units) {
        step.units.push_back(GetUnit(unit));
        step.done += step.units.back().phase == RunUnit::Phase::kDone ? 1 : 0;
      }
    }
  }
  return out;
}

void PutRun(const TaskRef& task,
            const LiveRun& in,
            ledger_wire::LiveRun::Builder out) {
  Put(task, out.initTask());
  out.setRun(in.run);
  Put(in.need, out.initNeed());
  out.setStop(in.stop);
  out.setGang(in.gang);
  out.setPayload(in.payload);
  out.setCheckpoint(in.checkpoint);
  out.setPercent(in.percent);
  out.setStalled(in.stalled);
}

void PutWorker(const WorkerEntry& in, ledger_wire::WorkerState::Builder out) {
  Put(in.report, out.initReport());
  out.setGone(in.gone);
  out.setLastEnd(in.last_end);
  out.setFailedInRow(in.failed_in_row);
  out.setRefusedInRow(in.refused_in_row);
  auto runs = out.initRuns(static_cast<unsigned>(in.runs.size()));
  unsigned n = 0;
  for (const auto& [task, run] : in.runs) {
    PutRun(task, run, runs[n++]);
  }
}

WorkerEntry GetWorker(Time now, ledger_wire::WorkerState::Reader in) {
  WorkerEntry out;
  out.report = Get(in.getReport());
  out.gone = in.getGone();
  out.last_end = in.getLastEnd();
  out.failed_in_row = in.getFailedInRow();
  out.refused_in_row = in.getRefusedInRow();
  for (const auto r : in.getRuns()) {
    LiveRun run{.run = r.getRun(),
                .need = Get(r.getNeed()),
                .stop = r.getStop(),
                .gang = r.getGang(),
                .payload = Get(r.getPayload()),
                .checkpoint = Get(r.getCheckpoint()),
                .percent = r.getPercent(),
                .stalled = r.getStalled(),
                .since = now};
    out.used += run.need;
    out.runs.emplace(Get(r.getTask()), std::move(run));
  }
  return out;
}

template <typename Texts, typename Builder>
void PutTexts(const Texts& in, Builder out) {
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
    PutJob(job, jobs[n++]);
  }
  PutTexts(ledger.withdrawn_,
           out.initWithdrawn(static_cast<unsigned>(ledger.withdrawn_.size())));
  PutTexts(
      ledger.ended_order_,
      out.initEndedOrder(static_cast<unsigned>(ledger.ended_order_.size())));
  auto workers = out.initWorkers(static_cast<unsigned>(ledger.workers_.size()));
  n = 0;
  for (const auto& [life, worker] : ledger.workers_) {
    PutWorker(worker, workers[n++]);
  }
  auto agents = out.initAgents(static_cast<unsigned>(ledger.agents_.size()));
  n = 0;
  for (const auto& [name, agent] : ledger.agents_) {
    auto a = agents[n++];
    a.setAgent(name);
    Put(agent.life, a.initLife());
    a.setProcess(agent.process);
    a.setStarts(agent.starts);
  }
  auto entries = out.initEntries(static_cast<unsigned>(ledger.entries_.size()));
  n = 0;
  for (const auto& [name, entry] : ledger.entries_) {
    Put(entry, entries[n++]);
  }
  out.setPlanner(ledger.planner_);
  out.setPlannerEpoch(ledger.planner_epoch_);
  out.setAccepted(ledger.accepted_);
  return ledger_wire::ToPackedBytes(message);
}

std::optional<LedgerSnapshot::Restored> LedgerSnapshot::Load(
    Time now,
    const std::string& bytes) {
  Restored out;
  const auto fault = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream input(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = std::numeric_limits<std::uint64_t>::max();
    capnp::PackedMessageReader message(input, options);
    const auto in = message.getRoot<ledger_wire::Snapshot>();
    out.position = in.getPosition();
    Ledger& ledger = out.ledger;
    for (const auto job : in.getJobs()) {
      JobEntry entry = GetJob(now, job);
      const std::string id = entry.request.id;
      if (!entry.ended()) {
        ledger.open_jobs_.insert(id);
      }
      ledger.jobs_.emplace(id, std::move(entry));
    }
    for (const auto id : in.getWithdrawn()) {
      ledger.withdrawn_.insert(Get(id));
    }
    for (const auto id : in.getEndedOrder()) {
      ledger.ended_order_.push_back(Get(id));
    }
    for (const auto worker : in.getWorkers()) {
      WorkerEntry entry = GetWorker(now, worker);
      ledger.workers_.emplace(entry.report.life, std::move(entry));
    }
    for (const auto agent : in.getAgents()) {
      ledger.agents_[Get(agent.getAgent())] = {
          .life = Get(agent.getLife()),
          .process = Get(agent.getProcess()),
          .starts = agent.getStarts(),
          .beat_seen = now};
    }
    for (const auto entry : in.getEntries()) {
      EntryStarted e = Get(entry);
      ledger.entries_.emplace(e.entry, std::move(e));
    }
    ledger.planner_ = Get(in.getPlanner());
    ledger.planner_epoch_ = in.getPlannerEpoch();
    ledger.planner_seen_ = now;
    ledger.accepted_ = in.getAccepted();
  });
  if (fault != nullptr) {
    return std::nullopt;
  }
  return out;
}

}  // namespace marjoramplank
