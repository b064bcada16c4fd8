#include "src/node/event_log.h"

#include <Poco/JSONString.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <memory>

#include "src/node/clock.h"

namespace marjoramplank {

namespace {

// When the queue is full, the oldest lines are overwritten.
constexpr std::size_t kQueueCapacityLines = 4096;

std::string process_name;
std::atomic<std::int64_t> current_second{0};
std::atomic<std::int64_t> lines_this_second{0};
std::atomic<std::int64_t> dropped_lines{0};

// Counts a line. Returns true if it exceeds the limit of the current second.
bool ExceedsLineLimit() {
  const std::int64_t now = BootClockNow().count() / 1000;
  if (current_second.exchange(now) != now) {
    lines_this_second = 0;
  }
  if (++lines_this_second > kLogLinesPerSecond) {
    ++dropped_lines;
    return true;
  }
  return false;
}

}  // namespace

LogEvent::LogEvent(std::string_view event) {
  line_.reserve(256);
  line_ += "{\"ms\":" + std::to_string(BootClockNow().count());
  With("process", process_name);
  With("event", event);
}

LogEvent::~LogEvent() {
  if (ExceedsLineLimit()) {
    return;
  }
  if (const std::int64_t n = dropped_lines.exchange(0); n > 0) {
    With("lines_dropped_before", n);
  }
  line_ += "}";
  if (auto* logger = spdlog::default_logger_raw(); logger != nullptr) {
    logger->log(spdlog::level::info, line_);
  }
}

LogEvent& LogEvent::With(std::string_view key, std::string_view value) {
  line_ += ",\"";
  line_ += key;
  line_ += "\":";
  line_ += Poco::toJSON(std::string(value));
  return *this;
}

LogEvent& LogEvent::With(std::string_view key, std::int64_t value) {
  line_ += ",\"";
  line_ += key;
  line_ += "\":" + std::to_string(value);
  return *this;
}

LogEvent& LogEvent::With(std::string_view key, bool value) {
  line_ += ",\"";
  line_ += key;
  line_ += value ? "\":true" : "\":false";
  return *this;
}

void OpenEventLog(const std::string& process) {
  process_name = process;
  spdlog::init_thread_pool(kQueueCapacityLines, 1);
  auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  auto logger = std::make_shared<spdlog::async_logger>(
      "events", std::move(sink), spdlog::thread_pool(),
      spdlog::async_overflow_policy::overrun_oldest);
  logger->set_pattern("%v");
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

void FlushEventLog() {
  spdlog::shutdown();
}

}  // namespace marjoramplank
