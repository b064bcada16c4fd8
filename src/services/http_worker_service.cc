#include "src/services/http_worker_service.h"

#include <Poco/Net/HTTPResponse.h>

namespace marjoramplank {

namespace {

using Need = ObjectReader::Need;
using Poco::JSON::Object;
using Poco::Net::HTTPResponse;

Object::Ptr KeyToJson(const TaskKey& key) {
  Object::Ptr out = new Object;
  out->set("job", key.job);
  out->set("attempt", key.attempt);
  out->set("task", key.task);
  return out;
}

TaskState TaskStateFromName(const std::string& name) {
  for (const TaskState s :
       {TaskState::kRunning, TaskState::kSucceeded, TaskState::kFailed,
        TaskState::kCheckpointed, TaskState::kStopped}) {
    if (name == ToString(s)) {
      return s;
    }
  }
  return TaskState::kLapsed;
}

FoundTask ReadTask(ObjectReader& r) {
  FoundTask t;
  std::int64_t mask = 0;
  std::string state;
  r.Read("job", t.key.job, Need::kRequired);
  r.Read("attempt", t.key.attempt, Need::kRequired);
  r.Read("task", t.key.task, Need::kRequired);
  r.Read("gang_tasks", t.gang_tasks);
  r.Read("mask", mask);
  r.Read("cores", t.shape.cores);
  r.Read("memory_mb", t.shape.memory_mb);
  r.Read("accelerators", t.shape.accelerators);
  r.Read("state", state, Need::kRequired);
  r.Read("answer", t.answer);
  r.Read("reason", t.reason);
  t.accelerator_mask = static_cast<std::uint32_t>(mask);
  t.state = TaskStateFromName(state);
  return t;
}

std::string RefusalReason(const std::string& body) {
  const Result<Object::Ptr> parsed = ParseObject(body);
  if (const Object::Ptr* o = std::get_if<Object::Ptr>(&parsed)) {
    return (*o)->optValue<std::string>("reason", "refused");
  }
  return "refused";
}

}  // namespace

HttpWorkerService::HttpWorkerService(Options options)
    : options_(std::move(options)),
      connection_(options_.host + ":" + std::to_string(options_.port)) {}
HttpWorkerService::~HttpWorkerService() = default;

HttpResult HttpWorkerService::Call(const std::string& method,
                                   const std::string& path,
                                   const std::string& body,
                                   Duration timeout) {
  return connection_.Send(
      {.method = method, .target = path, .body = body, .limit = timeout});
}

WorkerService::StartReply HttpWorkerService::Start(const StartTask& task,
                                                   Duration lease) {
  Object::Ptr body = KeyToJson(task.key);
  body->set("gang_tasks", task.gang_tasks);
  body->set("mask", static_cast<std::int64_t>(task.accelerator_mask));
  body->set("cores", task.shape.cores);
  body->set("memory_mb", task.shape.memory_mb);
  body->set("accelerators", task.shape.accelerators);
  body->set("payload", task.payload);
  body->set("traceparent", task.traceparent);
  body->set("lease_ms", lease.count());
  const HttpResult answer =
      Call("POST", "/v1/tasks", ToText(body), options_.timeout);
  switch (answer.status) {
    case HTTPResponse::HTTP_CREATED:
      return {.outcome = StartOutcome::kStarted};
    case HTTPResponse::HTTP_CONFLICT:
    case HTTPResponse::HTTP_TOO_MANY_REQUESTS:
    case HTTPResponse::HTTP_SERVICE_UNAVAILABLE:
      return {.outcome = StartOutcome::kRefused,
              .reason = RefusalReason(answer.body)};
    default:
      return {.outcome = answer.was_not_sent() ? StartOutcome::kRefused
                                               : StartOutcome::kUnknown,
              .reason = "the worker cannot be reached"};
  }
}

bool HttpWorkerService::Stop(const StopTask& task) {
  Object::Ptr body = KeyToJson(task.key);
  body->set("checkpoint", task.checkpoint);
  body->set("bound_ms", task.bound.count());
  return Call("POST", "/v1/tasks/stop", ToText(body), options_.timeout)
             .status == HTTPResponse::HTTP_OK;
}

bool HttpWorkerService::Renew(const std::vector<TaskKey>& keys,
                              Duration lease) {
  Poco::JSON::Array::Ptr tasks = new Poco::JSON::Array;
  for (const TaskKey& key : keys) {
    tasks->add(KeyToJson(key));
  }
  Object::Ptr body = new Object;
  body->set("tasks", tasks);
  body->set("lease_ms", lease.count());
  return Call("POST", "/v1/tasks/renew", ToText(body), options_.timeout)
             .status == HTTPResponse::HTTP_OK;
}

bool HttpWorkerService::Remove(const TaskKey& key) {
  return Call("POST", "/v1/tasks/remove", ToText(KeyToJson(key)),
              options_.timeout)
             .status == HTTPResponse::HTTP_OK;
}

Result<WorkerService::Listing> HttpWorkerService::List(
    std::int64_t known_version,
    Duration wait) {
  const std::string path = "/v1/tasks?known=" + std::to_string(known_version) +
                           "&wait_ms=" + std::to_string(wait.count());
  const HttpResult answer = Call("GET", path, "", options_.timeout + wait);
  const Error unavailable{
      .code = ErrorCode::kUnavailable,
      .step = "worker.list",
      .peer = options_.host + ":" + std::to_string(options_.port)};
  const Result<Object::Ptr> parsed = answer.status == HTTPResponse::HTTP_OK
                                         ? ParseObject(answer.body)
                                         : Result<Object::Ptr>{unavailable};
  if (const Error* e = std::get_if<Error>(&parsed)) {
    return *e;
  }
  Listing out;
  std::vector<FieldError> errors;
  ObjectReader reader(std::get<Object::Ptr>(parsed), "", errors);
  reader.Read("version", out.version, Need::kRequired);
  reader.Read("leaving", out.leaving);
  reader.ReadObjects(
      "tasks", [&](ObjectReader& r) { out.tasks.push_back(ReadTask(r)); },
      Need::kRequired);
  if (!errors.empty()) {
    return Error{.code = ErrorCode::kInternal,
                 .step = "worker.list",
                 .peer = unavailable.peer,
                 .message = FormatFieldErrors(errors)};
  }
  return out;
}

}  // namespace marjoramplank
