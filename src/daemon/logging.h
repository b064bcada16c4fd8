#pragma once

#include <string>

#include "src/daemon/settings.h"

namespace marjoramplank {

// Sets up spdlog's default logger on standard error: plain lines, or one JSON
// object per line. Each line names the process.
void SetUpLogging(const LogSettings& settings, const std::string& process_name);

// Writes a line with the trace id of its request. An empty trace id: no
// request.
void LogInfo(const std::string& trace_id, const std::string& text);
void LogWarning(const std::string& trace_id, const std::string& text);

}  // namespace marjoramplank
