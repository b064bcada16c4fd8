#include "src/jobs/ledger_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "src/jobs/ledger_wire.h"
#include "src/jobs/record_limits.h"

namespace marjoramplank {

namespace {

using ledger_wire::FromWire;
using ledger_wire::ToWire;
using WireRecord = ledger_wire::Record;

void WriteMembers(const std::vector<MemberPlace>& in,
                  capnp::List<ledger_wire::Member>::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) {
    ToWire(in[i], out[i]);
  }
}

void WriteRecord(const JobSubmitted& r, WireRecord::Builder out) {
  ToWire(r.request, out.initJobSubmitted());
}
void WriteRecord(const JobCancelled& r, WireRecord::Builder out) {
  out.setJobCancelled(r.job);
}
void WriteRecord(const AgentHeartbeat& r, WireRecord::Builder out) {
  auto w = out.initAgentBeat();
  w.setAgent(r.agent);
  w.setProcess(r.process);
  ToWire(r.heard_worker, w.initHeard());
  w.setHeardAgoMs(r.heard_ago.count());
  w.setProcessNumber(r.process_number);
  w.setUptimeMs(r.uptime.count());
}
void WriteRecord(const EntryStarted& r, WireRecord::Builder out) {
  ToWire(r, out.initEntryStarted());
}
void WriteRecord(const WorkerReported& r, WireRecord::Builder out) {
  ToWire(r, out.initWorkerReported());
}
void WriteRuns(const std::vector<RunRef>& in,
               capnp::List<ledger_wire::RunRef>::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) {
    ToWire(in[i].task, out[i].initTask());
    out[i].setRun(in[i].run);
  }
}
std::vector<RunRef> ReadRuns(capnp::List<ledger_wire::RunRef>::Reader in) {
  std::vector<RunRef> out;
  for (const auto run : in) {
    out.push_back({.task = FromWire(run.getTask()), .run = run.getRun()});
  }
  return out;
}
void WriteRecord(const WorkerEmptied& r, WireRecord::Builder out) {
  auto w = out.initWorkerEmptied();
  ToWire(r.incarnation, w.initLife());
  w.setEpoch(r.epoch);
  w.setGone(r.incarnation_ended);
  w.setCrashed(r.crashed);
  WriteRuns(r.suspects,
            w.initSuspects(static_cast<unsigned>(r.suspects.size())));
  WriteRuns(r.runs, w.initRuns(static_cast<unsigned>(r.runs.size())));
  w.setReason(r.reason);
  w.setProcess(r.statement.process);
  w.setStatement(r.statement.number);
}
void WriteRecord(const PlannerElected& r, WireRecord::Builder out) {
  auto w = out.initPlannerElected();
  w.setEntry(r.entry);
  w.setEpoch(r.epoch);
}
void WriteRecord(const PlannerResigned& r, WireRecord::Builder out) {
  auto w = out.initPlannerResigned();
  w.setEntry(r.entry);
  w.setEpoch(r.epoch);
}
void WriteRecord(const RunStarted& r, WireRecord::Builder out) {
  auto w = out.initRunStarted();
  w.setEpoch(r.epoch);
  ToWire(r.first, w.initFirst());
  w.setRun(r.run);
  WriteMembers(r.members,
               w.initMembers(static_cast<unsigned>(r.members.size())));
  w.setCheckpoint(r.checkpoint);
}
void WriteRecord(const RunStopped& r, WireRecord::Builder out) {
  auto w = out.initRunStopped();
  w.setEpoch(r.epoch);
  ToWire(r.first, w.initFirst());
  w.setRun(r.run);
  w.setCause(static_cast<std::uint8_t>(r.cause));
}
void WriteRecord(const TaskEnded& r, WireRecord::Builder out) {
  auto w = out.initTaskEnded();
  ToWire(r.incarnation, w.initLife());
  w.setNumber(r.end_number);
  ToWire(r.task, w.initTask());
  w.setRun(r.run);
  w.setHow(static_cast<std::uint8_t>(r.outcome));
  w.setCheckpoint(r.checkpoint);
  w.setRanMs(r.run_time.count());
}
void WriteRecord(const StartRefused& r, WireRecord::Builder out) {
  auto w = out.initStartRefused();
  ToWire(r.incarnation, w.initLife());
  ToWire(r.task, w.initTask());
  w.setRun(r.run);
  w.setReason(r.reason);
}
void WriteRecord(const RunObserved& r, WireRecord::Builder out) {
  auto w = out.initRunObserved();
  ToWire(r.incarnation, w.initLife());
  ToWire(r.task, w.initTask());
  w.setRun(r.run);
  w.setPercent(r.percent);
  w.setStalled(r.stalled);
  w.setCheckpoint(r.checkpoint);
  w.setProjectedMs(r.projected_run_time.count());
}
void WriteRecord(const QueueChanged& r, WireRecord::Builder out) {
  auto w = out.initQueueChanged();
  w.setEpoch(r.epoch);
  w.setRulesVersion(r.rules_version);
  ToWire(r.before, w.initBefore());
  ToWire(r.after, w.initAfter());
}
void WriteRecord(const StartUnanswered& r, WireRecord::Builder out) {
  auto w = out.initStartUnanswered();
  ToWire(r.incarnation, w.initLife());
  ToWire(r.task, w.initTask());
  w.setRun(r.run);
}
void WriteRecord(const StartsExpired& r, WireRecord::Builder out) {
  auto w = out.initStartsExpired();
  w.setAgent(r.agent);
  w.setEpoch(r.epoch);
  WriteRuns(r.runs, w.initRuns(static_cast<unsigned>(r.runs.size())));
  w.setProcess(r.statement.process);
  w.setStatement(r.statement.number);
}

