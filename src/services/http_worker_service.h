#pragma once

#include <memory>
#include <string>

#include "src/codec/object_reader.h"
#include "src/net/http_connection.h"
#include "src/services/worker_service.h"

namespace marjoramplank {

// Client of a worker's endpoint over HTTP/JSON:
//   POST /v1/tasks  {task fields, "lease_ms"}
//     -> 201; 409, 429 or 503 with {"reason"} if refused
//   POST /v1/tasks/stop  {"job", "attempt", "task", "checkpoint", "bound_ms"}
//   POST /v1/tasks/renew  {"tasks": [{"job", "attempt", "task"}], "lease_ms"}
//   POST /v1/tasks/remove  {"job", "attempt", "task"}
//   GET /v1/tasks?known=N&wait_ms=N
//     -> {"version", "leaving",
//         "tasks": [{task fields, "state", "answer", "reason"}]}
// Not thread-safe.
class HttpWorkerService final : public WorkerService {
 public:
  struct Options {
    std::string host;  // IP address.
    std::uint16_t port = 0;
    Duration timeout = 2s;  // Of a call, in addition to the `wait` of List().
  };

  explicit HttpWorkerService(Options options);
  ~HttpWorkerService() override;

  StartReply Start(const StartTask& task, Duration lease) override;
  bool Stop(const StopTask& task) override;
  bool Renew(const std::vector<TaskKey>& keys, Duration lease) override;
  bool Remove(const TaskKey& key) override;
  Result<Listing> List(std::int64_t known_version, Duration wait) override;

 private:
  HttpResult Call(const std::string& method,
                  const std::string& path,
                  const std::string& body,
                  Duration timeout);

  Options options_;
  HttpConnection connection_;
};

}  // namespace marjoramplank
