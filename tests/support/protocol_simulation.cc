#include "tests/support/protocol_simulation.h"

#include <algorithm>
#include <utility>

#include "src/codec/inventory_codec.h"

namespace marjoramplank::testing {

namespace {

constexpr Duration kTickInterval{50};
constexpr Duration kReadInterval{100};
constexpr Duration kLeaseDuration{10'000};

std::int64_t PayloadOption(const std::string& payload,
                           const std::string& key,
                           std::int64_t fallback) {
  const std::size_t at = payload.find(key + "=");
  return at == std::string::npos
             ? fallback
             : std::atoll(payload.c_str() + at + key.size() + 1);
}

}  // namespace

struct ProtocolSimulation::EntryProcess {
  std::string name;
  Metrics metrics;
  std::unique_ptr<EntryCore> core;  // Null: killed.
  Time started_at{0};               // Zero of the process's own clock.
  Time frozen_until{0};
  bool log_unreachable = false;
  // Changes with each start and kill, so that events of earlier runs are
  // dropped.
  std::uint64_t run_id = 0;
  std::map<CallToken, std::size_t> reply_index_by_token;
};

struct ProtocolSimulation::AgentProcess {
  struct Task {
    StartTask start;
    TaskState state = TaskState::kRunning;
    Time ends_at{0};
    Time lease_expires_at{0};
    Time stop_at = kNever;
    TaskState stop_state = TaskState::kStopped;
    bool end_reported = false;
  };
  std::string worker;
  std::string data_centre;
  std::unique_ptr<AgentCore> core;  // Null: killed.
  Time started_at{0};
  Time frozen_until{0};
  std::uint64_t run_id = 0;
  std::map<TaskKey, Task> tasks;  // At the worker: they survive the agent.
};

ProtocolSimulation::ProtocolSimulation(FaultProfile fault_profile,
                                       int entries,
                                       Inventory inventory)
    : fault_profile_(fault_profile),
      random_(fault_profile.seed),
      inventory_(std::move(inventory)) {
  log_.push_back(Encode(ConfigRecord{.change_id = "first",
                                     .author = "test",
                                     .document = ToText(ToJson(inventory_))}));
  for (int n = 0; n < entries; ++n) {
    entries_.push_back(std::make_unique<EntryProcess>());
    entries_.back()->name = "e" + std::to_string(n);
    RestartEntry(n);
  }
  for (const WorkerSpec& w : inventory_.workers) {
    agents_[w.name] = std::make_unique<AgentProcess>();
    agents_[w.name]->worker = w.name;
    agents_[w.name]->data_centre = w.data_centre;
    RestartAgent(w.name);
  }
  Schedule(kTickInterval, [this] { Tick(); });
}

ProtocolSimulation::~ProtocolSimulation() = default;

bool ProtocolSimulation::DrawPercent(int percent) {
  return static_cast<int>(random_() % 100) < percent;
}

Duration ProtocolSimulation::RandomDelay() {
  return Duration{1 + static_cast<std::int64_t>(
                          random_() % static_cast<std::uint64_t>(
                                          fault_profile_.max_delay.count()))};
}

bool ProtocolSimulation::IsPartitioned(const std::string& a,
                                       const std::string& b) const {
  return partitions_.contains({std::min(a, b), std::max(a, b)});
}

void ProtocolSimulation::SetPartitioned(const std::string& a,
                                        const std::string& b,
                                        bool partitioned) {
  const std::pair key{std::min(a, b), std::max(a, b)};
  partitioned ? void(partitions_.insert(key)) : void(partitions_.erase(key));
}

void ProtocolSimulation::Schedule(Time at, std::function<void()> action) {
  schedule_.emplace(at, std::move(action));
}

void ProtocolSimulation::Run(Duration d) {
  const Time until = now_ + d;
  while (!schedule_.empty() && schedule_.begin()->first <= until) {
    now_ = schedule_.begin()->first;
    const std::function<void()> action = std::move(schedule_.begin()->second);
    schedule_.erase(schedule_.begin());
    action();
  }
  now_ = until;
}

void ProtocolSimulation::Tick() {
  for (std::size_t n = 0; n < entries_.size(); ++n) {
    StepEntry(static_cast<int>(n), EntryTick{});
    if (now_.count() % kReadInterval.count() == 0) {
      ReadLog(static_cast<int>(n));
    }
  }
  for (const auto& [worker, agent] : agents_) {
    AdvanceWorker(worker);
    StepAgent(worker, marjoramplank::Tick{});
  }
  Schedule(now_ + kTickInterval, [this] { Tick(); });
}

void ProtocolSimulation::ConnectAll() {
  for (std::size_t n = 0; n < entries_.size(); ++n) {
    for (std::size_t m = 0; m < entries_.size(); ++m) {
      if (n != m && entries_[m]->core != nullptr) {
        StepEntry(static_cast<int>(n),
                  PeerConnected{.peer = {.name = entries_[m]->name},
                                .is_entry = true});
      }
    }
    for (const auto& [worker, agent] : agents_) {
      if (agent->core != nullptr) {
        StepEntry(static_cast<int>(n), PeerConnected{.peer = {.name = worker}});
        StepAgent(worker, EntryConnected{.entry = entries_[n]->name});
      }
    }
  }
}

void ProtocolSimulation::KillEntry(int n) {
  entries_[static_cast<std::size_t>(n)]->core.reset();
  ++entries_[static_cast<std::size_t>(n)]->run_id;
}

void ProtocolSimulation::RestartEntry(int n) {
  EntryProcess& process = *entries_[static_cast<std::size_t>(n)];
  ++process.run_id;
  process.started_at = now_;
  process.frozen_until = Time{0};
  EntryOptions options{
      .membership = {.self = {.name = process.name,
                              .incarnation = ++last_incarnation_},
                     .address = process.name},
      .snapshot_records = 40};
  process.core =
      std::make_unique<EntryCore>(std::move(options), &process.metrics);
  ConnectAll();
}

void ProtocolSimulation::FreezeEntry(int n, Duration d) {
  entries_[static_cast<std::size_t>(n)]->frozen_until = now_ + d;
}

void ProtocolSimulation::KillAgent(const std::string& worker) {
  agents_.at(worker)->core.reset();
  ++agents_.at(worker)->run_id;
}

void ProtocolSimulation::RestartAgent(const std::string& worker) {
  AgentProcess& process = *agents_.at(worker);
  const WorkerSpec& w = *inventory_.FindWorker(worker);
  ++process.run_id;
  process.started_at = now_;
  process.frozen_until = Time{0};
  process.core = std::make_unique<AgentCore>(
      AgentOptions{.id = {.name = worker, .incarnation = ++last_incarnation_},
                   .data_centre = w.data_centre,
                   .cores = w.cores,
                   .memory_mb = w.memory_mb,
                   .accelerators = w.accelerators,
                   .slots = w.slots});
  WorkerTasksListed listed;
  for (auto& [key, task] : process.tasks) {
    task.end_reported = IsTerminalTaskState(task.state);
    listed.tasks.push_back(
        {.key = key,
         .gang_tasks = task.start.gang_tasks,
         .accelerator_mask = task.start.accelerator_mask,
         .shape = task.start.shape,
         .state = task.state,
         .answer = "answer:" + key.job + ":" + std::to_string(key.task)});
  }
  ConnectAll();
  StepAgent(worker, listed);
}

void ProtocolSimulation::FreezeAgent(const std::string& worker, Duration d) {
  agents_.at(worker)->frozen_until = now_ + d;
}

void ProtocolSimulation::SetLeaving(const std::string& worker) {
  StepAgent(worker, WorkerLeaving{.leaving = true});
}

void ProtocolSimulation::SetLogUnreachable(int entry, bool unreachable) {
  entries_[static_cast<std::size_t>(entry)]->log_unreachable = unreachable;
}

void ProtocolSimulation::ExpireLog(Offset before) {
  log_first_ = std::max(log_first_, before);
}

bool ProtocolSimulation::IsEntryRunning(int n) const {
  return entries_[static_cast<std::size_t>(n)]->core != nullptr;
}

const EntryState& ProtocolSimulation::entry_state(int n) const {
  return entries_[static_cast<std::size_t>(n)]->core->state();
}

std::vector<std::string> ProtocolSimulation::RunningTasks() const {
  std::vector<std::string> out;
  for (const auto& [worker, agent] : agents_) {
    for (const auto& [key, task] : agent->tasks) {
      if (!IsTerminalTaskState(task.state)) {
        out.push_back(worker + " " + key.job + " " +
                      std::to_string(key.attempt) + " " +
                      std::to_string(key.task));
      }
    }
  }
  return out;
}

void ProtocolSimulation::StepEntry(int n, const EntryInput& input) {
  EntryProcess& process = *entries_[static_cast<std::size_t>(n)];
  if (process.core == nullptr) {
    return;
  }
  if (now_ < process.frozen_until) {
    // Inputs of a frozen process are queued until it resumes; its timers do not
    // fire.
    if (!std::holds_alternative<EntryTick>(input)) {
      Schedule(process.frozen_until, [this, n, input, run_id = process.run_id] {
        if (entries_[static_cast<std::size_t>(n)]->run_id == run_id) {
          StepEntry(n, input);
        }
      });
    }
    return;
  }
  for (EntryOutput& output :
       process.core->Step(now_ - process.started_at, input)) {
    std::visit(
        Overloaded{
            [&](Reply& o) {
              if (const auto it = process.reply_index_by_token.find(o.token);
                  it != process.reply_index_by_token.end()) {
                events_.push_back({.at = now_,
                                   .kind = Event::Kind::kReply,
                                   .subject = process.name,
                                   .number = o.status,
                                   .text = o.body});
                replies_[it->second] = o;
                const auto change = service_changes_.find(it->second);
                if (change != service_changes_.end() && o.status == 200) {
                  events_.push_back({.at = now_,
                                     .kind = change->second.second
                                                 ? Event::Kind::kDataCentreOut
                                                 : Event::Kind::kDataCentreIn,
                                     .subject = change->second.first});
                }
              }
            },
            [&](AppendBatch& o) { Append(n, o); },
            [&](FetchRecord& o) {
              const bool is_retained = o.offset >= log_first_ && !log_down_;
              StepEntry(
                  n, RecordFetched{
                         .id = o.id,
                         .ok = is_retained,
                         .text = is_retained
                                     ? log_[static_cast<std::size_t>(o.offset)]
                                     : ""});
            },
            [&](SendToPeer& o) { Deliver(process.name, o.peer, o.message); },
            [&](PublishConfig& o) {
              events_.push_back({.at = now_,
                                 .kind = Event::Kind::kConfigInForce,
                                 .subject = process.name + "/" +
                                            std::to_string(process.run_id),
                                 .number = o.snapshot.version});
            },
            [](auto&) {}},
        output);
  }
}

void ProtocolSimulation::StepAgent(const std::string& worker,
                                   const AgentInput& input) {
  AgentProcess& process = *agents_.at(worker);
  if (process.core == nullptr) {
    return;
  }
  if (now_ < process.frozen_until) {
    if (!std::holds_alternative<marjoramplank::Tick>(input)) {
      Schedule(process.frozen_until,
               [this, worker, input, run_id = process.run_id] {
                 if (agents_.at(worker)->run_id == run_id) {
                   StepAgent(worker, input);
                 }
               });
    }
    return;
  }
  for (AgentOutput& output :
       process.core->Step(now_ - process.started_at, input)) {
    std::visit(
        Overloaded{
            [&](SendToEntry& o) {
              for (const auto& entry : entries_) {
                if (o.entry.empty() || o.entry == entry->name) {
                  Deliver(worker, entry->name, o.message);
                }
              }
            },
            [&](StartTask& o) {
              AgentProcess::Task task{
                  .start = o,
                  .ends_at =
                      now_ + Duration{PayloadOption(o.payload, "run_ms", 1000)},
                  .lease_expires_at = now_ + kLeaseDuration};
              if (!process.tasks.contains(o.key)) {
                events_.push_back({.at = now_,
                                   .kind = Event::Kind::kTaskStarted,
                                   .subject = worker,
                                   .job = o.key.job,
                                   .attempt = o.key.attempt,
                                   .task = o.key.task,
                                   .text = process.data_centre});
                process.tasks[o.key] = task;
              }
              Schedule(now_ + Duration{1}, [this, worker, key = o.key,
                                            run_id = process.run_id] {
                if (agents_.at(worker)->run_id == run_id) {
                  StepAgent(worker, StartResult{.key = key, .accepted = true});
                }
              });
            },
            [&](StopTask& o) {
              if (const auto it = process.tasks.find(o.key);
                  it != process.tasks.end()) {
                const Duration stop_duration =
                    o.checkpoint ? Duration{200} : Duration{20};
                it->second.stop_at =
                    std::min(it->second.stop_at, now_ + stop_duration);
                it->second.stop_state = o.checkpoint && stop_duration <= o.bound
                                            ? TaskState::kCheckpointed
                                            : TaskState::kStopped;
              }
            },
            [&](RenewLeases& o) {
              for (const TaskKey& key : o.keys) {
                if (const auto it = process.tasks.find(key);
                    it != process.tasks.end()) {
                  it->second.lease_expires_at = now_ + kLeaseDuration;
                }
              }
            },
            [&](RemoveTask& o) { process.tasks.erase(o.key); }},
        output);
  }
}

void ProtocolSimulation::AdvanceWorker(const std::string& worker) {
  AgentProcess& process = *agents_.at(worker);
  std::vector<TaskEnded> ended;
  for (auto& [key, task] : process.tasks) {
    if (!IsTerminalTaskState(task.state)) {
      const Time first =
          std::min({task.ends_at, task.stop_at, task.lease_expires_at});
      if (now_ < first) {
        continue;
      }
      task.state = first == task.ends_at   ? TaskState::kSucceeded
                   : first == task.stop_at ? task.stop_state
                                           : TaskState::kLapsed;
      events_.push_back({.at = now_,
                         .kind = Event::Kind::kTaskStopped,
                         .subject = worker,
                         .job = key.job,
                         .attempt = key.attempt,
                         .task = key.task});
    }
    if (!task.end_reported && process.core != nullptr &&
        now_ >= process.frozen_until) {
      task.end_reported = true;
      ended.push_back(
          {.key = key,
           .state = task.state,
           .answer = "answer:" + key.job + ":" + std::to_string(key.task)});
    }
  }
  for (const TaskEnded& e : ended) {
    StepAgent(worker, e);
  }
}

void ProtocolSimulation::Deliver(const std::string& from,
                                 const std::string& to,
                                 const Message& message) {
  const int copies = DrawPercent(fault_profile_.loss_percent)        ? 0
                     : DrawPercent(fault_profile_.duplicate_percent) ? 2
                                                                     : 1;
  for (int c = 0; c < copies; ++c) {
    Schedule(now_ + RandomDelay(), [this, from, to, message] {
      if (IsPartitioned(from, to)) {
        return;
      }
      for (std::size_t n = 0; n < entries_.size(); ++n) {
        if (entries_[n]->name == to) {
          StepEntry(static_cast<int>(n),
                    PeerMessage{.peer = from, .message = message});
          return;
        }
      }
      if (agents_.contains(to)) {
        StepAgent(to, EntryMessage{.entry = from, .message = message});
      }
    });
  }
}

void ProtocolSimulation::ReadLog(int n) {
  EntryProcess& process = *entries_[static_cast<std::size_t>(n)];
  if (process.core == nullptr || now_ < process.frozen_until) {
    return;
  }
  LogRead read{.ok = !log_down_ && !process.log_unreachable,
               .requested_at = now_ - process.started_at,
               .first = log_first_,
               .end = static_cast<Offset>(log_.size())};
  if (read.ok) {
    for (Offset at = std::max(process.core->NextOffset(), log_first_);
         at < read.end; ++at) {
      read.lines.push_back(
          {.offset = at, .text = log_[static_cast<std::size_t>(at)]});
    }
  }
  Schedule(now_ + RandomDelay(), [this, n, read, run_id = process.run_id] {
    if (entries_[static_cast<std::size_t>(n)]->run_id == run_id) {
      StepEntry(n, read);
    }
  });
}

void ProtocolSimulation::Append(int n, const AppendBatch& batch) {
  EntryProcess& process = *entries_[static_cast<std::size_t>(n)];
  Schedule(now_ + RandomDelay(), [this, n, batch, run_id = process.run_id] {
    const bool reachable =
        !log_down_ && !entries_[static_cast<std::size_t>(n)]->log_unreachable;
    const bool faulty = DrawPercent(fault_profile_.log_fault_percent);
    const bool refused = faulty && DrawPercent(50);
    if (reachable && !refused) {
      log_.insert(log_.end(), batch.lines.begin(), batch.lines.end());
    }
    const AppendOutcome outcome = !reachable || refused
                                      ? AppendOutcome::kRefused
                                  : faulty ? AppendOutcome::kUnknown
                                           : AppendOutcome::kStored;
    Schedule(now_ + RandomDelay(), [this, n, batch, outcome, run_id] {
      if (entries_[static_cast<std::size_t>(n)]->run_id == run_id) {
        StepEntry(n, AppendDone{.batch = batch.batch, .outcome = outcome});
      }
    });
  });
}

std::size_t ProtocolSimulation::Call(
    int entry,
    const std::function<EntryInput(CallToken)>& make) {
  EntryProcess& process = *entries_[static_cast<std::size_t>(entry)];
  const std::size_t index = replies_.size();
  replies_.emplace_back();
  const CallToken token = index + 1;
  process.reply_index_by_token[token] = index;
  StepEntry(entry, make(token));
  return index;
}

std::size_t ProtocolSimulation::Submit(int entry, const JobSpec& spec) {
  const Time deadline =
      now_ - entries_[static_cast<std::size_t>(entry)]->started_at + 5s;
  return Call(entry, [&](CallToken t) {
    return SubmitRequest{
        .token = t,
        .spec = spec,
        .trace = {.trace_id = JobIdFor(spec.account, spec.request_id)},
        .deadline = deadline};
  });
}

std::size_t ProtocolSimulation::Wait(int entry,
                                     const std::string& job,
                                     Duration d) {
  const Time deadline =
      now_ - entries_[static_cast<std::size_t>(entry)]->started_at + d;
  return Call(entry, [&](CallToken t) {
    return WaitRequest{.token = t, .job = job, .deadline = deadline};
  });
}

std::size_t ProtocolSimulation::Cancel(int entry, const std::string& job) {
  const Time deadline =
      now_ - entries_[static_cast<std::size_t>(entry)]->started_at + 5s;
  return Call(entry, [&](CallToken t) {
    return CancelRequest{.token = t, .job = job, .deadline = deadline};
  });
}

std::size_t ProtocolSimulation::SetOutOfService(int entry,
                                                const std::string& data_centre,
                                                bool out) {
  Inventory changed = inventory_;
  const auto parsed =
      IsEntryRunning(entry) &&
              this->entry_state(entry).log.config().document != nullptr
          ? ParseInventory(*this->entry_state(entry).log.config().document)
          : std::variant<Inventory, std::vector<FieldError>>{inventory_};
  changed = std::get<Inventory>(parsed);
  for (DataCentreSpec& dc : changed.data_centres) {
    dc.out_of_service = dc.name == data_centre ? out : dc.out_of_service;
  }
  const Time deadline =
      now_ - entries_[static_cast<std::size_t>(entry)]->started_at + 5s;
  const Offset base =
      IsEntryRunning(entry) ? this->entry_state(entry).log.config().version : 0;
  service_changes_[replies_.size()] = {data_centre, out};
  if (!out) {
    // The change may take effect before its author gets the reply.
    events_.push_back({.at = now_,
                       .kind = Event::Kind::kDataCentreIn,
                       .subject = data_centre});
  }
  return Call(entry, [&](CallToken t) {
    return ChangeConfigRequest{.token = t,
                               .base = base,
                               .author = "op",
                               .document = ToText(ToJson(changed)),
                               .deadline = deadline};
  });
}

}  // namespace marjoramplank::testing
