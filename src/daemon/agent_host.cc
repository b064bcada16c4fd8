#include "src/daemon/agent_host.h"

#include <random>
#include <utility>

#include "src/daemon/logging.h"
#include "src/services/http_worker_service.h"

namespace marjoramplank {

namespace {

constexpr Duration kTickInterval = 50ms;
constexpr Duration kMaxListWait = 500ms;     // Of a long poll for changes.
constexpr Duration kListRetryDelay = 100ms;  // After a listing that failed.
// Consecutive listings without a task after which it counts as lapsed.
constexpr std::int64_t kMissedListingsUntilLost = 2;
// Time without a listing, in leases, after which all tasks of the worker count
// as lapsed.
constexpr std::int64_t kWorkerTimeoutLeases = 2;

std::uint64_t NewIncarnation() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

std::string Describe(const TaskKey& key) {
  return "job " + key.job + " attempt " + std::to_string(key.attempt) +
         " task " + std::to_string(key.task);
}

}  // namespace

AgentHost::AgentHost(AgentSettings settings)
    : settings_(std::move(settings)),
      self_{.name = settings_.worker, .incarnation = NewIncarnation()} {
  loop_.RunSync([this] {
    PeerHub::Callbacks events{
        .on_connected =
            [this](const ProcessId& peer, bool is_entry) {
              if (is_entry) {
                Step(EntryConnected{.entry = peer.name});
              }
            },
        .on_disconnected =
            [this](const std::string& peer) {
              Step(EntryDisconnected{.entry = peer});
            },
        .on_message =
            [this](const std::string& peer, Message m) {
              metrics_.Add(Counter::kMessagesIn);
              if (const EntryHeartbeat* heartbeat =
                      std::get_if<EntryHeartbeat>(&m)) {
                OnEntryHeartbeat(*heartbeat);
              }
              Step(EntryMessage{.entry = peer, .message = std::move(m)});
            },
        .on_log_line = [](const std::string& line) { LogInfo("", line); }};
    hub_ =
        std::make_unique<PeerHub>(loop_.io(), PeerHub::Options{.self = self_},
                                  std::move(events), metrics_);
    core_ = std::make_unique<AgentCore>(
        AgentOptions{.id = self_,
                     .data_centre = settings_.data_centre,
                     .cores = settings_.cores,
                     .memory_mb = settings_.memory_mb,
                     .accelerators = settings_.accelerators,
                     .slots = settings_.slots});
    for (const std::string& entry : settings_.entry_addresses) {
      hub_->Dial(entry);
    }
    tick_loop_ = TickLoop().eagerlyEvaluate(
        [](kj::Exception&& e) { LogWarning("", e.getDescription().cStr()); });
  });
  command_thread_ = std::thread([this] { CommandLoop(); });
  list_thread_ = std::thread([this] { ListLoop(); });
  constexpr std::int32_t kThreads = 4;
  http_ = std::make_unique<HttpServer>(
      HttpServer::Options{.address = settings_.http_address,
                          .threads = kThreads},
      [this](const HttpRequest& r) { return HandleRequest(r); });
}

AgentHost::~AgentHost() {
  http_->Stop();
  is_stopping_ = true;
  work_ready_.notify_all();
  command_thread_.join();
  list_thread_.join();
  loop_.Stop([this] {
    tick_loop_ = nullptr;
    hub_.reset();
    core_.reset();
  });
}

bool AgentHost::ShutDown() {
  loop_.RunSync([this] { Step(WorkerLeaving{.leaving = true}); });
  const Time deadline = settings_.shutdown_timeout == Duration{0}
                            ? kNever
                            : Now() + settings_.shutdown_timeout;
  constexpr std::chrono::milliseconds kPollInterval{50};
  // 1 s, so that the entries receive the report that the worker is draining
  // before the agent closes its connections.
  constexpr int kIdlePollsBeforeExit = 20;
  int idle_polls = 0;
  while (idle_polls < kIdlePollsBeforeExit && Now() < deadline) {
    std::this_thread::sleep_for(kPollInterval);
    idle_polls =
        loop_.RunSync([this] { return core_->IsIdle(); }) ? idle_polls + 1 : 0;
  }
  return idle_polls == kIdlePollsBeforeExit;
}

Time AgentHost::Now() const {
  return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now() -
                                          start_time_);
}

void AgentHost::Step(const AgentInput& input) {
  for (AgentOutput& output : core_->Step(Now(), input)) {
    HandleOutput(std::move(output));
  }
  metrics_.Set(Gauge::kRunningJobs,
               static_cast<std::int64_t>(core_->active_tasks()));
  metrics_.Set(Gauge::kConfigVersion, core_->config_version());
}

