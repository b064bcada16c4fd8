#include "src/daemon/logging.h"

#include <Poco/JSON/Stringifier.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <sstream>

namespace marjoramplank {

namespace {

std::atomic<bool> json_lines{false};

// Returns the part of a log line that replaces %v in the logger's pattern: a
// plain line, or the last two members of the JSON object.
std::string FormatLine(const std::string& trace_id, const std::string& text) {
  if (!json_lines) {
    return trace_id.empty() ? text : "[" + trace_id + "] " + text;
  }
  std::ostringstream out;
  out << "\"trace_id\":\"" << trace_id << "\",\"message\":";
  Poco::JSON::Stringifier::formatString(text, out);
  return out.str();
}

}  // namespace

void SetUpLogging(const LogSettings& settings,
                  const std::string& process_name) {
  json_lines = settings.json;
  auto logger = spdlog::stderr_logger_mt(process_name);
  logger->set_pattern(
      settings.json
          ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","process":"%n",%v})"
          : "%Y-%m-%d %H:%M:%S.%e %l %n: %v");
  logger->set_level(spdlog::level::from_str(settings.level));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

void LogInfo(const std::string& trace_id, const std::string& text) {
  spdlog::info("{}", FormatLine(trace_id, text));
}

void LogWarning(const std::string& trace_id, const std::string& text) {
  spdlog::warn("{}", FormatLine(trace_id, text));
}

}  // namespace marjoramplank
