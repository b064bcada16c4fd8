#include "src/node/agent_node.h"

#include <utility>

#include "src/node/clock.h"
#include "src/node/event_log.h"

namespace marjoramplank {

namespace {

// Longest wait for the answer to a start or stop. The worker is on the same
// machine and answers within this even at a twentieth of its usual speed.
constexpr Duration kCommandTimeout = 400ms;
// Time beyond the requested wait within which a task listing must be answered.
constexpr Duration kHoldTimeoutSlack = 500ms;
// Longest interval between two reconciliations: leases and retries are due
// without any event.
constexpr Duration kReconcileInterval = 100ms;
constexpr Duration kHoldPollInterval = 50ms;
// Shortest append timeout through an entry's relay: the agent may have to
// connect first, and the entry batches the appends of several callers.
constexpr Duration kMinRelayAppendTimeout = 500ms;
// Longest wait for open appends at shutdown.
constexpr Duration kShutdownTimeout = 300ms;
// The agent acts only on a ledger younger than this: one poll and one slow
// answer.
constexpr Duration kMaxLedgerAge = 1200ms;

void LogObservation(const RunObserved& r) {
  if (r.stalled) {
    LogEvent("task_stalled")
        .With("task", ToString(r.task))
        .With("run", r.run)
        .With("percent", r.percent);
  }
  if (r.projected_run_time > Duration(0)) {
    LogEvent("task_projected")
        .With("task", ToString(r.task))
        .With("run", r.run)
        .With("percent", r.percent)
        .With("projected_ms", r.projected_run_time.count());
  }
}

void LogRecordEvent(const LedgerRecord& record) {
  if (const auto* r = std::get_if<TaskEnded>(&record)) {
    LogEvent("task_ended")
        .With("task", ToString(r->task))
        .With("run", r->run)
        .With("how", ToString(r->outcome))
        .With("worker", ToString(r->incarnation))
        .With("number", r->end_number)
        .With("ran_ms", r->run_time.count());
  } else if (const auto* r = std::get_if<StartRefused>(&record)) {
    LogEvent("start_refused")
        .With("task", ToString(r->task))
        .With("run", r->run)
        .With("worker", ToString(r->incarnation))
        .With("reason", r->reason);
  } else if (const auto* r = std::get_if<WorkerReported>(&record)) {
    LogEvent("worker_reported")
        .With("worker", ToString(r->incarnation))
        .With("accepting", r->accepting)
        .With("rack", r->rack);
  } else if (const auto* r = std::get_if<WorkerEmptied>(&record)) {
    LogEvent("worker_emptied")
        .With("worker", ToString(r->incarnation))
        .With("gone", r->incarnation_ended)
        .With("crashed", r->crashed)
        .With("runs", r->runs.size())
        .With("reason", r->reason);
  } else if (const auto* r = std::get_if<RunObserved>(&record)) {
    LogObservation(*r);
  } else if (const auto* r = std::get_if<StartUnanswered>(&record)) {
    LogEvent("start_unanswered")
        .With("task", ToString(r->task))
        .With("run", r->run)
        .With("worker", ToString(r->incarnation));
  } else if (const auto* r = std::get_if<StartsExpired>(&record)) {
    LogEvent("starts_expired").With("runs", r->runs.size());
  }
}

const char* ToString(CommandReply::Kind kind) {
  switch (kind) {
    case CommandReply::Kind::kDone:
      return "done";
    case CommandReply::Kind::kRefused:
      return "refused";
    case CommandReply::Kind::kStale:
      return "outdated";
    case CommandReply::Kind::kAlreadyRan:
      return "ended_before";
    case CommandReply::Kind::kUnhealthy:
      return "unhealthy";
    case CommandReply::Kind::kWrongIncarnation:
      return "wrong_life";
    case CommandReply::Kind::kNotSent:
      return "not_sent";
    case CommandReply::Kind::kConnectionRefused:
      return "connection_refused";
    case CommandReply::Kind::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

const char* ToString(Supervisor::HeartbeatVerdict verdict) {
  switch (verdict) {
    case Supervisor::HeartbeatVerdict::kTaken:
      return "taken";
    case Supervisor::HeartbeatVerdict::kClaimed:
      return "claimed";
    case Supervisor::HeartbeatVerdict::kOutdated:
      return "outdated";
    case Supervisor::HeartbeatVerdict::kContradicted:
      return "contradicted";
  }
  return "unknown";
}

template <typename Call>
void AddCommand(const Call& call, const CommandReply& reply, LogEvent& out) {
  out.With("task", marjoramplank::ToString(call.task))
      .With("run", call.run)
      .With("fence", call.fence)
      .With("worker", call.incarnation.id)
      .With("outcome", ToString(reply.kind))
      .With("reason", reply.reason);
}

void LogCommand(const StartCall& call, const CommandReply& reply) {
  LogEvent event("start");
  AddCommand(call, reply, event);
}

void LogCommand(const StopCall& call, const CommandReply& reply) {
  LogEvent event("stop");
  AddCommand(call, reply, event);
  event.With("given_away", call.is_given_away);
}

}  // namespace

AgentNode::AgentNode(Options options,
                     const StoreFactory& open_store,
                     const EndpointFactory& open_endpoint)
    : options_(std::move(options)),
      ledger_({.records = options_.records,
               .snapshots = options_.snapshots,
               .restore_retry = kAgentRestoreRetry},
              OpenRelayed(open_store),
              OpenRelayed(open_store),
              metrics_),
      writer_({.partition = options_.records,
               .append_timeout = {.min_timeout = kMinRelayAppendTimeout}},
              OpenRelayed(open_store),
              metrics_),
      supervisor_(options_.supervisor) {
  ledger_.SetOnGap([this] { writer_.ReappendRecent(); });
  ledger_.SetOnVoid([this](const LedgerRecord& record, std::int64_t offset) {
    LogVoidStatement(record, offset);
  });
  ledger_.Start();
  threads_.emplace_back([this] { ReconcileLoop(); });
  for (std::int32_t n = 0; n < options_.command_threads; ++n) {
    threads_.emplace_back(
        [this, e = open_endpoint()]() mutable { CommandLoop(std::move(e)); });
  }
  threads_.emplace_back(
      [this, e = open_endpoint()]() mutable { HoldLoop(std::move(e)); });
}

AgentNode::~AgentNode() {
  {
    const std::lock_guard lock(mutex_);
    stop_requested_ = true;
  }
  wake_condition_.notify_all();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  writer_.Drain(kShutdownTimeout);
}

std::unique_ptr<LogStore> AgentNode::OpenRelayed(
    const StoreFactory& open_store) {
  return std::make_unique<RelayedLogStore>(
      RelayedLogStore::Options{.relay_addresses =
                                   [this](RouteHealth::Operation operation) {
                                     return RelayAddresses(
                                         ledger_, options_.data_centre,
                                         options_.name, operation);
                                   },
                               .prefer_relays = true},
      open_store(), route_health_);
}

void AgentNode::Close() {
  writer_.Drain(kShutdownTimeout);
}

void AgentNode::Wake() {
  wake_requested_ = true;
  wake_condition_.notify_all();
}

void AgentNode::LogHeartbeatChange(Time now,
                                   const WorkerHeartbeat& heartbeat,
                                   Supervisor::HeartbeatVerdict verdict) {
  const bool is_same = heartbeat.incarnation == last_heartbeat_.incarnation &&
                       heartbeat.service == last_heartbeat_.service &&
                       heartbeat.address == last_heartbeat_.address &&
                       heartbeat.leaving == last_heartbeat_.leaving;
  if (!is_same) {
    LogEvent("heartbeat_changed")
        .With("worker", marjoramplank::ToString(heartbeat.incarnation))
        .With("service", heartbeat.service)
        .With("address", heartbeat.address)
        .With("leaving", heartbeat.leaving)
        .With("sequence", heartbeat.sequence)
        .With("verdict", ToString(verdict))
        .With("before", marjoramplank::ToString(last_heartbeat_.incarnation))
        .With("before_age_ms", (now - last_heartbeat_received_at_).count());
  }
  last_heartbeat_ = heartbeat;
  last_heartbeat_received_at_ = now;
}

void AgentNode::OnHeartbeat(const WorkerHeartbeat& heartbeat) {
  const Time now = BootClockNow();
  const std::lock_guard lock(mutex_);
  LogHeartbeatChange(now, heartbeat, supervisor_.OnHeartbeat(now, heartbeat));
  Wake();
}

void AgentNode::OnDeparture(const std::string& worker_id) {
  const std::lock_guard lock(mutex_);
  LogEvent("worker_departs").With("worker", worker_id);
  supervisor_.OnDeparture(worker_id);
  Wake();
}

void AgentNode::SendHeartbeat(Time now) {
  std::optional<Supervisor::HeardWorker> heard;
  std::int64_t process_number = 0;
  {
    const std::lock_guard lock(mutex_);
    heard = supervisor_.heard_worker(now);
    process_number = supervisor_.process_number();
  }
  if (process_number == 0) {
    return;
  }
  const WorkerIncarnation incarnation =
      heard ? heard->incarnation : WorkerIncarnation();
  const bool is_due = now - last_heartbeat_at_ >=
                          options_.supervisor.leases.heartbeat_interval ||
                      incarnation != reported_incarnation_;
  if (!is_due || heartbeat_in_flight_) {
    return;
  }
  last_heartbeat_at_ = now;
  reported_incarnation_ = incarnation;
  heartbeat_in_flight_ = true;
  writer_.Append(
      {.record = AgentHeartbeat{.agent = options_.name,
                                .process = options_.supervisor.process,
                                .process_number = process_number,
                                .uptime = now - options_.supervisor.started_at,
                                .heard_worker = incarnation,
                                .heard_ago = heard ? heard->age : Duration(0)},
       .deadline = now + options_.supervisor.leases.max_heartbeat_age,
       .on_done = [this](LedgerWriter::Outcome outcome, Time sent_at) {
         if (outcome == LedgerWriter::Outcome::kStored) {
           const std::lock_guard lock(mutex_);
           supervisor_.OnAgentHeartbeatStored(sent_at, BootClockNow());
         }
         heartbeat_in_flight_ = false;
       }});
}

void AgentNode::Reconcile(Time now) {
  {
    const std::lock_guard lock(mutex_);
    ledger_.Read([&](const Ledger& ledger, const LedgerView& view) {
      const bool is_current = view.loaded && now - view.as_of < kMaxLedgerAge;
      supervisor_.OnLedger(now, ledger, is_current, view.as_of);
    });
    for (TaskCommand& command : supervisor_.TakeCommands(now)) {
      command_queue_.push_back(std::move(command));
    }
    AppendRecords(supervisor_.TakeRecords(now));
    wake_condition_.notify_all();
  }
}

void AgentNode::AppendRecords(std::vector<LedgerRecord> records) {
  for (LedgerRecord& record : records) {
    LogRecordEvent(record);
    // Also if the log has refused it, as it may take the next copy.
    const auto on_done = [this, record](LedgerWriter::Outcome, Time) {
      const std::lock_guard lock(mutex_);
      supervisor_.OnRecordStored(record, BootClockNow());
    };
    writer_.Append({.record = std::move(record), .on_done = on_done});
  }
}

void AgentNode::LogVoidStatement(const LedgerRecord& record,
                                 std::int64_t offset) {
  AgentStatement statement;
  if (const auto* report = std::get_if<WorkerReported>(&record)) {
    statement = report->statement;
  } else if (const auto* emptied = std::get_if<WorkerEmptied>(&record)) {
    statement = emptied->statement;
  } else if (const auto* expired = std::get_if<StartsExpired>(&record)) {
    statement = expired->statement;
  }
  if (statement.process != options_.supervisor.process) {
    return;
  }
  metrics_.Add(Counter::kStatementsVoid);
  LogEvent("statement_void")
      .With("statement", statement.number)
      .With("offset", offset)
      .With("kind", record.index());
}

void AgentNode::LogPause(Time now, Duration pause) {
  const std::lock_guard lock(mutex_);
  LogEvent("agent_paused")
      .With("pause_ms", pause.count())
      .With("silence_ms", supervisor_.SilenceOf(now).count())
      .With("lost_after_ms", options_.supervisor.leases.LostAfter().count());
}

void AgentNode::ReconcileLoop() {
  std::uint64_t version = 0;
  Time last_run_at = BootClockNow();
  while (!stop_requested_) {
    version = ledger_.WaitForChange(version, kReconcileInterval);
    const Time now = BootClockNow();
    if (now - last_run_at > WorkerContact::kMaxPause) {
      LogPause(now, now - last_run_at);
    }
    last_run_at = now;
    Reconcile(now);
    SendHeartbeat(now);
  }
}

void AgentNode::CountCommandReply(const TaskCommand& call,
                                  const CommandReply& reply,
                                  Time sent_at) {
  const bool done = reply.kind == CommandReply::Kind::kDone;
  if (std::holds_alternative<StopCall>(call)) {
    metrics_.Add(Counter::kTasksStopped, done ? 1 : 0);
    return;
  }
  metrics_.Add(done ? Counter::kTasksStarted : Counter::kTasksRefused);
  metrics_.Observe(Latency::kStep, ToSeconds(BootClockNow() - sent_at));
}

void AgentNode::CommandLoop(std::unique_ptr<TaskEndpoint> endpoint) {
  std::unique_lock lock(mutex_);
  while (!stop_requested_) {
    if (command_queue_.empty()) {
      wake_condition_.wait(lock);
      continue;
    }
    const TaskCommand command = std::move(command_queue_.front());
    command_queue_.pop_front();
    const bool is_present = std::visit(
        [&](const auto& c) { return supervisor_.IsPresent(c.incarnation); },
        command);
    lock.unlock();
    CommandReply reply;
    const Time sent_at = BootClockNow();
    if (const auto* start = std::get_if<StartCall>(&command)) {
      // A call that was delayed in this process, by a pause or by the calls
      // before it, is decided again.
      reply = is_present && sent_at < start->send_before
                  ? endpoint->Start(*start, kCommandTimeout)
                  : CommandReply{.kind = CommandReply::Kind::kStale,
                                 .reason = "outdated in the agent"};
      LogCommand(*start, reply);
    } else {
      const auto& stop = std::get<StopCall>(command);
      reply = endpoint->Stop(stop, kCommandTimeout);
      LogCommand(stop, reply);
    }
    CountCommandReply(command, reply, sent_at);
    lock.lock();
    const Time now = BootClockNow();
    if (const auto* start = std::get_if<StartCall>(&command)) {
      supervisor_.OnStartReply(now, *start, reply);
    } else {
      supervisor_.OnStopReply(now, std::get<StopCall>(command), reply);
    }
    Wake();
  }
}

void AgentNode::HoldLoop(std::unique_ptr<TaskEndpoint> endpoint) {
  std::unique_lock lock(mutex_);
  while (!stop_requested_) {
    std::optional<HoldCall> call = supervisor_.NextHold(BootClockNow());
    if (!call) {
      wake_requested_ = false;
      wake_condition_.wait_for(lock, kHoldPollInterval, [this] {
        return wake_requested_ || stop_requested_;
      });
      continue;
    }
    lock.unlock();
    if (BootClockNow() >= call->renew_before) {
      call->lease_until.reset();
    }
    const HoldReply reply =
        endpoint->Hold(*call, call->wait + kHoldTimeoutSlack);
    if (call->verifies_incarnation) {
      LogEvent("worker_asked")
          .With("worker", ToString(call->incarnation))
          .With("fence", call->fence)
          .With("answered", reply.kind == HoldReply::Kind::kOk)
          .With("started_at_unix_ms", reply.started_at_unix_ms.value_or(0))
          .With("reason", reply.reason);
    } else if (call->settles_late_starts &&
               reply.kind != HoldReply::Kind::kConnectionRefused) {
      LogEvent("late_starts_listed")
          .With("worker", ToString(call->incarnation))
          .With("fence", call->fence)
          .With("answered", reply.kind == HoldReply::Kind::kOk)
          .With("started_at_unix_ms", reply.started_at_unix_ms.value_or(0))
          .With("running", reply.running.size())
          .With("reason", reply.reason);
    } else if (!call->settles_late_starts &&
               reply.kind != HoldReply::Kind::kOk) {
      LogEvent("hold_failed")
          .With("worker", ToString(call->incarnation))
          .With("fence", call->fence)
          .With("reason", reply.reason);
    }
    lock.lock();
    const Time now = BootClockNow();
    supervisor_.OnHoldReply(now, *call, reply);
    for (TaskCommand& command : supervisor_.TakeCommands(now)) {
      command_queue_.push_back(std::move(command));
    }
    AppendRecords(supervisor_.TakeRecords(now));
    wake_condition_.notify_all();
  }
}

}  // namespace marjoramplank