void AgentHost::HandleOutput(AgentOutput output) {
  if (const SendToEntry* send = std::get_if<SendToEntry>(&output)) {
    if (send->entry.empty()) {
      hub_->SendToEntries(send->message);
    } else {
      hub_->Send(send->entry, send->message);
    }
    return;
  }
  if (const StartTask* start = std::get_if<StartTask>(&output)) {
    LogInfo(ParseTraceparent(start->traceparent, start->key.job).trace_id,
            "starting " + Describe(start->key));
    tracked_tasks_[start->key] = {.started_at = Now(),
                                  .traceparent = start->traceparent};
    metrics_.Add(Counter::kTasksStarted);
  }
  if (const StopTask* stop = std::get_if<StopTask>(&output)) {
    LogInfo(stop->key.job, "stopping " + Describe(stop->key));
    metrics_.Add(Counter::kTasksStopped);
  }
  if (const RemoveTask* remove = std::get_if<RemoveTask>(&output)) {
    tracked_tasks_.erase(remove->key);
  }
  const std::lock_guard lock(work_mutex_);
  command_queue_.push_back(std::move(output));
  work_ready_.notify_all();
}

void AgentHost::OnEntryHeartbeat(const EntryHeartbeat& heartbeat) {
  if (heartbeat.entry_addresses.empty()) {
    return;
  }
  std::set<std::string> addresses(settings_.entry_addresses.begin(),
                                  settings_.entry_addresses.end());
  addresses.insert(heartbeat.entry_addresses.begin(),
                   heartbeat.entry_addresses.end());
  hub_->StopDiallingExcept(addresses);
  for (const std::string& address : heartbeat.entry_addresses) {
    hub_->Dial(address);
  }
}

kj::Promise<void> AgentHost::TickLoop() {
  return loop_.io()
      .provider->getTimer()
      .afterDelay(kTickInterval.count() * kj::MILLISECONDS)
      .then([this] {
        Step(Tick{});
        return TickLoop();
      });
}

std::unique_ptr<WorkerService> AgentHost::MakeWorkerService() const {
  const HostPort address = SplitAddress(settings_.endpoint_address);
  return std::make_unique<HttpWorkerService>(
      HttpWorkerService::Options{.host = address.host, .port = address.port});
}

void AgentHost::Execute(WorkerService& worker, const AgentOutput& command) {
  if (const StartTask* start = std::get_if<StartTask>(&command)) {
    const WorkerService::StartReply reply =
        worker.Start(*start, settings_.lease);
    const bool refused = reply.outcome == WorkerService::StartOutcome::kRefused;
    loop_.RunSync([&] {
      if (refused) {
        metrics_.Add(Counter::kTasksRefused);
        tracked_tasks_.erase(start->key);
      }
      // A start without a response may have taken effect. It counts as
      // accepted; the listings show whether the task exists.
      Step(StartResult{
          .key = start->key, .accepted = !refused, .reason = reply.reason});
    });
    return;
  }
  if (const StopTask* stop = std::get_if<StopTask>(&command)) {
    worker.Stop(*stop);
  } else if (const RenewLeases* renew = std::get_if<RenewLeases>(&command)) {
    worker.Renew(renew->keys, settings_.lease);
  } else if (const RemoveTask* remove = std::get_if<RemoveTask>(&command)) {
    worker.Remove(remove->key);
  }
}

void AgentHost::CommandLoop() {
  const std::unique_ptr<WorkerService> worker = MakeWorkerService();
  while (true) {
    std::optional<AgentOutput> command;
    {
      std::unique_lock lock(work_mutex_);
      work_ready_.wait(lock,
                       [&] { return is_stopping_ || !command_queue_.empty(); });
      if (is_stopping_) {
        return;
      }
      command = std::move(command_queue_.front());
      command_queue_.pop_front();
    }
    Execute(*worker, *command);
  }
}

