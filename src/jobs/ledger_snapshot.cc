#include "src/jobs/ledger_snapshot.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <limits>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/jobs/ended_jobs_snapshot.h"
#include "src/jobs/job_snapshot.h"
#include "src/jobs/ledger_wire.h"
#include "src/jobs/record_limits.h"
#include "src/jobs/run_time_snapshot.h"

namespace marjoramplank {

namespace {

using ledger_wire::FromWire;
using ledger_wire::ToWire;

// The position for readers that do not know the compact form.
constexpr std::int64_t kCompact = -1;

void WriteLateStarts(const std::map<RunRef, LateStart>& in,
                     capnp::List<ledger_wire::LateStart>::Builder out) {
  unsigned n = 0;
  for (const auto& [run, late_start] : in) {
    ledger_wire::LateStart::Builder w = out[n++];
    ToWire(run.task, w.initTask());
    w.setRun(run.run);
    ToWire(late_start.incarnation, w.initLife());
    w.setAgentProcess(late_start.agent_process);
    w.setSenderEndedMs(late_start.sender_ended_at.count());
    w.setHoldsUnit(late_start.holds_unit);
  }
}

std::map<RunRef, LateStart> ReadLateStarts(
    capnp::List<ledger_wire::LateStart>::Reader in) {
  std::map<RunRef, LateStart> out;
  for (const auto r : in) {
    out[{.task = FromWire(r.getTask()), .run = r.getRun()}] = {
        .incarnation = FromWire(r.getLife()),
        .agent_process = FromWire(r.getAgentProcess()),
        .sender_ended_at = Duration(r.getSenderEndedMs()),
        .holds_unit = r.getHoldsUnit()};
  }
  return out;
}

void WriteAgent(const std::string& name,
                const LedgerAgent& in,
                ledger_wire::AgentState::Builder out) {
  out.setAgent(name);
  ToWire(in.incarnation, out.initLife());
  out.setProcess(in.process);
  out.setStarts(in.process_number);
  out.setProcessBefore(in.process_before);
  out.setLastStatement(in.last_statement);
  out.setStatementBefore(in.last_statement_before);
  out.setBeatsBefore(in.beats_of_process_before);
  out.setEarlierUptimeMs(in.earlier_uptime.count());
  out.setUptimeMs(in.uptime.count());
  WriteLateStarts(
      in.late_starts,
      out.initLateStarts(static_cast<unsigned>(in.late_starts.size())));
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
                  .process_number = in.getStarts(),
                  .earlier_uptime = Duration(in.getEarlierUptimeMs()),
                  .uptime = Duration(in.getUptimeMs()),
                  .late_starts = ReadLateStarts(in.getLateStarts()),
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

// Payloads of runs, each written once. The runs of a job share one.
class PayloadWriter {
 public:
  explicit PayloadWriter(const Ledger& ledger) : ledger_(ledger) {}

  void Write(const TaskRef& task,
             const LiveRun& in,
             ledger_wire::LiveRun::Builder out) {
    const LedgerJob* job = ledger_.FindJob(task.job);
    if (job != nullptr && job->request.payload == in.payload) {
      out.setHasPayloadOfJob(true);
    } else if (!in.payload.empty()) {
      const auto number = static_cast<std::int32_t>(numbers_.size()) + 1;
      const auto [it, is_new] = numbers_.try_emplace(in.payload, number);
      if (is_new) {
        payloads_.push_back(in.payload);
      }
      out.setPayloadNumber(it->second);
    }
  }

  const std::vector<std::string_view>& payloads() const { return payloads_; }

 private:
  const Ledger& ledger_;
  std::unordered_map<std::string_view, std::int32_t> numbers_;
  std::vector<std::string_view> payloads_;
};

// Finds the payloads of the runs of a snapshot.
class PayloadReader {
 public:
  // `left_out` holds the jobs that are not in the ledger.
  PayloadReader(const Ledger& ledger,
                const std::map<std::string, LedgerJob>& left_out,
                capnp::List<capnp::Text>::Reader payloads)
      : ledger_(ledger), left_out_(left_out), payloads_(payloads) {}

  std::string Read(ledger_wire::LiveRun::Reader in) const {
    const std::int32_t number = in.getPayloadNumber();
    if (number > 0 && number <= static_cast<std::int64_t>(payloads_.size())) {
      return FromWire(payloads_[static_cast<unsigned>(number) - 1]);
    }
    return in.getHasPayloadOfJob() ? PayloadOf(FromWire(in.getTask().getJob()))
                                   : FromWire(in.getPayload());
  }

 private:
  std::string PayloadOf(const std::string& id) const {
    if (const LedgerJob* job = ledger_.FindJob(id)) {
      return job->request.payload;
    }
    const auto it = left_out_.find(id);
    return it == left_out_.end() ? "" : it->second.request.payload;
  }

  const Ledger& ledger_;
  const std::map<std::string, LedgerJob>& left_out_;
  const capnp::List<capnp::Text>::Reader payloads_;
};

void WriteRun(const TaskRef& task,
              const LiveRun& in,
              PayloadWriter& payloads,
              ledger_wire::LiveRun::Builder out) {
  ToWire(task, out.initTask());
  out.setRun(in.run);
  ToWire(in.need, out.initNeed());
  out.setStop(in.must_stop);
  out.setGang(in.gang);
  out.setAgentProcess(in.agent_process);
  out.setSenderEndedMs(in.sender_ended_at.count());
  out.setStartUnanswered(in.start_unanswered);
  payloads.Write(task, in, out);
  out.setCheckpoint(in.checkpoint);
  out.setPercent(in.percent);
  out.setStalled(in.stalled);
  out.setProjectedMs(in.projected_run_time.count());
}

void WriteWorker(const LedgerWorker& in,
                 PayloadWriter& payloads,
                 ledger_wire::WorkerState::Builder out) {
  ToWire(in.report, out.initReport());
  out.setGone(in.incarnation_ended);
  out.setLastEnd(in.last_end_number);
  out.setLastOvertakenEnd(in.last_overtaken_end);
  out.setFailedInRow(in.consecutive_failures);
  out.setRefusedInRow(in.consecutive_refusals);
  auto runs = out.initRuns(static_cast<unsigned>(in.runs.size()));
  unsigned n = 0;
  for (const auto& [task, run] : in.runs) {
    WriteRun(task, run, payloads, runs[n++]);
  }
}

// 0 if the number is out of range.
Duration PlausibleRunTime(std::int64_t ms) {
  return ms > 0 && ms <= kMaxDuration.count() ? Duration(ms) : Duration(0);
}

LedgerWorker ReadWorker(Time now,
                        const PayloadReader& payloads,
                        ledger_wire::WorkerState::Reader in) {
  LedgerWorker out;
  out.report = FromWire(in.getReport());
  if (!IsWithinLimits(out.report)) {
    out.report.accepting = false;
    out.report.capacity = {};
  }
  out.incarnation_ended = in.getGone();
  out.last_end_number = in.getLastEnd();
  out.last_overtaken_end = in.getLastOvertakenEnd();
  out.consecutive_failures = in.getFailedInRow();
  out.consecutive_refusals = in.getRefusedInRow();
  for (const auto r : in.getRuns()) {
    LiveRun run{.run = r.getRun(),
                .need = FromWire(r.getNeed()),
                .must_stop = r.getStop(),
                .gang = r.getGang(),
                .agent_process = FromWire(r.getAgentProcess()),
                .sender_ended_at = Duration(r.getSenderEndedMs()),
                .start_unanswered = r.getStartUnanswered(),
                .payload = payloads.Read(r),
                .checkpoint = FromWire(r.getCheckpoint()),
                .percent = r.getPercent(),
                .stalled = r.getStalled(),
                .projected_run_time = PlausibleRunTime(r.getProjectedMs()),
                .first_seen_at = now};
    out.used += run.need;
    out.runs.emplace(FromWire(r.getTask()), std::move(run));
  }
  return out;
}

template <typename Texts, typename Builder>
void WriteTexts(const Texts& in, Builder out) {
  unsigned n = 0;
  for (const std::string_view text : in) {
    out.set(n++, {text.data(), text.size()});
  }
}

}  // namespace

std::string LedgerSnapshot::Save(const Ledger& ledger, std::int64_t position) {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<ledger_wire::Snapshot>();
  out.setPosition(kCompact);
  out.setCompactPosition(position);
  const std::set<std::string_view> ended =
      EndedJobsSnapshot::Write(ledger.jobs_, ledger.ended_order_, out);
  auto jobs =
      out.initJobs(static_cast<unsigned>(ledger.jobs_.size() - ended.size()));
  unsigned n = 0;
  for (const auto& [id, job] : ledger.jobs_) {
    if (!ended.contains(id)) {
      JobSnapshot::Write(job, jobs[n++]);
    }
  }
  WriteTexts(
      ledger.early_cancels_,
      out.initWithdrawn(static_cast<unsigned>(ledger.early_cancels_.size())));
  PayloadWriter payloads(ledger);
  auto workers = out.initWorkers(static_cast<unsigned>(ledger.workers_.size()));
  n = 0;
  for (const auto& [incarnation, worker] : ledger.workers_) {
    WriteWorker(worker, payloads, workers[n++]);
  }
  WriteTexts(
      payloads.payloads(),
      out.initPayloads(static_cast<unsigned>(payloads.payloads().size())));
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
  out.setRulesVersion(ledger.rules_version_);
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
    out.position = in.getCompactPosition() >= 0 ? in.getCompactPosition()
                                                : in.getPosition();
    Ledger& ledger = out.ledger;
    std::map<std::string, LedgerJob> left_out;
    for (const auto job : in.getJobs()) {
      LedgerJob entry = JobSnapshot::Read(now, job);
      const std::string id = entry.request.id;
      if (!JobSnapshot::IsSound(entry)) {
        left_out.emplace(id, std::move(entry));
        continue;
      }
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
    EndedJobsSnapshot::Read(now, in, ledger.jobs_, ledger.ended_order_);
    const PayloadReader payloads(ledger, left_out, in.getPayloads());
    for (const auto worker : in.getWorkers()) {
      LedgerWorker entry = ReadWorker(now, payloads, worker);
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
    ledger.rules_version_ = in.getRulesVersion();
    ledger.run_times_ = RunTimeSnapshot::Read(now, in.getRunTimes());
  });
  if (exception != nullptr || out.position < 0 || out.position > kMaxCounter ||
      !IsWithinLimits(PlannerElected{.epoch = out.ledger.planner_epoch_})) {
    return std::nullopt;
  }
  return out;
}

}  // namespace marjoramplank
