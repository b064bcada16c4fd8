#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace marjoramplank {

// One line of the structured log: a JSON object on standard output, written
// when the LogEvent goes out of scope. Logging never blocks: lines beyond
// kLogLinesPerSecond are dropped, and the next line has their count.
//
//   LogEvent("job_submitted").With("job", id).With("queue", queue);
class LogEvent {
 public:
  explicit LogEvent(std::string_view event);
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;
  ~LogEvent();

  LogEvent& With(std::string_view key, std::string_view value);
  LogEvent& With(std::string_view key, const char* value) {
    return With(key, std::string_view(value));
  }
  LogEvent& With(std::string_view key, const std::string& value) {
    return With(key, std::string_view(value));
  }
  LogEvent& With(std::string_view key, std::int64_t value);
  LogEvent& With(std::string_view key, std::int32_t value) {
    return With(key, static_cast<std::int64_t>(value));
  }
  LogEvent& With(std::string_view key, std::size_t value) {
    return With(key, static_cast<std::int64_t>(value));
  }
  LogEvent& With(std::string_view key, bool value);

 private:
  std::string line_;
};

// Opens the log. Each line names `process`.
void OpenEventLog(const std::string& process);
void FlushEventLog();

// Rate limit of a process's log: 300 lines of 200 bytes cost about 1% of a
// quota of 0.25 cores.
inline constexpr std::int64_t kLogLinesPerSecond = 300;

}  // namespace marjoramplank