void AgentHost::ListLoop() {
  const std::unique_ptr<WorkerService> worker = MakeWorkerService();
  std::int64_t known_version = -1;
  while (!is_stopping_) {
    const Result<WorkerService::Listing> result =
        worker->List(known_version, kMaxListWait);
    if (const auto* listing = std::get_if<WorkerService::Listing>(&result)) {
      known_version = listing->version;
      loop_.RunSync([&] { OnListing(*listing); });
      continue;
    }
    loop_.RunSync([this] { OnListFailed(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(kListRetryDelay));
  }
}

void AgentHost::SendSpan(const TaskKey& key,
                         const TrackedTask& task,
                         const std::string& end_state) {
  const TraceContext context = ParseTraceparent(task.traceparent, key.job);
  const std::string attempt = std::to_string(key.attempt);
  const auto wall_time = std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch());
  const Span span{
      .trace_id = context.trace_id,
      .span_id =
          SpanIdFor(context.trace_id, key.job + "/task/" + attempt + "/" +
                                          std::to_string(key.task)),
      .parent_id =
          SpanIdFor(context.trace_id, key.job + "/gang.start/" + attempt),
      .name = "agent.task/" + std::to_string(key.task),
      .process = settings_.worker,
      .start_ms = (wall_time - (Now() - task.started_at)).count(),
      .end_ms = wall_time.count(),
      .attributes = {
          {"job", key.job}, {"attempt", attempt}, {"end", end_state}}};
  LogInfo(span.trace_id, "span " + ToJsonLine(span));
  hub_->SendToEntries(SpanBatch{.spans = {ToJsonLine(span)}});
}

void AgentHost::OnListing(const WorkerService::Listing& listing) {
  last_listing_at_ = Now();
  if (!has_listing_) {
    has_listing_ = true;
    for (const FoundTask& t : listing.tasks) {
      tracked_tasks_[t.key] = {.has_ended = IsTerminalTaskState(t.state),
                               .started_at = Now()};
    }
    Step(WorkerTasksListed{.tasks = listing.tasks});
  }
  if (listing.leaving) {
    Step(WorkerLeaving{.leaving = true});
  }
  std::set<TaskKey> listed_keys;
  for (const FoundTask& t : listing.tasks) {
    listed_keys.insert(t.key);
    const auto it = tracked_tasks_.find(t.key);
    if (it == tracked_tasks_.end()) {
      continue;
    }
    it->second.missed_listings = 0;
    if (IsTerminalTaskState(t.state) && !it->second.has_ended) {
      it->second.has_ended = true;
      SendSpan(t.key, it->second, ToString(t.state));
      if (t.state == TaskState::kLapsed) {
        metrics_.Add(Counter::kLeaseLapses);
      }
      Step(TaskEnded{.key = t.key,
                     .state = t.state,
                     .answer = t.answer,
                     .reason = t.reason});
    }
  }
  std::vector<TaskKey> lost_tasks;
  for (auto& [key, task] : tracked_tasks_) {
    if (!task.has_ended && !listed_keys.contains(key) &&
        Now() - task.started_at > settings_.lease / 2 &&
        ++task.missed_listings >= kMissedListingsUntilLost) {
      task.has_ended = true;
      lost_tasks.push_back(key);
    }
  }
  for (const TaskKey& key : lost_tasks) {
    metrics_.Add(Counter::kLeaseLapses);
    Step(TaskEnded{.key = key,
                   .state = TaskState::kLapsed,
                   .reason = "the worker no longer has the task"});
  }
}

void AgentHost::OnListFailed() {
  if (!has_listing_ ||
      Now() - last_listing_at_ < settings_.lease * kWorkerTimeoutLeases) {
    return;
  }
  std::vector<TaskKey> lost_tasks;
  for (auto& [key, task] : tracked_tasks_) {
    if (!task.has_ended) {
      task.has_ended = true;
      lost_tasks.push_back(key);
    }
  }
  for (const TaskKey& key : lost_tasks) {
    metrics_.Add(Counter::kLeaseLapses);
    Step(TaskEnded{.key = key,
                   .state = TaskState::kLapsed,
                   .reason = "the worker has not answered for two leases"});
  }
}

HttpResponse AgentHost::HandleRequest(const HttpRequest& request) {
  if (request.path == "/metrics") {
    return {.body = metrics_.Render(settings_.worker),
            .content_type = "text/plain; version=0.0.4"};
  }
  if (request.path == "/healthz") {
    return {.body = R"({"alive":true})"};
  }
  if (request.path == "/debug/state") {
    return loop_.RunSync([this] {
      std::string tasks;
      for (const auto& [key, task] : tracked_tasks_) {
        tasks += (tasks.empty() ? "\"" : ",\"") + Describe(key) +
                 (task.has_ended ? " over\"" : " live\"");
      }
      return HttpResponse{.body = "{\"agent\":\"" + ToString(self_) +
                                  "\",\"config_version\":" +
                                  std::to_string(core_->config_version()) +
                                  ",\"tasks\":[" + tasks + "]}"};
    });
  }
  constexpr int kNotFound = 404;
  return {.status = kNotFound,
          .body = R"({"error":{"code":"not_found","message":"no such path"}})"};
}

}  // namespace marjoramplank
