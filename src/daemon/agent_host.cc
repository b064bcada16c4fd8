#include "src/daemon/agent_host.h"

#include <random>
#include <utility>

#include "src/daemon/logging.h"
#include "src/services/http_worker_service.h"

namespace marjoramplank {

namespace {

constexpr Duration kTick = 50ms;
constexpr Duration kListWait = 500ms;   // Longest wait of a listing.
constexpr Duration kListPause = 100ms;  // After a listing that failed.
constexpr std::int64_t kMissingListings =
    2;  // Listings without a task before it counts as lost.
constexpr std::int64_t kSilentLeases =
    2;  // Leases without an answer of the worker before its tasks count as
        // lapsed.

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
    PeerHub::Events events{
        .found =
            [this](const ProcessId& peer, bool is_entry) {
              if (is_entry) {
                Step(EntryFound{.entry = peer.name});
              }
            },
        .lost =
            [this](const std::string& peer) { Step(EntryLost{.entry = peer}); },
        .message =
            [this](const std::string& peer, Message m) {
              metrics_.Add(Counter::kMessagesIn);
              if (const EntryBeat* beat = std::get_if<EntryBeat>(&m)) {
                OnBeat(*beat);
              }
              Step(EntryMessage{.entry = peer, .message = std::move(m)});
            },
        .log = [](const std::string& line) { LogInfo("", line); }};
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
    for (const std::string& entry : settings_.entries) {
      hub_->Dial(entry);
    }
    ticking_ = TickLoop().eagerlyEvaluate(
        [](kj::Exception&& e) { LogWarning("", e.getDescription().cStr()); });
  });
  command_thread_ = std::thread([this] { CommandLoop(); });
  list_thread_ = std::thread([this] { ListLoop(); });
  constexpr std::int32_t kThreads = 4;
  http_ = std::make_unique<HttpServer>(
      HttpServer::Options{.address = settings_.http, .threads = kThreads},
      [this](const HttpRequest& r) { return Handle(r); });
}

AgentHost::~AgentHost() {
  http_->Stop();
  stopping_ = true;
  work_ready_.notify_all();
  command_thread_.join();
  list_thread_.join();
  loop_.Stop([this] {
    ticking_ = nullptr;
    hub_.reset();
    core_.reset();
  });
}

bool AgentHost::ShutDown() {
  loop_.RunSync([this] { Step(WorkerLeaving{.leaving = true}); });
  const Time give_up = settings_.shutdown_timeout == Duration{0}
                           ? kNever
                           : Now() + settings_.shutdown_timeout;
  constexpr std::chrono::milliseconds kPoll{50};
  constexpr int kQuietPolls =
      20;  // The entries hear that the endpoint leaves before it is gone.
  int quiet = 0;
  while (quiet < kQuietPolls && Now() < give_up) {
    std::this_thread::sleep_for(kPoll);
    quiet = loop_.RunSync([this] { return core_->IsIdle(); }) ? quiet + 1 : 0;
  }
  return quiet == kQuietPolls;
}

Time AgentHost::Now() const {
  return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now() -
                                          started_);
}

void AgentHost::Step(const AgentInput& input) {
  for (AgentOutput& output : core_->Step(Now(), input)) {
    CarryOut(std::move(output));
  }
  metrics_.Set(Gauge::kRunningJobs,
               static_cast<std::int64_t>(core_->running()));
  metrics_.Set(Gauge::kConfigVersion, core_->config_version());
}

void AgentHost::CarryOut(AgentOutput output) {
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
    watched_[start->key] = {.started = Now(),
                            .traceparent = start->traceparent};
    metrics_.Add(Counter::kTasksStarted);
  }
  if (const StopTask* stop = std::get_if<StopTask>(&output)) {
    LogInfo(stop->key.job, "stopping " + Describe(stop->key));
    metrics_.Add(Counter::kTasksStopped);
  }
  if (const RemoveTask* remove = std::get_if<RemoveTask>(&output)) {
    watched_.erase(remove->key);
  }
  const std::lock_guard lock(work_mutex_);
  commands_.push_back(std::move(output));
  work_ready_.notify_all();
}

void AgentHost::OnBeat(const EntryBeat& beat) {
  if (beat.entries.empty()) {
    return;
  }
  std::set<std::string> wanted(settings_.entries.begin(),
                               settings_.entries.end());
  wanted.insert(beat.entries.begin(), beat.entries.end());
  hub_->KeepOnly(wanted);
  for (const std::string& address : beat.entries) {
    hub_->Dial(address);
  }
}

kj::Promise<void> AgentHost::TickLoop() {
  return loop_.io()
      .provider->getTimer()
      .afterDelay(kTick.count() * kj::MILLISECONDS)
      .then([this] {
        Step(Tick{});
        return TickLoop();
      });
}