std::optional<LedgerRecord> ReadRecord(WireRecord::Reader in) {
  switch (in.which()) {
    case WireRecord::JOB_SUBMITTED:
      return JobSubmitted{.request = FromWire(in.getJobSubmitted())};
    case WireRecord::JOB_CANCELLED:
      return JobCancelled{.job = FromWire(in.getJobCancelled())};
    case WireRecord::AGENT_BEAT: {
      const auto w = in.getAgentBeat();
      return AgentHeartbeat{.agent = FromWire(w.getAgent()),
                            .process = FromWire(w.getProcess()),
                            .process_number = w.getProcessNumber(),
                            .uptime = Duration(w.getUptimeMs()),
                            .heard_worker = FromWire(w.getHeard()),
                            .heard_ago = Duration(w.getHeardAgoMs())};
    }
    case WireRecord::ENTRY_STARTED:
      return FromWire(in.getEntryStarted());
    case WireRecord::WORKER_REPORTED:
      return FromWire(in.getWorkerReported());
    case WireRecord::WORKER_EMPTIED: {
      const auto w = in.getWorkerEmptied();
      return WorkerEmptied{.incarnation = FromWire(w.getLife()),
                           .epoch = w.getEpoch(),
                           .incarnation_ended = w.getGone(),
                           .crashed = w.getCrashed(),
                           .suspects = ReadRuns(w.getSuspects()),
                           .runs = ReadRuns(w.getRuns()),
                           .reason = FromWire(w.getReason()),
                           .statement = {.process = FromWire(w.getProcess()),
                                         .number = w.getStatement()}};
    }
    case WireRecord::PLANNER_ELECTED: {
      const auto w = in.getPlannerElected();
      return PlannerElected{.entry = FromWire(w.getEntry()),
                            .epoch = w.getEpoch()};
    }
    case WireRecord::PLANNER_RESIGNED: {
      const auto w = in.getPlannerResigned();
      return PlannerResigned{.entry = FromWire(w.getEntry()),
                             .epoch = w.getEpoch()};
    }
    case WireRecord::RUN_STARTED: {
      const auto w = in.getRunStarted();
      return RunStarted{.epoch = w.getEpoch(),
                        .first = FromWire(w.getFirst()),
                        .run = w.getRun(),
                        .members = FromWire(w.getMembers()),
                        .checkpoint = FromWire(w.getCheckpoint())};
    }
    case WireRecord::RUN_STOPPED: {
      const auto w = in.getRunStopped();
      return RunStopped{.epoch = w.getEpoch(),
                        .first = FromWire(w.getFirst()),
                        .run = w.getRun(),
                        .cause = static_cast<StopCause>(w.getCause())};
    }
    case WireRecord::TASK_ENDED: {
      const auto w = in.getTaskEnded();
      return TaskEnded{.incarnation = FromWire(w.getLife()),
                       .end_number = w.getNumber(),
                       .task = FromWire(w.getTask()),
                       .run = w.getRun(),
                       .outcome = static_cast<TaskOutcome>(w.getHow()),
                       .checkpoint = FromWire(w.getCheckpoint()),
                       .run_time = Duration(w.getRanMs())};
    }
    case WireRecord::START_REFUSED: {
      const auto w = in.getStartRefused();
      return StartRefused{.incarnation = FromWire(w.getLife()),
                          .task = FromWire(w.getTask()),
                          .run = w.getRun(),
                          .reason = FromWire(w.getReason())};
    }
    case WireRecord::RUN_OBSERVED: {
      const auto w = in.getRunObserved();
      return RunObserved{.incarnation = FromWire(w.getLife()),
                         .task = FromWire(w.getTask()),
                         .run = w.getRun(),
                         .percent = w.getPercent(),
                         .stalled = w.getStalled(),
                         .checkpoint = FromWire(w.getCheckpoint()),
                         .projected_run_time = Duration(w.getProjectedMs())};
    }
    case WireRecord::QUEUE_CHANGED: {
      const auto w = in.getQueueChanged();
      return QueueChanged{.epoch = w.getEpoch(),
                          .rules_version = w.getRulesVersion(),
                          .before = FromWire(w.getBefore()),
                          .after = FromWire(w.getAfter())};
    }
    case WireRecord::START_UNANSWERED: {
      const auto w = in.getStartUnanswered();
      return StartUnanswered{.incarnation = FromWire(w.getLife()),
                             .task = FromWire(w.getTask()),
                             .run = w.getRun()};
    }
    case WireRecord::STARTS_EXPIRED: {
      const auto w = in.getStartsExpired();
      return StartsExpired{.agent = FromWire(w.getAgent()),
                           .epoch = w.getEpoch(),
                           .runs = ReadRuns(w.getRuns()),
                           .statement = {.process = FromWire(w.getProcess()),
                                         .number = w.getStatement()}};
    }
  }
  return std::nullopt;
}

}  // namespace

std::string EncodeRecord(const LedgerRecord& record) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<WireRecord>();
  std::visit([&](const auto& r) { WriteRecord(r, root); }, record);
  return ledger_wire::ToPackedBytes(message);
}

std::optional<LedgerRecord> DecodeRecord(const std::string& bytes) {
  std::optional<LedgerRecord> out;
  const auto exception = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream in(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader message(in);
    out = ReadRecord(message.getRoot<WireRecord>());
  });
  return exception == nullptr && out && IsWithinLimits(*out) ? out
                                                             : std::nullopt;
}

}  // namespace marjoramplank
