// Stand-in for a worker's endpoint. It simulates tasks by wall-clock time,
// enforces leases and the limits of the worker, and injects faults. The payload
// of a task sets how it behaves, for example
// "run_ms=500;answer=TEXT;fail;checkpoint_ms=100". Beside the interface of an
// endpoint it serves
//   POST /control {"fail_all", "refuse_all", "silent", "leaving"}
//   GET /history   task events with wall-clock times

#include <algorithm>
#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "src/codec/object_reader.h"
#include "src/daemon/daemon_main.h"
#include "src/daemon/http_server.h"
#include "src/daemon/settings.h"

namespace marjoramplank {
namespace {

using Clock = std::chrono::system_clock;
using Need = ObjectReader::Need;
using Poco::JSON::Object;

struct TaskId {
  std::string job;
  std::int32_t attempt = 0;
  std::int32_t task = 0;
  auto operator<=>(const TaskId&) const = default;
};

struct Task {
  Object::Ptr start_request;  // Body of the start request.
  std::string state = "running";
  std::string answer;
  std::string reason;
  Clock::time_point ends_at;
  Clock::time_point lease_expires_at;
  Clock::time_point stop_at = Clock::time_point::max();  // max(): no stop.
  std::string state_once_stopped;  // State from stop_at on.
  Duration checkpoint_duration{50};
  bool will_fail = false;
  bool IsRunning() const { return state == "running"; }
};

std::map<std::string, std::string> ParsePayload(const std::string& text) {
  std::map<std::string, std::string> out;
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t end = std::min(text.find(';', at), text.size());
    const std::string part = text.substr(at, end - at);
    const std::size_t eq = part.find('=');
    out[part.substr(0, eq)] =
        eq == std::string::npos ? "" : part.substr(eq + 1);
    at = end + 1;
  }
  return out;
}

Duration DurationOr(const std::map<std::string, std::string>& m,
                    const char* key,
                    std::int64_t fallback) {
  const auto it = m.find(key);
  return Duration{it == m.end() ? fallback : std::atoll(it->second.c_str())};
}

class FakeWorker {
 public:
  FakeWorker(std::string name,
             std::int32_t max_running_tasks,
             std::int32_t accelerator_count)
      : name_(std::move(name)),
        max_running_tasks_(max_running_tasks),
        accelerator_count_(accelerator_count) {}