std::unique_ptr<WorkerService> AgentHost::NewWorkerService() const {
  const HostPort at = SplitAddress(settings_.endpoint);
  return std::make_unique<HttpWorkerService>(
      HttpWorkerService::Options{.host = at.host, .port = at.port});
}

void AgentHost::Execute(WorkerService& worker, const AgentOutput& command) {
  if (const StartTask* start = std::get_if<StartTask>(&command)) {
    const WorkerService::StartReply reply =
        worker.Start(*start, settings_.lease);
    const bool refused = reply.outcome == WorkerService::StartOutcome::kRefused;
    loop_.RunSync([&] {
      if (refused) {
        metrics_.Add(Counter::kTasksRefused);
        watched_.erase(start->key);
      }
      // An unanswered start may have taken effect: the listings tell.
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
  const std::unique_ptr<WorkerService> worker = NewWorkerService();
  while (true) {
    std::optional<AgentOutput> command;
    {
      std::unique_lock lock(work_mutex_);
      work_ready_.wait(lock, [&] { return stopping_ || !commands_.empty(); });
      if (stopping_) {
        return;
      }
      command = std::move(commands_.front());
      commands_.pop_front();
    }
    Execute(*worker, *command);
  }
}

void AgentHost::ListLoop() {
  const std::unique_ptr<WorkerService> worker = NewWorkerService();
  std::int64_t known = -1;
  while (!stopping_) {
    const Result<WorkerService::Listing> result =
        worker->List(known, kListWait);
    if (const auto* listing = std::get_if<WorkerService::Listing>(&result)) {
      known = listing->version;
      loop_.RunSync([&] { OnListing(*listing); });
      continue;
    }
    loop_.RunSync([this] { OnWorkerSilent(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(kListPause));
  }
}

void AgentHost::SendSpan(const TaskKey& key,
                         const WatchedTask& task,
                         const std::string& end) {
  const TraceContext context = ParseTraceparent(task.traceparent, key.job);
  const std::string attempt = std::to_string(key.attempt);
  const auto wall = std::chrono::duration_cast<Duration>(
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
      .start_ms = (wall - (Now() - task.started)).count(),
      .end_ms = wall.count(),
      .attributes = {{"job", key.job}, {"attempt", attempt}, {"end", end}}};
  LogInfo(span.trace_id, "span " + ToJsonLine(span));
  hub_->SendToEntries(SpanBatch{.spans = {ToJsonLine(span)}});
}

void AgentHost::OnListing(const WorkerService::Listing& listing) {
  worker_heard_ = Now();
  if (!listed_) {
    listed_ = true;
    for (const FoundTask& t : listing.tasks) {
      watched_[t.key] = {.over = IsOver(t.state), .started = Now()};
    }
    Step(WorkerListed{.tasks = listing.tasks});
  }
  if (listing.leaving) {
    Step(WorkerLeaving{.leaving = true});
  }
  std::set<TaskKey> present;
  for (const FoundTask& t : listing.tasks) {
    present.insert(t.key);
    const auto it = watched_.find(t.key);
    if (it == watched_.end()) {
      continue;
    }
    it->second.missing = 0;
    if (IsOver(t.state) && !it->second.over) {
      it->second.over = true;
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
  std::vector<TaskKey> lost;
  for (auto& [key, task] : watched_) {
    if (!task.over && !present.contains(key) &&
        Now() - task.started > settings_.lease / 2 &&
        ++task.missing >= kMissingListings) {
      task.over = true;
      lost.push_back(key);
    }
  }
  for (const TaskKey& key : lost) {
    metrics_.Add(Counter::kLeaseLapses);
    Step(TaskEnded{.key = key,
                   .state = TaskState::kLapsed,
                   .reason = "the worker no longer has the task"});
  }
}

void AgentHost::OnWorkerSilent() {
  if (!listed_ || Now() - worker_heard_ < settings_.lease * kSilentLeases) {
    return;
  }
  std::vector<TaskKey> lost;
  for (auto& [key, task] : watched_) {
    if (!task.over) {
      task.over = true;
      lost.push_back(key);
    }
  }
  for (const TaskKey& key : lost) {
    metrics_.Add(Counter::kLeaseLapses);
    Step(TaskEnded{.key = key,
                   .state = TaskState::kLapsed,
                   .reason = "the worker has not answered for two leases"});
  }
}

HttpResponse AgentHost::Handle(const HttpRequest& request) {
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
      for (const auto& [key, task] : watched_) {
        tasks += (tasks.empty() ? "\"" : ",\"") + Describe(key) +
                 (task.over ? " over\"" : " live\"");
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
