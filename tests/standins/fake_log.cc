// Stand-in for the platform's append-only log service. It keeps the records in
// memory and injects faults, which are set by
//   POST /control {"down", "slow_ms", "lose_answers", "refuse_appends",
//                  "expire_before"}
// "expire_before" deletes the records before that offset; FaultSettings
// describes the others. All fields are optional.

#include <chrono>
#include <condition_variable>
#include <deque>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>

#include "src/codec/object_reader.h"
#include "src/daemon/daemon_main.h"
#include "src/daemon/http_server.h"
#include "src/daemon/settings.h"
#include "src/log/records.h"

namespace marjoramplank {
namespace {

using Poco::JSON::Object;

struct FaultSettings {
  // Every request fails with status 503.
  bool is_down = false;
  // Appends fail with status 503; reads succeed.
  bool refuse_appends = false;
  // Number of appends still to be stored and answered with status 500.
  std::int32_t responses_to_drop = 0;
  // Delay before each request is handled.
  Duration added_latency{0};
};

class FakeLog {
 public:
  HttpResponse Handle(const HttpRequest& request) {
    if (request.path == "/control") {
      return HandleControl(request);
    }
    FaultSettings faults;
    {
      const std::lock_guard lock(mutex_);
      faults = faults_;
    }
    std::this_thread::sleep_for(faults.added_latency);
    if (faults.is_down) {
      return {.status = 503, .body = R"({"error":"down"})"};
    }
    return request.method == "POST" ? HandleAppend(request)
                                    : HandleRead(request);
  }

 private:
  HttpResponse HandleControl(const HttpRequest& request) {
    std::vector<FieldError> errors;
    const auto parsed = ParseObject(request.body);
    if (!IsOk(parsed)) {
      return {.status = 400};
    }
    const std::lock_guard lock(mutex_);
    ObjectReader reader(std::get<Object::Ptr>(parsed), "", errors);
    Offset expire_before = -1;
    reader.Read("down", faults_.is_down);
    reader.Read("slow_ms", faults_.added_latency);
    reader.Read("lose_answers", faults_.responses_to_drop);
    reader.Read("refuse_appends", faults_.refuse_appends);
    reader.Read("expire_before", expire_before);
    reader.ReportUnknownKeys();
    while (first_offset_ < expire_before && !records_.empty()) {
      records_.pop_front();
      ++first_offset_;
    }
    return {.status = errors.empty() ? 200 : 400,
            .body = "{\"first\":" + std::to_string(first_offset_) +
                    ",\"end\":" +
                    std::to_string(first_offset_ + RecordCount()) + "}"};
  }

  HttpResponse HandleAppend(const HttpRequest& request) {
    std::vector<FieldError> errors;
    const auto parsed = ParseObject(request.body);
    if (!IsOk(parsed)) {
      return {.status = 400};
    }
    std::vector<std::string> new_records;
    ObjectReader reader(std::get<Object::Ptr>(parsed), "", errors);
    reader.Read("records", new_records, ObjectReader::Need::kRequired);
    const std::lock_guard lock(mutex_);
    if (faults_.refuse_appends) {
      return {.status = 503};
    }
    const Offset offset = first_offset_ + RecordCount();
    records_.insert(records_.end(), new_records.begin(), new_records.end());
    records_changed_.notify_all();
    if (faults_.responses_to_drop > 0) {
      --faults_.responses_to_drop;
      return {.status = 500};
    }
    return {.body = "{\"offset\":" + std::to_string(offset) + "}"};
  }

  static std::int64_t QueryNumber(const HttpRequest& request, const char* key) {
    const auto it = request.query.find(key);
    return it == request.query.end() ? 0 : std::stoll(it->second);
  }

  HttpResponse HandleRead(const HttpRequest& request) {
    const Offset from = QueryNumber(request, "from");
    const std::int64_t max = QueryNumber(request, "max");
    std::unique_lock lock(mutex_);
    records_changed_.wait_for(
        lock, Duration{QueryNumber(request, "wait_ms")}, [&] {
          return first_offset_ + RecordCount() > from || faults_.is_down;
        });
    if (faults_.is_down) {
      return {.status = 503};
    }
    Object::Ptr body = new Object;
    Poco::JSON::Array::Ptr records = new Poco::JSON::Array;
    for (Offset offset = std::max(from, first_offset_);
         offset < first_offset_ + RecordCount() && offset < from + max;
         ++offset) {
      Object::Ptr record = new Object;
      record->set("offset", offset);
      record->set("text",
                  records_[static_cast<std::size_t>(offset - first_offset_)]);
      records->add(record);
    }
    body->set("first", first_offset_);
    body->set("end", first_offset_ + RecordCount());
    body->set("records", records);
    lock.unlock();
    return {.body = ToText(body)};
  }

  Offset RecordCount() const { return static_cast<Offset>(records_.size()); }

  std::mutex mutex_;
  std::condition_variable records_changed_;
  std::deque<std::string> records_;
  Offset first_offset_ = 0;  // Offset of the oldest record kept.
  FaultSettings faults_;
};

}  // namespace
}  // namespace marjoramplank

int main(int argc, char** argv) {
  using namespace marjoramplank;
  if (argc != 2) {
    std::cerr << "usage: fake-log IP:port\n";
    return 2;
  }
  BlockStopSignals();
  FakeLog log;
  constexpr std::int32_t kThreads = 64;
  HttpServer server({.address = argv[1], .threads = kThreads},
                    [&](const HttpRequest& r) { return log.Handle(r); });
  std::cout << "http " << server.address() << std::endl;
  AwaitStopSignal();
  return 0;
}