  HttpResponse Handle(const HttpRequest& request) {
    if (request.path == "/history") {
      return HandleHistory();
    }
    if (request.path == "/control") {
      return HandleControl(request);
    }
    while (IsSilent()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    if (request.method == "GET") {
      return HandleList(request);
    }
    std::vector<FieldError> errors;
    const auto parsed = ParseObject(request.body);
    if (!IsOk(parsed)) {
      return {.status = 400};
    }
    const Object::Ptr body = std::get<Object::Ptr>(parsed);
    ObjectReader reader(body, "", errors);
    const std::lock_guard lock(mutex_);
    UpdateTaskStates();
    if (request.path == "/v1/tasks") {
      return HandleStart(body, reader);
    }
    if (request.path == "/v1/tasks/renew") {
      return HandleRenew(reader);
    }
    const TaskId id = ReadTaskId(reader);
    const auto it = tasks_.find(id);
    if (request.path == "/v1/tasks/remove") {
      ++list_version_;
      tasks_.erase(id);
      return {};
    }
    if (request.path == "/v1/tasks/stop" && it != tasks_.end() &&
        it->second.IsRunning()) {
      StopTask(it->second, reader);
    }
    return {};
  }

 private:
  static TaskId ReadTaskId(ObjectReader& r) {
    TaskId id;
    r.Read("job", id.job, Need::kRequired);
    r.Read("attempt", id.attempt, Need::kRequired);
    r.Read("task", id.task, Need::kRequired);
    return id;
  }

  bool IsSilent() {
    const std::lock_guard lock(mutex_);
    return is_silent_;
  }

  HttpResponse HandleControl(const HttpRequest& request) {
    std::vector<FieldError> errors;
    const auto parsed = ParseObject(request.body);
    if (!IsOk(parsed)) {
      return {.status = 400};
    }
    const std::lock_guard lock(mutex_);
    ObjectReader reader(std::get<Object::Ptr>(parsed), "", errors);
    reader.Read("fail_all", fails_all_tasks_);
    reader.Read("refuse_all", refuses_all_starts_);
    reader.Read("silent", is_silent_);
    reader.Read("leaving", is_leaving_);
    reader.ReportUnknownKeys();
    ++list_version_;
    return {.status = errors.empty() ? 200 : 400};
  }

  // Moves each running task to its final state once it has finished, stopped or
  // lost its lease, whichever came first.
  void UpdateTaskStates() {
    const Clock::time_point now = Clock::now();
    for (auto& [id, t] : tasks_) {
      if (!t.IsRunning()) {
        continue;
      }
      if (now >= t.lease_expires_at && t.lease_expires_at < t.ends_at &&
          t.lease_expires_at < t.stop_at) {
        FinishTask(id, t, "lapsed", "the lease lapsed");
      } else if (now >= t.stop_at && t.stop_at < t.ends_at) {
        FinishTask(id, t, t.state_once_stopped, "stopped on request");
      } else if (now >= t.ends_at) {
        FinishTask(id, t, t.will_fail ? "failed" : "succeeded",
                   t.will_fail ? "the task failed" : "");
      }
    }
  }

  void FinishTask(const TaskId& id,
                  Task& t,
                  const std::string& state,
                  const std::string& reason) {
    t.state = state;
    t.reason = reason;
    ++list_version_;
    RecordEvent(state, id);
  }

  void RecordEvent(const std::string& event, const TaskId& id) {
    Object::Ptr o = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    o->set("at_ms",
           std::chrono::duration_cast<Duration>(Clock::now().time_since_epoch())
               .count());
    o->set("worker", name_);
    o->set("event", event);
    o->set("job", id.job);
    o->set("attempt", id.attempt);
    o->set("task", id.task);
    history_.push_back(ToText(o));
  }

  HttpResponse HandleStart(const Object::Ptr& body, ObjectReader& reader) {
    const TaskId id = ReadTaskId(reader);
    std::string payload;
    Duration lease{10'000};
    std::int64_t mask = 0;
    reader.Read("payload", payload);
    reader.Read("lease_ms", lease);
    reader.Read("mask", mask);
    if (tasks_.contains(id)) {
      return {.status = 201};
    }
    std::int32_t running_count = 0;
    bool mask_unavailable = (mask >> accelerator_count_) != 0;
    for (const auto& [other, t] : tasks_) {
      if (t.IsRunning()) {
        ++running_count;
        mask_unavailable =
            mask_unavailable ||
            (t.start_request->getValue<std::int64_t>("mask") & mask) != 0;
      }
    }
    if (refuses_all_starts_ || running_count >= max_running_tasks_ ||
        mask_unavailable) {
      RecordEvent("refused", id);
      return {.status = 409,
              .body = R"({"reason":"the endpoint's limits are reached"})"};
    }
    const auto directives = ParsePayload(payload);
    Task t{.start_request = body};
    t.ends_at = Clock::now() + DurationOr(directives, "run_ms", 100);
    t.lease_expires_at = Clock::now() + lease;
    t.checkpoint_duration = DurationOr(directives, "checkpoint_ms", 50);
    t.will_fail = fails_all_tasks_ || directives.contains("fail");
    t.answer =
        (directives.contains("answer") ? directives.at("answer") : "ok") + ":" +
        id.job + ":" + std::to_string(id.task);
    tasks_[id] = t;
    ++list_version_;
    RecordEvent("started", id);
    return {.status = 201};
  }

  HttpResponse HandleRenew(ObjectReader& reader) {
    Duration lease{10'000};
    reader.Read("lease_ms", lease);
    reader.ReadObjects("tasks", [&](ObjectReader& r) {
      const auto it = tasks_.find(ReadTaskId(r));
      if (it != tasks_.end() && it->second.IsRunning()) {
        it->second.lease_expires_at = Clock::now() + lease;
      }
    });
    return {};
  }

  void StopTask(Task& t, ObjectReader& reader) {
    bool wants_checkpoint = false;
    Duration checkpoint_limit{0};
    reader.Read("checkpoint", wants_checkpoint);
    reader.Read("bound_ms", checkpoint_limit);
    const bool checkpoint_fits =
        wants_checkpoint && t.checkpoint_duration <= checkpoint_limit;
    t.state_once_stopped = checkpoint_fits ? "checkpointed" : "stopped";
    t.stop_at = std::min(t.stop_at,
                         Clock::now() + (checkpoint_fits ? t.checkpoint_duration
                                         : wants_checkpoint ? checkpoint_limit
                                                            : Duration{0}));
  }

  HttpResponse HandleList(const HttpRequest& request) {
    const auto query_number = [&](const char* key) {
      const auto it = request.query.find(key);
      return it == request.query.end() ? 0 : std::stoll(it->second);
    };
    const auto deadline = Clock::now() + Duration{query_number("wait_ms")};
    std::unique_lock lock(mutex_);
    UpdateTaskStates();
    while (list_version_ == query_number("known") && Clock::now() < deadline) {
      lock.unlock();
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      lock.lock();
      UpdateTaskStates();
    }
    Poco::JSON::Array::Ptr tasks = new Poco::JSON::Array;
    for (const auto& [id, t] : tasks_) {
      Object::Ptr o = new Object;
      for (const char* field : {"job", "attempt", "task", "gang_tasks", "mask",
                                "cores", "memory_mb", "accelerators"}) {
        o->set(field, t.start_request->get(field));
      }
      o->set("state", t.state);
      o->set("answer", t.state == "succeeded" ? t.answer : std::string{});
      o->set("reason", t.reason);
      tasks->add(o);
    }
    Object::Ptr body = new Object;
    body->set("version", list_version_);
    body->set("leaving", is_leaving_);
    body->set("tasks", tasks);
    return {.body = ToText(body)};
  }

  HttpResponse HandleHistory() {
    const std::lock_guard lock(mutex_);
    UpdateTaskStates();
    std::string out = "[";
    for (const std::string& line : history_) {
      out += (out.size() > 1 ? "," : "") + line;
    }
    return {.body = out + "]"};
  }

  std::string name_;
  std::int32_t max_running_tasks_;
  std::int32_t accelerator_count_;
  std::mutex mutex_;
  std::map<TaskId, Task> tasks_;
  std::vector<std::string> history_;
  std::int64_t list_version_ = 0;
  bool fails_all_tasks_ = false;
  bool refuses_all_starts_ = false;
  bool is_silent_ = false;
  bool is_leaving_ = false;
};

}  // namespace
}  // namespace marjoramplank

int main(int argc, char** argv) {
  using namespace marjoramplank;
  if (argc != 5) {
    std::cerr << "usage: fake-worker NAME IP:port SLOTS ACCELERATORS\n";
    return 2;
  }
  BlockStopSignals();
  FakeWorker worker(argv[1], std::atoi(argv[3]), std::atoi(argv[4]));
  constexpr std::int32_t kThreads = 16;
  HttpServer server({.address = argv[2], .threads = kThreads},
                    [&](const HttpRequest& r) { return worker.Handle(r); });
  std::cout << "http " << server.address() << std::endl;
  AwaitStopSignal();
  return 0;
}
