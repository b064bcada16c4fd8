#include "src/jobs/ledger_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "src/jobs/ledger_wire.h"

namespace marjoramplank {

namespace {

using ledger_wire::Get;
using ledger_wire::Put;
using Wire = ledger_wire::Record;

void PutMembers(const std::vector<MemberPlace>& in,
                capnp::List<ledger_wire::Member>::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) {
    Put(in[i], out[i]);
  }
}

void Write(const JobSubmitted& r, Wire::Builder out) {
  Put(r.request, out.initJobSubmitted());
}
void Write(const JobCancelled& r, Wire::Builder out) {
  out.setJobCancelled(r.job);
}
void Write(const AgentBeat& r, Wire::Builder out) {
  auto w = out.initAgentBeat();
  w.setAgent(r.agent);
  w.setProcess(r.process);
}
void Write(const EntryStarted& r, Wire::Builder out) {
  Put(r, out.initEntryStarted());
}
void Write(const WorkerReported& r, Wire::Builder out) {
  Put(r, out.initWorkerReported());
}
void Write(const WorkerEmptied& r, Wire::Builder out) {
  auto w = out.initWorkerEmptied();
  Put(r.life, w.initLife());
  w.setEpoch(r.epoch);
  w.setGone(r.gone);
  w.setReason(r.reason);
}
void Write(const PlannerElected& r, Wire::Builder out) {
  auto w = out.initPlannerElected();
  w.setEntry(r.entry);
  w.setEpoch(r.epoch);
}
void Write(const PlannerResigned& r, Wire::Builder out) {
  auto w = out.initPlannerResigned();
  w.setEntry(r.entry);
  w.setEpoch(r.epoch);
}
void Write(const RunStarted& r, Wire::Builder out) {
  auto w = out.initRunStarted();
  w.setEpoch(r.epoch);
  Put(r.first, w.initFirst());
  w.setRun(r.run);
  PutMembers(r.members, w.initMembers(static_cast<unsigned>(r.members.size())));
  w.setCheckpoint(r.checkpoint);
}
void Write(const RunStopped& r, Wire::Builder out) {
  auto w = out.initRunStopped();
  w.setEpoch(r.epoch);
  Put(r.first, w.initFirst());
  w.setRun(r.run);
  w.setCause(static_cast<std::uint8_t>(r.cause));
}
void Write(const TaskEnded& r, Wire::Builder out) {
  auto w = out.initTaskEnded();
  Put(r.life, w.initLife());
  w.setNumber(r.number);
  Put(r.task, w.initTask());
  w.setRun(r.run);
  w.setHow(static_cast<std::uint8_t>(r.how));
  w.setCheckpoint(r.checkpoint);
}
void Write(const StartRefused& r, Wire::Builder out) {
  auto w = out.initStartRefused();
  Put(r.life, w.initLife());
  Put(r.task, w.initTask());
  w.setRun(r.run);
  w.setReason(r.reason);
}
void Write(const RunObserved& r, Wire::Builder out) {
  auto w = out.initRunObserved();
  Put(r.life, w.initLife());
  Put(r.task, w.initTask());
  w.setRun(r.run);
  w.setPercent(r.percent);
  w.setStalled(r.stalled);
  w.setCheckpoint(r.checkpoint);
}

std::optional<LedgerRecord> Read(Wire::Reader in) {
  switch (in.which()) {
    case Wire::JOB_SUBMITTED:
      return JobSubmitted{.request = Get(in.getJobSubmitted())};
    case Wire::JOB_CANCELLED:
      return JobCancelled{.job = Get(in.getJobCancelled())};
    case Wire::AGENT_BEAT: {
      const auto w = in.getAgentBeat();
      return AgentBeat{.agent = Get(w.getAgent()),
                       .process = Get(w.getProcess())};
    }
    case Wire::ENTRY_STARTED:
      return Get(in.getEntryStarted());
    case Wire::WORKER_REPORTED:
      return Get(in.getWorkerReported());
    case Wire::WORKER_EMPTIED: {
      const auto w = in.getWorkerEmptied();
      return WorkerEmptied{.life = Get(w.getLife()),
                           .epoch = w.getEpoch(),
                           .gone = w.getGone(),
                           .reason = Get(w.getReason())};
    }
    case Wire::PLANNER_ELECTED: {
      const auto w = in.getPlannerElected();
      return PlannerElected{.entry = Get(w.getEntry()), .epoch = w.getEpoch()};
    }
    case Wire::PLANNER_RESIGNED: {
      const auto w = in.getPlannerResigned();
      return PlannerResigned{.entry = Get(w.getEntry()), .epoch = w.getEpoch()};
    }
    case Wire::RUN_STARTED: {
      const auto w = in.getRunStarted();
      return RunStarted{.epoch = w.getEpoch(),
                        .first = Get(w.getFirst()),
                        .run = w.getRun(),
                        .members = Get(w.getMembers()),
                        .checkpoint = Get(w.getCheckpoint())};
    }
    case Wire::RUN_STOPPED: {
      const auto w = in.getRunStopped();
      return RunStopped{.epoch = w.getEpoch(),
                        .first = Get(w.getFirst()),
                        .run = w.getRun(),
                        .cause = static_cast<StopCause>(w.getCause())};
    }
    case Wire::TASK_ENDED: {
      const auto w = in.getTaskEnded();
      return TaskEnded{.life = Get(w.getLife()),
                       .number = w.getNumber(),
                       .task = Get(w.getTask()),
                       .run = w.getRun(),
                       .how = static_cast<TaskEnd>(w.getHow()),
                       .checkpoint = Get(w.getCheckpoint())};
    }
    case Wire::START_REFUSED: {
      const auto w = in.getStartRefused();
      return StartRefused{.life = Get(w.getLife()),
                          .task = Get(w.getTask()),
                          .run = w.getRun(),
                          .reason = Get(w.getReason())};
    }
    case Wire::RUN_OBSERVED: {
      const auto w = in.getRunObserved();
      return RunObserved{.life = Get(w.getLife()),
                         .task = Get(w.getTask()),
                         .run = w.getRun(),
                         .percent = w.getPercent(),
                         .stalled = w.getStalled(),
                         .checkpoint = Get(w.getCheckpoint())};
    }
  }
  return std::nullopt;
}

}  // namespace

std::string EncodeRecord(const LedgerRecord& record) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<Wire>();
  std::visit([&](const auto& r) { Write(r, root); }, record);
  return ledger_wire::ToPackedBytes(message);
}

std::optional<LedgerRecord> DecodeRecord(const std::string& bytes) {
  std::optional<LedgerRecord> out;
  const auto fault = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream in(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader message(in);
    out = Read(message.getRoot<Wire>());
  });
  return fault == nullptr ? out : std::nullopt;
}

}  // namespace marjoramplank
